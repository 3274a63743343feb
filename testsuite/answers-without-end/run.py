#!/usr/bin/env python3
"""Guards against an instance that keeps all bytes of an answer without end,
until its machine is out of memory and the requests of all callers are lost.

Targets and the store answer with a head, a body or a trailer that never ends."""

import contextlib
import itertools
import pathlib
import re
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import harness

from harness import RawConnection, check, in_parallel, wait_until
from platform_entry import Entry
from platform_standin import Store, Target, config, reset

STORE_PORT = 9900
TARGET_PORT = 9910
ROUTES = [("read", "/read/", "safe", "sound"),
          ("odd", "/odd/", "safe", "endless")]
CALLERS = 16
BLOCK_BYTES = 64 << 10
# Where the stand-ins give up; a reader that keeps so much has failed.
MAX_SENT_BYTES = 512 << 20
# The memory of the smallest machine.
MEMORY_BYTES = 160 << 20
STORE_CALLS = 3
READ_BYTES = BLOCK_BYTES
# Half of the callers pause so long after each read.
SLOW_READ_S = 0.05
LAST_CHUNK = b"\r\n0\r\n\r\n"

OK = "HTTP/1.1 200 OK\r\n"
CHUNKED = f"{OK}FIELDSTransfer-Encoding: chunked\r\n\r\n"
# How the answer begins, and what is then repeated.
HEADS = {
    "a status line": ("HTTP/1.1 200 ", "x"),
    "a field": (f"{OK}X: ", "x"),
    "fields": (OK, "X: y\r\n"),
    "interim answers": ("", "HTTP/1.1 103 Early Hints\r\n\r\n"),
    "answers that ask for more": ("", "HTTP/1.1 100 Continue\r\n\r\n"),
    "bytes that are no answer": ("", "nonsense"),
}
BODIES = {
    "a body until the close": (f"{OK}FIELDS\r\n", "x"),
    "a body in chunks": (CHUNKED, "400\r\n" + "x" * 1024 + "\r\n"),
    "a chunk extension": (f"{CHUNKED}1;", "x"),
    "a chunk size": (CHUNKED, "0"),
    "trailer fields": (f"{CHUNKED}0\r\n", "X: y\r\n"),
    "the body of another request's answer": (
        f"{OK}X-Request-Id: another\r\n\r\n", "x"),
}

# An instance passes such a body on for as long as its caller reads it.
LONG_BODY = {"a body with a length": (
    f"{OK}Content-Length: 1000000000000\r\n\r\n", "x")}


def endless(start, repeated):
    """A function for `Target.broken` and `Store.broken`."""
    block = (repeated * (BLOCK_BYTES // len(repeated))).encode()

    def answer(connection, fields=""):
        connection.sendall(start.replace("FIELDS", fields).encode())
        for _ in range(MAX_SENT_BYTES // BLOCK_BYTES):
            connection.sendall(block)
        reset(connection)
    return answer


with harness.Case(__file__) as case:
    store = Store(case.at(STORE_PORT))
    store.append("keyed.op", "config", config(5, ROUTES, ["sound", "endless"]))
    numbers = itertools.count()
    sound, odd = [Target(store, case.at(TARGET_PORT + n), name, name)
                  for n, name in enumerate(("sound", "endless"))]
    entry = case.start_process(Entry(case, 1, case.at(STORE_PORT)))
    wait_until(entry.is_ready, "the instance is ready")

    def is_served():
        request = f"r{next(numbers)}"
        return entry.status(f"/read/{request}", request) == 200

    def call_odd(slow):
        """Sends a request and reads until the end of its connection."""
        request = f"o{next(numbers)}"
        connection = RawConnection(entry.front)
        connection.send(f"GET /odd/{request} HTTP/1.1\r\n"
                        f"Host: shop.example\r\nX-Request-Id: {request}\r\n"
                        "X-Deadline-Ms: 1000\r\nConnection: close\r\n\r\n")
        end = b""
        with contextlib.suppress(ConnectionResetError):
            while piece := connection.socket.recv(READ_BYTES):
                end = (end + piece)[-len(LAST_CHUNK):]
                if slow:
                    time.sleep(SLOW_READ_S)
        connection.close()
        check(end != LAST_CHUNK,
              f"{request}: an answer without end looks complete")

    def check_memory(kind):
        status = pathlib.Path(f"/proc/{entry.popen.pid}/status").read_text()
        peak = int(re.search(r"VmHWM:\s*(\d+) kB", status)[1]) << 10
        check(peak < MEMORY_BYTES, f"{kind}: {peak >> 20} MB resident")
        return peak >> 20

    wait_until(is_served, "requests are served")

    with case.section("targets"):
        for kind, answer in {**HEADS, **BODIES}.items():
            odd.broken = endless(*answer)
            in_parallel([lambda n=n: call_odd(slow=n % 2 == 1)
                         for n in range(CALLERS)], CALLERS)
            check(is_served(), f"{kind}: another request wasn't served")
            print(f"    {kind}: {check_memory(kind)} MB resident at the most",
                  flush=True)

    with case.section("the store"):
        for kind, answer in {**BODIES, **LONG_BODY, **HEADS}.items():
            store.broken = endless(*answer)
            calls = store.calls
            wait_until(lambda: check_memory(kind) and
                       store.calls >= calls + STORE_CALLS,
                       f"{kind}: the store is called again")
            check(is_served(), f"{kind}: a request wasn't served")
            print(f"    {kind}: {check_memory(kind)} MB resident at the most",
                  flush=True)

    with case.section("the store's next sound answers are read"):
        store.broken = None
        store.append("keyed.op", "config", config(
            6, [*ROUTES, ("new", "/new/", "safe", "sound")],
            ["sound", "endless"]))
        wait_until(lambda: entry.status("/new/1", f"n{next(numbers)}") == 200,
                   "the next configuration is in force")
