#!/usr/bin/env python3
"""On the platform: instances whose settings name nobody that lives find each
other through the store, and callers are told of all of them."""

import json
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import harness
import platform_standin as standin

from platform_entry import Entry
from harness import check, wait_until

CONTACTS = "keyed.contacts"


def told(entry):
    """The addresses that callers are told of."""
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

    with case.section("an instance that is alone is recorded"):
        # Nobody listens at its seed: it is the case's own IP number.
        first = case._start(Entry(case, 1, case.at(9900), [case.at(9993)]))
        wait_until(lambda: 'event="instances recorded"' in first.log(),
                   "the log says so")
        check(store.newest(CONTACTS) == {"instances": first.peers},
              f"{store.newest(CONTACTS)}")

    with case.section("one that starts with a seed that is gone finds it"):
        second = case._start(Entry(case, 2, case.at(9900), [case.at(9993)]))
        both = {first.front, second.front}
        wait_until(lambda: told(first) == both and told(second) == both,
                   "callers are told of both")
        check('event="asking recorded instances"' in second.log(),
              "the log says how")

    with case.section("a record that can't be read harms nobody"):
        store.append(CONTACTS, "instances", "?? 1:2:3 10.0.0")
        third = case._start(Entry(case, 3, case.at(9900), [case.at(9993)]))
        wait_until(third.is_ready, "it serves")
        wait_until(lambda: third.peers in store.newest(CONTACTS)["instances"],
                   "the record is written anew")
