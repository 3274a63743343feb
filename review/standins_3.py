"""Helpers of the scripts in review/11 to review/15: entry instances with the
command of deploy/system.toml, the platform's store, and targets written by
hand. Everything runs on loopback addresses of its own."""

import http.client
import json
import os
import pathlib
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parents[1]
sys.path.insert(0, str(ROOT / "testsuite"))
import platform_standin  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2

# Ports in use on a deployment's addresses, and the number of these.
(STORE_PORT, TARGET_PORT, FRONT_PORT, READY_PORT, DIRECTORY_PORT, SEED_PORT,
 PEERS_PORT, RELAY_PORT, OPERATORS_PORT) = PORTS = (
     8142, 8544, 8144, 8140, 8143, 8146, 7660, 7675, 7661)
MAX_HOSTS = 40


class CannotRun(Exception):
    """The case could not be run."""


class Record:
    """Writes record.txt in the folder of the case."""

    def __init__(self, case_file):
        self._file = open(pathlib.Path(case_file).parent / "record.txt", "w",
                          encoding="utf-8")
        self._lock = threading.Lock()
        self.begin = time.monotonic()

    def write(self, text):
        with self._lock:
            at = time.monotonic() - self.begin
            self._file.write(f"{at:8.3f} s  {text}\n")
            self._file.flush()


def wait_until(event, what, limit_s=30):
    end = time.monotonic() + limit_s
    while not event():
        if time.monotonic() > end:
            raise CannotRun(f"not within {limit_s} s: {what}")
        time.sleep(0.02)


class Deployment:
    """A store, targets and instances; ends all of them at the end."""

    def __init__(self, case_file):
        self.record = Record(case_file)
        self.folder = tempfile.TemporaryDirectory(prefix="review-")
        self.network = self._free_network()
        self._next_host = 1
        self.instances = []
        self.store_address = f"{self.new_ip()}:{STORE_PORT}"
        self.store = platform_standin.Store(self.store_address)

    @staticmethod
    def _free_network():
        """A block of loopback addresses on which all ports are free."""
        for _ in range(50):
            network = (f"127.{random.randint(20, 250)}."
                       f"{random.randint(1, 250)}")
            try:
                for host in range(2, MAX_HOSTS + 2):
                    for port in PORTS:
                        with socket.socket() as probe:
                            probe.bind((f"{network}.{host}", port))
            except OSError:
                continue
            return network
        raise CannotRun("no free addresses")

    def new_ip(self):
        self._next_host += 1
        if self._next_host > MAX_HOSTS + 1:
            raise CannotRun("too many addresses")
        return f"{self.network}.{self._next_host}"

    def configure(self, version, routes, services, timeout_ms, limits=None,
                  tenants=None):
        """Routes are (name, path prefix, kind, service or list of weighted
        services)."""
        rows = []
        for name, prefix, kind, service in routes:
            split = None
            if isinstance(service, list):
                split, service = service, None
            rows.append([name, "shop.example", prefix, kind, timeout_ms,
                         min(1200, timeout_ms), 1, split, 2, service])
        config = {
            "Version": version,
            "Routes": {"Columns": ["Name", "Host", "PathPrefix", "Kind",
                                   "TimeoutMs", "SloMs", "Priority", "Split",
                                   "Attempts", "Service"], "Rows": rows},
            "Services": {"Columns": ["Name", "HealthPath", "MaxConns",
                                     "Protocol", "Tls"],
                         "Rows": [[name, "/health", 260, "h1", False]
                                  for name in services]},
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 1048576,
                       "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000,
                       **(limits or {})}}
        if tenants is not None:
            config["Tenants"] = tenants
        self.store.append("keyed.op", "config", config)

    def start_instance(self, bounds=None, seeds=None):
        instance = Instance(self, len(self.instances), bounds or {}, seeds)
        self.instances.append(instance)
        instance.start()
        return instance

    def start_ready(self, count, bounds=None):
        """Starts instances and waits until they are in touch."""
        for _ in range(count):
            self.start_instance(bounds)
        for instance in self.instances:
            wait_until(instance.is_ready, "an instance is ready")
        time.sleep(STABLE_S + 1)

    def close(self):
        for instance in self.instances:
            instance.end()
        self.folder.cleanup()


class Instance:
    """`target/guavacross platform` with the settings that
    deploy/settings.toml.in gives for a small deployment."""

    def __init__(self, deployment, number, bounds, seeds):
        self.deployment, self.number = deployment, number
        ip = deployment.new_ip()
        self.ip = ip
        self.front, self.ready, self.directory = (
            f"{ip}:{port}" for port in (FRONT_PORT, READY_PORT, DIRECTORY_PORT))
        self.relay = f"{ip}:{RELAY_PORT}"
        figures = {"drain_ms": 2000, "grace_s": 6, "address_lifetime_s": 4,
                   "address_lifetime_max_s": 5, "max_descriptors": 10250,
                   "retry_share": 0.2, "retry_extra": 62,
                   "probes_per_target_second": 60, "max_pipelined": 8,
                   "zone_ms_per_mb": 1000, **bounds}
        if seeds is None:
            seeds = [f"{each.ip}:{SEED_PORT}" for each in deployment.instances[:3]]
        settings = {
            "name": f"edge-a-{number}", "region": "r", "zone": "zone-a",
            "callers": self.front, "ready": self.ready,
            "directory": self.directory, "peers": f"{ip}:{PEERS_PORT}",
            "relay": self.relay, "operators": f"{ip}:{OPERATORS_PORT}",
            "seeds": list(seeds), "store": deployment.store_address}
        self.settings_path = (pathlib.Path(deployment.folder.name)
                              / f"edge-{number}.toml")
        self.settings_path.write_text(
            "".join(f"{key} = {json.dumps(value)}\n"
                    for key, value in settings.items())
            + "".join(f'{key} = "{value}"\n' for key, value in figures.items()),
            encoding="utf-8")
        self.process = None

    def start(self):
        program = ROOT / "target" / "guavacross"
        if not program.exists():
            raise CannotRun("target/guavacross has not been built")
        log = open(f"{self.settings_path}.log", "ab")
        self.process = subprocess.Popen(
            [program, "platform"], cwd=ROOT, stdout=log, stderr=log,
            env={"PATH": os.environ.get("PATH", ""), "LANG": "C.UTF-8",
                 "GUAVACROSS_SETTINGS": str(self.settings_path)})
        log.close()

    def log(self):
        with open(f"{self.settings_path}.log", encoding="utf-8",
                  errors="replace") as file:
            return file.read()

    def is_ready(self):
        try:
            with urllib.request.urlopen(f"http://{self.ready}/ready",
                                        timeout=1) as answer:
                return answer.status == 200
        except OSError:
            return False

    def signal(self, number):
        self.deployment.record.write(
            f"{signal.Signals(number).name} to edge-a-{self.number}")
        self.process.send_signal(number)

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            self.process.wait()


class Target:
    """A target that registers itself, answers health checks at once, runs
    `slots` requests, queues `QUEUE` more and refuses the rest as not executed.
    `answer` is called with the target, the connection, the head's fields and
    the body of each request that it runs. It returns whether the connection is
    kept."""

    QUEUE = 8

    def __init__(self, deployment, name, service, answer, slots=4):
        self.deployment, self.name, self.service = deployment, name, service
        self.answer, self.slots = answer, slots
        self.address = f"{deployment.new_ip()}:{TARGET_PORT}"
        self.born = int(time.time() * 1000)
        self.seq = 0
        # Requests that are run or queued.
        self._taken = 0
        self._count_lock = threading.Lock()
        self._free_slots = threading.Semaphore(slots)
        # (time, request id) of each run.
        self.runs = []
        ip, port = self.address.rsplit(":", 1)
        self._listener = socket.create_server((ip, int(port)), backlog=256)
        threading.Thread(target=self._accept, daemon=True).start()
        self.register()
        threading.Thread(target=self._beat, daemon=True).start()

    def register(self, state="ready"):
        self.seq += 1
        self.deployment.store.append("keyed.servers", self.name, {
            "Service": self.service, "Address": self.address,
            "Zone": "zone-a", "Version": "v1", "Slots": self.slots,
            "State": state, "WarmupLeftMs": 0, "Seq": self.seq,
            "born": self.born})

    def _beat(self):
        while True:
            time.sleep(1.5)
            self.register()

    def _accept(self):
        while True:
            connection, _ = self._listener.accept()
            threading.Thread(target=self._serve, args=(connection,),
                             daemon=True).start()

    def _serve(self, connection):
        try:
            data = b""
            while True:
                while b"\r\n\r\n" not in data:
                    piece = connection.recv(65536)
                    if not piece:
                        return
                    data += piece
                head, data = data.split(b"\r\n\r\n", 1)
                lines = head.decode("latin-1").split("\r\n")
                fields = {name.strip().lower(): value.strip()
                          for name, value in (line.split(":", 1)
                                              for line in lines[1:])}
                length = int(fields.get("content-length", 0))
                while len(data) < length:
                    piece = connection.recv(65536)
                    if not piece:
                        return
                    data += piece
                body, data = data[:length], data[length:]
                if lines[0].split()[1] == "/health":
                    connection.sendall(
                        b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"
                        + f"X-Instance-Id: {self.name}\r\n"
                          f"X-Server-Load: {self._load()}\r\n\r\n".encode())
                    continue
                if fields.get("x-expected-instance") != self.name:
                    self._refuse(connection, "421 Misdirected", fields)
                    continue
                fields[":line"] = lines[0]
                if not self._take(connection, fields, body):
                    return
        except OSError:
            pass
        finally:
            connection.close()

    def _take(self, connection, fields, body):
        """Runs a request in its turn; returns whether the connection is kept."""
        arrived = time.monotonic()
        with self._count_lock:
            is_full = self._taken >= self.slots + self.QUEUE
            self._taken += 0 if is_full else 1
        if is_full:
            self._refuse(connection, "503 Full", fields)
            return True
        try:
            with self._free_slots:
                waited_ms = (time.monotonic() - arrived) * 1000
                if waited_ms >= int(fields.get("x-deadline-ms", 60000)):
                    self._refuse(connection, "503 Late", fields)
                    return True
                return self.answer(self, connection, fields, body)
        finally:
            with self._count_lock:
                self._taken -= 1

    @staticmethod
    def _refuse(connection, status, fields):
        connection.sendall(f"HTTP/1.1 {status}\r\nContent-Length: 0\r\n"
                           f"X-Request-Id: {fields.get('x-request-id')}\r\n"
                           "X-Not-Executed: 1\r\n\r\n".encode())

    def _load(self):
        running = min(self._taken, self.slots)
        return f"{running},{self._taken - running},{self.slots},100"

    def head(self, status, request, length, more=""):
        return (f"HTTP/1.1 {status}\r\nContent-Length: {length}\r\n"
                f"X-Request-Id: {request}\r\n"
                f"X-Response-Signature: s.{self.name}.{request}\r\n"
                f"X-Server-Load: {self._load()}\r\n{more}\r\n").encode()

    def run(self, request):
        self.runs.append((time.monotonic(), request))
        self.deployment.record.write(f"{self.name} runs {request}")


class CrashingTarget(Target):
    """Crashes when it has begun to run a request for which `is_deadly`, called
    with the head's fields, is true, and is back after some seconds under the
    same id, as PROTOCOL.md says of such requests. `before_crash` is called with
    the target, the connection and the request's id."""

    DOWN_S = 2.0
    WORK_S = 0.08

    def __init__(self, deployment, name, service, is_deadly,
                 before_crash=lambda *_: None):
        self._is_deadly, self._before_crash = is_deadly, before_crash
        self._open = set()
        self._down = False
        # Requests that it runs, and (time, request id) of each crash.
        self.running = set()
        self.crashes = []
        # Requests of others that it ran when it crashed.
        self.cut_off = []
        super().__init__(deployment, name, service, CrashingTarget._run)

    def register(self, state="ready"):
        if not self._down:
            super().register(state)

    def _serve(self, connection):
        if self._down:
            reset(connection)
            return
        self._open.add(connection)
        try:
            super()._serve(connection)
        finally:
            self._open.discard(connection)

    def _run(self, connection, fields, _):
        if self._down:
            # It was queued when the target ended.
            return False
        request = fields["x-request-id"]
        self.run(request)
        if self._is_deadly(fields):
            self._before_crash(self, connection, request)
            self._crash(request)
            return False
        self.running.add(request)
        time.sleep(self.WORK_S)
        if self._down:
            return False
        self.running.discard(request)
        answer = b"answer"
        connection.sendall(self.head("200 OK", request, len(answer)) + answer)
        return True

    def _crash(self, request):
        if self._down:
            return
        self._down = True
        self.crashes.append((time.monotonic(), request))
        self.cut_off += self.running
        self.running = set()
        self.deployment.record.write(f"{self.name} crashes while it runs "
                                     f"{request}")
        for connection in list(self._open):
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
        threading.Timer(self.DOWN_S, self._start_again).start()

    def _start_again(self):
        self.born, self.seq, self._down = int(time.time() * 1000), 0, False
        self.register()
        self.deployment.record.write(f"{self.name} is back")


class Callers:
    """Clients that send one request after the other, each on a new connection,
    to the instances in turn."""

    def __init__(self, deployment):
        self.deployment = deployment
        # (time of sending, request id, status or the reason for none).
        self.sent = []

    def call(self, instance, method, path, request, fields, body, deadline_ms):
        connection = http.client.HTTPConnection(instance.front, timeout=3)
        try:
            connection.request(method, path, body=body, headers={
                "Host": "shop.example", "X-Request-Id": request,
                "X-Deadline-Ms": str(deadline_ms), **fields})
            response = connection.getresponse()
            response.read()
            return response.status
        except (OSError, http.client.HTTPException) as error:
            return type(error).__name__
        finally:
            connection.close()

    def send_all(self, name, method, path, gap_s, until, fields=None,
                 body=None, deadline_ms=1500):
        """`path` may be called with the number of the request."""
        number = 0
        while time.monotonic() < until:
            instance = self.deployment.instances[
                (number + len(name)) % len(self.deployment.instances)]
            request = f"{name}-{number}"
            line = path(number) if callable(path) else path
            sent_at = time.monotonic()
            status = self.call(instance, method, line, request, fields or {},
                               body, deadline_ms)
            self.sent.append((sent_at, request, status))
            self.deployment.record.write(
                f"{request} {method} {line} to edge-a-{instance.number} "
                f"answered {status}")
            number += 1
            time.sleep(gap_s)

    def play(self, clients):
        """Runs `send_all` for each of the argument lists at once."""
        threads = [threading.Thread(target=self.send_all, args=arguments,
                                    kwargs=named)
                   for arguments, named in clients]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()


# "more than three retries"
ALLOWED_RETRIES = 3
STABLE_S = 3.0


def judge_crashing_request(deployment, callers, targets, deadly, others):
    """Checks BUDGET's sentence on requests that crash their targets. `deadly`
    and `others` are the beginnings of the ids of the deadly requests and of
    the unsafe ones of other callers."""
    crashes = sorted(crash for target in targets for crash in target.crashes)
    ran = {request for target in targets for _, request in target.runs}
    third = crashes[2][0] if len(crashes) > 2 else float("inf")
    late = [request for at, request, _ in callers.sent
            if request.startswith(deadly) and at > third + STABLE_S
            and request in ran]
    unsafe = {request: status for _, request, status in callers.sent
              if request.startswith(others)}
    failed = [request for target in targets for request in target.cut_off
              if unsafe.get(request, 200) != 200]
    served = sum(status == 200 for status in unsafe.values())
    summary = (f"{len(crashes)} crashes of targets; {len(late)} retries, sent "
               f"later than {STABLE_S} s after the third crash, reached targets "
               f"({ALLOWED_RETRIES} allowed); of {len(unsafe)} unsafe requests "
               f"of others {served} were answered with success and "
               f"{len(failed)} ended with the target that ran them")
    deployment.record.write(summary)
    print(summary)
    if served < 100:
        raise CannotRun("the other requests were hardly served")
    return len(late) <= ALLOWED_RETRIES


def reset(connection):
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                          struct.pack("ii", 1, 0))
    connection.close()


def main(case_file, play):
    """Runs a case: `play(deployment)` returns whether the rule held."""
    def end(*_):
        raise CannotRun("ended by a signal")

    signal.signal(signal.SIGTERM, end)
    deployment, code = None, NOT_RUN
    try:
        deployment = Deployment(case_file)
        held = play(deployment)
        deployment.record.write("the rule held" if held
                                else "the rule was broken")
        code = HELD if held else BROKEN
    except (Exception, KeyboardInterrupt) as error:
        # Whatever else goes wrong is no broken rule.
        print(f"could not run: {error!r}")
    finally:
        if deployment is not None:
            deployment.close()
    sys.stdout.flush()
    # Without waiting for the threads of stand-ins.
    os._exit(code)
