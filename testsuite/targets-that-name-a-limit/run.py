#!/usr/bin/env python3
"""Guards against sending a target more requests than the limit that it names in
its answers, which holds for all instances together.

Six instances in platform mode run against the stand-ins of the store and of
targets. Health checks count as requests."""
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
INSTANCES = 6
# A limit must hold from this long after a target first named it.
STABLE_S = 3.0
WINDOW_S = 4.0
# Requests a second, below one for each instance.
LIMIT = 2.1
# What a target may get in a window: one and a half times its limit, and 5.
ALLOWED = 1.5 * LIMIT * WINDOW_S + 5


def most_in_window(times):
    """The largest number of the sorted times in any window."""
    return max((sum(1 for at in times if start <= at < start + WINDOW_S)
                for start in times), default=0)


def send_for(entries, seconds, first):
    """Sends requests to the instances in turn; returns the answers."""
    answers = []
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        number = first + len(answers)
        answers.append(entries[number % len(entries)].status(
            "/shop/1", f"q{number}"))
        time.sleep(0.01)
    return answers


def start_entries(case):
    """Starts all instances, which find each other through the first."""
    entries = [case.start_process(Entry(case, n, case.at(STORE_PORT),
                                        seeds=[peers_of(case, 0)]))
               for n in range(INSTANCES)]
    for entry in entries:
        wait_until(entry.is_ready, "the instance is ready")
    return entries


with harness.Case(__file__) as case:
    store = Store(case.at(STORE_PORT))
    store.append("keyed.op", "config", config(
        5, [("r0", "/shop/", "safe", "s1")], ["s1"]))
    targets = [Target(store, case.at(TARGET_PORT + n), f"t{n}", "s1")
               for n in range(3)]
    entries = start_entries(case)
    wait_until(lambda: all(e.log().count('state="live"') >= INSTANCES - 1
                           for e in entries), "the instances know each other")
    wait_until(lambda: entries[0].status("/shop/1", "first") == 200,
               "requests are served")
    limited = targets[0]

    with case.section("a limit holds for all instances together"):
        limited.limit = str(LIMIT)
        send_for(entries, STABLE_S, 10_000)
        start = time.monotonic()
        answers = send_for(entries, 2 * WINDOW_S, 20_000)
        times = [at for at in limited.arrived if at >= start]
        check(most_in_window(times) <= ALLOWED,
              f"{most_in_window(times)} requests in {WINDOW_S} s, "
              f"allowed {ALLOWED}")
        check(set(answers) == {200}, "other targets didn't serve the rest")
        check(times, "the target got nothing at all")

    with case.section("it holds after all instances were killed"):
        for entry in entries:
            entry.kill()
        entries = start_entries(case)
        send_for(entries, STABLE_S, 30_000)
        start = time.monotonic()
        answers = send_for(entries, WINDOW_S, 40_000)
        times = [at for at in limited.arrived if at >= start]
        check(most_in_window(times) <= ALLOWED,
              f"{most_in_window(times)} requests in {WINDOW_S} s, "
              f"allowed {ALLOWED}")
        check(set(answers) == {200}, "other targets didn't serve the rest")

    with case.section("it ends with the first answer without it"):
        limited.limit = None
        wait_until(lambda: send_for(entries, 1, 50_000)
                   and most_in_window(limited.arrived[-60:]) > 2 * ALLOWED,
                   "the target gets its share of the requests again")

    with case.section("with no room anywhere a request is refused at once"):
        for target in targets:
            target.limit = "0.1"
        send_for(entries, STABLE_S, 60_000)
        answers = [entry.call("GET", "/shop/1", "last") for entry in entries]
        refused = [answer for answer in answers if answer.status == 503]
        check(len(refused) >= INSTANCES - len(targets),
              f"only {len(refused)} requests were refused")
        for answer in refused:
            check(float(answer.header("Retry-After")) > 0, "no Retry-After")
