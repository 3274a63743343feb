#!/usr/bin/env python3
"""Measures the overhead of an entry instance compared with direct requests.

    benchmarks/data_path.py --build build

Small calls: latency, direct and through one instance, and the instance's
processor time per call, at several rates. A 1 GiB download: rate and private
memory. Connections: 1,500 open at the same time, each with one answered
request. All parts run in sequence on the same instance. Prints Markdown.
"""

import concurrent.futures
import json
import pathlib
import subprocess
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] /
                       "testsuite"))
import harness
from control import private_bytes, processor_seconds

RATES = (1000, 4000, 10000)
SECONDS = 6
WARM_UP_S = 1
TARGETS = 8
DOWNLOAD_BYTES = 1 << 30
CONNECTIONS = 1500
WORKERS = 1


def run_load(case, rate, direct):
    """Sends requests of about 1 ms; returns counts and percentiles."""
    if direct:
        to = [case.servers[name] for name in sorted(case.servers)]
    else:
        to = [case.instances[0].settings["callers"]]
    arguments = [case.build / "guavacross-standin", "load", "--seed", 1,
                 "--seconds", SECONDS, "--warm-up", WARM_UP_S, "--class",
                 f"name=c;service=catalog;target=/previews/1?ms=1;rate={rate}"]
    for address in to:
        arguments += ["--to", address]
    if direct:
        arguments.append("--direct")
    done = subprocess.run([str(a) for a in arguments], stdout=subprocess.PIPE,
                          text=True, check=True, timeout=120)
    return json.loads(done.stdout)["classes"]["c"]


def small_calls(case):
    print(f"\n### Small calls, one instance with {WORKERS} worker\n")
    print("| calls/s | direct p50 ms | through p50 ms | added p50 ms | "
          "direct p99 ms | through p99 ms | added p99 ms | answered | "
          "processor us a call |")
    print("|---:|---:|---:|---:|---:|---:|---:|---:|---:|")
    pid = case.instances[0].popen.pid
    for rate in RATES:
        direct = run_load(case, rate, True)
        before = processor_seconds(pid)
        through = run_load(case, rate, False)
        used = processor_seconds(pid) - before
        row = [rate, direct["p50_ms"], through["p50_ms"],
               through["p50_ms"] - direct["p50_ms"], direct["p99_ms"],
               through["p99_ms"], through["p99_ms"] - direct["p99_ms"]]
        print("| " + " | ".join(f"{value:.2f}" for value in row) +
              f" | {through['answered']:.0f} of {through['sent']:.0f} | "
              f"{used / through['sent'] * 1e6:.0f} |", flush=True)


def download(url, headers=()):
    """Downloads a URL; returns the rate in bytes per second."""
    arguments = ["curl", "-s", "-o", "/dev/null", "-w",
                 "%{speed_download} %{size_download}", url]
    for header in headers:
        arguments += ["-H", header]
    speed, size = subprocess.run(arguments, stdout=subprocess.PIPE, text=True,
                                 check=True, timeout=120).stdout.split()
    harness.check(int(float(size)) == DOWNLOAD_BYTES, f"got {size} bytes")
    return float(speed)


def downloads(case):
    instance = case.instances[0]
    pid = instance.popen.pid
    path = f"/masters/1?ms=0&bytes={DOWNLOAD_BYTES}"
    resting = private_bytes(pid)
    peak = [resting]
    stop = threading.Event()

    def watch():
        while not stop.is_set():
            peak[0] = max(peak[0], private_bytes(pid))
            time.sleep(0.02)

    print("\n### A download of 1 GiB\n")
    print("| run | direct MB/s | through MB/s | ratio | private memory added MB |")
    print("|---:|---:|---:|---:|---:|")
    for run in range(3):
        direct = download(f"http://{case.servers['catalog-1']}{path}")
        stop.clear()
        watcher = threading.Thread(target=watch)
        watcher.start()
        through = download(f"http://{instance.settings['callers']}{path}",
                           ["Guavacross-Service: catalog"])
        stop.set()
        watcher.join()
        print(f"| {run + 1} | {direct / 1e6:.0f} | {through / 1e6:.0f} | "
              f"{through / direct:.2f} | {(peak[0] - resting) / 1e6:.1f} |",
              flush=True)


def connections(case):
    instance = case.instances[0]
    request = (b"GET /previews/1?ms=0 HTTP/1.1\r\nHost: catalog\r\n"
               b"X-Request-Id: c\r\n\r\n")
    before = private_bytes(instance.popen.pid)
    opened = [harness.RawConnection(instance.settings["callers"])
              for _ in range(CONNECTIONS)]

    def ask(connection):
        connection.send(request)
        return connection.read_answer()

    with concurrent.futures.ThreadPoolExecutor(32) as pool:
        answers = list(pool.map(ask, opened))
    added = private_bytes(instance.popen.pid) - before
    good = sum(answer.status == 200 for answer in answers)
    print(f"\n### Connections\n\n{CONNECTIONS} open at one time, {good} answered "
          f"with 200; {added / CONNECTIONS / 1000:.1f} kB of private memory each")
    for connection in opened:
        connection.close()


if __name__ == "__main__":
    with harness.Case(__file__, seed=1) as case:
        case.start_platform({"catalog": TARGETS}, threads=3)
        case.start_instances(1, workers=WORKERS)
        case.publish(harness.Service("catalog"))
        # First, before other parts leave memory allocated in the instance.
        connections(case)
        small_calls(case)
        downloads(case)
