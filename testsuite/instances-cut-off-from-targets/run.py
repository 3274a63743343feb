#!/usr/bin/env python3
"""Guards against failing the requests at instances that can't reach the targets
while other instances can.

Three instances in platform mode run against the stand-ins of the store and of
targets, which cut one instance off by its source address. Callers keep the
address of an instance and their connections to it throughout."""
import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import harness

from harness import check, wait_until
from platform_entry import Entry, KeptConnection, ip_of, peers_of
from platform_standin import Store, Target, config

STORE_PORT = 9900
TARGET_PORT = 9910
INSTANCES = 3
TARGETS = 6
# Requests must be served as often as elsewhere from this long after a cut began.
STABLE_S = 3.0
# How much less often, as a share of all first tries, they may be served.
TOLERANCE = 0.03
CUT_S = 6.0
CALLERS_PER_INSTANCE = 3
NOT_RUN = (408, 421, 429, 503)
ROUTES = [("read", "/read/", "safe", "s1"), ("pay", "/pay/", "unsafe", "s1")]


class Caller(threading.Thread):
    """Sends one request at a time to one instance, on one connection that it
    uses until the instance closes it. It never retries."""

    def __init__(self, entry, name):
        super().__init__(daemon=True)
        self.entry, self.name_ = entry, name
        self.connection = KeptConnection(entry.front, 4)
        # (start time in s, request id, answer; None without a whole one).
        self.sent = []
        self.stopping = False

    def run(self):
        while not self.stopping:
            self.ask()
            time.sleep(0.02)

    def ask(self):
        number = len(self.sent)
        request = f"{self.name_}-{number}"
        unsafe = number % 3 == 0
        start = time.monotonic()
        answer = self.connection.send(
            "POST" if unsafe else "GET",
            f"{'/pay/' if unsafe else '/read/'}{request}", request,
            b"pay" if unsafe else None, 1500)
        self.sent.append((start, request, answer))


def served_share(callers, begin, end):
    """The share of the requests sent in a time that were served, and their
    number."""
    statuses = [answer and answer.status for caller in callers
                for start, _, answer in caller.sent if begin <= start < end]
    return statuses.count(200) / max(1, len(statuses)), len(statuses)


def check_cut(case, kind):
    """Cuts the first instance off from all targets and checks what it serves."""
    source = ip_of(case, 0)
    begin = time.monotonic()
    for target in targets:
        target.cut(source, kind)
    time.sleep(CUT_S)
    end = time.monotonic()
    for target in targets:
        target.heal(source)
    # Requests sent just before the end may still be answered.
    time.sleep(0.5)
    at_cut, elsewhere = (callers[:CALLERS_PER_INSTANCE],
                         callers[CALLERS_PER_INSTANCE:])
    cut_share, cut_count = served_share(at_cut, begin + STABLE_S, end)
    other_share, _ = served_share(elsewhere, begin + STABLE_S, end)
    first_share, first_count = served_share(at_cut, begin, begin + 1)
    print(f"    {kind}: served {cut_share:.3f} of {cut_count}, elsewhere "
          f"{other_share:.3f}; {first_share:.3f} of {first_count} in the first "
          "second")
    check(cut_share >= other_share - TOLERANCE,
          f"{kind}: served {cut_share:.3f} of {cut_count}, elsewhere "
          f"{other_share:.3f}")


def check_runs():
    """Checks that no unsafe request ran twice, none that was refused ran, and
    that each got its own answer."""
    runs = [run for target in targets for run in list(target.runs)]
    for caller in callers:
        for _, request, answer in list(caller.sent):
            status = answer and answer.status
            check(status != 200
                  or answer.body.endswith(f" ran {request}".encode()),
                  f"{request} got {answer}")
            unsafe = int(request.rsplit("-", 1)[1]) % 3 == 0
            count = runs.count(request)
            check(not unsafe or count <= 1, f"{request} ran {count} times")
            check(not unsafe or status not in NOT_RUN or count == 0,
                  f"{request} was refused with {status} and ran")


with harness.Case(__file__) as case:
    store = Store(case.at(STORE_PORT))
    store.append("keyed.op", "config", config(5, ROUTES, ["s1"]))
    targets = [Target(store, case.at(TARGET_PORT + n), f"t{n}", "s1", 0.02)
               for n in range(TARGETS)]
    for n, target in enumerate(targets):
        target.register(Zone="zone-a" if n % 2 else "zone-b")
    entries = [case.start_process(Entry(case, n, case.at(STORE_PORT),
                                        seeds=[peers_of(case, 0)],
                                        targets_from=ip_of(case, n)))
               for n in range(INSTANCES)]
    for entry in entries:
        wait_until(entry.is_ready, "the instance is ready")
    wait_until(lambda: all(e.log().count('state="live"') >= INSTANCES - 1
                           for e in entries), "the instances know each other")
    callers = [Caller(entry, f"c{n}-{number}")
               for n, entry in enumerate(entries)
               for number in range(CALLERS_PER_INSTANCE)]
    for caller in callers:
        caller.start()
    wait_until(lambda: all(served_share([caller], 0, float("inf"))[0] > 0
                           for caller in callers), "requests are served")

    for kind in ("hang", "reset", "refuse new", "one way"):
        with case.section(f"a cut ({kind}) costs the instance's callers nothing"):
            check_cut(case, kind)
        with case.section("after the cut its requests take the direct way again"):
            source = ip_of(case, 0)
            asked = sum(target.asked_by(source) for target in targets)
            wait_until(lambda: sum(target.asked_by(source)
                                   for target in targets) > asked + 20,
                       "the instance sends requests to targets")

    with case.section("no request ran twice, and none that was refused ran"):
        for caller in callers:
            caller.stopping = True
        for caller in callers:
            caller.join()
        check_runs()
