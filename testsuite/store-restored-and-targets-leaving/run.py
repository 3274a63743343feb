#!/usr/bin/env python3
"""Guards against using what is gone: after the store came back from an older
copy, after a target announced that it leaves, and while a target asks for a
pause.

Two instances in platform mode run against the stand-ins of the store and of
targets. The copy of the store lacks the newest configuration and the newest
target, and shows a target that has left."""
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import harness

from harness import check, wait_until
from platform_entry import Entry, peers_of
from platform_standin import Store, Target, config

STORE_PORT = 9900
TARGET_PORT = 9910
# What an instance may take to learn from the store or from another instance.
DRAIN_S = 2.0
# From then on a paused target must not be asked.
PAUSE_MARGIN_S = 0.5


class Senders:
    """Sends numbered requests to the instances in turn."""

    def __init__(self, entries):
        self.entries, self.sent = entries, 0

    def send(self, path="/shop/1"):
        self.sent += 1
        entry = self.entries[self.sent % len(self.entries)]
        return entry.status(path, f"q{self.sent}")

    def send_many(self, count, path="/shop/1"):
        return [self.send(path) for _ in range(count)]


def put_config(store, version, prefixes):
    store.append("keyed.op", "config", config(
        version, [(f"r{n}", prefix, "safe", "s1")
                  for n, prefix in enumerate(prefixes)], ["s1"]))


def beat(targets):
    for target in targets:
        target.register("draining" if target.leaving else "ready")


with harness.Case(__file__) as case:
    store = Store(case.at(STORE_PORT))
    put_config(store, 5, ["/shop/"])
    targets = [Target(store, case.at(TARGET_PORT + n), f"t{n}", "s1")
               for n in range(3)]
    entries = [case.start_process(Entry(case, n, case.at(STORE_PORT),
                                        seeds=[peers_of(case, 1 - n)]))
               for n in range(2)]
    for entry in entries:
        wait_until(entry.is_ready, "the instance is ready")
    wait_until(lambda: all('state="live"' in e.log() for e in entries),
               "the instances know each other")
    senders = Senders(entries)
    wait_until(lambda: senders.send() == 200, "requests are served")

    with case.section("a target that announces its leaving gets no more"):
        leaving = targets[0]
        leaving.leaving = True
        wait_until(lambda: senders.send() == 200
                   and all('target is leaving' in e.log() for e in entries),
                   "both instances know that the target leaves")
        runs = len(leaving.runs)
        check(senders.send_many(60) == [200] * 60, "a request wasn't served")
        check(len(leaving.runs) == runs, "the leaving target got a request")
        Target.register(leaving, "ready")
        time.sleep(DRAIN_S)
        senders.send_many(60)
        check(len(leaving.runs) == runs,
              "the leaving target got a request after it registered again")

    with case.section("a target that asks for a pause gets none meanwhile"):
        pausing = targets[1]
        pausing.pause_s = 2.5
        wait_until(lambda: senders.send() == 200 and pausing.refused_at,
                   "the target refuses a request")
        started = time.monotonic()
        wait_until(lambda: senders.send() == 200
                   and time.monotonic() > started + 2.2, "the pause passes")
        # Each instance may learn of it by a request of its own, once.
        late = [at for at in pausing.refused_at
                if at > pausing.refused_at[0] + PAUSE_MARGIN_S]
        check(len(late) <= 2, f"{len(late)} requests during the pause")
        pausing.pause_s = 0
        runs = len(pausing.runs)
        wait_until(lambda: senders.send() == 200
                   and len(pausing.runs) > runs,
                   "the target is used again after the pause")

    withdrawn = Target(store, case.at(TARGET_PORT + 6), "t6", "s1")
    wait_until(lambda: senders.send() == 200 and withdrawn.runs,
               "a further target is used")
    with case.section("a target that leaves without a word gets no more"):
        # Instances that don't read the store aren't told of heartbeats.
        for _ in range(3):
            withdrawn.register()
        copy = store.copy()
        withdrawn.register()
        withdrawn.deregister()
        time.sleep(DRAIN_S)
        withdrawn_runs = len(withdrawn.runs)
        senders.send_many(60)
        check(len(withdrawn.runs) == withdrawn_runs,
              "the target that was withdrawn got a request")

    with case.section("a configuration and a target from after the copy"):
        put_config(store, 7, ["/shop/", "/late/"])
        late_target = Target(store, case.at(TARGET_PORT + 5), "t5", "s1")
        wait_until(lambda: senders.send_many(4, "/late/1") == [200] * 4,
                   "the new route is in force")
        wait_until(lambda: senders.send() == 200 and late_target.runs,
                   "the new target is used")

    with case.section("nothing goes back when the store is restored"):
        store.restore(copy)
        runs, left = len(late_target.runs), len(leaving.runs)
        # New records take the offsets that the lost ones had.
        for _ in range(4):
            beat(targets[1:])
        until = time.monotonic() + DRAIN_S
        while time.monotonic() < until:
            answers = {senders.send("/late/1"), senders.send()}
            check(answers == {200}, f"answers {answers}")
            time.sleep(0.02)
        check(len(late_target.runs) > runs,
              "the target that the copy lacks is no longer used")
        check(len(leaving.runs) == left, "the target that had left is used")
        check(len(withdrawn.runs) == withdrawn_runs,
              "the target that was withdrawn is used")
        for entry in entries:
            wait_until(lambda: "restored from an older copy" in entry.log(),
                       "the restoration is logged")

    with case.section("what is written again is taken"):
        put_config(store, 7, ["/shop/", "/late/"])
        beat([late_target])
        put_config(store, 8, ["/shop/", "/late/", "/newest/"])
        wait_until(lambda: senders.send_many(4, "/newest/1") == [200] * 4,
                   "the next configuration is in force")

    with case.section("an instance that starts knows what the others do"):
        older = store.copy()
        older["keyed.op"] = copy["keyed.op"]
        store.restore(older)
        started = case.start_process(Entry(case, 2, case.at(STORE_PORT),
                                           seeds=[peers_of(case, 0)]))
        wait_until(started.is_ready, "the third instance is ready")
        wait_until(lambda: started.status("/newest/1", "z1") == 200,
                   "it has the configuration that the store has lost")
        left = len(leaving.runs)
        for n in range(60):
            check(started.status("/shop/1", f"y{n}") == 200, "not served")
        check(len(leaving.runs) == left, "it used the target that had left")
