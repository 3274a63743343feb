#!/usr/bin/env python3
"""Guards against requests that a planned stop cuts off without an answer.

Callers send over the whole grace time, on kept and new connections, until the
process is gone; others wait for a slot, are pipelined, or read a long answer
while it leaves. What the targets ran is compared with what callers were told."""

import itertools
import pathlib
import signal
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import harness

from harness import RawConnection, check, wait_until
from platform_entry import Entry, KeptConnection, ip_of, peers_of
from platform_standin import Store, Target, config

STORE_PORT = 9900
TARGET_PORT = 9910
LONG_TIMEOUT_MS = 20_000

SERVICES = ["fast", "full", "slow", "long"]
ROUTES = [(f"{service}-{kind}", f"/{service}/{kind}/", kind, service)
          for service in SERVICES for kind in ("safe", "unsafe")]
METHODS = {"safe": "GET", "unsafe": "POST"}


def configuration():
    document = config(5, ROUTES, SERVICES)
    columns = document["Routes"]["Columns"]
    for row in document["Routes"]["Rows"]:
        row[columns.index("TimeoutMs")] = LONG_TIMEOUT_MS
        # Requests may wait for long.
        row[columns.index("SloMs")] = LONG_TIMEOUT_MS
    return document


def request_text(kind, service, request, deadline_ms, body="10 EUR"):
    return (f"{METHODS[kind]} /{service}/{kind}/{request} HTTP/1.1\r\n"
            f"Host: shop.example\r\nX-Request-Id: {request}\r\n"
            f"X-Deadline-Ms: {deadline_ms}\r\n"
            + (f"Content-Length: {len(body)}\r\n\r\n{body}"
               if kind == "unsafe" else "\r\n"))


class Outcome:
    """What a caller saw of a request."""

    def __init__(self, request, sent_at, answer):
        self.request, self.sent_at, self.answer = request, sent_at, answer
        self.waited_s = time.monotonic() - sent_at

    def __repr__(self):
        return (f"{self.request}: sent {self.sent_at - stopped_at:.2f} s after "
                f"SIGTERM, {self.answer} after {self.waited_s:.2f} s")


class Late:
    """Sends requests to an instance, one after the other, until the process
    that is stopped is gone."""

    def __init__(self, entry, stopped, kind, deadline_ms, kept):
        self.outcomes = []
        self._entry, self._stopped, self._kind = entry, stopped, kind
        self._deadline_ms, self._kept = deadline_ms, kept
        self._thread = threading.Thread(target=self._run)
        self._thread.start()

    def _run(self):
        connection = None
        while self._stopped.running:
            connection = connection if self._kept and connection else (
                KeptConnection(self._entry.front, 10))
            request = f"l{next(numbers)}"
            sent_at = time.monotonic()
            answer = connection.send(
                METHODS[self._kind], f"/fast/{self._kind}/{request}", request,
                b"10 EUR" if self._kind == "unsafe" else None,
                self._deadline_ms)
            self.outcomes.append(Outcome(request, sent_at, answer))
            time.sleep(0.05)

    def join(self):
        self._thread.join()
        return self.outcomes


def start_late(entry, stopped, deadlines_ms=(300, 1000, 3000)):
    return [Late(entry, stopped, kind, deadline_ms, kept) for kind in METHODS
            for kept in (True, False) for deadline_ms in deadlines_ms]


def check_late(callers):
    """Checks that no late request was lost and refusals are true."""
    outcomes = [outcome for caller in callers for outcome in caller.join()]
    statuses = {o.answer.status for o in outcomes if o.answer is not None}
    check(200 in statuses, f"no late request was served: {statuses}")
    for outcome in outcomes:
        # A connection that was closed as the request crossed it is no loss.
        check(outcome.answer is not None or not ran(outcome.request),
              f"lost: {outcome}")
        check(outcome.answer is None or outcome.answer.status != 503
              or not ran(outcome.request), f"{outcome} ran")
    for target in targets.values():
        check(len(set(target.runs)) == len(target.runs),
              f"{target.name} ran a request twice")


def in_background(function, *arguments):
    """Runs a function on a thread; returns the list that gets its result."""
    results = []
    thread = threading.Thread(
        target=lambda: results.append(function(*arguments)))
    thread.start()
    threads.append(thread)
    return results


def ask(kind, service, requests, deadline_ms):
    """Sends requests at once on one connection; returns their outcomes."""
    connection = RawConnection(entry.front, 12)
    sent_at = time.monotonic()
    connection.send("".join(request_text(kind, service, request, deadline_ms)
                            for request in requests))
    return [Outcome(request, sent_at, connection.read_answer())
            for request in requests]


def ran(request):
    return any(request in target.runs for target in targets.values())


def check_waiting(results):
    for outcome in itertools.chain(*itertools.chain(*results)):
        check(outcome.answer is not None and outcome.answer.status == 503
              and not ran(outcome.request), f"{outcome}")


numbers = itertools.count()
threads = []
stopped_at = 0

with harness.Case(__file__) as case:
    store = Store(case.at(STORE_PORT))
    store.append("keyed.op", "config", configuration())
    targets = {}
    for number, (service, work_s, slots) in enumerate([
            ("fast", 0.05, 16), ("full", 9, 2), ("slow", 1.5, 8),
            ("long", 0, 4)]):
        targets[service] = Target(store, case.at(TARGET_PORT + number),
                                  f"t-{service}", service, work_s)
        targets[service].register(Slots=slots)
    targets["long"].body_s = 4
    entry = case.start_process(Entry(case, 1, case.at(STORE_PORT)))
    wait_until(entry.is_ready, "the instance is ready")
    wait_until(lambda: entry.status("/fast/safe/0", "first") == 200,
               "requests are served")

    at_work = [in_background(ask, kind, "full", [f"w-{kind}"],
                             LONG_TIMEOUT_MS) for kind in METHODS]
    wait_until(lambda: all(ran(f"w-{kind}") for kind in METHODS),
               "all slots are taken")
    waiting = [in_background(ask, kind, "full", [f"q-{kind}"],
                             LONG_TIMEOUT_MS) for kind in METHODS]
    # Repeatable ones behind one that isn't wait for their turn, too.
    pipelined = [in_background(ask, kind, "slow",
                               [f"p{n}-{kind}" for n in range(3)], 4000)
                 for kind in METHODS]
    wait_until(lambda: all(ran(f"p0-{kind}") for kind in METHODS),
               "the first of the pipelined requests run")
    late = start_late(entry, entry)

    with case.section("the process ends by itself, in spite of further signals "
                      "and changed settings"):
        stopped_at = time.monotonic()
        entry.signal(signal.SIGTERM)
        time.sleep(1)
        entry.signal(signal.SIGTERM)
        entry.signal(signal.SIGHUP)
        time.sleep(1)
        entry.write_settings(grace_s=3)
        time.sleep(1)
        long_answers = [in_background(ask, kind, "long", [f"b-{kind}"], 1000)
                        for kind in METHODS]
        check(entry.wait() == 0, "exit code is not 0")
        for thread in threads:
            thread.join()

    with case.section("no late request is lost, on kept and new connections"):
        check_late(late)
    with case.section("pipelined requests are answered before the close"):
        for outcome in itertools.chain(*itertools.chain(*pipelined)):
            check(outcome.answer is not None, f"{outcome}")
            check((outcome.answer.status == 200) == ran(outcome.request),
                  f"{outcome}")
    with case.section("requests that wait for a slot are refused as not run"):
        check_waiting(waiting)
    with case.section("those still at work get an answer that promises nothing"):
        for outcome in itertools.chain(*itertools.chain(*at_work)):
            check(outcome.answer is not None and outcome.answer.status in
                  (502, 504), f"{outcome}")
    with case.section("an answer is cut only after its time limit"):
        for outcome in itertools.chain(*itertools.chain(*long_answers)):
            check(outcome.answer is None and outcome.waited_s > 1,
                  f"{outcome}")

    # The targets don't accept connections of the second instance, which passes
    # its requests on to the others.
    passing_on, *others = [
        case.start_process(Entry(case, number, case.at(STORE_PORT),
                                 seeds=[peers_of(case, 2)],
                                 targets_from=ip_of(case, number)))
        for number in range(2, 5)]
    for each in (passing_on, *others):
        wait_until(each.is_ready, "the instance is ready")
    for target in targets.values():
        target.cut(ip_of(case, 2), "refuse new")
        target.cut(ip_of(case, 2), "reset")
    wait_until(lambda: passing_on.status(
        "/fast/safe/0", f"r{next(numbers)}") == 200, "requests are passed on")
    for stopped, what in ((others[0], "that takes requests over"),
                          (passing_on, "that passes requests on")):
        with case.section(f"nor while an instance {what} is stopped"):
            late = start_late(passing_on, stopped, (1000, ))
            wait_until(lambda: all(caller.outcomes for caller in late),
                       "all callers have been answered once")
            stopped_at = time.monotonic()
            stopped.signal(signal.SIGTERM)
            check(stopped.wait() == 0, "exit code is not 0")
            check_late(late)
