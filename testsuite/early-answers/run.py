#!/usr/bin/env python3
"""Guards against an unsolicited answer, sent by a backend server as soon as a
connection opens, that is taken for the answer to a request.

Its bytes cross the request on the wire, so that their order doesn't distinguish
them from a fast answer. The service's answers therefore echo the request id,
and an answer without it is skipped."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import harness
from harness import check, in_parallel

with harness.Case(__file__) as case:
    case.start_platform({"catalog": 2})
    case.start_instances(1)
    case.publish(harness.Service(
        "catalog", keys='request_id_header = "X-Request-Id"'))
    case.fault_all("catalog", answer_early=True)

    with case.section("unsolicited answers on new connections"):
        answers = in_parallel([
            lambda n=n: case.instances[0].try_call("GET", f"/previews/{n}")
            for n in range(60)])
        for answer in answers:
            case.check_own(answer)
