#!/usr/bin/env python3
"""On the platform: instances learn routes and targets from the store and from
each other, answer for addresses, drain, outlive the store, take changed
settings, and shut down without cutting anything off."""

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
    first = case._start(Entry(case, 1, case.at(9900)))
    targets = [standin.Target(store, case.at(9100 + i), f"t{i}", "s1", 0.02)
               for i in range(3)]

    with case.section("before the first configuration nothing is served"):
        wait_until(lambda: harness.try_call(first.ready, "GET", "/ready"),
                   "the instance listens")
        check(not first.is_ready(), "not ready without a configuration")
        answer = first.call("GET", "/read/1", "r0")
        check(answer.status == 503 and answer.header("Retry-After"),
              f"refused as not run: {answer}")

    store.append("keyed.op", "config", standin.config(1, ROUTES, ["s1"]))
    wait_until(first.is_ready, "ready with a configuration")

    with case.section("requests reach a target under the route's rules"):
        answer = first.call("GET", "/read/1", "r1")
        check(answer.status == 200 and b"ran r1" in answer.body, f"{answer}")
        check(answer.header("X-Response-Signature"), "signed by the target")
        answer = first.call("POST", "/pay/1", "p1", body=b"pay")
        check(answer.status == 200 and b"ran p1" in answer.body, f"{answer}")
        check(first.status("/nowhere/", "r2") == 404, "no route")
        check(first.status("/pay/2", "p2", "POST", body=b"x" * 1001) == 413,
              "a body over the limit")

    # The second finds the first by a seed, which names a port for outsiders.
    second = case._start(Entry(case, 2, case.at(9900)))
    wait_until(lambda: 'event="started"' in second.log(), "the second runs")
    second.write_settings(seeds=[first.directory])
    second.signal(signal.SIGHUP)

    with case.section("changed settings are taken with SIGHUP"):
        wait_until(lambda: "changed settings in force" in second.log(),
                   "the log tells of it")
        second.write_settings(grace_s=0)
        wait_until(lambda: "the last settings stay in force" in second.log(),
                   "a wrong file is told of, without a signal")
        second.write_settings(grace_s=6)
    wait_until(second.is_ready, "the second is ready")

    with case.section("the instances know each other"):
        wait_until(lambda: 'peer="e2"' in first.log()
                   and 'peer="e1"' in second.log(), "by their names")

    with case.section("a configuration that can't be read changes nothing"):
        store.append("keyed.op", "config", '{"Version": 2, "Routes":')
        wait_until(lambda: "can't be read" in first.log(), "the log says so")
        check(first.status("/read/3", "r3") == 200, "the last one holds")

    with case.section("an entry of another writer names no target"):
        store.append("keyed.servers", "forged", {"Service": 7})
        wait_until(lambda: "is ignored" in first.log(), "the log says so")
        check(first.status("/read/4", "r4") == 200, "the others hold")

    with case.section("a draining target gets nothing more"):
        targets[0].register("draining")
        wait_until(lambda: 'target="t0" change="draining"' in first.log()
                   and 'target="t0" change="draining"' in second.log(),
                   "both instances know")
        ran = len(targets[0].runs)
        for number in range(20):
            answer = first.call("GET", f"/read/5{number}", f"d{number}")
            check(answer.status == 200, f"{answer}: {answer.body}")
        check(len(targets[0].runs) == ran, "none ran on the draining target")

    with case.section("nor when the others' health checks go unanswered"):
        for target in targets[1:]:
            target.fault = "deaf"
        for number in range(10):
            answer = first.call("GET", f"/read/6{number}", f"u{number}")
            check(answer.status == 200, f"{answer}: {answer.body}")
        check(len(targets[0].runs) == ran, "none ran on the draining target")
        for target in targets[1:]:
            target.fault = ""

    with case.section("with the store silent all goes on"):
        store.down = True
        wait_until(lambda: "the store is lost" in first.log(), "it is noticed")
        check(first.status("/read/6", "r6") == 200, "served")
        store.down = False
        store.append("keyed.op", "config", standin.config(
            3, ROUTES + [("new", "/new/", "safe", "s1")], ["s1"]))
        numbers = itertools.count()
        wait_until(lambda: all(
            entry.status("/new/1", f"n{next(numbers)}") == 200
            for entry in (first, second)),
                   "the next configuration comes in force")

    with case.section("with the history gone all is listed anew"):
        targets[1].leave()
        store.forget("keyed.servers")
        wait_until(lambda: 'target="t1" change="removed"' in first.log()
                   and 'target="t1" change="removed"' in second.log(),
                   "both instances know")

    with case.section("SIGTERM cuts nothing off"):
        targets[2].work_s = 0.5
        answers = []
        caller = threading.Thread(target=lambda: answers.append(
            first.call("POST", "/pay/7", "p7", body=b"pay")))
        caller.start()
        wait_until(lambda: "p7" in targets[2].runs, "it is at work")
        first.signal(signal.SIGTERM)
        wait_until(lambda: not first.is_ready(), "not ready any more")
        caller.join()
        check(answers and answers[0].status == 200, f"answered: {answers}")
        answer = first.call("GET", "/read/8", "r8")
        check(answer.status == 200, f"still served: {answer}")
        check(answer.header("Connection") == "close", "but asked to go")
        check(first.wait() == 0, "ends by itself")
        check(first.log().endswith('event="shut down"\n'),
              "its last line was written")

    with case.section("no request that may run once ran twice"):
        for target in targets:
            for request in target.runs:
                check(target.runs.count(request) == 1, request)

    with case.section("explain tells a request's story"):
        run = case.run_guavacross("explain", "r2", first.log_path)
        check("no-matching-class" in run.stdout, run.stdout)

    with case.section("wrong settings stop the start with one line"):
        bad = case.out / "bad.toml"
        bad.write_text('name = "x"\n')
        run = case.run_guavacross("platform", "--settings", bad)
        check(run.returncode == 2 and run.stdout.count("\n") == 1, f"{run}")
