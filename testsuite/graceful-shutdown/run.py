#!/usr/bin/env python3
"""Guards against a graceful shutdown that aborts requests in flight.

A slow download and an order run across SIGTERM, a second SIGTERM, SIGTERM
during start-up, a shutdown while the store and the instance list are down, and
the removal from the document of a target that serves a download."""

import concurrent.futures
import json
import signal
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import harness

from harness import Service, check, wait_until

# A download that takes about 6 s.
DOWNLOAD = "/masters/midnight?bytes=600000&rate=100000"
DOWNLOAD_BYTES = 600000


def start_download(case, pool, instance):
    before = case.sum_counter("running", "catalog")
    future = pool.submit(instance.call, "GET", DOWNLOAD)
    wait_until(lambda: case.sum_counter("running", "catalog") > before,
               "the download runs")
    return future


with (harness.Case(__file__) as case,
      concurrent.futures.ThreadPoolExecutor(8) as pool):
    case.start_platform({"catalog": 3})
    case.start_instances(3)
    case.publish(Service("catalog"))
    leaving, other = case.instances[:2]

    with case.section("SIGTERM twice during a download and an order"):
        download = start_download(case, pool, leaving)
        order = pool.submit(leaving.order, "across", "/orders?ms=2500")
        wait_until(lambda: case.runs().get("across"), "the order runs")
        leaving.signal(signal.SIGTERM)

        def no_longer_offered():
            answer = other.call("GET", "/v1/addresses?service=catalog")
            return leaving.callers not in json.dumps(json.loads(answer.body))
        wait_until(no_longer_offered,
                   "the other instances stop offering its address")
        check(leaving.running, "it exited with requests in flight")
        leaving.signal(signal.SIGTERM)
        case.check_own(order.result())
        case.check_own(download.result(), DOWNLOAD_BYTES)
        check(leaving.wait() == 0, "exit code is not 0")
        case.check_runs()

    with case.section("a stopping instance serves callers with its address"):
        leaving = other
        leaving.signal(signal.SIGTERM)
        case.check_own(leaving.call("GET", "/previews"))
        check(leaving.wait() == 0, "exit code is not 0")

    with case.section("SIGTERM during start-up"):
        case.fault("log-service", outage="refuse")
        case.unlist_instance(case.instances[2])
        starting = case.start_instance(number=0)
        # The log file already has the line of the earlier run.
        wait_until(lambda: starting.log().count('event="started"') == 2 or
                   not starting.running, "it starts")
        check(not starting.is_ready(), "ready without a configuration")
        starting.signal(signal.SIGTERM)
        check(starting.wait() == 0, "exit code is not 0")
        case.fault("log-service", outage="")
        case.list_instance(case.instances[2])
    with case.section("SIGTERM right after the process starts"):
        starting = case.start_instance(number=0)
        starting.signal(signal.SIGTERM)
        # The signal itself ends the process if no handler was installed yet.
        check(starting.wait() in (0, -signal.SIGTERM),
              "exit code is neither 0 nor that of SIGTERM")

    with case.section("instance list and store down during a shutdown"):
        case.start_instance(number=0)
        case.wait_ready([case.instances[0]])
        leaving = case.instances[0]
        download = start_download(case, pool, leaving)
        case.fault("log-service", outage="refuse")
        case.fault("instance-list", outage="refuse")
        leaving.signal(signal.SIGTERM)
        case.check_own(download.result(), DOWNLOAD_BYTES)
        check(leaving.wait() == 0, "exit code is not 0")
        case.fault("log-service", outage="")
        case.fault("instance-list", outage="")

    with case.section("a busy target is removed from the document"):
        instance = case.instances[2]
        downloads = [start_download(case, pool, instance) for _ in range(3)]
        busy = [n for n, c in case.counters().items()
                if n.startswith("catalog") and c["running"]]
        rest = [t for t in case.targets("catalog") if t.name != busy[0]]
        case.publish(Service("catalog", targets=rest))
        for download in downloads:
            case.check_own(download.result(), DOWNLOAD_BYTES)
