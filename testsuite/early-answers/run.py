#!/usr/bin/env python3
"""A backend server that answers before it was asked, as soon as a connection
opens, answers nobody's request.

The early bytes cross the request's on the wire, so that their order can't tell
them from a fast answer: the service's answers repeat the request's id, and one
without it is passed over."""

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

    with case.section("early answers on new connections"):
        answers = in_parallel([
            lambda n=n: case.instances[0].try_call("GET", f"/previews/{n}")
            for n in range(60)])
        for answer in answers:
            case.check_own(answer)
