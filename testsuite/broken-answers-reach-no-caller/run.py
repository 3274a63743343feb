#!/usr/bin/env python3
"""Guards against broken answers of a target that reach a caller, and against
harm that they do beyond their own request.

Targets write their answers by hand: one of the two of the service `mixed`, both
of the service `broken`."""

import contextlib
import http.client
import itertools
import pathlib
import socket
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import harness

from harness import check, wait_until
from platform_entry import Entry
from platform_standin import Store, Target, config, reset

STORE_PORT = 9900
TARGET_PORT = 9910
ROUTES = [("read", "/read/", "safe", "mixed"),
          ("pay", "/pay/", "unsafe", "broken")]
UPLOADS = 8
UPLOAD_BYTES = 4 << 20
UPLOAD_LIMITS = {"MaxHeaderBytes": 16384, "MaxBodyBytes": UPLOAD_BYTES,
                 "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}
# Long enough for the buffers to fill with what the target doesn't read.
FILL_S = 0.1
PROMISES_NOT_RUN = (408, 421, 429, 503)


def answer_with(text):
    """A function for `Target.broken`: `text` with the genuine fields."""
    def answer(connection, fields):
        connection.sendall(text.replace("FIELDS", fields).encode("latin-1"))
    return answer


def answer_upload(end):
    """A function for `Target.broken`: answers before the request's body is
    read, without a length, and ends the connection with `end`."""
    def answer(connection, fields):
        connection.sendall(f"HTTP/1.1 200 OK\r\n{fields}\r\n"
                           "what arrived".encode())
        time.sleep(FILL_S)
        end(connection)
    return answer


def close_then_reset(connection):
    connection.shutdown(socket.SHUT_WR)
    reset(connection)


with harness.Case(__file__) as case:
    store = Store(case.at(STORE_PORT))
    store.append("keyed.op", "config", {
        **config(5, ROUTES, ["mixed", "broken"]), "Limits": UPLOAD_LIMITS})
    numbers = itertools.count()
    sound = Target(store, case.at(TARGET_PORT), "sound", "mixed")
    entry = case.start_process(Entry(case, 1, case.at(STORE_PORT)))
    wait_until(entry.is_ready, "the instance is ready")

    def start_target(service, answer):
        """A target of its own for each kind, since the last may be ejected."""
        number = next(numbers)
        target = Target(store, case.at(TARGET_PORT + 1 + number),
                        f"t{number}", service)
        target.broken = answer
        return target

    def call(path, method="GET"):
        """Sends a request on a path of its own; returns it and its answer."""
        request = f"r{next(numbers)}"
        body = b"10 EUR" if method == "POST" else None
        try:
            return request, entry.call(method, path + request, request,
                                       body=body)
        except http.client.HTTPException as error:
            raise harness.Failure(f"{request}: not an answer: {error!r}")

    wait_until(lambda: call("/read/")[1].status == 200, "requests are served")

    def remove(targets):
        for target in targets:
            target.deregister()
        for target in targets:
            wait_until(lambda: f'target="{target.name}" change="removed"' in
                       entry.log(), f"{target.name} isn't used any more")

    def check_round(kind, targets):
        """Sends a request of each kind to targets with broken answers."""
        request, read = call("/read/")
        check(read.status == 200 and read.body == b"sound ran " +
              request.encode(), f"{kind}: {read}: {read.body}")
        request, paid = call("/pay/", "POST")
        runs = sum(target.runs.count(request) for target in targets)
        check(runs <= 1, f"{kind}: {request} was sent {runs} times")
        check(paid.status == 502 if runs else paid.status in PROMISES_NOT_RUN,
              f"{kind}: {paid}")

    def attempt_lines(request):
        return [line for line in entry.log().splitlines()
                if 'event="attempt ended"' in line
                and f'request="{request}"' in line]

    def check_is_logged(kind, targets):
        """Each broken answer has one line that says why it is one."""
        for request in [run for target in targets for run in target.runs]:
            line, = wait_until(lambda: attempt_lines(request),
                               f"{kind}: {request} is logged")
            check('end="bad-answer"' in line and ' why="' in line,
                  f"{kind}: {line}")

    def check_stays_with_target(kind, answer):
        """Sends requests while targets give a kind of broken answer."""
        targets = [start_target(service, answer)
                   for service in ("mixed", "broken", "broken")]
        wait_until(lambda: check_round(kind, targets) or
                   all(target.runs for target in targets),
                   f"{kind}: each target has answered")
        check_is_logged(kind, targets)
        for target in targets:
            target.broken = None
        wait_until(lambda: call("/pay/", "POST")[1].status == 200,
                   "the targets' sound answers are delivered again")
        remove(targets)

    with case.section("a status that isn't one"):
        for status in ("000", "099", "600"):
            check_stays_with_target(status, answer_with(
                f"HTTP/1.1 {status} Trouble\r\nFIELDSContent-Length: 2\r\n"
                "\r\nok"))

    with case.section("a blank or a control byte in the name of a field"):
        for line in ("X Bad: a", "X-Bad : a", "X\x01Bad: a", "X\x7fBad: a",
                     "Content-Length : 9", "Transfer-Encoding : chunked"):
            for fields in (f"FIELDS{line}\r\n", f"{line}\r\nFIELDS"):
                check_stays_with_target(repr(fields), answer_with(
                    f"HTTP/1.1 200 OK\r\n{fields}Content-Length: 2\r\n\r\nok"))

    def upload(chunked):
        """Sends a body in a thread of its own; returns all that comes back."""
        connection = harness.RawConnection(entry.front)
        body = b"u" * UPLOAD_BYTES
        framing = f"Content-Length: {len(body)}"
        if chunked:
            framing = "Transfer-Encoding: chunked"
            body = f"{len(body):x}\r\n".encode() + body + b"\r\n0\r\n\r\n"
        connection.send(f"POST /pay/up HTTP/1.1\r\nHost: shop.example\r\n"
                        f"X-Request-Id: r{next(numbers)}\r\n"
                        f"X-Deadline-Ms: 1500\r\n{framing}\r\n\r\n")

        def write():
            with contextlib.suppress(OSError):
                connection.send(body)
        writer = threading.Thread(target=write)
        writer.start()
        answer = connection.read_to_end()
        writer.join()
        connection.close()
        return answer

    def check_uploads(end, is_whole):
        """Checks by the last chunk whether answers are complete."""
        targets = [start_target("broken", answer_upload(end))
                   for _ in range(2)]
        wait_until(lambda: b"what arrived" in upload(chunked=False),
                   "a target answers")
        for number in range(UPLOADS):
            answer = upload(chunked=number % 2 == 1)
            check(b" 200 " in answer, f"not a target's answer: {answer}")
            check(answer.endswith(b"0\r\n\r\n") == is_whole,
                  f"upload {number}: {answer}")
        remove(targets)

    with case.section("an answer without length that is reset isn't complete"):
        check_uploads(reset, is_whole=False)
    with case.section("one that ends regularly is, though reset later"):
        check_uploads(close_then_reset, is_whole=True)
