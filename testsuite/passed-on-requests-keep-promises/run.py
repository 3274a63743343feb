#!/usr/bin/env python3
"""Guards the promises of requests that an instance without a path to the targets
passes on to a peer: they run as sent, at most once if unsafe, within their
deadline and attempts, and a refusal means that they haven't run.

Two instances in platform mode run against the stand-ins of the store and of
targets; the first is cut off from all targets."""
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import harness

from harness import check, wait_until
from platform_entry import Entry, ip_of, peers_of
from platform_standin import Store, Target, config

STORE_PORT = 9900
TARGET_PORT = 9910
TARGETS = 4
DEADLINE_MS = 1500
# Of the routes in the configuration.
ATTEMPTS = 2
ROUTES = [("read", "/read/", "safe", "s1"), ("pay", "/pay/", "unsafe", "s1")]


def runs_of(request):
    """The targets that ran a request."""
    return [target for target in targets for run in target.runs
            if run == request]


def pay(request):
    return cut_off.call("POST", f"/pay/{request}?q=1", request, body=b"10 EUR")


with harness.Case(__file__) as case:
    store = Store(case.at(STORE_PORT))
    store.append("keyed.op", "config", config(5, ROUTES, ["s1"]))
    targets = [Target(store, case.at(TARGET_PORT + n), f"t{n}", "s1")
               for n in range(TARGETS)]
    cut_off, other = entries = [
        case.start_process(Entry(case, n, case.at(STORE_PORT),
                                 seeds=[peers_of(case, 0)],
                                 targets_from=ip_of(case, n)))
        for n in range(2)]
    for entry in entries:
        wait_until(entry.is_ready, "the instance is ready")
    wait_until(lambda: all('state="live"' in e.log() for e in entries),
               "the instances know each other")
    for target in targets:
        target.cut(ip_of(case, 0), "refuse new")
        target.cut(ip_of(case, 0), "reset")
    wait_until(lambda: cut_off.status("/read/first", "first") == 200,
               "requests are passed on")

    with case.section("a request arrives as the caller sent it"):
        answer = pay("p1")
        check(answer.status == 200 and b"ran p1" in answer.body, f"{answer}")
        check(answer.header("X-Response-Signature"), "the signature is missing")
        check(len(runs_of("p1")) == 1, "it ran more than once")
        sent = runs_of("p1")[0].requests["p1"]
        check(sent.line == "POST /pay/p1?q=1" and sent.body == b"10 EUR",
              f"{sent}")
        check(0 < int(sent.headers["X-Deadline-Ms"]) <= DEADLINE_MS,
              f"{sent.headers}")
        check(not any(name.lower().startswith("guavacross")
                      for name in sent.headers), f"{sent.headers}")
        check(not any(name.lower().startswith("guavacross")
                      for name in answer.headers), f"{answer.headers}")

    with case.section("both legs are found by the request's id"):
        for entry, field in ((cut_off, 'passed_on_to="e1"'),
                             (other, 'passed_on_by="e0"')):
            wait_until(lambda: field in case.run_guavacross(
                "explain", "p1", entry.log_path).stdout, field)

    with case.section("targets' refusals stay within the attempts"):
        for target in targets:
            target.fault = "full"
            target.refused.clear()
        answer = pay("p2")
        check(answer.status == 503 and answer.header("Retry-After"),
              f"{answer}")
        arrived = sum(target.refused.count("p2") for target in targets)
        check(1 <= arrived <= ATTEMPTS, f"{arrived} arrivals")
        check(not runs_of("p2"), "a refused request ran")
        for target in targets:
            target.fault = ""

    with case.section("an answer that is lost after the run is no refusal"):
        for target in targets:
            target.fault = "lost"
        answer = pay("p3")
        check(answer.status in (502, 504), f"{answer}")
        check(len(runs_of("p3")) == 1, f"ran {len(runs_of('p3'))} times")
        for target in targets:
            target.fault = ""

    with case.section("a peer that hangs with the request leaves it unknown"):
        other.pause()
        answer = pay("p4")
        check(answer.status in (502, 504), f"{answer}")
        other.resume()
        check(len(runs_of("p4")) <= 1, "it ran more than once")

    with case.section("a mark of a caller counts for nothing"):
        wait_until(lambda: pay("p5").status == 200, "requests are passed on")
        mark = "1 1 1500 5 0 guavacross e9"
        answer = harness.call(other.front, "GET", "/read/m1", headers={
            "Host": "shop.example", "X-Request-Id": "m1",
            "Guavacross-Relay": mark})
        check(answer.status == 200, f"{answer}")
        sent = runs_of("m1")[0].requests["m1"]
        check("Guavacross-Relay" not in sent.headers, f"{sent.headers}")
        answer = harness.call(other.settings["relay"], "GET", "/read/m2",
                              headers={"Host": "shop.example",
                                       "X-Request-Id": "m2"})
        check(answer.status == 503 and not runs_of("m2"),
              f"served without a mark: {answer}")

    with case.section("with no path anywhere a request is refused"):
        for target in targets:
            target.cut(ip_of(case, 1), "reset")
        wait_until(lambda: b"no-path" in pay("p6").body,
                   "requests are refused for want of a path")
        answer = pay("p7")
        check(answer.status == 503 and answer.header("Retry-After"),
              f"{answer}")
        check(not runs_of("p6") and not runs_of("p7"), "a refused request ran")

    with case.section("and served again once there is one"):
        for target in targets:
            target.heal(ip_of(case, 1))
        wait_until(lambda: pay("p8").status == 200, "requests are served")
