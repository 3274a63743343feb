#!/usr/bin/env python3
"""Guards against one request that crashes every backend server: a request that
crashes each server that runs it must cost two targets at most, even if its
caller resends it to all instances.

The caller pauses before each resend, so that the instances have told each other
of the crash; crash-request-sent-again-at-once covers a caller without
pauses."""
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import harness

from harness import check, wait_until


def crashes(case):
    return case.sum_counter("crashes", "catalog")


def quarantined(answer):
    return answer is not None and answer.reason == "quarantined"


# Pause of a caller before it resends a failed request.
PAUSE_S = 0.1


def send_again(case, number, method, path, **named):
    time.sleep(PAUSE_S)
    return case.instances[number % 3].try_call(method, path, **named)


with harness.Case(__file__) as case:
    case.start_platform({"catalog": 8})
    case.start_instances(3)
    case.publish(harness.Service("catalog"))
    case.fault_all("catalog", crash_ms=300)

    with case.section("a repeatable request"):
        answers = [send_again(case, n, "GET", "/previews/crash")
                   for n in range(60)]
        print(f"    {crashes(case)} backend servers lost")
        check(crashes(case) <= 2, f"{crashes(case)} targets lost")
        check(all(quarantined(a) for a in answers[-10:]), f"{answers[-10:]}")

    with case.section("a non-repeatable request with a body"):
        before = crashes(case)
        answers = []
        for n in range(30):
            answers.append(send_again(
                case, n, "POST", "/orders/crash", key=f"crash-{n}",
                body=b"the same"))
        print(f"    {crashes(case) - before} backend servers lost")
        check(crashes(case) - before <= 2, f"{crashes(case)} targets lost")
        check(quarantined(answers[-1]), f"{answers[-1]}")
        case.check_runs(prefix="crash-")

    with case.section("other requests are still answered"):
        wait_until(lambda: case.instances[0].try_call("GET", "/previews/fine"),
                   "an answer")
        for n in range(30):
            case.check_own(case.instances[n % 3].call("GET", f"/previews/{n}"))

    with case.section("one target that resets all requests: no quarantine"):
        case.fault("catalog-8", reset_before_run=True)
        answers = [case.instances[n % 3].try_call("GET", "/previews/again")
                   for n in range(120)]
        check(not any(quarantined(a) for a in answers),
              "a request was quarantined, though only one target failed")
        case.fault("catalog-8", reset_before_run=False)
