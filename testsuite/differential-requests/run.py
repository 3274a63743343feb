#!/usr/bin/env python3
"""Guards against answers that deviate from the naive version: generated
requests must get the same answers and outcomes from two entry instances as from
the naive version, wherever the latter states one.

A difference is shrunk by leaving out one request at a time; the shortest list
found that still reproduces it is printed.
"""

import dataclasses
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import harness
from harness import call, check, wait_until

REQUESTS = 400
NAIVE_PORT = 9000
SERVICES = ("catalog", "catalog", "catalog", "archive", "attic")
METHODS = ("GET", "GET", "GET", "POST", "POST", "PUT", "HEAD", "DELETE")
PATHS = ("/previews/1", "/previews/2?bytes=1000", "/previews?bytes=0",
         "/orders", "/orders/7?bytes=5000", "/masters/1?bytes=400000",
         "/nowhere", "/")


@dataclasses.dataclass
class Request:
    service: str
    method: str
    path: str
    key: str
    identity: str
    body: bytes


def generate(random, round_number):
    """Generates a request.

    Keys come from a small set, so that many are reused, some of them for a
    different request. Each round has its own set.
    """
    method = random.choice(METHODS)
    key = None
    if random.random() < 0.7:
        key = f"key-{round_number}-{random.randrange(60)}"
    body = None
    if method in ("POST", "PUT"):
        size = random.choice((0, 10, 10, 10, 3000, 70000))
        body = random.choice((b"a", b"b")) * size
    return Request(random.choice(SERVICES), method, random.choice(PATHS), key,
                   f"id-{round_number}-{random.randrange(10 ** 9)}", body)


def send(address, request):
    headers = {"Guavacross-Service": request.service,
               "X-Request-Id": request.identity}
    if request.key is not None:
        headers["Idempotency-Key"] = request.key
    return call(address, request.method, request.path, headers, request.body)


def comparable_fields(answer):
    """The fields on which both versions must agree.

    Bodies of errors that the load balancer itself generates may differ.
    """
    own = answer.reason is not None
    return {"status": answer.status, "outcome": answer.outcome,
            "reason": answer.reason,
            "replay": answer.header("Guavacross-Replay"),
            "id": answer.header("X-Request-Id"),
            "body": None if own else answer.body[:200],
            "size": None if own else len(answer.body)}


def first_difference(case, requests, round_number):
    """Sends all requests to both versions; describes the first difference."""
    for number, request in enumerate(requests):
        renamed = dataclasses.replace(
            request, key=request.key and f"{request.key}-{round_number}")
        instance = case.instances[number % len(case.instances)]
        ours = comparable_fields(send(instance.callers, renamed))
        naive = comparable_fields(send(case.at(NAIVE_PORT), renamed))
        if naive["outcome"] is None and ours["outcome"] in ("not-run",
                                                            "unknown"):
            naive["outcome"] = ours["outcome"]
        if ours != naive:
            return f"{request}\n  guavacross: {ours}\n  naive:      {naive}"
    return None


def shrink(case, requests):
    """Removes each request without which a difference remains."""
    round_number = 1
    kept = list(requests)
    for request in requests:
        fewer = [r for r in kept if r is not request]
        round_number += 1
        if first_difference(case, fewer, round_number):
            kept = fewer
    return kept


with harness.Case(__file__) as case:
    case.start_platform({"catalog": 3, "archive": 2})
    case.start_instances(2)
    rules = (harness.READS, harness.ORDERS, harness.MASTERS)
    services = [harness.Service("catalog", rules),
                harness.Service("archive", rules)]
    case.publish(*services)
    path = case.out / "naive.toml"
    path.write_text(case.document(services))
    naive = case.start_process(harness.Process(
        case, "naive", [sys.executable,
                        harness.ROOT / "testsuite/naive/naive_server.py",
                        case.at(NAIVE_PORT), path]))
    wait_until(lambda: harness.try_call(case.at(NAIVE_PORT), "GET", "/"),
               "the naive version starts")
    with case.section(f"{REQUESTS} generated requests, same answers"):
        requests = [generate(case.random, 0) for _ in range(REQUESTS)]
        difference = first_difference(case, requests, 0)
        if difference:
            shortest = "\n  ".join(str(r) for r in shrink(case, requests))
            check(False, f"{difference}\n  shortest list:\n  {shortest}")
