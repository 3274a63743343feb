#!/usr/bin/env python3
"""Guards against broken answers of a target that reach a caller, and against
harm that they do beyond their own request.

Targets write their answers by hand: one of the two of the service `mixed`, both
of the service `broken`."""

import http.client
import itertools
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import harness

from harness import check, wait_until
from platform_entry import Entry
from platform_standin import Store, Target, config

STORE_PORT = 9900
TARGET_PORT = 9910
ROUTES = [("read", "/read/", "safe", "mixed"),
          ("pay", "/pay/", "unsafe", "broken")]
PROMISES_NOT_RUN = (408, 421, 429, 503)


def answer_with(text):
    """A function for `Target.broken`: `text` with the genuine fields."""
    def answer(connection, fields):
        connection.sendall(text.replace("FIELDS", fields).encode("latin-1"))
    return answer


with harness.Case(__file__) as case:
    store = Store(case.at(STORE_PORT))
    store.append("keyed.op", "config", config(5, ROUTES, ["mixed", "broken"]))
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

    def check_stays_with_target(kind, answer):
        """Sends requests while targets give a kind of broken answer."""
        targets = [start_target(service, answer)
                   for service in ("mixed", "broken", "broken")]
        wait_until(lambda: check_round(kind, targets) or
                   all(target.runs for target in targets),
                   f"{kind}: each target has answered")
        for target in targets:
            target.broken = None
        wait_until(lambda: call("/pay/", "POST")[1].status == 200,
                   "the targets' sound answers are delivered again")
        for target in targets:
            target.deregister()

    with case.section("a status that isn't one"):
        for status in ("000", "099", "600"):
            check_stays_with_target(status, answer_with(
                f"HTTP/1.1 {status} Trouble\r\nFIELDSContent-Length: 2\r\n"
                "\r\nok"))
