#!/usr/bin/env python3
"""Guards against overload that piles up on backend servers or in the instances.

Under overload backend servers must get no more requests than they have slots;
requests that can't be served must be refused early as not run, and failed ones
answered at once instead of at their deadline. When a caller disconnects or the
deadline passes, the backend server must stop the work."""

import time
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import harness

from harness import RawConnection, Rule, Service, check, in_parallel, wait_until

SERVERS, SLOTS = 3, 2
RULES = (Rule("previews", "/previews", deadline_ms=2000, queue_wait_ms=300,
              queue_limit=10),
         Rule("orders", "/orders", "POST", repeatable=False, deadline_ms=3000,
              queue_wait_ms=1000, queue_limit=10))

with harness.Case(__file__) as case:
    case.start_platform({"catalog": SERVERS}, slots=SLOTS, mean_ms=20)
    case.start_instances(2)
    targets = case.targets("catalog")
    for target in targets:
        target.slots = SLOTS
    case.publish(Service("catalog", RULES, targets=targets))

    with case.section("60 callers for 6 slots"):
        def caller(place):
            return [case.instances[place % 2].try_call(
                "GET", f"/previews/{place}-{n}?ms=50") for n in range(6)]
        answers = sum(in_parallel([lambda p=p: caller(p)
                                   for p in range(60)], 60), [])
        refused = [a for a in answers if a is not None and a.status == 503]
        served = [a for a in answers if a is not None and a.status == 200]
        print(f"    {len(served)} served, {len(refused)} refused")
        check(len(served) + len(refused) == len(answers), f"{answers}")
        check(refused and served, "all requests were refused, or none")
        check(all(a.outcome == "not-run" and a.reason and
                  a.header("Retry-After") for a in refused), f"{refused[0]}")
        most = max(case.counters(n)["max_waiting"] for n in case.servers)
        print(f"    at most {most} requests waited within one server")
        check(most <= 2 * SLOTS, f"{most} requests waited within one server")

    with case.section("a request that takes longer than its deadline"):
        for name in case.servers:
            case.fault(name, straggle_factor=1)
        answer = case.instances[0].call(
            "GET", "/previews/late?ms=5000",
            headers={"Guavacross-Deadline-Ms": "200"})
        print(f"    {answer}, after {answer.elapsed_s:.2f} s")
        check(answer.status == 504, f"{answer}")
        check(0.2 <= answer.elapsed_s < 2, f"after {answer.elapsed_s} s")
    with case.section("the backend servers cancel the work"):
        wait_until(lambda: case.sum_counter("running", "catalog") == 0,
                   "no request is running")
        check(case.sum_counter("cancelled_running", "catalog") >= 1,
              "nothing was cancelled")

    with case.section("a failed request is answered before its deadline"):
        case.fault_all("catalog", reset_before_run=True)
        start = time.monotonic()
        answers = [case.instances[n % 2].order(f"given-up-{n}")
                   for n in range(10)]
        check(all(a is not None and a.status >= 500 for a in answers),
              f"{answers}")
        slowest = max(a.elapsed_s for a in answers)
        print(f"    slowest answer after {slowest:.2f} s, deadline 3 s")
        check(slowest < 1.5, f"the error was sent only after {slowest:.2f} s")
        case.fault_all("catalog", reset_before_run=False)

    with case.section("a caller that disconnects"):
        before = case.sum_counter("cancelled_running", "catalog")

        def disconnect_midway():
            connection = RawConnection(case.instances[0].callers)
            connection.send("GET /previews/left?ms=1900 HTTP/1.1\r\nHost: x\r\n"
                            "Guavacross-Service: catalog\r\n\r\n")
            wait_until(lambda: case.sum_counter("running", "catalog") > 0,
                       "the request runs", 3)
            connection.reset()
            return True
        wait_until(lambda: harness.try_call(
            case.instances[0].callers, "GET", "/previews?ms=1",
            {"Guavacross-Service": "catalog"}).status == 200,
            "a request is answered again")
        disconnect_midway()
        wait_until(lambda: case.sum_counter("cancelled_running", "catalog") >
                   before, "the backend server cancels the request")
