#!/usr/bin/env python3
"""Guards against failures that can't be traced from a request id to their cause
with logs and metrics alone.

Causes each kind of failure that docs/OPERATIONS.md explains and checks for the
log fields and metrics on which the page relies."""

import concurrent.futures
import pathlib
import sys
import threading

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import harness
import platform_standin as standin

from harness import check, wait_until
from platform_entry import Entry

ROUTES = [("read", "/read/", "safe", "s1"), ("pay", "/pay/", "unsafe", "s1")]
BURST = 60

with harness.Case(__file__) as case:
    store = standin.Store(case.at(9900))
    store.append("keyed.op", "config", standin.config(1, ROUTES, ["s1"]))
    targets = [standin.Target(store, case.at(9100 + i), f"t{i}", "s1", 0.02)
               for i in range(2)]
    entry = case.start_process(Entry(case, 1, case.at(9900)))
    wait_until(entry.is_ready, "the instance is ready")

    def explain(request, *parts):
        """Waits until the output of `guavacross explain` has all `parts`."""
        def explanation():
            run = case.run_guavacross("explain", request, entry.log_path)
            return run.stdout if all(p in run.stdout for p in parts) else None
        return wait_until(explanation,
                          f"the explanation of {request} contains {parts}")

    def metrics():
        return harness.call(entry.settings["operators"], "GET",
                            "/metrics").body.decode()

    with case.section("refused at overload"):
        for target in targets:
            target.work_s = 1.0
        with concurrent.futures.ThreadPoolExecutor(BURST) as pool:
            statuses = dict(pool.map(
                lambda n: (f"b{n}", entry.status(f"/read/{n}", f"b{n}")),
                range(BURST)))
        for target in targets:
            target.work_s = 0.02
        refused = [r for r, status in statuses.items() if status == 503]
        check(refused, f"no request was refused: {statuses}")
        explain(refused[0], 'event="request ended"', 'status="503"',
                'attempts="0"', 'waited_ms="', 'why="queue-timeout')
        check('own_answers_total{reason="queue-timeout"}' in metrics(),
              "refused requests missing in the metrics")
        ran = {request for target in targets for request in target.runs}
        check(not ran & set(refused), "a refused request has run")

    with case.section("target crashed while it ran the request"):
        for target in targets:
            target.work_s = 0.5
        answers = []
        caller = threading.Thread(target=lambda: answers.append(
            entry.status("/pay/1", "p1", "POST", body=b"pay")))
        caller.start()
        runs = wait_until(
            lambda: [t for t in targets if "p1" in t.runs],
            "a target runs the request")
        runs[0].crash()
        caller.join()
        check(answers == [502], f"expected 502, outcome unknown: {answers}")
        runs[0].deregister()
        explain("p1", 'event="attempt ended"', 'end="reset"', 'status="0"',
                f'target="{runs[0].name}"', 'why="backend-reset',
                'change="removed"')
        check('guavacross_attempts_total{end="reset",service="s1",'
              'zone="zone-a"} 1' in metrics(),
              "the reset attempt is missing in the metrics")
        targets.remove(runs[0])

    with case.section("request ran, but the target never answered"):
        targets[0].work_s = 0.02
        targets[0].fault = "mute"
        check(entry.status("/pay/2", "p2", "POST", body=b"pay") == 504,
              "expected 504, outcome unknown")
        targets[0].fault = ""
        check("p2" in targets[0].runs, "the request did not run")
        explain("p2", 'end="timeout"', 'attempts="1"', 'waited_ms="',
                'left_ms="-', 'why="backend-timeout')

    with case.section("routed by an outdated configuration"):
        store.down = True
        wait_until(lambda: 'event="the store is lost"' in entry.log(),
                   "the log reports the loss of the store")
        store.append("keyed.op", "config", standin.config(
            2, ROUTES + [("new", "/new/", "safe", "s1")], ["s1"]))
        check(entry.status("/new/1", "n1") == 404,
              "expected 404: the new route is not in force yet")
        explain("n1", 'event="request refused"', 'why="no-matching-class')
        log = entry.log()
        check('event="configuration in force" version="1"' in log and
              'event="configuration in force" version="2"' not in log,
              "the log does not show configuration 1 as the last in force")

    with case.section("metrics and status show the instance's state"):
        text = metrics()
        for part in ("guavacross_config_version 1", "guavacross_ready 1",
                     "guavacross_store_reachable 0",
                     'guavacross_targets{service="s1",state="usable"}',
                     'guavacross_requests_total{class="read",outcome="done"',
                     'guavacross_request_seconds_bucket{class="pay"',
                     'guavacross_stream_read_age_seconds{stream="keyed.op"}',
                     'guavacross_retries_total{service="s1"}'):
            check(part in text, f"no {part} in {text[:6000]}")
        run = case.run_guavacross("status", "--instances", entry.settings["operators"])
        check("configuration 1 for " in run.stdout and
              "store LOST" in run.stdout and "1 targets" in run.stdout,
              run.stdout)

    with case.section("an instance without metrics still serves callers"):
        store.down = False
        unmonitored = case.start_process(Entry(case, 2, case.at(9900),
                                  operators=entry.settings["operators"]))
        wait_until(unmonitored.is_ready, "the instance is ready")
        check("metrics can't be served" in unmonitored.log(),
              "the log does not report that metrics can't be served")
