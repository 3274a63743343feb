"""Harness of the integration cases: starts real processes and queries them.

A case is a `run.py` in its own folder:

    import sys, pathlib
    sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
    import harness

    with harness.Case(__file__) as case:
        case.start_platform({"catalog": 3})
        case.start_instances(2)
        case.publish(harness.Service("catalog"))
        with case.section("a request is answered"):
            answer = case.instances[0].call("GET", "/previews/1")
            case.check_own(answer)

Each case uses a loopback address of its own, so that cases can run in parallel.
The harness never sleeps for a fixed time: `wait_until` polls for a condition,
with a generous timeout.
"""

import argparse
import concurrent.futures
import contextlib
import dataclasses
import http.client
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import threading
import time
import urllib.error
import urllib.request
import uuid

ROOT = pathlib.Path(__file__).resolve().parents[1]

# Ports on the case's own loopback address.
CONTROL_PORT = 7000
LOG_PORT = 7001
LIST_PORT = 7002
SERVER_PORT = 7100
PROXY_PORT = 7300
CALLERS_PORT = 8000
OPERATORS_PORT = 8100
PEERS_PORT = 8200

# Timeout for events that normally take seconds at most. It is generous because
# the machines are shared.
EVENT_TIMEOUT_S = 40
BLOCK_BYTES = 64


class Failure(AssertionError):
    """A failed check, which fails the case."""


def check(condition, text):
    """Fails the case with `text` unless `condition` holds."""
    if not condition:
        raise Failure(text)


def wait_until(event, description, max_wait_s=EVENT_TIMEOUT_S):
    """Polls `event()` until it is true and returns its value."""
    end = time.monotonic() + max_wait_s
    while True:
        value = event()
        if value:
            return value
        if time.monotonic() > end:
            raise Failure(f"timed out after {max_wait_s} s; "
                          f"waiting until: {description}")
        time.sleep(0.02)


def answer_bytes(identity, total):
    """The body of a backend server's answer to the request `identity`."""
    blocks = (total + BLOCK_BYTES - 1) // BLOCK_BYTES
    start = f"{identity[:40]:<40} "
    return "".join(f"{start}{n:022d}\n" for n in range(blocks)).encode()[:total]


class Answer:
    """A complete HTTP answer."""

    def __init__(self, status, headers, body, elapsed_s=0.0):
        self.status = status
        self.headers = {name.lower(): value for name, value in headers}
        self.body = body
        self.elapsed_s = elapsed_s

    def header(self, name):
        return self.headers.get(name.lower())

    @property
    def outcome(self):
        return self.header("Guavacross-Outcome")

    @property
    def reason(self):
        return self.header("Guavacross-Reason")

    @property
    def backend(self):
        """The backend server that answered, or None."""
        return self.header("X-Backend")

    def __repr__(self):
        return (f"{self.status} outcome={self.outcome} reason={self.reason} "
                f"backend={self.backend} body={len(self.body)} bytes")


def call(address, method, path, headers=None, body=None, timeout_s=30):
    """Sends one request on a new connection, without retries.

    Raises OSError or http.client.HTTPException if no complete answer arrives.
    """
    ip, port = address.rsplit(":", 1)
    start = time.monotonic()
    connection = http.client.HTTPConnection(ip, int(port), timeout=timeout_s)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        response = connection.getresponse()
        if response.length is None and not response.chunked:
            # http.client accepts a truncated header section as a complete one.
            raise http.client.HTTPException(
                "answer with neither Content-Length nor chunked encoding")
        data = response.read()
        return Answer(response.status, response.getheaders(), data,
                      time.monotonic() - start)
    finally:
        connection.close()


def try_call(*arguments, **named):
    """As `call`, but returns None if no complete answer arrives."""
    try:
        return call(*arguments, **named)
    except (OSError, http.client.HTTPException):
        return None


def read_json(address, path, timeout_s=10):
    answer = call(address, "GET", path, timeout_s=timeout_s)
    check(answer.status == 200, f"{path}: {answer}: {answer.body[:200]}")
    return json.loads(answer.body)


class RawConnection:
    """A TCP connection for requests that no HTTP client would send."""

    def __init__(self, address, timeout_s=EVENT_TIMEOUT_S):
        ip, port = address.rsplit(":", 1)
        self.socket = socket.create_connection((ip, int(port)), timeout_s)
        self.data = b""

    def send(self, data):
        self.socket.sendall(data if isinstance(data, bytes) else data.encode())

    def read_to_end(self):
        """Reads until the peer closes; a reset counts as a close."""
        with contextlib.suppress(ConnectionResetError):
            while piece := self.socket.recv(65536):
                self.data += piece
        data, self.data = self.data, b""
        return data

    def read_answer(self):
        """Reads one answer with a Content-Length; None if the peer closed."""
        while b"\r\n\r\n" not in self.data:
            if not self._receive():
                return None
        head, self.data = self.data.split(b"\r\n\r\n", 1)
        lines = head.decode("latin-1").split("\r\n")
        headers = [tuple(part.strip() for part in line.split(":", 1))
                   for line in lines[1:]]
        answer = Answer(int(lines[0].split()[1]), headers, b"")
        length = int(answer.header("Content-Length") or 0)
        while len(self.data) < length:
            if not self._receive():
                return None
        answer.body, self.data = self.data[:length], self.data[length:]
        return answer

    def _receive(self):
        try:
            piece = self.socket.recv(65536)
        except ConnectionResetError:
            return False
        self.data += piece
        return bool(piece)

    def reset(self):
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                               struct.pack("ii", 1, 0))
        self.socket.close()

    def close(self):
        self.socket.close()


@dataclasses.dataclass
class Rule:
    """A request class of a service, as in the configuration document."""
    name: str
    path: str
    method: str = "GET"
    repeatable: bool = True
    hedge: bool = False
    bulk: bool = False
    deadline_ms: int = 5000
    queue_wait_ms: int = 2000
    queue_limit: int = 1000


READS = Rule("previews", "/previews")
ORDERS = Rule("orders", "/orders", "POST", repeatable=False, deadline_ms=10000)
MASTERS = Rule("masters", "/masters", bulk=True)


@dataclasses.dataclass
class Service:
    """A section of the configuration document.

    Targets default to the stand-ins' servers of that service. `keys` is TOML
    inserted before the section's tables, `extra` after them."""
    name: str
    rules: tuple = (READS, ORDERS, MASTERS)
    team: str = "imaging"
    profile: str = "tail-first"
    targets: list = None
    probes_per_second: float = 20
    keys: str = ""
    extra: str = ""
    retry: str = "budget_share = 1.0\nmax_attempts = 3"


@dataclasses.dataclass
class Target:
    name: str
    address: str
    zone: str = "zone-a"
    slots: int = 4


def write_section(service, table):
    """The TOML of a section. `table` prefixes the names of its tables."""
    lines = [f'team = "{service.team}"', f'profile = "{service.profile}"',
             service.keys]
    for rule in service.rules:
        lines += [
            f"[[{table}class]]", f'name = "{rule.name}"',
            f'methods = ["{rule.method}"]', f'path_prefix = "{rule.path}"',
            f"repeatable = {str(rule.repeatable).lower()}",
            f"hedge = {str(rule.hedge).lower()}",
            f"bulk = {str(rule.bulk).lower()}",
            f"deadline_ms = {rule.deadline_ms}",
            f"queue_wait_ms = {min(rule.queue_wait_ms, rule.deadline_ms)}",
            f"queue_limit = {rule.queue_limit}"]
    for target in service.targets:
        lines += [f"[[{table}target]]", f'name = "{target.name}"',
                  f'address = "{target.address}"', f'zone = "{target.zone}"',
                  f"slots = {target.slots}"]
    lines += [f"[{table}probe]",
              f"probes_per_second = {float(service.probes_per_second)}",
              f"[{table}retry]", service.retry]
    return "\n".join(lines) + "\n" + service.extra


def _varint(number):
    encoded = b""
    while number >= 0x80:
        encoded += bytes([number & 0x7f | 0x80])
        number >>= 7
    return encoded + bytes([number])


def _bytes_field(number, data):
    if isinstance(data, str):
        data = data.encode()
    return _varint(number << 3 | 2) + _varint(len(data)) + data


def encode_edit(section, team, based_on, edit_id, toml, schema=1):
    """A record of the configuration stream; see src/proto/config.proto."""
    edit = (_varint(1 << 3) + _varint(schema) + _bytes_field(2, section) +
            _bytes_field(3, team) + _varint(4 << 3) + _varint(based_on) +
            _bytes_field(5, edit_id) + _bytes_field(6, toml))
    magic = _varint(1 << 3 | 5) + struct.pack("<I", 0x31435847)
    return magic + _bytes_field(2, edit)


class Process:
    """A process that the case started. Its output goes to a log file."""

    def __init__(self, case, name, arguments):
        self.name = name
        self.log_path = case.out / f"{name}.log"
        self._log = open(self.log_path, "ab")
        self.popen = subprocess.Popen(
            [str(a) for a in arguments], stdout=self._log,
            stderr=subprocess.STDOUT, stdin=subprocess.DEVNULL, cwd=case.out)

    @property
    def running(self):
        return self.popen.poll() is None

    def signal(self, number):
        self.popen.send_signal(number)

    def kill(self):
        """Kills the process with SIGKILL, as if its machine had failed."""
        if self.running:
            self.popen.kill()
        self.popen.wait()

    def pause(self):
        self.signal(signal.SIGSTOP)

    def resume(self):
        self.signal(signal.SIGCONT)

    def wait(self, max_wait_s=EVENT_TIMEOUT_S):
        """Waits for the process to exit; returns the exit code."""
        try:
            return self.popen.wait(max_wait_s)
        except subprocess.TimeoutExpired:
            raise Failure(f"{self.name} has not exited after {max_wait_s} s")

    def log(self):
        return self.log_path.read_text(errors="replace")


class Instance(Process):
    """An entry instance."""

    def __init__(self, case, number, settings):
        self.case = case
        self.number = number
        self.settings = settings
        self.callers = settings["callers"]
        self.operators = settings["operators"]
        path = case.out / f"{settings['name']}.toml"
        path.write_text("".join(f"{key} = {json.dumps(value)}\n"
                                for key, value in settings.items()))
        super().__init__(case, settings["name"],
                         [case.build / "guavacross", "serve",
                          "--settings", path])

    def call(self, method, path, service="catalog", identity=None, key=None,
             headers=None, body=None, timeout_s=30):
        """Sends a request as a caller does.

        `key` is the Idempotency-Key. The returned answer's `identity` is the
        one under which backend servers count the run."""
        named = {"Guavacross-Service": service,
                 "X-Request-Id": identity or key or str(uuid.uuid4())}
        if key is not None:
            named["Idempotency-Key"] = key
        named.update(headers or {})
        answer = call(self.callers, method, path, named, body, timeout_s)
        answer.identity = key or named["X-Request-Id"]
        return answer

    def try_call(self, *arguments, **named):
        """As `call`, but returns None if no complete answer arrives."""
        try:
            return self.call(*arguments, **named)
        except (OSError, http.client.HTTPException):
            return None

    def order(self, key, path="/orders?ms=1", **named):
        """Sends a request that is not repeatable."""
        return self.try_call("POST", path, key=key, body=b"order " +
                             key.encode(), **named)

    def is_ready(self):
        answer = try_call(self.operators, "GET", "/readyz", timeout_s=2)
        return answer is not None and answer.status == 200

    def metrics(self):
        """Metric samples, keyed by name and labels in the exposition format."""
        text = call(self.operators, "GET", "/metrics").body.decode()
        samples = {}
        for line in text.splitlines():
            if line and not line.startswith("#"):
                name, value = line.rsplit(" ", 1)
                samples[name] = float(value)
        return samples

    def metric_sum(self, name, *parts):
        """Sums the samples of `name` whose labels contain all `parts`."""
        return sum(value for sample, value in self.metrics().items()
                   if sample.split("{")[0] == name and
                   all(part in sample for part in parts))

    def status(self):
        return read_json(self.operators, "/status.json")

    def versions(self):
        """Versions in force by section; empty if there is no answer."""
        answer = try_call(self.operators, "GET", "/sections.json", timeout_s=2)
        if answer is None or answer.status != 200:
            return {}
        return {row["name"]: row["version"]
                for row in json.loads(answer.body)["sections"]}


class Case:
    """One integration case: its options, addresses and processes.

    All processes are killed when the case ends."""

    def __init__(self, run_file, seed=None, arguments=None):
        parser = argparse.ArgumentParser()
        parser.add_argument("--build", default=str(ROOT / "build"))
        parser.add_argument("--seed", type=int)
        options = parser.parse_args(arguments)
        folder = pathlib.Path(run_file).resolve().parent
        self.name = folder.name
        self.build = pathlib.Path(options.build).resolve()
        self.out = folder / "out"
        shutil.rmtree(self.out, ignore_errors=True)
        self.out.mkdir(parents=True)
        self.seed = options.seed or seed or int.from_bytes(os.urandom(3), "big")
        self.random = random.Random(self.seed)
        pid = os.getpid()
        self.ip = f"127.{10 + pid // 62500}.{pid // 250 % 250}.{pid % 250 + 1}"
        self.processes = []
        self.instances = []
        self.servers = {}
        self.proxies = {}
        self.platform = None
        # Versions by section, as `publish` last published them.
        self.versions = {}
        print(f"{self.name}: seed {self.seed}, address {self.ip}", flush=True)

    def __enter__(self):
        return self

    def __exit__(self, kind, error, trace):
        for process in self.processes:
            if process.running:
                process.popen.kill()
            process.popen.wait()
        if kind is not None and issubclass(kind, Failure):
            print(f"FAILED: {error}", flush=True)
            sys.exit(1)
        if kind is None:
            print("passed", flush=True)
        return False

    @contextlib.contextmanager
    def section(self, name):
        """A named step of the case; its name is part of failure messages."""
        start = time.monotonic()
        print(f"  {name} ...", flush=True)
        try:
            yield
        except Failure as failure:
            raise Failure(f"{name}: {failure}") from failure
        print(f"  {name}: ok, {time.monotonic() - start:.1f} s", flush=True)

    def start_process(self, process):
        self.processes.append(process)
        return process

    # The platform and the backend servers.

    def at(self, port):
        return f"{self.ip}:{port}"

    @property
    def control(self):
        return self.at(CONTROL_PORT)

    def start_platform(self, servers, proxied=(), slots=4, mean_ms=1,
                       cold_ms=0, threads=2, more_links=None,
                       listening=None):
        """Starts the stand-ins: log service, instance list, servers, proxies.

        `servers` maps a service to the number of its servers, which are named
        SERVICE-1 and so on. Services in `proxied` are reached through proxies
        named proxy-SERVICE-1; `log` and `list` in `proxied` put proxies in
        front of the log service and the instance list. `more_links` maps the
        names of further proxies to the addresses they forward to; `listening`
        overrides the address that a proxy listens on.
        """
        arguments = [self.build / "guavacross-standin", "platform",
                     "--control", self.control,
                     "--log-service", self.at(LOG_PORT),
                     "--instance-list", self.at(LIST_PORT),
                     "--slots", slots, "--mean-ms", mean_ms,
                     "--cold-ms", cold_ms, "--threads", threads,
                     "--seed", self.seed]
        links = {"log": self.at(LOG_PORT), "list": self.at(LIST_PORT)}
        links = {n: a for n, a in links.items() if n in proxied}
        port = SERVER_PORT
        for service, count in servers.items():
            for number in range(1, count + 1):
                name, address = f"{service}-{number}", self.at(port)
                port += 1
                arguments += ["--server", f"{name}={address}"]
                self.servers[name] = address
                if service in proxied:
                    links[name] = address
        links.update(more_links or {})
        for number, (name, target) in enumerate(links.items()):
            listen = (listening or {}).get(name, self.at(PROXY_PORT + number))
            arguments += ["--link", f"proxy-{name}={listen}:{target}"]
            self.proxies[name] = listen
        self.platform = self.start_process(Process(self, "platform", arguments))
        wait_until(lambda: try_call(self.control, "GET", "/components"),
                   "the stand-ins start")

    def targets(self, service):
        """The service's targets, with their proxies' addresses if proxied."""
        names = [n for n in self.servers if n.rsplit("-", 1)[0] == service]
        zones = ("zone-a", "zone-b", "zone-c")
        return [Target(n, self.proxies.get(n, self.servers[n]),
                       zones[i % len(zones)]) for i, n in enumerate(names)]

    def fault(self, name, **faults):
        """Sets faults of one component."""
        answer = call(self.control, "POST", f"/components/{name}",
                      body=json.dumps(faults))
        check(answer.status == 200, f"fault {name} {faults}: {answer.body}")

    def fault_all(self, prefix, **faults):
        """Sets faults of all components whose names start with `prefix`."""
        answer = call(self.control, "POST", f"/all/{prefix}",
                      body=json.dumps(faults))
        check(answer.status == 200, f"fault {prefix} {faults}: {answer.body}")

    def counters(self, name=None):
        """The counters of one component, or of all by name."""
        if name is None:
            return read_json(self.control, "/counters", timeout_s=30)
        return read_json(self.control, f"/components/{name}")["counters"]

    def sum_counter(self, counter, prefix=""):
        return sum(c.get(counter, 0) for n, c in self.counters().items()
                   if n.startswith(prefix))

    def runs(self):
        """Number of runs by request identity, over all backend servers."""
        return read_json(self.control, "/runs", timeout_s=60)

    # Entry instances.

    def start_instances(self, count, zones=("zone-a", "zone-b", "zone-c"),
                        wait=True, peers_through=None, **settings):
        """Starts instances and adds them to the instance list."""
        started = []
        for _ in range(count):
            started.append(self.start_instance(
                zone=zones[len(self.instances) % len(zones)],
                peers_through=peers_through, **settings))
        if wait and self.versions:
            self.wait_ready(started)
        return started

    def start_instance(self, number=None, zone="zone-a", listed=True,
                       peers_through=None, **settings):
        """Starts one instance.

        If an instance with this number exists, the new one takes its place.
        `peers_through` maps an instance's number to the peer address that the
        instance list shows for it, such as that of a proxy."""
        if number is None:
            number = len(self.instances)
        values = {
            "name": f"entry-{number}", "region": "test", "zone": zone,
            "callers": self.at(CALLERS_PORT + number),
            "operators": self.at(OPERATORS_PORT + number),
            "peers": self.at(PEERS_PORT + number),
            "log_service": self.proxies.get("log", self.at(LOG_PORT)),
            "instance_list": self.proxies.get("list", self.at(LIST_PORT)),
            "workers": 1, "address_lifetime_ms": 1000}
        values.update(settings)
        instance = self.start_process(Instance(self, number, values))
        if number < len(self.instances):
            self.instances[number] = instance
        else:
            self.instances.append(instance)
        if listed:
            self.list_instance(instance, (peers_through or {}).get(number))
        return instance

    def list_instance(self, instance, peers=None):
        """Adds an instance to the instance list."""
        shown = {key: instance.settings[key]
                 for key in ("name", "region", "zone", "callers")}
        self.fault("instance-list",
                   add={**shown, "leaving": False,
                        "peers": peers or instance.settings["peers"]})

    def unlist_instance(self, instance):
        self.fault("instance-list", remove=instance.name)

    def wait_ready(self, instances=None):
        for instance in instances or self.instances:
            wait_until(lambda: instance.is_ready() or not instance.running,
                       f"{instance.name} is ready")
            check(instance.running, f"{instance.name} exited: "
                  f"{instance.log()[-500:]}")

    # Configuration.

    def document(self, services):
        """A configuration document with a section for each of the services."""
        text = "schema = 1\n"
        for service in services:
            text += f"[section.{service.name}]\n"
            text += self.section_text(service, f"section.{service.name}.")
        return text

    def section_text(self, service, table=""):
        """The TOML of one section, with default targets filled in."""
        if service.targets is None:
            service.targets = self.targets(service.name)
        return write_section(service, table)

    def append_edit(self, service, based_on=None, edit_id=None, log=None):
        """Appends an edit of one section to the log, without reading it back.

        Returns the version that the section has if the edit is accepted, or
        None if the append wasn't confirmed."""
        if based_on is None:
            based_on = self.versions.get(service.name, 0)
        record = encode_edit(service.name, service.team, based_on,
                             edit_id or uuid.uuid4().hex,
                             self.section_text(service))
        answer = try_call(log or self.at(LOG_PORT), "POST",
                          "/streams/config/records", body=record)
        if answer is None or answer.status != 201:
            return None
        return json.loads(answer.body)["offset"] + 1

    def publish(self, *services, wait=True):
        """Publishes edits based on the sections' current versions and waits
        until they are in force on all running instances."""
        for service in services:
            version = self.append_edit(service)
            check(version, f"the edit of {service.name} was not appended")
            self.versions[service.name] = version
        if wait:
            self.wait_in_force(self.versions)
            self.wait_ready([i for i in self.instances if i.running])

    def wait_in_force(self, versions, instances=None):
        """Waits until these versions, or later ones, are in force."""
        for instance in instances or [i for i in self.instances if i.running]:
            wait_until(lambda: self.has_versions(instance, versions),
                       f"{instance.name} has {versions} in force; at the "
                       f"start of the wait: {instance.versions()}")

    def has_versions(self, instance, versions):
        in_force = instance.versions()
        return all(in_force.get(name, 0) >= version
                   for name, version in versions.items())

    def run_guavacross(self, *arguments, timeout_s=60):
        """Runs a `guavacross` command to completion."""
        return subprocess.run(
            [self.build / "guavacross", *[str(a) for a in arguments]],
            stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True,
            timeout=timeout_s, cwd=self.out)

    # Checks.

    def check_own(self, answer, size=256):
        """Checks that `answer` is a backend server's complete answer to the
        request that was sent, and not to another one."""
        check(answer is not None, "no complete answer")
        check(answer.status == 200, f"expected status 200: {answer}")
        check(answer.body == answer_bytes(answer.identity, size),
              f"not the answer to this request: {answer}: {answer.body[:100]}")

    def check_runs(self, max_runs=1, prefix=""):
        """Checks that no request identity ran more than `max_runs` times.

        Requests without an identity are all counted as `no-id` and skipped."""
        excess_runs = {k: n for k, n in self.runs().items()
                   if n > max_runs and k != "no-id" and k.startswith(prefix)}
        check(not excess_runs, f"ran more than {max_runs} times: {excess_runs}")


def in_parallel(calls, threads=16):
    """Runs functions on a thread pool; returns their results in order."""
    with concurrent.futures.ThreadPoolExecutor(threads) as pool:
        return list(pool.map(lambda function: function(), calls))


class Background:
    """Calls a function in a loop on background threads until stopped."""

    def __init__(self, function, threads=4):
        self.results = []
        self._stop = threading.Event()
        self._function = function
        self._threads = [threading.Thread(target=self._run, daemon=True)
                         for _ in range(threads)]
        for thread in self._threads:
            thread.start()

    def _run(self):
        while not self._stop.is_set():
            self.results.append(self._function())

    def stop(self):
        self._stop.set()
        for thread in self._threads:
            thread.join()
        return self.results
