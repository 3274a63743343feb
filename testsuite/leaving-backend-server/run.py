#!/usr/bin/env python3
"""Guards against a leaving backend server that keeps getting requests.

Its health endpoint still reports ready and only one instance has seen an answer
that shows it draining; after a few seconds no instance may send it new work."""

import dataclasses
import time
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import harness

from harness import Service, check, wait_until

# Limit for "a few seconds", counted from when one instance could see it drain.
NO_NEW_WORK_LIMIT_S = 5


def backend_of(instance, number=0):
    answer = instance.try_call("GET", f"/previews/{number}?ms=1")
    return answer.backend if answer else None


def runs_of(case, name):
    return case.counters(name)["runs"]


def check_no_new_work(case, name, instances, since):
    """Sends until 200 consecutive requests all avoid the server."""
    def got_no_work():
        before = runs_of(case, name)
        for number in range(200):
            backend_of(instances[number % len(instances)], number)
        return runs_of(case, name) == before
    wait_until(got_no_work, f"{name} gets no new work")
    took = time.monotonic() - since
    print(f"    no new work after {took:.1f} s at most")
    # 3 s more, since the 200 requests take time too.
    check(took < NO_NEW_WORK_LIMIT_S + 3,
          f"new work stopped only after {took:.1f} s")


with harness.Case(__file__) as case:
    case.start_platform({"catalog": 5})
    case.start_instances(3)
    case.publish(Service("catalog"))

    with case.section("one instance sees it drain, its health says ready"):
        case.fault("catalog-1", draining=True, lying_health=True)
        wait_until(lambda: backend_of(case.instances[0]) == "catalog-1",
                   "the draining server answers a request")
        check_no_new_work(case, "catalog-1", case.instances, time.monotonic())

    with case.section("no new work later, while its health still says ready"):
        before = runs_of(case, "catalog-1")
        end = time.monotonic() + 4
        while time.monotonic() < end:
            for instance in case.instances:
                backend_of(instance)
        check(runs_of(case, "catalog-1") == before, "it got new work")

    with case.section("an instance that starts later learns of the draining"):
        late = case.start_instance(zone="zone-a")
        case.wait_ready([late])
        check_no_new_work(case, "catalog-1", [late], time.monotonic())

    with case.section("the server is used again after its restart"):
        case.fault("catalog-1", draining=False, lying_health=False)
        harness.try_call(case.servers["catalog-1"], "GET", "/crash")
        before = runs_of(case, "catalog-1")

        def used():
            for instance in case.instances:
                backend_of(instance)
            return runs_of(case, "catalog-1") > before
        wait_until(used, "the new incarnation gets work")

    with case.section("a target is removed from the document, store down"):
        fewer = Service("catalog", targets=case.targets("catalog")[:-1])
        case.publish(fewer)
        case.fault("log-service", outage="refuse")
        check_no_new_work(case, "catalog-5", case.instances, time.monotonic())
