#!/usr/bin/env python3
"""Measures how the control plane's cost for an entry instance grows with size.

    benchmarks/control.py --build build

Three series, each of at least three sizes: sections (5.49 targets each, from
28,000 targets in 5,100 services), instances, and configuration changes. For
each run: private memory and processor time of one instance without requests,
its traffic with peers, and the time from its start until it is ready. Prints
Markdown tables with the least-squares slopes.
"""

import os
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] /
                       "testsuite"))
import harness
from harness import wait_until

TARGETS_PER_SECTION = 28000 / 5100
SECTION_COUNTS = (500, 1700, 5100)
INSTANCE_COUNTS = (2, 4, 8, 16)
CHANGE_COUNTS = (50, 150, 450)
IDLE_WINDOW_S = 10
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def private_memory_bytes(pid):
    """Private memory, clean and dirty, in bytes."""
    total = 0
    for line in pathlib.Path(f"/proc/{pid}/smaps_rollup").read_text().split("\n"):
        if line.startswith("Private_"):
            total += int(line.split()[1]) * 1024
    return total


def cpu_seconds(pid):
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def peer_bytes(instance):
    return (instance.metric_sum("guavacross_peer_sent_bytes") +
            instance.metric_sum("guavacross_peer_received_bytes"))


def make_document(case, sections, first_target=0, slots=4):
    """Returns a document of sections in which each target has its own IP address."""
    services, number = [], first_target
    for index in range(sections):
        targets = []
        while number < (index + 1) * TARGETS_PER_SECTION:
            ip = f"127.{200 + number // 62500}.{number // 250 % 250}.{number % 250 + 1}"
            targets.append(harness.Target(f"t{number}", f"{ip}:9000", slots=slots))
            number += 1
        services.append(harness.Service(f"service-{index}", targets=targets))
    return case.document(services)


def publish(case, text):
    """Publishes a document and waits until it is in force on every instance."""
    path = case.out / "document.toml"
    path.write_text(text)
    operators = ",".join(i.settings["operators"] for i in case.instances)
    completed = case.run_guavacross(
        "publish", path, "--team", "imaging", "--log-service",
        case.at(harness.LOG_PORT), "--instances", operators,
        "--in-force-deadline", 60, timeout_s=300)
    harness.check(completed.returncode == 0, completed.stdout[-500:])
    case.wait_ready()


def measure_idle(instance):
    """Measures an instance without requests over IDLE_WINDOW_S.

    Returns the share of a core and the peer bytes per second.
    """
    before = (time.monotonic(), cpu_seconds(instance.popen.pid),
              peer_bytes(instance))
    time.sleep(IDLE_WINDOW_S)
    after = (time.monotonic(), cpu_seconds(instance.popen.pid),
             peer_bytes(instance))
    elapsed = after[0] - before[0]
    return ((after[1] - before[1]) / elapsed, (after[2] - before[2]) / elapsed)


def fit_line(points):
    """Least-squares fit; returns (intercept, slope)."""
    n = len(points)
    mean_x = sum(x for x, _ in points) / n
    mean_y = sum(y for _, y in points) / n
    sum_xx = sum((x - mean_x) ** 2 for x, _ in points)
    sum_xy = sum((x - mean_x) * (y - mean_y) for x, y in points)
    return mean_y - sum_xy / sum_xx * mean_x, sum_xy / sum_xx


def print_table(title, columns, rows, first_fitted_column):
    print(f"\n### {title}\n")
    print("| " + " | ".join(columns) + " |")
    print("|" + "---:|" * len(columns))
    for row in rows:
        print("| " + " | ".join(f"{value:,.3f}".rstrip("0").rstrip(".")
                                for value in row) + " |")
    for index in range(first_fitted_column, len(columns)):
        intercept, slope = fit_line([(row[0], row[index]) for row in rows])
        print(f"\n{columns[index]}: {intercept:.4g} + {slope:.4g} per {columns[0]}")
    sys.stdout.flush()


def measure_sections():
    rows = []
    for section_count in SECTION_COUNTS:
        with harness.Case(__file__, seed=1) as case:
            case.start_platform({})
            case.fault("log-service", appends_per_second=1000000)
            case.start_instance()
            publish(case, make_document(case, section_count))
            start = time.monotonic()
            second_instance = case.start_instance()
            wait_until(lambda: second_instance.is_ready(),
                       "the second instance is ready", 120)
            ready_s = time.monotonic() - start
            time.sleep(3)
            cpu_share, peer_bytes_per_s = measure_idle(second_instance)
            rows.append((section_count, section_count * TARGETS_PER_SECTION,
                         ready_s,
                         private_memory_bytes(second_instance.popen.pid) / 1e6,
                         cpu_share * 100, peer_bytes_per_s / 1000))
    print_table("Sections", ("sections", "targets", "ready after s",
                             "private MB", "% of a core", "peers KB/s"),
                rows, 2)


def measure_instances():
    rows = []
    for count in INSTANCE_COUNTS:
        with harness.Case(__file__, seed=1) as case:
            case.start_platform({"catalog": 3})
            case.start_instances(count)
            publish(case, case.document([harness.Service("catalog")]))
            time.sleep(3)
            cpu_share, peer_bytes_per_s = measure_idle(case.instances[0])
            rows.append((count,
                         private_memory_bytes(case.instances[0].popen.pid) / 1e6,
                         cpu_share * 100, peer_bytes_per_s / 1000))
    print_table("Instances", ("instances", "private MB", "% of a core",
                              "peers KB/s"), rows, 1)


def measure_changes():
    rows = []
    for count in CHANGE_COUNTS:
        with harness.Case(__file__, seed=1) as case:
            case.start_platform({})
            case.fault("log-service", appends_per_second=1000000)
            case.start_instances(2, wait=False)
            publish(case, make_document(case, count))
            instance = case.instances[0]
            cpu_before, peer_bytes_before = cpu_seconds(
                instance.popen.pid), peer_bytes(instance)
            start = time.monotonic()
            publish(case, make_document(case, count, slots=5))
            elapsed = time.monotonic() - start
            rows.append((count, elapsed,
                         (cpu_seconds(instance.popen.pid) - cpu_before) * 1000,
                         (peer_bytes(instance) - peer_bytes_before) / 1000))
    print_table("Changes", ("changes", "published within s", "processor ms",
                            "peers KB"), rows, 1)


if __name__ == "__main__":
    measure_sections()
    measure_instances()
    measure_changes()
