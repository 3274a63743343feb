#!/usr/bin/env python3
"""Guards the path of a request in platform mode from end to end.

Instances must learn routes and targets from the store and from each other, take
draining targets out of use, keep serving without the store, apply changed
settings, and shut down without aborting requests."""

import itertools
import pathlib
import signal
import sys
import threading

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import harness
import platform_standin as standin

from platform_entry import Entry
from harness import check, wait_until


ROUTES = [("read", "/read/", "safe", "s1"), ("pay", "/pay/", "unsafe", "s1")]

with harness.Case(__file__) as case:
    store = standin.Store(case.at(9900))
    first = case.start_process(Entry(case, 1, case.at(9900)))
    targets = [standin.Target(store, case.at(9100 + i), f"t{i}", "s1", 0.02)
               for i in range(3)]

    with case.section("no requests are served before the first configuration"):
        wait_until(lambda: harness.try_call(first.ready, "GET", "/ready"),
                   "the instance listens")
        check(not first.is_ready(), "ready without a configuration")
        answer = first.call("GET", "/read/1", "r0")
        check(answer.status == 503 and answer.header("Retry-After"),
              f"expected 503 with Retry-After: {answer}")

    store.append("keyed.op", "config", standin.config(1, ROUTES, ["s1"]))
    wait_until(first.is_ready, "ready with a configuration")

    with case.section("requests reach a target according to their route"):
        answer = first.call("GET", "/read/1", "r1")
        check(answer.status == 200 and b"ran r1" in answer.body, f"{answer}")
        check(answer.header("X-Response-Signature"),
              "the target's signature is missing")
        answer = first.call("POST", "/pay/1", "p1", body=b"pay")
        check(answer.status == 200 and b"ran p1" in answer.body, f"{answer}")
        check(first.status("/nowhere/", "r2") == 404,
              "expected 404 for a path without a route")
        check(first.status("/pay/2", "p2", "POST", body=b"x" * 1001) == 413,
              "expected 413 for a body over the limit")

    # The second finds the first by a seed, which names the directory's port and
    # not the peers'.
    second = case.start_process(Entry(case, 2, case.at(9900)))
    wait_until(lambda: 'event="started"' in second.log(),
               "the second instance starts")
    second.write_settings(seeds=[first.directory])
    second.signal(signal.SIGHUP)

    with case.section("SIGHUP applies changed settings"):
        wait_until(lambda: "changed settings in force" in second.log(),
                   "the log reports the changed settings")
        second.write_settings(grace_s="soon")
        wait_until(lambda: "the last settings stay in force" in second.log(),
                   "an invalid file is reported, without a signal")
        second.write_settings(grace_s=6)
    wait_until(second.is_ready, "the second instance is ready")

    with case.section("the instances discover each other"):
        wait_until(lambda: 'peer="e2"' in first.log()
                   and 'peer="e1"' in second.log(),
                   "both logs name the other instance")

    with case.section("an unreadable configuration is ignored"):
        store.append("keyed.op", "config", '{"Version": 2, "Routes":')
        wait_until(lambda: "can't be read" in first.log(),
                   "the log reports the configuration")
        check(first.status("/read/3", "r3") == 200,
              "the last configuration is not in force any more")

    with case.section("a forged entry of the server list is ignored"):
        store.append("keyed.servers", "forged", {"Service": 7})
        wait_until(lambda: "is ignored" in first.log(),
                   "the log reports the entry")
        check(first.status("/read/4", "r4") == 200,
              "the other targets are not used any more")

    with case.section("a draining target gets no new requests"):
        targets[0].register("draining")
        wait_until(lambda: 'target="t0" change="draining"' in first.log()
                   and 'target="t0" change="draining"' in second.log(),
                   "both instances log the change")
        ran = len(targets[0].runs)
        for number in range(20):
            answer = first.call("GET", f"/read/5{number}", f"d{number}")
            check(answer.status == 200, f"{answer}: {answer.body}")
        check(len(targets[0].runs) == ran, "the draining target got a request")

    with case.section("nor if all other targets fail their health checks"):
        for target in targets[1:]:
            target.fault = "deaf"
        for number in range(10):
            answer = first.call("GET", f"/read/6{number}", f"u{number}")
            check(answer.status == 200, f"{answer}: {answer.body}")
        check(len(targets[0].runs) == ran, "the draining target got a request")
        for target in targets[1:]:
            target.fault = ""

    with case.section("requests are served while the store is down"):
        store.down = True
        wait_until(lambda: "the store is lost" in first.log(),
                   "the log reports the loss of the store")
        check(first.status("/read/6", "r6") == 200,
              "not served without the store")
        store.down = False
        store.append("keyed.op", "config", standin.config(
            3, ROUTES + [("new", "/new/", "safe", "s1")], ["s1"]))
        numbers = itertools.count()
        wait_until(lambda: all(
            entry.status("/new/1", f"n{next(numbers)}") == 200
            for entry in (first, second)),
                   "the next configuration is in force")

    with case.section("targets are listed again after the history expired"):
        targets[1].deregister()
        store.forget("keyed.servers")
        wait_until(lambda: 'target="t1" change="removed"' in first.log()
                   and 'target="t1" change="removed"' in second.log(),
                   "both instances log the change")

    with case.section("SIGTERM aborts no request"):
        targets[2].work_s = 0.5
        answers = []
        caller = threading.Thread(target=lambda: answers.append(
            first.call("POST", "/pay/7", "p7", body=b"pay")))
        caller.start()
        wait_until(lambda: "p7" in targets[2].runs,
                   "the target runs the request")
        first.signal(signal.SIGTERM)
        wait_until(lambda: not first.is_ready(),
                   "the instance reports not ready")
        caller.join()
        check(answers and answers[0].status == 200,
              f"the request in flight failed: {answers}")
        answer = first.call("GET", "/read/8", "r8")
        check(answer.status == 200, f"a new request failed: {answer}")
        check(answer.header("Connection") == "close",
              "the answer doesn't close the connection")
        check(first.wait() == 0, "exit code is not 0")
        check(first.log().endswith('event="shut down"\n'),
              "the log does not end with the shutdown")

    with case.section("no request ran twice"):
        for target in targets:
            for request in target.runs:
                check(target.runs.count(request) == 1, request)

    with case.section("`guavacross explain` shows why a request failed"):
        run = case.run_guavacross("explain", "r2", first.log_path)
        check("no-matching-class" in run.stdout, run.stdout)

    with case.section("invalid settings are reported in one line, exit code 2"):
        bad = case.out / "bad.toml"
        bad.write_text('name = "x"\n')
        run = case.run_guavacross("platform", "--settings", bad)
        check(run.returncode == 2 and run.stdout.count("\n") == 1, f"{run}")
