#!/usr/bin/env python3
"""Guards against pipelined answers that arrive incomplete or out of order, and
against callers that stop reading: these must not delay other callers, and the
instance must buffer a bounded amount for them."""

import time
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import harness

from harness import RawConnection, answer_bytes, check, wait_until

# Private memory in bytes that callers who read nothing may add.
STALLED_BYTES_LIMIT = 32 << 20


def private_bytes(process):
    path = pathlib.Path(f"/proc/{process.popen.pid}/smaps_rollup")
    return sum(int(line.split()[1]) << 10
               for line in path.read_text().splitlines()
               if line.startswith("Private_"))


def request(identity, path="/previews"):
    return (f"GET {path} HTTP/1.1\r\nHost: catalog\r\n"
            f"Guavacross-Service: catalog\r\nX-Request-Id: {identity}\r\n\r\n")


with harness.Case(__file__) as case:
    case.start_platform({"catalog": 2})
    instance, = case.start_instances(1)
    case.publish(harness.Service("catalog"))

    with case.section("20 pipelined requests, slowest first"):
        connection = RawConnection(instance.callers)
        connection.send("".join(
            request(f"p{n}", f"/previews?ms={40 - 2 * n}") for n in range(20)))
        for n in range(20):
            answer = connection.read_answer()
            check(answer is not None, f"no answer {n}")
            check(answer.header("X-Request-Id") == f"p{n}" and
                  answer.body == answer_bytes(f"p{n}", 256), f"{n}: {answer}")
        connection.close()

    with case.section("4 callers that stop reading a download"):
        before = private_bytes(instance)
        stalled = [RawConnection(instance.callers) for _ in range(4)]
        for n, connection in enumerate(stalled):
            connection.send(request(f"s{n}", "/masters?bytes=400000000"))
        wait_until(lambda: sum(
            case.counters(n)["running"] for n in case.servers) == 4,
            "the downloads run")
        # Other callers are served; 2 s give the downloads time to fill buffers.
        end = time.monotonic() + 2
        while time.monotonic() < end:
            case.check_own(instance.call("GET", "/previews"))
        added = private_bytes(instance) - before
        print(f"    {added >> 10} KiB private memory added by 4 stalled callers")
        check(added < STALLED_BYTES_LIMIT, f"{added} bytes added")
        for connection in stalled:
            connection.reset()
    with case.section("their slots are freed"):
        wait_until(lambda: sum(
            case.counters(n)["running"] for n in case.servers) == 0,
            "the backend servers cancel the downloads")
