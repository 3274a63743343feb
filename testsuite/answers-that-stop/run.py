#!/usr/bin/env python3
"""Guards against callers that get neither the rest of an answer that has stopped
nor the end of their connection, and against what such answers would keep.

Targets send the head of an answer and a part of its body, and then nothing."""

import itertools
import pathlib
import re
import sys
import threading

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import harness

from harness import RawConnection, check, in_parallel, wait_until
from platform_entry import Entry
from platform_standin import Store, Target, config

STORE_PORT = 9900
TARGET_PORT = 9910
TARGETS = 4
ROUTES = [("read", "/read/", "safe", "sound"),
          ("stop", "/stop/", "safe", "stops"),
          ("pay", "/pay/", "unsafe", "stops")]
# More than the targets can take; the others are refused.
CALLERS = 400
# Of each answer, by far more than one instance may keep of all.
LENGTH_BYTES = 4 << 20
PART = b"x" * 4096
# The memory of the smallest machine.
MEMORY_BYTES = 160 << 20
FRAMINGS = {"a length": f"Content-Length: {LENGTH_BYTES}\r\n\r\n",
            "chunks": "Transfer-Encoding: chunked\r\n\r\n1000\r\n",
            "no length": "\r\n"}

with harness.Case(__file__) as case:
    store = Store(case.at(STORE_PORT))
    store.append("keyed.op", "config", config(5, ROUTES, ["sound", "stops"]))
    numbers = itertools.count()
    sound = Target(store, case.at(TARGET_PORT), "sound", "sound")
    over = threading.Event()

    def answer_with(framing):
        """A function for `Target.broken`."""
        def answer(connection, fields):
            connection.sendall(f"HTTP/1.1 200 OK\r\n{fields}{framing}".encode()
                               + PART)
            over.wait()
        return answer

    targets = [Target(store, case.at(TARGET_PORT + 1 + number), f"t{number}",
                      "stops") for number in range(TARGETS)]
    for target in targets:
        # All answers stop side by side.
        target.register(Slots=CALLERS)
    entry = case.start_process(Entry(case, 1, case.at(STORE_PORT)))
    wait_until(entry.is_ready, "the instance is ready")

    def is_served():
        request = f"r{next(numbers)}"
        return entry.status(f"/read/{request}", request) == 200

    def descriptors():
        return len(list(pathlib.Path(f"/proc/{entry.popen.pid}/fd").iterdir()))

    def resident_bytes(which):
        status = pathlib.Path(f"/proc/{entry.popen.pid}/status").read_text()
        return int(re.search(which + r":\s*(\d+) kB", status)[1]) << 10

    def call(method):
        """Sends a request and reads until its connection ends; returns whether
        an answer had begun."""
        request = f"s{next(numbers)}"
        path = "/pay/" if method == "POST" else "/stop/"
        connection = RawConnection(entry.front)
        connection.send(f"{method} {path}{request} HTTP/1.1\r\n"
                        f"Host: shop.example\r\nX-Request-Id: {request}\r\n"
                        "X-Deadline-Ms: 1000\r\nConnection: close\r\n"
                        "Content-Length: 0\r\n\r\n")
        received = b""
        is_reset = False
        try:
            while piece := connection.socket.recv(65536):
                received += piece
        except ConnectionResetError:
            is_reset = True
        connection.close()
        if not received.startswith(b"HTTP/1.1 200 "):
            return False
        check(is_reset, f"{request}: a cut answer ended regularly")
        check(not received.endswith(b"\r\n0\r\n\r\n"),
              f"{request}: a cut answer looks complete")
        return True

    wait_until(is_served, "requests are served")
    for framing, method in itertools.product(FRAMINGS, ("GET", "POST")):
        with case.section(f"answers with {framing}, to {method}"):
            for target in targets:
                target.broken = answer_with(FRAMINGS[framing])
            over.clear()
            before = descriptors()
            results = in_parallel([lambda: call(method)] * CALLERS, CALLERS)
            check(any(results), "no answer began")
            check(is_served(), "another request wasn't served")
            # While the targets still hold their ends of the connections.
            wait_until(lambda: descriptors() <= before + 10,
                       "the descriptors are given back")
            print(f"    {sum(results)} of {CALLERS} answers began; "
                  f"{before} descriptors before, {descriptors()} after; "
                  f"{resident_bytes('VmHWM') >> 20} MB resident at the most, "
                  f"{resident_bytes('VmRSS') >> 20} MB after", flush=True)
            check(resident_bytes("VmHWM") < MEMORY_BYTES, "too much memory")
            over.set()
