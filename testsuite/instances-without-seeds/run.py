#!/usr/bin/env python3
"""Guards against instances on the platform that stay separate because none of
the seeds in their settings is running: they must find each other through the
store, and callers must be offered the addresses of all."""

import json
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import harness
import platform_standin as standin

from platform_entry import Entry
from harness import check, wait_until

CONTACTS = "keyed.contacts"


def offered_addresses(entry):
    """The addresses that the instance's directory offers to callers."""
    answer = harness.try_call(
        entry.directory, "GET", "/resolve?Name=shop.example&Region=r&Zone=z")
    if answer is None or answer.status != 200:
        return set()
    return set(json.loads(answer.body)["Addresses"])


with harness.Case(__file__) as case:
    store = standin.Store(case.at(9900))
    target = standin.Target(store, case.at(9100), "t0", "s1", 0.02)
    store.append("keyed.op", "config",
                 standin.config(1, [("read", "/read/", "safe", "s1")], ["s1"]))

    with case.section("a lone instance records itself in the store"):
        # Nothing listens at this seed, which is the case's own address.
        first = case.start_process(
            Entry(case, 1, case.at(9900), [case.at(9993)]))
        wait_until(lambda: 'event="instances recorded"' in first.log(),
                   "the log reports the recorded instances")
        check(store.newest(CONTACTS) == {"instances": first.peers},
              f"{store.newest(CONTACTS)}")

    with case.section("an instance with an unreachable seed finds the first"):
        second = case.start_process(
            Entry(case, 2, case.at(9900), [case.at(9993)]))
        both = {first.front, second.front}
        wait_until(lambda: offered_addresses(first) == both
                   and offered_addresses(second) == both,
                   "callers are offered both addresses")
        check('event="asking recorded instances"' in second.log(),
              "the log does not report the use of recorded instances")

    with case.section("an unreadable record is replaced"):
        store.append(CONTACTS, "instances", "?? 1:2:3 10.0.0")
        third = case.start_process(
            Entry(case, 3, case.at(9900), [case.at(9993)]))
        wait_until(third.is_ready, "the third instance is ready")
        wait_until(lambda: third.peers in store.newest(CONTACTS)["instances"],
                   "the record is rewritten")
