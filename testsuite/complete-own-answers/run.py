#!/usr/bin/env python3
"""Guards against a caller that gets the answer to another request, or a
truncated answer that looks complete.

Backend servers and proxies send late, duplicated, surplus, truncated and
reordered answers over connections that the instances reuse."""

import http.client
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import harness

from harness import Rule, Service, check, in_parallel, wait_until

HTTP_ERRORS = (OSError, http.client.HTTPException)
READS = Rule("previews", "/previews", deadline_ms=400, queue_wait_ms=400)
SIZE = 3000


def send_request(case, number):
    """Sends request `number` to one instance.

    Returns the answer, or None if it was truncated; fails if a complete answer
    isn't the one to this request."""
    instance = case.instances[number % len(case.instances)]
    # A path used only once: a request whose answers are truncated at two
    # targets is quarantined; network-trouble-quarantines-nothing covers that.
    path = f"/previews/{case.round}/{number}?bytes={SIZE}"
    answer = instance.try_call("GET", path, identity=f"{case.round}-{number}")
    if answer is not None and answer.status == 200:
        case.check_own(answer, SIZE)
    return answer


def send_requests(case, name, count=120):
    case.round = name
    answers = in_parallel([lambda n=n: send_request(case, n)
                           for n in range(count)])
    whole = [a for a in answers if a is not None and a.status == 200]
    print(f"    {len(whole)} of {count} answered completely, "
          f"{sum(a is None for a in answers)} truncated")
    return whole


with harness.Case(__file__) as case:
    case.start_platform({"catalog": 3}, proxied=("catalog",), mean_ms=2)
    case.start_instances(2)
    case.publish(Service("catalog", (READS,)))

    def recover(name):
        """Waits until all requests succeed, on reused connections too."""
        tries = iter(range(10000))
        wait_until(lambda: len(send_requests(
            case, f"after-{name}-{next(tries)}", 20)) == 20,
            "all requests are answered again")

    for name, on, off in (
            ("late", {"answer_late_ms": 700}, {"answer_late_ms": 0}),
            ("twice", {"answer_twice": True}, {"answer_twice": False}),
            ("surplus", {"surplus_bytes": True}, {"surplus_bytes": False}),
            ("cut", {"truncate": True}, {"truncate": False}),
            ("reset", {"reset_midway": True}, {"reset_midway": False})):
        with case.section(f"faulty answers: {name}"):
            # First only one backend server, to mix good and faulty answers.
            case.fault("catalog-1", **on)
            check(send_requests(case, f"one-{name}"), "no request was answered")
            case.fault_all("catalog", **on)
            send_requests(case, name)
            case.fault_all("catalog", **off)
            recover(name)

    clean = {"delay_ms": 0, "truncate_after": -1, "reset_after": -1,
             "duplicate": False, "bytes_per_second": 0}
    for name, faults in (("duplicated", {"duplicate": True}),
                         ("truncated", {"truncate_after": 1000}),
                         ("reset", {"reset_after": 4000}),
                         ("slow", {"bytes_per_second": 20000})):
        with case.section(f"a proxy whose bytes are {name}"):
            case.fault_all("proxy-catalog", to_caller=faults)
            send_requests(case, f"proxy-{name}")
            case.fault_all("proxy-catalog", to_caller=clean)
            recover(f"proxy-{name}")
    with case.section("reordered answers"):
        case.fault_all("proxy-catalog", swap_answers=True)
        send_requests(case, "swapped")
        case.fault_all("proxy-catalog", swap_answers=False)
        recover("swapped")
