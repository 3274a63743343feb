#!/usr/bin/env python3
"""Guards against an accepted configuration section that doesn't come into force
within seconds on all instances, or that reverts to an older version.

Faults: instances partitioned from the store or from each other, a long store
outage, records that expire before a new instance reads them, an old snapshot
that is appended late, a paused instance. The versions on all instances are
polled throughout."""

import base64
import json
import threading
import time
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import harness

from harness import Service, call, check, wait_until

# Limit for "within seconds" in s; generous because machines are shared.
IN_FORCE_LIMIT_S = 10


class VersionMonitor:
    """Polls the versions in force on all instances; records each decrease."""

    def __init__(self, case):
        self.case, self.decreases, self.samples = case, [], 0
        self.stopped = threading.Event()
        self.thread = threading.Thread(target=self.watch, daemon=True)
        self.thread.start()

    def watch(self):
        highest = {}
        while not self.stopped.is_set():
            for instance in list(self.case.instances):
                for name, version in instance.versions().items():
                    # A restarted instance may begin without any version, but
                    # within a process no version may decrease.
                    key = (instance.popen.pid, name)
                    if version < highest.get(key, 0):
                        self.decreases.append((instance.name, name,
                                            highest[key], version))
                    highest[key] = version
                    self.samples += 1
            self.stopped.wait(0.02)

    def stop(self):
        self.stopped.set()
        self.thread.join()
        print(f"    {self.samples} versions read")
        check(not self.decreases, f"versions decreased: {self.decreases}")


def publish_within_limit(case, service, instances):
    """Publishes an edit and checks that it is in force within seconds."""
    service.probes_per_second += 1
    start = time.monotonic()
    version = case.append_edit(service)
    check(version, "the edit was not appended")
    case.versions[service.name] = version
    case.wait_in_force(case.versions, instances)
    took = time.monotonic() - start
    print(f"    in force on {len(instances)} instances after {took:.2f} s")
    check(took < IN_FORCE_LIMIT_S,
          f"in force only after {took:.1f} s, limit {IN_FORCE_LIMIT_S} s")


def read_stream(case, stream):
    answer = call(case.at(harness.LOG_PORT), "GET",
                  f"/streams/{stream}/records?from=0")
    return json.loads(answer.body)


with harness.Case(__file__) as case:
    # Each instance reaches the store through its own proxy.
    case.start_platform({"catalog": 2},
                        more_links={f"log-{n}": case.at(harness.LOG_PORT)
                                    for n in range(5)})
    for n in range(4):
        case.start_instance(log_service=case.proxies[f"log-{n}"])
    service = Service("catalog")
    case.publish(service)
    watch = VersionMonitor(case)

    with case.section("consecutive edits"):
        for _ in range(5):
            publish_within_limit(case, service, case.instances)

    with case.section("the store refuses one instance's connections"):
        case.fault("proxy-log-0", refuse=True, reset_now=True)
        publish_within_limit(case, service, case.instances)
    with case.section("another instance's store connection hangs"):
        case.fault("proxy-log-1", to_target={"black_hole": True},
                   to_caller={"black_hole": True})
        publish_within_limit(case, service, case.instances)

    with case.section("an instance without peers, but with the store"):
        alone = case.start_instance(
            number=4, listed=False, log_service=case.proxies["log-4"])
        case.wait_ready([alone])
        publish_within_limit(case, service, [alone])

    with case.section("an instance starts while the store is down"):
        case.fault("log-service", outage="refuse")
        case.instances[3].kill()
        late = case.start_instance(3, log_service=case.proxies["log-3"])
        case.wait_ready([late])
        case.wait_in_force(case.versions, [late])
        case.check_own(late.call("GET", "/previews"))
        case.fault("log-service", outage="")

    with case.section("a paused instance catches up"):
        case.instances[2].pause()
        publish_within_limit(case, service, case.instances[3:4])
        publish_within_limit(case, service, case.instances[3:4])
        case.instances[2].resume()
        case.wait_in_force(case.versions)

    with case.section("records expire before a new instance reads them"):
        case.fault("proxy-log-0", refuse=False)
        case.fault("proxy-log-1", to_target={"black_hole": False},
                   to_caller={"black_hole": False}, reset_now=True)
        wait_until(lambda: read_stream(case, "config-snapshots")["records"],
                   "a snapshot is written", 120)
        old = read_stream(case, "config-snapshots")["records"]
        case.fault("log-service", keep_records=1)
        publish_within_limit(case, service, case.instances)
        for instance in case.instances:
            case.unlist_instance(instance)
        fresh = case.start_instance(5, listed=False)
        wait_until(lambda: case.has_versions(fresh, {"catalog": 1}),
                   "the new instance has any version in force")
        case.wait_in_force(case.versions, [fresh])

    with case.section("an old snapshot is appended late"):
        case.fault("log-service", keep_records=0)
        for record in old:
            answer = call(case.at(harness.LOG_PORT), "POST",
                          "/streams/config-snapshots/records",
                          body=base64.b64decode(record["data"]))
            check(answer.status == 201, f"{answer}")
        for instance in case.instances:
            case.list_instance(instance)
        latest = case.start_instance(6)
        case.wait_ready([latest])
        publish_within_limit(case, service, case.instances)

    watch.stop()
