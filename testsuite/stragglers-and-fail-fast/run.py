#!/usr/bin/env python3
"""Guards against slow and failing targets that attract requests.

A straggler must get less than its equal share of the requests. A target that
fails fast seems to be the least loaded; it must not attract requests, and
callers must see few of its errors."""

import collections
import time
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import harness

from harness import check, in_parallel

SERVERS = 6
EQUAL_SHARE = 1 / SERVERS


def load(case, name, seconds=3):
    """Sends requests from 16 callers for a while; returns the answers."""
    end = time.monotonic() + seconds

    def caller(place):
        answers, number = [], 0
        while time.monotonic() < end:
            number += 1
            answers.append(case.instances[place % 2].try_call(
                "GET", f"/previews/{name}-{place}-{number}"))
        return answers
    return sum(in_parallel([lambda p=p: caller(p) for p in range(16)]), [])


def share(answers, name):
    count = collections.Counter(a.backend for a in answers if a)
    return count[name] / max(1, sum(count.values()))


with harness.Case(__file__) as case:
    case.start_platform({"catalog": SERVERS}, mean_ms=5)
    case.start_instances(2)
    case.publish(harness.Service("catalog"))
    load(case, "warm", 1)

    with case.section("a straggler, 30 times slower"):
        case.fault("catalog-1", straggle_factor=30)
        load(case, "learn", 1)
        answers = load(case, "straggler")
        got = share(answers, "catalog-1")
        print(f"    {got:.3f} of {len(answers)} requests, "
              f"equal share {EQUAL_SHARE:.3f}")
        check(got < EQUAL_SHARE / 2,
              f"the straggler got {got:.3f} of the requests")
        case.fault("catalog-1", straggle_factor=1)

    with case.section("a target that fails fast"):
        case.fault("catalog-2", fail_fast=True)
        load(case, "learn2", 1)
        answers = load(case, "fail-fast")
        failed = sum(a is None or a.status != 200 for a in answers)
        print(f"    {failed} of {len(answers)} failed")
        check(failed < len(answers) * EQUAL_SHARE / 4, f"{failed} failed")
        case.fault("catalog-2", fail_fast=False)

    with case.section("both, and a draining target"):
        case.fault("catalog-1", straggle_factor=30)
        case.fault("catalog-2", fail_fast=True)
        case.fault("catalog-3", draining=True)
        load(case, "learn3", 2)
        answers = load(case, "three")
        failed = sum(a is None or a.status != 200 for a in answers)
        print(f"    {failed} of {len(answers)} failed, shares "
              f"{[round(share(answers, f'catalog-{n + 1}'), 3) for n in range(6)]}")
        check(failed < len(answers) * EQUAL_SHARE / 4, f"{failed} failed")
        check(share(answers, "catalog-1") < EQUAL_SHARE / 2,
              "the straggler got too large a share")
        check(share(answers, "catalog-3") == 0, "the draining server got work")
