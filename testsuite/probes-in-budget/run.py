#!/usr/bin/env python3
"""Guards against load probes that exceed the budget of the document.

Causes: targets that don't answer probes or reset them, an instance list that
shrinks to one, instances that are paused or killed, and combinations of
them."""

import time
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import harness

from harness import Service, check

# Probes per second that the document allows, summed over all instances.
BUDGET = 24
# Probes that may arrive in one burst at the start of a window, from the token
# buckets of all instances.
BURST = 12
WINDOW_S = 4


def probes(case):
    """Probes that reached the backend servers."""
    return case.sum_counter("probes", "catalog")


def probes_sent(case):
    """Probes that the instances report as sent, for when none arrive."""
    return sum(sum(s["probes_sent"] for s in i.status()["services"])
               for i in case.instances if i.running)


def check_budget(case, count):
    """Checks the number of probes over a window of WINDOW_S."""
    start, before = time.monotonic(), count(case)
    while time.monotonic() < start + WINDOW_S:
        time.sleep(0.05)
    spent, elapsed = count(case) - before, time.monotonic() - start
    print(f"    {spent} probes in {elapsed:.1f} s, "
          f"{BUDGET * elapsed:.0f} allowed")
    check(spent <= BUDGET * elapsed + BURST, f"{spent} in {elapsed:.1f} s")
    return spent


with harness.Case(__file__) as case:
    case.start_platform({"catalog": 8}, proxied=("catalog",))
    case.start_instances(6)
    case.publish(Service("catalog", probes_per_second=BUDGET))
    # Traffic, so that there is load to measure.
    traffic = harness.Background(
        lambda: case.random.choice(case.instances).try_call(
            "GET", "/previews", timeout_s=2), threads=6)
    harness.wait_until(lambda: probes(case) > 0, "the first probes arrive")

    with case.section("without faults"):
        check(check_budget(case, probes) > 0, "no probes")
    with case.section("targets that never answer"):
        case.fault_all("catalog", black_hole=True)
        check_budget(case, probes)
        case.fault_all("catalog", black_hole=False)
    with case.section("targets that reset requests"):
        case.fault_all("catalog", reset_before_run=True)
        check_budget(case, probes)
        case.fault_all("catalog", reset_before_run=False)
    with case.section("connections that are reset when opened"):
        case.fault_all("proxy-catalog", reset_on_connect=True)
        check_budget(case, probes_sent)
        case.fault_all("proxy-catalog", reset_on_connect=False)
    with case.section("an instance list that shrinks to one"):
        for instance in case.instances[1:]:
            case.unlist_instance(instance)
        check_budget(case, probes)
    with case.section("the same, with targets that never answer"):
        case.fault_all("catalog", black_hole=True)
        check_budget(case, probes)
        case.fault_all("catalog", black_hole=False)
        for instance in case.instances:
            case.list_instance(instance)
    with case.section("an instance that is paused and resumed"):
        paused = case.instances[0]
        paused.pause()
        check_budget(case, probes)
        paused.resume()
        check_budget(case, probes)
    with case.section("half of the instances killed, instance list down"):
        case.fault("instance-list", outage="refuse")
        for instance in case.instances[3:]:
            instance.kill()
        check_budget(case, probes)
    traffic.stop()
