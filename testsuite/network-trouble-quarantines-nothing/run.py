#!/usr/bin/env python3
"""Guards against a false quarantine after a network fault.

The network truncates the answers of all backend servers for a moment, which
looks like a crash to the instances; but no server crashed, so no request may
stay quarantined."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import harness
from harness import check, in_parallel, wait_until

with harness.Case(__file__) as case:
    case.start_platform({"catalog": 4}, proxied=("catalog",))
    case.start_instances(2)
    case.publish(harness.Service("catalog"))

    def send_all():
        return in_parallel([
            lambda n=n: case.instances[n % 2].try_call(
                "GET", f"/previews/{n % 10}") for n in range(40)])

    with case.section("all answers are truncated for a moment"):
        case.fault_all("proxy-catalog", to_caller={"truncate_after": 100})
        send_all()
        case.fault_all("proxy-catalog", to_caller={"truncate_after": -1})
    with case.section("afterwards all requests are answered"):
        def answered():
            answers = send_all()
            refused = {a.reason for a in answers if a and a.status != 200}
            check("quarantined" not in refused, f"{refused}")
            return all(a is not None and a.status == 200 for a in answers)
        wait_until(answered, "all requests are answered")
