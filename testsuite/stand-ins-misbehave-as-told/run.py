#!/usr/bin/env python3
"""Guards against stand-ins that don't inject the faults they are told to: the
other cases would then pass without having tested anything."""

import base64
import json
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import harness
from harness import call, check, try_call, wait_until


def append(case, data, stream="config"):
    return try_call(case.at(harness.LOG_PORT), "POST",
                    f"/streams/{stream}/records", body=data)


def read(case, start, wait_ms=0, stream="config"):
    answer = call(case.at(harness.LOG_PORT), "GET",
                  f"/streams/{stream}/records?from={start}&wait_ms={wait_ms}")
    batch = json.loads(answer.body)
    batch["texts"] = [base64.b64decode(r["data"]).decode()
                      for r in batch["records"]]
    return batch


def log_service(case):
    with case.section("the log keeps records in order"):
        offsets = [json.loads(append(case, f"r{i}").body)["offset"]
                   for i in range(3)]
        check(offsets == [0, 1, 2], f"{offsets}")
        check(read(case, 1)["texts"] == ["r1", "r2"], "read from 1")
    with case.section("a read waits for the next record"):
        waiting = harness.concurrent.futures.ThreadPoolExecutor(1).submit(
            read, case, 3, 20000)
        wait_until(lambda: case.counters("log-service")["waiting"] == 1,
                   "the reader waits")
        append(case, "r3")
        check(waiting.result()["texts"] == ["r3"], "the new record")
    with case.section("lost answers, lost appends, late appends"):
        case.fault("log-service", lose_answers=1)
        check(append(case, "kept") is None, "no answer")
        case.fault("log-service", lose_appends=1)
        check(append(case, "dropped") is None, "no answer")
        case.fault("log-service", apply_late=1, late_ms=300)
        check(append(case, "late") is None, "no answer")
        check(read(case, 4)["texts"] == ["kept"], "kept only")
        wait_until(lambda: read(case, 4)["texts"] == ["kept", "late"],
                   "the late append")
    with case.section("old records expire"):
        case.fault("log-service", keep_records=2)
        append(case, "newest")
        batch = read(case, 0)
        check(batch["first"] == 5 and batch["end"] == 7, f"{batch}")
        check(batch["texts"] == ["late", "newest"], f"{batch}")
    with case.section("the rate limit refuses"):
        case.fault("log-service", appends_per_second=1, keep_records=0)
        answers = [append(case, "x").status for _ in range(4)]
        check(429 in answers, f"{answers}")
        case.fault("log-service", appends_per_second=300)
    with case.section("outages of three kinds"):
        for outage in ("refuse", "reset"):
            case.fault("log-service", outage=outage)
            check(append(case, "x") is None, outage)
        case.fault("log-service", outage="unavailable")
        check(append(case, "x").status == 503, "503")
        case.fault("log-service", outage="")
        wait_until(lambda: append(case, "x").status == 201,
                   "the log service accepts appends again")


def instance_list(case):
    def names():
        answer = call(case.at(harness.LIST_PORT), "GET", "/instances")
        return [i["name"] for i in json.loads(answer.body)["instances"]]

    with case.section("changes of the instance list appear late"):
        case.fault("instance-list", add={"name": "one"})
        check(names() == ["one"], "one is listed")
        case.fault("instance-list", lag_ms=1000)
        wait_until(lambda: names() == ["one"], "the list shows the addition")
        case.fault("instance-list", remove="one")
        check(names() != [], "still listed")
        wait_until(lambda: names() == [], "the list shows the removal")


def backend_server(case):
    server = case.servers["catalog-1"]

    def get(path="/previews", address=server, **headers):
        named = {"X-Request-Id": "me"}
        named.update({k.replace("_", "-"): v for k, v in headers.items()})
        answer = try_call(address, "GET", path, named, timeout_s=3)
        if answer is not None:
            answer.identity = "me"
        return answer

    def with_fault(**faults):
        case.fault("catalog-1", **faults)
        answer = get()
        case.fault("catalog-1", **{k: -1 if k == "shed_over" else False
                                   for k in faults})
        return answer

    with case.section("answers are derived from the request identity"):
        case.check_own(get())
        answer = get("/masters?bytes=1000000")
        case.check_own(answer, 1000000)
        start = time.monotonic()
        case.check_own(get("/masters?bytes=2000&rate=10000"), 2000)
        check(time.monotonic() - start > 0.1,
              "the download ignored its rate limit")
    with case.section("runs are counted by request identity"):
        check(case.runs()["me"] == 3, f"{case.runs()}")
    with case.section("failures of one request"):
        check(with_fault(fail_fast=True).status == 500, "fail fast")
        for fault in ("truncate", "reset_midway", "reset_before_run",
                      "reset_after_run", "black_hole", "refuse"):
            check(with_fault(**{fault: True}) is None, fault)
        case.check_own(get())
    with case.section("draining is reported, or hidden by the health fault"):
        case.fault("catalog-1", draining=True)
        check(get().header("Guavacross-Draining") == "1",
              "the answer doesn't show draining")
        load = get("/guavacross/load")
        check(load.header("Guavacross-Draining") == "1",
              "the probe doesn't show draining")
        case.fault("catalog-1", lying_health=True)
        load = get("/guavacross/load")
        check(load.header("Guavacross-Draining") is None,
              "the probe shows draining despite the fault")
        case.fault("catalog-1", draining=False, lying_health=False)
    with case.section("a full server sheds requests, marked as not run"):
        case.fault("catalog-1", shed_over=0)
        answers = harness.in_parallel([lambda: get("/previews?ms=300")] * 12)
        shed = [a for a in answers if a.status == 503]
        check(shed and all(a.header("Guavacross-Not-Run") for a in shed),
              f"{answers}")
        counters = case.counters("catalog-1")
        check(counters["max_running"] == 4, f"{counters}")
        case.fault("catalog-1", shed_over=-1)
    with case.section("a caller that disconnects frees the slot"):
        connection = harness.RawConnection(server)
        connection.send("GET /previews?ms=60000 HTTP/1.1\r\nHost: x\r\n\r\n")
        wait_until(lambda: case.counters("catalog-1")["running"] == 1, "runs")
        connection.reset()
        wait_until(lambda: case.counters("catalog-1")["running"] == 0, "freed")
    with case.section("a crash request crashes the server, which restarts"):
        before = case.counters("catalog-1")["incarnation"]
        case.fault("catalog-1", crash_ms=300)
        check(get("/crash") is None, "the crash request got an answer")
        check(get() is None, "the server answered after its crash")
        wait_until(get, "the server restarts")
        check(case.counters("catalog-1")["incarnation"] != before,
              "the incarnation is unchanged")
    with case.section("unsolicited, duplicated and surplus answers"):
        for fault in ("answer_early", "answer_twice", "surplus_bytes"):
            case.fault("catalog-1", **{fault: True})
            connection = harness.RawConnection(server)
            connection.send("GET /previews HTTP/1.1\r\nHost: x\r\n"
                            "Connection: close\r\n\r\n")
            data = connection.read_to_end()
            count = data.count(b"HTTP/1.1 200")
            check(count == 2 or data.endswith(b"surplus"), f"{fault}: {data}")
            case.fault("catalog-1", **{fault: False})


def proxy(case):
    through = case.proxies["catalog-1"]

    def get(size=256, timeout_s=2):
        answer = try_call(through, "GET", f"/previews?bytes={size}",
                          {"X-Request-Id": "me"}, timeout_s=timeout_s)
        if answer is not None:
            answer.identity = "me"
        return answer

    def with_fault(**faults):
        case.fault("proxy-catalog-1", **faults)
        answer = get()
        clean = {"delay_ms": 0, "bytes_per_second": 0, "black_hole": False,
                 "duplicate": False, "reset_after": -1, "truncate_after": -1}
        case.fault("proxy-catalog-1", to_target=clean, to_caller=clean,
                   refuse=False, reset_on_connect=False)
        return answer

    with case.section("a proxy without faults forwards everything"):
        case.check_own(get(3000000, 30), 3000000)
    with case.section("a proxy's faults"):
        check(with_fault(refuse=True) is None, "refuse")
        check(with_fault(reset_on_connect=True) is None, "reset on connect")
        for way in ("to_target", "to_caller"):
            for fault in ({"black_hole": True}, {"reset_after": 20},
                          {"truncate_after": 20}):
                check(with_fault(**{way: fault}) is None, f"{way} {fault}")
        answer = with_fault(to_caller={"delay_ms": 200})
        check(answer.elapsed_s >= 0.2, "delay")
        answer = with_fault(to_caller={"bytes_per_second": 2000})
        check(answer.elapsed_s >= 0.1, "bandwidth")
    with case.section("a proxy swaps two answers"):
        case.fault("proxy-catalog-1", swap_answers=True)
        connection = harness.RawConnection(through)
        for identity in ("first", "second"):
            connection.send("GET /previews HTTP/1.1\r\nHost: x\r\n"
                            f"X-Request-Id: {identity}\r\n\r\n")
        order = [connection.read_answer().header("X-Request-Id")
                 for _ in range(2)]
        check(order == ["second", "first"], f"{order}")


with harness.Case(__file__) as case:
    case.start_platform({"catalog": 1}, proxied=("catalog",))
    log_service(case)
    instance_list(case)
    backend_server(case)
    proxy(case)
