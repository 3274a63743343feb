#!/usr/bin/env python3
"""Guards against failures that only a combination of two faults causes.

Sends 10,000 non-repeatable requests under pairs of faults, one pair after the
other. No request may run twice, none with the outcome not-run may have run,
and no section may revert to an older version.

Each request is an order. Its caller resends it to other instances until the
outcome is known or COPIES were sent."""

import itertools
import threading
import time
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import harness

from harness import Rule, Service, check, in_parallel

ORDERS = 10000
CALLERS = 32
COPIES = 3
# Time limit for all pairs of faults together.
TIME_LIMIT_S = 60

RULES = (Rule("previews", "/previews", deadline_ms=1000, queue_wait_ms=500),
         Rule("orders", "/orders", "POST", repeatable=False, deadline_ms=1500,
              queue_wait_ms=500))


def backend(name, **faults):
    """Functions that switch a fault of a backend server on and off."""
    off = {k: -1 if k == "shed_over" else (False if v is True else
           1 if k == "straggle_factor" else 0) for k, v in faults.items()}
    return (lambda case: case.fault(name, **faults),
            lambda case: case.fault(name, **off))


def pause_instance(number):
    return (lambda case: case.instances[number].pause(),
            lambda case: case.instances[number].resume())


def kill_instance(number):
    def replace(case):
        case.start_instance(number, log_service=case.proxies["log"])
        case.wait_ready([case.instances[number]])
    return (lambda case: case.instances[number].kill(), replace)


def log_fault(**faults):
    off = {k: "" if isinstance(v, str) else 300 if k == "appends_per_second"
           else 0 for k, v in faults.items()}
    return (lambda case: case.fault("log-service", **faults),
            lambda case: case.fault("log-service", **off))


def proxy(name, on, off):
    return (lambda case: case.fault(name, **on),
            lambda case: case.fault(name, **off))


FAULTS = {
    "straggler": backend("catalog-1", straggle_factor=40),
    "drains": backend("catalog-2", draining=True, lying_health=True),
    "fails fast": backend("catalog-3", fail_fast=True),
    "resets after running": backend("catalog-4", reset_after_run=True),
    "black hole": backend("catalog-5", black_hole=True),
    "sheds": backend("catalog-6", shed_over=0),
    "cuts answers": proxy("proxy-catalog-2", {"to_caller": {
        "truncate_after": 300}}, {"to_caller": {"truncate_after": -1}}),
    "store down": log_fault(outage="refuse"),
    "store slow": log_fault(delay_ms=300),
    "store's answers lost": log_fault(lose_answers=20),
    "store's appends late": log_fault(apply_late=20, late_ms=700),
    "store resets": proxy("proxy-log", {"reset_now": True}, {}),
    "list lags": (lambda case: case.fault("instance-list", lag_ms=4000),
                  lambda case: case.fault("instance-list", lag_ms=0)),
    "instance paused": pause_instance(1),
    "instance killed": kill_instance(2),
}


class Orders:
    """The orders that callers send, with the outcomes they got."""

    def __init__(self, case):
        self.case = case
        self.lock = threading.Lock()
        self.next = 0
        self.outcomes = {}
        self.pair = "none"

    def caller(self, place):
        while True:
            with self.lock:
                number, self.next = self.next, self.next + 1
            if number >= ORDERS:
                return
            self.send(f"order-{number}", place + number)

    def send(self, key, place):
        """Sends copies until one gets the outcome done or not-run."""
        outcomes = []
        for copy in range(COPIES):
            instance = self.case.instances[
                (place + copy) % len(self.case.instances)]
            answer = instance.order(key, "/orders?bytes=100", timeout_s=3)
            outcomes.append(answer.outcome if answer else "none")
            if answer is not None and answer.status == 200:
                self.case.check_own(answer, 100)
            if outcomes[-1] in ("done", "not-run"):
                break
        with self.lock:
            self.outcomes[key] = (self.pair, outcomes)


def run_pairs(case, orders, done):
    """Switches pairs of faults on and off until all orders are sent."""
    pairs = list(itertools.combinations(FAULTS, 2))
    case.random.shuffle(pairs)
    # Orders per pair.
    share = ORDERS / len(pairs)
    end = time.monotonic() + TIME_LIMIT_S
    used = 0
    for number, (one, other) in enumerate(pairs):
        if done.is_set() or time.monotonic() > end:
            break
        orders.pair = f"{one} + {other}"
        used += 1
        for name in (one, other):
            FAULTS[name][0](case)
        harness.wait_until(
            lambda: done.is_set() or orders.next >= share * (number + 1),
            "orders are sent", 120)
        for name in (one, other):
            FAULTS[name][1](case)
    orders.pair = "none"
    print(f"    {used} of {len(pairs)} pairs of faults used")


with harness.Case(__file__) as case:
    case.start_platform({"catalog": 8}, proxied=("catalog", "log"), threads=2)
    case.start_instances(4)
    service = Service("catalog", RULES)
    case.publish(service)
    first = dict(case.versions)
    orders = Orders(case)
    done = threading.Event()

    with case.section(f"{ORDERS} orders under pairs of faults"):
        pairs = threading.Thread(target=run_pairs, args=(case, orders, done))
        pairs.start()
        in_parallel([lambda p=p: orders.caller(p) for p in range(CALLERS)],
                    CALLERS)
        done.set()
        pairs.join()

    with case.section("outcomes agree with the runs"):
        runs = case.runs()
        count = {"done": 0, "not-run": 0, "unknown": 0, "none": 0}
        doubled, false_not_run, false_done = [], [], []
        for key, (pair, outcomes) in orders.outcomes.items():
            count[outcomes[-1]] += 1
            ran = runs.get(key, 0)
            if ran > 1:
                doubled.append((key, pair, outcomes))
            if outcomes[-1] == "not-run" and ran:
                false_not_run.append((key, pair, outcomes))
        print(f"    last outcomes: {count}, {sum(runs.values())} runs")
        check(len(orders.outcomes) == ORDERS, f"{len(orders.outcomes)} orders")
        check(not doubled, f"ran twice: {len(doubled)}, {doubled[:5]}")
        check(not false_not_run,
              f"false not-run: {len(false_not_run)}, {false_not_run[:5]}")
        check(count["done"] > ORDERS / 4, f"{count}")

    with case.section("no section reverted"):
        case.wait_in_force(first)
        service.probes_per_second += 1
        case.publish(service)
