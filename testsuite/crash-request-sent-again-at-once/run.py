#!/usr/bin/env python3
"""Guards against one request that crashes every backend server, when its caller
resends it at once to all instances: it must cost two targets at most.

Callers are 3 ms away, as the requirements state: the instances tell each other
of the crash while the error is on its way to the caller, who then resends."""
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import harness

from harness import check


def crashes(case):
    return case.sum_counter("crashes", "catalog")


def quarantined(answer):
    return answer is not None and answer.reason == "quarantined"


class Caller:
    """Sends through proxies that delay as the network to the instances does."""

    def __init__(self, case):
        self.case = case

    def send(self, number, method, path, **named):
        instance = self.case.instances[number % 3]
        own, instance.callers = instance.callers, self.case.proxies[
            f"callers-{number % 3}"]
        try:
            return instance.try_call(method, path, **named)
        finally:
            instance.callers = own


with harness.Case(__file__) as case:
    case.start_platform(
        {"catalog": 8},
        more_links={f"callers-{n}": case.at(harness.CALLERS_PORT + n)
                    for n in range(3)})
    case.start_instances(3)
    case.publish(harness.Service("catalog"))
    caller = Caller(case)
    case.fault_all("proxy-callers", to_target={"delay_ms": 3},
                   to_caller={"delay_ms": 3})
    case.fault_all("catalog", crash_ms=300)

    with case.section("a repeatable request"):
        answers = [caller.send(n, "GET", "/previews/crash")
                   for n in range(60)]
        print(f"    {crashes(case)} backend servers lost")
        check(crashes(case) <= 2, f"{crashes(case)} targets lost")
        check(all(quarantined(a) for a in answers[-10:]), f"{answers[-10:]}")
