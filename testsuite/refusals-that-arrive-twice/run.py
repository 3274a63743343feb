#!/usr/bin/env python3
"""Guards against a refusal that is taken for the answer to the same request's
next attempt: an order was refused as not run while its target ran it.

The target refuses each order once and sends the refusal again before its next
answer on that connection; the other target has asked for a pause."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import harness

from harness import check, in_parallel, wait_until
from platform_entry import Entry
from platform_standin import Store, Target, config

STORE_PORT = 9900
TARGET_PORT = 9910
ORDERS = 20
# The instance learns by these how long the targets take.
FIRST_ORDERS = 60
PAUSE_S = 30
PROMISES_NOT_RUN = (408, 421, 429, 503)

with harness.Case(__file__) as case:
    store = Store(case.at(STORE_PORT))
    store.append("keyed.op", "config",
                 config(5, [("pay", "/pay/", "unsafe", "s1")], ["s1"]))
    paused, full = targets = [
        Target(store, case.at(TARGET_PORT + n), f"t{n}", "s1", 0.05)
        for n in range(2)]
    entry = case.start_process(Entry(case, 1, case.at(STORE_PORT)))
    wait_until(entry.is_ready, "the instance is ready")

    def order(request):
        return entry.call("POST", f"/pay/{request}", request, body=b"10 EUR")

    wait_until(lambda: order("first").status == 200, "orders are served")
    in_parallel([lambda n=n: order(f"f{n}") for n in range(FIRST_ORDERS)], 4)
    paused.pause_s = PAUSE_S
    wait_until(lambda: order(f"p{len(full.runs)}") and paused.refused_at,
               "a target has asked for a pause")

    with case.section("an order that is refused as not run hasn't run"):
        full.fault = "full once"
        answers = {f"o{n}": order(f"o{n}") for n in range(ORDERS)}
        for request, answer in answers.items():
            check(answer.status not in PROMISES_NOT_RUN or
                  request not in full.runs, f"{request} ran: {answer}")
    with case.section("nor is one run twice"):
        for request in answers:
            check(full.runs.count(request) <= 1, request)
    with case.section("orders come back to the target that refused them"):
        back = [request for request in answers if request in full.runs]
        check(back, f"none of {len(answers)} orders ran: {answers}")
