#!/usr/bin/env python3
"""Measures the cost of the control plane for an entry instance, as slopes.

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
SECTION_SIZES = (500, 1700, 5100)
INSTANCE_COUNTS = (2, 4, 8, 16)
CHANGE_COUNTS = (50, 150, 450)
WINDOW_S = 10
TICKS = os.sysconf("SC_CLK_TCK")


def private_bytes(pid):
    """Private memory, clean and dirty, in bytes."""
    total = 0
    for line in pathlib.Path(f"/proc/{pid}/smaps_rollup").read_text().split("\n"):
        if line.startswith("Private_"):
            total += int(line.split()[1]) * 1024
    return total


def processor_seconds(pid):
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def peer_bytes(instance):
    return (instance.metric_sum("guavacross_peer_sent_bytes") +
            instance.metric_sum("guavacross_peer_received_bytes"))


def document(case, sections, first_target=0, slots=4):
    """A document of sections in which each target has its own IP address."""
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
    """Publishes a document and waits until every instance has it in force."""
    path = case.out / "document.toml"
    path.write_text(text)
    operators = ",".join(i.settings["operators"] for i in case.instances)
    done = case.run_guavacross(
        "publish", path, "--team", "imaging", "--log-service",
        case.at(harness.LOG_PORT), "--instances", operators,
        "--in-force-deadline", 60, timeout_s=300)
    harness.check(done.returncode == 0, done.stdout[-500:])
    case.wait_ready()


def measure_idle(instance):
    """CPU share and peer bytes per second over WINDOW_S without requests."""
    before = (time.monotonic(), processor_seconds(instance.popen.pid),
              peer_bytes(instance))
    time.sleep(WINDOW_S)
    after = (time.monotonic(), processor_seconds(instance.popen.pid),
             peer_bytes(instance))
    elapsed = after[0] - before[0]
    return ((after[1] - before[1]) / elapsed, (after[2] - before[2]) / elapsed)


def slope(points):
    """Least-squares fit; returns (intercept, slope)."""
    n = len(points)
    mean_x = sum(x for x, _ in points) / n
    mean_y = sum(y for _, y in points) / n
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    rise = sum((x - mean_x) * (y - mean_y) for x, y in points)
    return mean_y - rise / spread * mean_x, rise / spread


def print_table(title, columns, rows, first):
    print(f"\n### {title}\n")
    print("| " + " | ".join(columns) + " |")
    print("|" + "---:|" * len(columns))
    for row in rows:
        print("| " + " | ".join(f"{value:,.3f}".rstrip("0").rstrip(".")
                                for value in row) + " |")
    for index in range(first, len(columns)):
        base, per = slope([(row[0], row[index]) for row in rows])
        print(f"\n{columns[index]}: {base:.4g} + {per:.4g} per {columns[0]}")
    sys.stdout.flush()


def measure_sections():
    rows = []
    for size in SECTION_SIZES:
        with harness.Case(__file__, seed=1) as case:
            case.start_platform({})
            case.fault("log-service", appends_per_second=1000000)
            case.start_instance()
            publish(case, document(case, size))
            start = time.monotonic()
            joined = case.start_instance()
            wait_until(lambda: joined.is_ready(),
                       "the second instance is ready", 120)
            ready_s = time.monotonic() - start
            time.sleep(3)
            share, bytes_s = measure_idle(joined)
            rows.append((size, size * TARGETS_PER_SECTION, ready_s,
                         private_bytes(joined.popen.pid) / 1e6, share * 100,
                         bytes_s / 1000))
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
            share, bytes_s = measure_idle(case.instances[0])
            rows.append((count, private_bytes(case.instances[0].popen.pid) / 1e6,
                         share * 100, bytes_s / 1000))
    print_table("Instances", ("instances", "private MB", "% of a core",
                              "peers KB/s"), rows, 1)


def measure_changes():
    rows = []
    for count in CHANGE_COUNTS:
        with harness.Case(__file__, seed=1) as case:
            case.start_platform({})
            case.fault("log-service", appends_per_second=1000000)
            case.start_instances(2, wait=False)
            publish(case, document(case, count))
            instance = case.instances[0]
            cpu, sent = processor_seconds(instance.popen.pid), peer_bytes(instance)
            start = time.monotonic()
            publish(case, document(case, count, slots=5))
            elapsed = time.monotonic() - start
            rows.append((count, elapsed,
                         (processor_seconds(instance.popen.pid) - cpu) * 1000,
                         (peer_bytes(instance) - sent) / 1000))
    print_table("Changes", ("changes", "published within s", "processor ms",
                            "peers KB"), rows, 1)


if __name__ == "__main__":
    measure_sections()
    measure_instances()
    measure_changes()
