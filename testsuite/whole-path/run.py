#!/usr/bin/env python3
"""Guards the path of a request from end to end: each entry instance must answer
each request class with the backend server's complete answer, and offer callers
the addresses of all instances."""

import json
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import harness

from harness import check, wait_until

with harness.Case(__file__) as case:
    case.start_platform({"catalog": 3, "archive": 2}, mean_ms=2)
    case.start_instances(3)
    case.publish(harness.Service("catalog"), harness.Service("archive"))

    with case.section("every instance answers every class"):
        for number, instance in enumerate(case.instances):
            case.check_own(instance.call("GET", "/previews/1"))
            case.check_own(instance.call(
                "GET", "/masters/1?bytes=3000000", service="archive"), 3000000)
            key = f"order-{number}"
            answer = instance.order(key)
            case.check_own(answer)
            check(answer.outcome == "done", f"{answer}")
        case.check_runs()

    with case.section("the address list names all instances"):
        def names_all():
            answer = case.instances[0].call(
                "GET", "/v1/addresses?service=catalog")
            found = json.dumps(json.loads(answer.body))
            return all(i.callers in found for i in case.instances)
        wait_until(names_all, "all instances are offered")

    with case.section("unknown services and paths are refused as not run"):
        answer = case.instances[0].call("GET", "/previews", service="nobody")
        check((answer.status, answer.outcome, answer.reason) ==
              (404, "not-run", "unknown-service"), f"{answer}")
        answer = case.instances[0].call("GET", "/nowhere")
        check((answer.status, answer.outcome, answer.reason) ==
              (404, "not-run", "no-matching-class"), f"{answer}")
        answer = case.instances[0].call("POST", "/orders", body=b"x")
        check((answer.status, answer.outcome, answer.reason) ==
              (400, "not-run", "key-missing"), f"{answer}")

    with case.section("histograms have tenant and class labels"):
        text = harness.call(case.instances[0].operators, "GET",
                            "/metrics").body.decode()
        check("_bucket{" in text and 'class="previews"' in text and
              'tenant="' in text, f"{text[:2000]}")
