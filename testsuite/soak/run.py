#!/usr/bin/env python3
"""Soak test with fault injection: instances in platform mode run as separate
processes behind fault-injecting proxies, under continuous load.

Guards against guarantees that break only under series of overlapping faults.
The seed determines kind, time, duration and component of each fault. The
guarantees are checked from what callers and backend servers observe. Usage:

    testsuite/soak/run.py --seed 7                   one seed, as in CI
    SOAK_SECONDS=60 SOAK_INSTANCES=12 testsuite/soak/run.py

Seeds that ever failed are listed in regressions.txt, each with its cause."""

import os
import pathlib
import random
import signal
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import harness
import platform_standin as standin

from harness import check, wait_until
from platform_entry import (Entry, KeptConnection, front_of, ip_of, peers_of,
                            peers_proxy_of)

CI_SEED = 1
SECONDS = float(os.environ.get("SOAK_SECONDS", "15"))
INSTANCES = int(os.environ.get("SOAK_INSTANCES", "3"))
TARGETS = int(os.environ.get("SOAK_TARGETS", "6"))
CALLERS = int(os.environ.get("SOAK_CALLERS", "6"))

STORE_PORT = 9900
TARGET_PORT = 9100
# Time limits in s, according to the settings of the instances.
DRAIN_S = 2.0
CONFIG_S = 2.0
RECOVER_S = 15.0
# Time limits are checked only if no fault was active this long before.
STABLE_S = 3.0
CALLER_TIMEOUT_S = 1.5
# What a target that names a limit may get in a window, from STABLE_S after it
# first named it.
LIMIT_WINDOW_S = 4.0
LIMIT_FACTOR, LIMIT_EXTRA = 1.5, 5
NOT_RUN = (408, 421, 429, 503)
ROUTES = [("read", "/read/", "safe", "s1"), ("pay", "/pay/", "unsafe", "s1")]


class RequestRecord:
    """A request as its caller observed it."""

    def __init__(self, entry, request, path, once):
        self.entry, self.request = entry, request
        self.path, self.once = path, once
        self.began = time.monotonic()
        self.ended = None
        self.status = None
        self.body = b""
        self.signature = None


class Caller(threading.Thread):
    """Sends one request at a time, on persistent connections that it uses until
    the instance closes them."""

    def __init__(self, soak, number):
        super().__init__(daemon=True)
        self.soak = soak
        self.number = number
        self.random = random.Random(soak.case.seed * 1000 + number)
        self.connections = {}
        self.sent = []
        self.stopping = False

    def run(self):
        while not self.stopping:
            self.ask(self.random.choice(self.soak.entries))
            time.sleep(self.random.uniform(0.005, 0.03))

    def ask(self, entry):
        once = self.random.random() < 0.4
        route = "/pay/" if once else self.random.choice(self.soak.read_paths)
        request = f"{'once' if once else 'safe'}-{self.number}-{len(self.sent)}"
        sent = RequestRecord(entry, request, f"{route}{request}", once)
        self.sent.append(sent)
        if entry not in self.connections:
            self.connections[entry] = KeptConnection(entry.callers_address,
                                                     2 * CALLER_TIMEOUT_S)
        answer = self.connections[entry].send(
            "POST" if once else "GET", sent.path, request,
            b"pay" if once else None, int(CALLER_TIMEOUT_S * 1000))
        if answer is not None:
            sent.body, sent.status = answer.body, answer.status
            sent.signature = answer.header("X-Response-Signature")
        sent.ended = time.monotonic()


class Soak:
    """The deployment, the faults injected into it, and the checks."""

    def __init__(self, case):
        self.case = case
        # Each fault thread has its own random generator, derived from the seed.
        self._generators = threading.local()
        self.store = standin.Store(case.at(STORE_PORT))
        links = {f"store-{n}": case.at(STORE_PORT) for n in range(INSTANCES)}
        links |= {f"callers-{n}": front_of(case, n) for n in range(INSTANCES)}
        links |= {f"peers-{n}": peers_of(case, n) for n in range(INSTANCES)}
        links |= {f"target-{n}": case.at(TARGET_PORT + n)
                  for n in range(TARGETS)}
        # Only a seed's IP address counts; the port is common to all instances.
        case.start_platform({}, more_links=links, listening={
            f"peers-{n}": peers_proxy_of(case, n) for n in range(INSTANCES)})
        self.version = 1
        self.read_paths = ["/read/"]
        self.publish()
        # Every target ever started, and the time at which draining began.
        self.all_targets, self.leaving = [], {}
        self.targets = [None] * TARGETS
        for n in range(TARGETS):
            self.start_target(n)
        self.entries = []
        for n in range(INSTANCES):
            self.entries.append(self.start_entry(n))
        # (begin, end) of each fault; planned shutdowns are not included.
        self.fault_spans = []
        # (entry, time) of each SIGTERM.
        self.terminated = []
        self.published = []
        # (target, limit, begin, end) of each time that a target names a limit.
        self.limits = []
        # (entries, begin, end) of each time that instances were cut off from all
        # targets.
        self.cuts = []
        self.events = []

    @property
    def random(self):
        return self._generators.random

    def start_entry(self, number):
        log_path = self.case.out / f"e{number}.log"
        log_begin = (len(log_path.read_text(errors="replace"))
                     if log_path.exists() else 0)
        entry = self.case.start_process(Entry(
            self.case, number, self.case.proxies[f"store-{number}"],
            seeds=[peers_proxy_of(self.case, n)
                   for n in range(min(3, INSTANCES))],
            peers_advertised=peers_proxy_of(self.case, number),
            targets_from=ip_of(self.case, number)))
        # Where the log of this process begins.
        entry.log_begin = log_begin
        entry.callers_address = self.case.proxies[f"callers-{number}"]
        return entry

    def start_target(self, number):
        target = standin.Target(
            self.store, self.case.at(TARGET_PORT + number),
            f"t{number}-{len(self.all_targets)}", "s1", 0.02,
            self.case.proxies[f"target-{number}"])
        self.targets[number] = target
        self.all_targets.append(target)

    def publish(self):
        routes = ROUTES + [(f"r{v}", f"/v{v}/", "safe", "s1")
                           for v in range(2, self.version + 1)]
        self.store.append("keyed.op", "config",
                          standin.config(self.version, routes, ["s1"]))

    # Faults: each lasts for `seconds` and is then undone.

    def proxy_fault(self, kind, seconds):
        name = f"proxy-{kind}-{self.random.randrange(self.size_of(kind))}"
        fault, undo = self.random.choice([
            ({"to_target": {"black_hole": True}},
             {"to_target": {"black_hole": False}}),
            ({"to_caller": {"black_hole": True}},
             {"to_caller": {"black_hole": False}}),
            ({"to_caller": {"delay_ms": 150}}, {"to_caller": {"delay_ms": 0}}),
            ({"refuse": True}, {"refuse": False}),
            ({"reset_now": True}, {}), ({"silence_now": True}, {})])
        self.log_event(f"{name}: {fault} for {seconds:.1f} s")
        self.case.fault(name, **fault)
        time.sleep(seconds)
        self.case.fault(name, **undo)
        if any("black_hole" in way for way in fault.values()
               if isinstance(way, dict)):
            # Discarded bytes are not resent, so the connection is unusable.
            self.case.fault(name, reset_now=True)

    def size_of(self, kind):
        return TARGETS if kind == "target" else INSTANCES

    def store_fault(self, seconds):
        what = self.random.choice(["down", "refusing", "forget", "restore"])
        self.log_event(f"store: {what} for {seconds:.1f} s")
        if what == "forget":
            self.store.forget("keyed.servers")
            return
        if what == "restore":
            self.restore_store(seconds)
            return
        setattr(self.store, what, True)
        time.sleep(seconds)
        setattr(self.store, what, False)

    def restore_store(self, seconds):
        """Brings back a copy that is `seconds` old. The operator and the targets
        write again what it lacks."""
        copy = self.store.copy()
        time.sleep(seconds)
        self.store.restore(copy)
        time.sleep(self.random.uniform(0, 1))
        self.publish()
        for target in list(self.all_targets):
            if target not in self.targets:
                target.deregister()
            else:
                target.register(
                    "draining" if target in self.leaving else "ready")

    def name_limit(self):
        """Lets a target name a limit for long enough to check that it holds."""
        target = self.random.choice(self.targets)
        limit = self.random.choice([0.5, 2, 5])
        self.log_event(f"{target.name}: names a limit of {limit}")
        target.limit = str(limit)
        begin = time.monotonic()
        time.sleep(STABLE_S + LIMIT_WINDOW_S + self.random.uniform(0, 3))
        target.limit = None
        self.limits.append((target, limit, begin, time.monotonic()))

    def cut_off_entries(self):
        """Cuts one instance, half, all but one or all off from the targets."""
        count = self.random.choice([1, INSTANCES // 2, INSTANCES - 1, INSTANCES])
        numbers = self.random.sample(range(INSTANCES), count)
        kind = self.random.choice(["hang", "reset", "refuse new", "one way"])
        self.log_event(f"instances {numbers}: cut off from targets ({kind})")
        targets = list(self.targets)
        entries = [self.entries[number] for number in numbers]
        span = [time.monotonic(), float("inf")]
        self.fault_spans.append(span)
        for target in targets:
            for number in numbers:
                target.cut(ip_of(self.case, number), kind)
        time.sleep(STABLE_S + self.random.uniform(0, 3))
        span[1] = time.monotonic()
        self.cuts.append((entries, targets, span))
        for target in targets:
            for number in numbers:
                target.heal(ip_of(self.case, number))

    def target_fault(self, seconds):
        number = self.random.randrange(TARGETS)
        target = self.targets[number]
        fault = self.random.choice(["mute", "lost", "full", "extra", "crash"])
        self.log_event(f"{target.name}: {fault} for {seconds:.1f} s")
        if fault != "crash":
            target.fault = fault
            time.sleep(seconds)
            target.fault = ""
            return
        target.crash()
        time.sleep(min(seconds, 1))
        target.deregister()
        self.start_target(number)

    def entry_fault(self, seconds):
        number = self.random.randrange(INSTANCES)
        entry = self.entries[number]
        what = self.random.choice(["kill", "pause", "hup"])
        self.log_event(f"{entry.name}: {what} for {seconds:.1f} s")
        if what == "hup":
            entry.write_settings(retry_extra=self.random.randrange(30, 90))
            entry.signal(signal.SIGHUP)
        elif what == "pause":
            entry.pause()
            time.sleep(seconds)
            entry.resume()
        else:
            entry.kill()
            time.sleep(seconds / 2)
            self.entries[number] = self.start_entry(number)

    # Planned operations.

    def drain(self):
        number = self.random.randrange(TARGETS)
        target = self.targets[number]
        self.log_event(f"{target.name}: leaves")
        target.register("draining")
        self.leaving[target] = time.monotonic()
        time.sleep(2 * DRAIN_S)
        target.deregister()
        target.crash()
        self.start_target(number)

    def restart(self):
        number = self.random.randrange(INSTANCES)
        entry = self.entries[number]
        self.log_event(f"{entry.name}: SIGTERM")
        self.terminated.append((entry, time.monotonic()))
        entry.signal(signal.SIGTERM)
        code = entry.wait()
        # Before it handles signals, a process ends with the first one.
        started = 'event="started"' in entry.log()[entry.log_begin:]
        check(code == 0 or (code == -signal.SIGTERM and not started),
              f"{entry.name} exited with {code} after SIGTERM")
        self.entries[number] = self.start_entry(number)

    def reconfigure(self):
        self.version += 1
        self.log_event(f"configuration {self.version}")
        self.publish()
        self.published.append((time.monotonic(), f"/v{self.version}/"))
        self.read_paths.append(f"/v{self.version}/")

    def log_event(self, text):
        self.events.append(f"{time.monotonic() - self.began:6.2f} s  {text}")

    def run_faults(self):
        """Runs the faults of the seed on six threads, so that they overlap.

        The threads handle the store and the links to it, the links to callers
        and targets, the links between instances, the limits of targets, cuts of
        instances from all targets, and the instances and targets themselves,
        including planned operations on them."""
        self.began = time.monotonic()
        end = self.began + SECONDS
        failures = []

        def repeat(thread_name, work, gap):
            self._generators.random = random.Random(
                f"{self.case.seed} {thread_name}")
            try:
                while time.monotonic() < end:
                    time.sleep(self.random.uniform(*gap))
                    work()
            except Exception as error:  # Raised on the main thread.
                failures.append(error)

        def inject(kinds):
            span = [time.monotonic(), float("inf")]
            self.fault_spans.append(span)
            self.random.choice(kinds)(self.random.uniform(0.3, 3.0))
            span[1] = time.monotonic()

        def inject_store_fault():
            inject([self.store_fault, lambda s: self.proxy_fault("store", s)])

        def inject_link_fault():
            inject([lambda s: self.proxy_fault("target", s),
                     lambda s: self.proxy_fault("callers", s)])

        def inject_peer_fault():
            inject([lambda s: self.proxy_fault("peers", s)])

        def change_members():
            if self.random.random() < 0.5:
                inject([self.target_fault, self.entry_fault])
            else:
                self.random.choice(
                    [self.drain, self.restart, self.reconfigure])()

        threads = [
            threading.Thread(
                target=repeat, args=("store", inject_store_fault, (1, 4))),
            threading.Thread(
                target=repeat, args=("links", inject_link_fault, (1, 4))),
            threading.Thread(
                target=repeat, args=("peers", inject_peer_fault, (1, 4))),
            threading.Thread(
                target=repeat, args=("limits", self.name_limit, (0, 1))),
            threading.Thread(
                target=repeat, args=("cuts", self.cut_off_entries, (1, 6))),
            threading.Thread(
                target=repeat, args=("members", change_members, (0, 1)))]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        if failures:
            raise failures[0]

    # Checks.

    def no_fault_between(self, begin, end):
        """Whether no fault was active from STABLE_S before `begin` to `end`."""
        return all(ended < begin - STABLE_S or began > end
                   for began, ended in self.fault_spans)

    def check_answers(self, sent):
        for each in sent:
            if each.status == 200:
                ran_by = each.body.decode(errors="replace").split(" ran ")
                check(len(ran_by) == 2 and ran_by[1] == each.request and
                      each.signature == f"s.{ran_by[0]}",
                      f"{each.request} got {each.body}, {each.signature}")

    def check_runs(self, sent):
        runs = {}
        for target in self.all_targets:
            for at, request in list(target.started):
                runs.setdefault(request, []).append((at, target))
        known = {each.request: each for each in sent}
        for request, started in runs.items():
            check(request in known, f"{request} ran, but no caller sent it")
            each = known[request]
            check(not each.once or len(started) == 1,
                  f"{request} ran {len(started)} times")
            check(each.status not in NOT_RUN or not each.once,
                  f"{request} ran, but its caller got {each.status}")
            for at, target in started:
                late = at - self.leaving.get(target, at) - DRAIN_S
                check(late <= 0 or
                      not self.no_fault_between(at - late - DRAIN_S, at),
                      f"{request} ran on {target.name} {late:.2f} s too late")

    def check_planned_work(self, sent):
        for each in sent:
            for entry, at in self.terminated:
                in_flight = each.entry is entry and each.began < at < each.ended
                check(not in_flight or each.status is not None or
                      not self.no_fault_between(each.began, each.ended),
                      f"{each.request} was aborted when {entry.name} stopped")
            for at, path in self.published:
                settled = (each.path.startswith(path) and
                           each.began > at + CONFIG_S and
                           self.no_fault_between(at, each.ended))
                check(not settled or each.status != 404,
                      f"{each.request} got 404 on a route in force")

    def check_limits(self):
        for target, limit, begin, end in self.limits:
            times = [at for at in list(target.arrived)
                     if begin + STABLE_S <= at <= end]
            most = max((sum(at <= each < at + LIMIT_WINDOW_S for each in times)
                        for at in times), default=0)
            allowed = LIMIT_FACTOR * limit * LIMIT_WINDOW_S + LIMIT_EXTRA
            check(most <= allowed,
                  f"{target.name} named a limit of {limit} and got {most} "
                  f"requests in {LIMIT_WINDOW_S} s, allowed {allowed}")

    def check_cuts(self, sent):
        """Checks that instances that were cut off served their callers, as far
        as nothing else was wrong meanwhile."""
        for entries, targets, span in self.cuts:
            begin, end = span[0] + STABLE_S, span[1] - CALLER_TIMEOUT_S
            alone = all(other is span or other[1] < span[0] - STABLE_S
                        or other[0] > span[1] for other in self.fault_spans)
            statuses = [each.status for each in sent
                        if each.entry in entries and begin < each.began < end]
            others_reach = len(entries) < INSTANCES
            check(not (alone and others_reach and statuses) or
                  statuses.count(200) >= 2 / 3 * len(statuses),
                  f"{[entry.name for entry in entries]} served "
                  f"{statuses.count(200)} of {len(statuses)} while cut off")

    def check_members(self):
        """Checks that the instances discover each other through the proxies."""
        for entry in self.entries:
            others = [each.name for each in self.entries if each is not entry]
            wait_until(lambda: all(f'peer="{name}"' in entry.log()
                                   for name in others),
                       f"{entry.name} has discovered the other instances")

    def check_recovery(self):
        def serves(entry):
            answer = harness.try_call(
                entry.callers_address, "GET",
                f"{self.read_paths[-1]}recovered", timeout_s=3,
                headers={"Host": "shop.example", "X-Request-Id": "recovered",
                         "X-Deadline-Ms": "1500"})
            return answer is not None and answer.status == 200

        for entry in self.entries:
            check(entry.running, f"{entry.name} exited unexpectedly")
            wait_until(lambda: serves(entry), f"{entry.name} serves again",
                       RECOVER_S)


with harness.Case(__file__, seed=CI_SEED) as case:
    soak = Soak(case)
    for entry in soak.entries:
        wait_until(entry.is_ready, f"{entry.name} is ready")
    soak.check_members()
    callers = [Caller(soak, number) for number in range(CALLERS)]
    for caller in callers:
        caller.start()
    try:
        with case.section("series of overlapping faults"):
            soak.run_faults()
            for caller in callers:
                caller.stopping = True
            for caller in callers:
                caller.join()
        with case.section("all instances serve again"):
            soak.check_recovery()
        sent = [each for caller in callers for each in caller.sent]
        served = sum(each.status == 200 for each in sent)
        print(f"    {len(sent)} requests, {served} served, "
              f"{len(soak.events)} faults and changes")
        with case.section("every answer is complete and matches its request"):
            soak.check_answers(sent)
        with case.section("no run was doubled, unsent, refused or too late"):
            soak.check_runs(
                [*sent, RequestRecord(None, "recovered", "", False)])
        with case.section("no target got more than the limit that it named"):
            soak.check_limits()
        with case.section("instances cut off from targets served their callers"):
            soak.check_cuts(sent)
        with case.section("planned operations aborted no request"):
            soak.check_planned_work(sent)
    except harness.Failure:
        print("    " + "\n    ".join(soak.events))
        raise
