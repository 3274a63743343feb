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
from control import private_memory_bytes, cpu_seconds

CALL_RATES = (1000, 4000, 10000)
LOAD_DURATION_S = 6
WARM_UP_S = 1
TARGET_COUNT = 8
DOWNLOAD_BYTES = 1 << 30
CONNECTION_COUNT = 1500
WORKERS = 1


def run_load(case, rate, direct):
    """Sends requests of about 1 ms; returns counts and percentiles."""
    if direct:
        addresses = [case.servers[name] for name in sorted(case.servers)]
    else:
        addresses = [case.instances[0].settings["callers"]]
    arguments = [case.build / "guavacross-standin", "load", "--seed", 1,
                 "--seconds", LOAD_DURATION_S, "--warm-up", WARM_UP_S, "--class",
                 f"name=c;service=catalog;target=/previews/1?ms=1;rate={rate}"]
    for address in addresses:
        arguments += ["--to", address]
    if direct:
        arguments.append("--direct")
    completed = subprocess.run([str(a) for a in arguments],
                               stdout=subprocess.PIPE, text=True, check=True,
                               timeout=120)
    return json.loads(completed.stdout)["classes"]["c"]


def measure_small_calls(case):
    print(f"\n### Small calls, one instance with {WORKERS} worker\n")
    print("| calls/s | direct p50 ms | through p50 ms | added p50 ms | "
          "direct p99 ms | through p99 ms | added p99 ms | answered | "
          "processor us a call |")
    print("|---:|---:|---:|---:|---:|---:|---:|---:|---:|")
    pid = case.instances[0].popen.pid
    for rate in CALL_RATES:
        direct = run_load(case, rate, True)
        cpu_before = cpu_seconds(pid)
        proxied = run_load(case, rate, False)
        cpu_used = cpu_seconds(pid) - cpu_before
        row = [rate, direct["p50_ms"], proxied["p50_ms"],
               proxied["p50_ms"] - direct["p50_ms"], direct["p99_ms"],
               proxied["p99_ms"], proxied["p99_ms"] - direct["p99_ms"]]
        print("| " + " | ".join(f"{value:.2f}" for value in row) +
              f" | {proxied['answered']:.0f} of {proxied['sent']:.0f} | "
              f"{cpu_used / proxied['sent'] * 1e6:.0f} |", flush=True)


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


def measure_downloads(case):
    instance = case.instances[0]
    pid = instance.popen.pid
    path = f"/masters/1?ms=0&bytes={DOWNLOAD_BYTES}"
    baseline_bytes = private_memory_bytes(pid)
    peak_bytes = [baseline_bytes]
    stop = threading.Event()

    def sample_memory():
        while not stop.is_set():
            peak_bytes[0] = max(peak_bytes[0], private_memory_bytes(pid))
            time.sleep(0.02)

    print("\n### A download of 1 GiB\n")
    print("| run | direct MB/s | through MB/s | ratio | private memory added MB |")
    print("|---:|---:|---:|---:|---:|")
    for run in range(3):
        direct = download(f"http://{case.servers['catalog-1']}{path}")
        stop.clear()
        sampler = threading.Thread(target=sample_memory)
        sampler.start()
        proxied = download(f"http://{instance.settings['callers']}{path}",
                           ["Guavacross-Service: catalog"])
        stop.set()
        sampler.join()
        print(f"| {run + 1} | {direct / 1e6:.0f} | {proxied / 1e6:.0f} | "
              f"{proxied / direct:.2f} | "
              f"{(peak_bytes[0] - baseline_bytes) / 1e6:.1f} |",
              flush=True)


def measure_connections(case):
    instance = case.instances[0]
    request = (b"GET /previews/1?ms=0 HTTP/1.1\r\nHost: catalog\r\n"
               b"X-Request-Id: c\r\n\r\n")
    bytes_before = private_memory_bytes(instance.popen.pid)
    open_connections = [harness.RawConnection(instance.settings["callers"])
                        for _ in range(CONNECTION_COUNT)]

    def send_request(connection):
        connection.send(request)
        return connection.read_answer()

    with concurrent.futures.ThreadPoolExecutor(32) as pool:
        answers = list(pool.map(send_request, open_connections))
    added_bytes = private_memory_bytes(instance.popen.pid) - bytes_before
    ok_count = sum(answer.status == 200 for answer in answers)
    print(f"\n### Connections\n\n{CONNECTION_COUNT} open at one time, "
          f"{ok_count} answered with 200; "
          f"{added_bytes / CONNECTION_COUNT / 1000:.1f} kB of private memory each")
    for connection in open_connections:
        connection.close()


if __name__ == "__main__":
    with harness.Case(__file__, seed=1) as case:
        case.start_platform({"catalog": TARGET_COUNT}, threads=3)
        case.start_instances(1, workers=WORKERS)
        case.publish(harness.Service("catalog"))
        # First, before other parts leave memory allocated in the instance.
        measure_connections(case)
        measure_small_calls(case)
        measure_downloads(case)
