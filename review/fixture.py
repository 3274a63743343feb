"""Starts a small deployment for the cases of this review: the project's own
instances, as separate processes with the command and the settings template of
the deploy file, and stand-ins for the platform's store and the backend servers.

Everything listens on loopback addresses of its own. A case derives from `Case`
and is run by `run`, which writes record.txt and ends all processes.
"""

import base64
import collections
import contextlib
import http.client
import http.server
import json
import os
import pathlib
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[1]

HOST = "shop.example"
DRAIN_MS = 2000
STABLE_MS = 3000
CONFIG_MS = 2000
HEARTBEAT_S = 1.5
MAX_INSTANCES = 6
# A case that takes longer ends as one that couldn't run.
LONGEST_S = 118

# Time for a start, a listing and the exchange between instances.
START_TIMEOUT_S = 30


class CannotRun(Exception):
    """The case couldn't be set up; says nothing about the rule."""


def wait_until(event, what, max_wait_s=START_TIMEOUT_S):
    """Polls `event` until it is true. Raises CannotRun after `max_wait_s`."""
    end = time.monotonic() + max_wait_s
    while not event():
        if time.monotonic() > end:
            raise CannotRun(f"waited {max_wait_s} s in vain until {what}")
        time.sleep(0.02)


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._start = time.monotonic()
        self._lock = threading.Lock()

    def add(self, who, what):
        with self._lock:
            now = time.monotonic() - self._start
            self._file.write(f"{now:8.3f} s  {who}: {what}\n")
            self._file.flush()


class _Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128

    def __init__(self, *arguments):
        self._open = set()
        super().__init__(*arguments)

    def process_request(self, request, client_address):
        self._open.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request):
        self._open.discard(request)
        super().shutdown_request(request)

    def end(self):
        """Stops listening and closes all connections."""
        self.shutdown()
        self.server_close()
        for connection in list(self._open):
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)

    def handle_error(self, *_):
        """Instances reset connections in normal operation."""


class _Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *_):
        pass

    def answer(self, status, body=b"", headers=()):
        """Sends a whole answer in one write."""
        lines = [f"HTTP/1.1 {status} {http.client.responses.get(status, '')}"]
        lines += [f"{name}: {value}" for name, value in headers]
        lines.append(f"Content-Length: {len(body)}")
        head = "\r\n".join(lines) + "\r\n\r\n"
        self.wfile.write(head.encode("latin-1") + body)
        self.wfile.flush()


def serve(address, handler):
    ip, port = address.rsplit(":", 1)
    server = _Server((ip, int(port)), handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server


class Store:
    """The platform's store: keyed topics as on the pages. `append` writes as
    the operator and the backend servers do."""

    def __init__(self, address, record):
        self.address = address
        self._record = record
        self._topics = collections.defaultdict(list)
        self._changed = threading.Condition()
        # Source IP addresses that get no answer while they are in the set.
        self.silent_for = set()
        store = self

        class Handler(_Handler):
            def do_GET(self):
                store._answer(self)

            do_POST = do_GET

        self._server = serve(address, Handler)

    def append(self, topic, key, value):
        """Appends a record; a value of None drops the key. Returns the time of
        the store's acknowledgement."""
        key = key if isinstance(key, bytes) else key.encode()
        if isinstance(value, dict):
            value = json.dumps(value).encode()
        with self._changed:
            self._topics[topic].append((key, value))
            offset = len(self._topics[topic]) - 1
            self._changed.notify_all()
            shown = "(dropped)" if value is None else value[:300]
            self._record.add("store", f"{topic} offset {offset}: {key!r} = {shown!r}")
            return time.monotonic()

    def _answer(self, handler):
        if handler.client_address[0] in self.silent_for:
            while handler.client_address[0] in self.silent_for:
                time.sleep(0.05)
            handler.close_connection = True
            return
        url = urllib.parse.urlsplit(handler.path)
        query = dict(urllib.parse.parse_qsl(url.query))
        body = handler.rfile.read(int(handler.headers.get("Content-Length") or 0))
        if url.path == "/log-newest":
            status, answer = 200, self._newest(query["Topic"])
        elif url.path == "/log-read":
            status, answer = self._read(query["Topic"], int(query["From"]),
                                        int(query.get("WaitMs", 0)))
        elif url.path == "/log-append":
            status, answer = self._append_from_instance(query["Topic"], body)
        else:
            status, answer = 404, b""
        if handler.client_address[0] in self.silent_for:
            handler.close_connection = True
            return
        handler.answer(status, answer, [("Store-Era", "1")])

    def _append_from_instance(self, topic, body):
        if topic in ("keyed.op", "keyed.servers"):
            return 403, b""
        first = len(self._topics[topic])
        while body:
            size, = struct.unpack_from(">I", body)
            content, body = body[4:4 + size], body[4 + size:]
            key_end = 1 + content[0]
            self.append(topic, content[1:key_end], content[key_end:] or None)
        return 200, json.dumps({"Offset": first,
                                "End": len(self._topics[topic])}).encode()

    def _newest(self, topic):
        with self._changed:
            log = list(self._topics[topic])
        newest = {key: (offset, value)
                  for offset, (key, value) in enumerate(log)}
        items = [{"Key": key.decode(errors="replace"), "Offset": offset,
                  "Value": base64.b64encode(value).decode()}
                 for key, (offset, value) in sorted(newest.items())
                 if value is not None]
        return json.dumps({"items": items, "HasMore": False,
                           "End": len(log)}).encode()

    def _read(self, topic, first, wait_ms):
        end = time.monotonic() + wait_ms / 1000
        with self._changed:
            while len(self._topics[topic]) <= first and time.monotonic() < end:
                self._changed.wait(end - time.monotonic())
            log = list(self._topics[topic])
        if first > len(log):
            return 410, json.dumps({"First": 0}).encode()
        body = struct.pack(">QQ", len(log), 0)
        for key, value in log[first:]:
            content = bytes([len(key)]) + key + (value or b"")
            body += struct.pack(">I", len(content)) + content
        return 200, body


class Target:
    """A backend server that registers itself in the store.

    It writes its entry every `HEARTBEAT_S`, answers status checks at once with
    its load, and runs other requests for `work_s`. A case overrides `run` or
    `check` for a fault."""

    def __init__(self, case, name, service, work_s=0.02):
        self.case, self.name, self.service = case, name, service
        self.work_s = work_s
        self.address = case.free_address()
        self.state = "ready"
        self.seq = 0
        self.born = int(time.time() * 1000)
        # (time, request id, instance's address) of each run, at its start.
        self.runs = []
        self._heartbeats = True
        target = self

        class Handler(_Handler):
            # What this connection has seen; for faults of a connection.
            memory = None

            def setup(self):
                super().setup()
                self.memory = {}

            def do_GET(self):
                length = int(self.headers.get("Content-Length") or 0)
                self.body = self.rfile.read(length)
                if self.path == "/health":
                    target.check(self)
                else:
                    target.accept(self)

            do_POST = do_DELETE = do_GET

        self._server = serve(self.address, Handler)
        self.beat()
        threading.Thread(target=self._beat, daemon=True).start()

    def _beat(self):
        while True:
            time.sleep(HEARTBEAT_S)
            if self._heartbeats:
                self.beat()

    def entry(self):
        return {"Service": self.service, "Address": self.address,
                "Zone": "zone-a", "Version": "v1", "Slots": 4,
                "State": self.state, "WarmupLeftMs": 0, "Seq": self.seq,
                "born": self.born}

    def beat(self):
        self.seq += 1
        return self.case.store.append("keyed.servers", self.name, self.entry())

    def leave_without_notice(self):
        """Its entry is removed; it goes on serving."""
        self._heartbeats = False
        return self.case.store.append("keyed.servers", self.name, None)

    def exit(self):
        """Stops listening and closes all connections, as its process's end."""
        self._heartbeats = False
        self.case.record.add(self.name, "exits")
        self._server.end()

    def load(self):
        return [("X-Server-Load", "0,0,4,100"), ("X-Instance-Id", self.name)]

    def check(self, handler):
        handler.answer(200, b"{}", self.load())

    def accept(self, handler):
        if handler.headers.get("X-Expected-Instance", self.name) != self.name:
            handler.answer(421, b"", [("X-Instance-Id", self.name)])
            return
        self.run(handler, handler.headers["X-Request-Id"])

    def begin(self, handler, request):
        """Notes that the target begins to work on a request."""
        self.runs.append((time.monotonic(), request, handler.client_address[0]))
        self.case.record.add(self.name, f"runs {handler.command} "
                             f"{handler.path} id {request} "
                             f"from {handler.client_address[0]}")

    def whole_answer(self, request):
        """Body and headers of the answer to a request that it has run."""
        return (f"{self.name} ran {request}".encode(),
                [("X-Request-Id", request),
                 ("X-Response-Signature", f"s.{self.name}.{request}")] +
                self.load())

    def run(self, handler, request):
        self.begin(handler, request)
        time.sleep(self.work_s)
        handler.answer(200, *self.whole_answer(request))


class Answer:
    def __init__(self, status, headers, body):
        self.status, self.body = status, body
        self.headers = {name.lower(): value for name, value in headers}

    @property
    def signature(self):
        return self.headers.get("x-response-signature")

    def __str__(self):
        return (f"{self.status}, signature {self.signature}, "
                f"{len(self.body)} bytes")


class Instance:
    """One process of the system, with the command of the deploy file."""

    def __init__(self, case, number, seeds):
        self.case, self.name = case, f"edge-{number}"
        self.ip = case.ip(number)
        front, ready, control, directory, peers, relay = case.ports
        self.front = f"{self.ip}:{front}"
        self.ready_address = f"{self.ip}:{ready}"
        self._settings = case.folder / f"{self.name}.settings"
        self._settings.write_text(render(
            (ROOT / case.role["template"]).read_text(), {
                "Node": self.name, "Region": "region", "Zone": "zone-a",
                "Ip": self.ip, "Seeds": seeds,
                "Listen": {"Front": self.front, "Ready": self.ready_address,
                           "Control": f"{self.ip}:{control}",
                           "Directory": f"{self.ip}:{directory}"},
                "InternalPorts": [peers, relay],
                "Platform": {"Address": case.store.address},
                "Limits": {"MaxFds": 10250},
                "Bounds": {"DrainMs": DRAIN_MS, "GraceS": 6, "ttl_max_s": 5,
                           "RetryBudgetRatio": 0.2, "BudgetExtra": 62,
                           "ProbesPerS": 60}}))
        self.process = None
        self.start()

    def start(self):
        with open(self.case.folder / f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen(
                self.case.role["run"].split(), cwd=ROOT, stdout=log,
                stderr=subprocess.STDOUT, stdin=subprocess.DEVNULL,
                env={"PATH": os.environ.get("PATH", ""),
                     "GUAVACROSS_SETTINGS": str(self._settings)})
        self.case.processes.append(self.process)
        self.case.record.add(self.name, "started")

    def kill(self):
        self.process.kill()
        self.process.wait()
        self.case.record.add(self.name, "killed")

    def is_ready(self):
        connection = http.client.HTTPConnection(self.ready_address, timeout=2)
        try:
            connection.request("GET", "/ready")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()

    def call(self, method, path, request, body=None, deadline_ms=1500,
             timeout_s=None):
        """Sends a request as a client does; None without a whole answer."""
        connection = http.client.HTTPConnection(
            self.front, timeout=timeout_s or deadline_ms / 1000)
        self.case.record.add("client", f"sends {method} {path} id {request} "
                             f"to {self.name}")
        try:
            connection.request(method, path, body=body, headers={
                "Host": HOST, "X-Request-Id": request,
                "X-Deadline-Ms": str(deadline_ms)})
            response = connection.getresponse()
            answer = Answer(response.status, response.getheaders(),
                            response.read())
            self.case.record.add("client", f"gets for id {request}: {answer}")
            return answer
        except (OSError, http.client.HTTPException) as error:
            self.case.record.add("client", f"gets no whole answer for id "
                                 f"{request}: {type(error).__name__}")
            return None
        finally:
            connection.close()


def _value(fields, name):
    for part in name.split("."):
        if isinstance(fields, list):
            fields = fields[int(part)] if int(part) < len(fields) else None
        else:
            fields = fields.get(part) if isinstance(fields, dict) else None
    return fields


def render(template, fields):
    """Fills in a settings template as far as the deploy file's one needs it:
    values, and sections over lists of texts."""
    def section(match):
        items = _value(fields, match[1]) or []
        return "".join(
            match[2].replace("{{.}}", str(item)).replace(
                "{{,}}", "," if i + 1 < len(items) else "")
            for i, item in enumerate(items))

    def value(match):
        found = _value(fields, match[1])
        return "" if found is None else str(found)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template,
                  flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", value, text)


def configuration(version, routes, services):
    """The operator's configuration. `routes` are rows of name, path prefix,
    kind, time-out in ms, attempts and service."""
    return {
        "Version": version,
        "Routes": {
            "Columns": ["Name", "Host", "PathPrefix", "Kind", "TimeoutMs",
                        "SloMs", "Priority", "Split", "Attempts", "Service"],
            "Rows": [[name, HOST, prefix, kind, timeout_ms, 600, 1, None,
                      attempts, service]
                     for name, prefix, kind, timeout_ms, attempts, service
                     in routes]},
        "Services": {
            "Columns": ["Name", "HealthPath", "MaxConns", "Protocol", "Tls"],
            "Rows": [[name, "/health", 260, "h1", False]
                     for name in services]},
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864,
                   "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}}


class Case:
    """One case: its addresses, stand-ins and processes."""

    def __init__(self, folder):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(folder / "record.txt")
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.processes = []
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.role = next(iter(deploy["roles"].values()))
        program = ROOT / self.role["run"].split()[0]
        if not program.exists():
            raise CannotRun(f"{program} isn't built")
        pid = os.getpid()
        self._net = f"127.{20 + pid % 200}.{pid // 200 % 250}"
        # Ports are the same on all machines.
        self.ports = [self._common_port() for _ in range(6)]
        self.store = Store(self.free_address(), self.record)

    def ip(self, number):
        """The loopback address of an instance."""
        return f"{self._net}.{10 + number}"

    def free_address(self):
        """An address for a stand-in, with a free port."""
        with socket.socket() as probe:
            probe.bind((f"{self._net}.1", 0))
            return f"{self._net}.1:{probe.getsockname()[1]}"

    def _common_port(self):
        """A port that is free on the addresses of all instances."""
        for _ in range(100):
            port = int(self.free_address().rsplit(":", 1)[1])
            try:
                for number in range(1, MAX_INSTANCES + 1):
                    with socket.socket() as probe:
                        probe.bind((self.ip(number), port))
                return port
            except OSError:
                continue
        raise CannotRun("no port is free on all addresses")

    def configure(self, version, routes, services):
        return self.store.append(
            "keyed.op", "config", configuration(version, routes, services))

    def start_instances(self, count):
        seeds = [f"{self.ip(number)}:{self.ports[2]}"
                 for number in range(1, count + 1)][:3]
        instances = [Instance(self, number, seeds)
                     for number in range(1, count + 1)]
        for instance in instances:
            wait_until(instance.is_ready, f"{instance.name} is ready")
        # Until the instances know each other and are in touch.
        time.sleep(STABLE_MS / 1000)
        return instances

    def end(self):
        for process in self.processes:
            if process.poll() is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                    process.kill()
            process.wait()
        if "REVIEW_KEEP_LOGS" in os.environ:
            print("logs in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def _stop(number, _frame):
    raise CannotRun(f"ended by signal {number}")


def run(file, body):
    """Runs `body(case)`, which returns whether the rule was broken and says in
    the record what it has counted. Exits with 1, 0, or 2 if it couldn't run."""
    folder = pathlib.Path(file).resolve().parent
    case = None
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGALRM):
        signal.signal(number, _stop)
    signal.alarm(LONGEST_S)
    try:
        case = Case(folder)
        broken = body(case)
        verdict = "BROKEN" if broken else "held"
        case.record.add("verdict", verdict)
        print(verdict, "(with the disruption)" if case.trouble
              else "(without the disruption)", flush=True)
        code = 1 if broken else 0
    except (CannotRun, OSError, StopIteration) as error:
        print("couldn't run:", error, file=sys.stderr, flush=True)
        code = 2
    finally:
        if case is not None:
            case.end()
    # Threads of the stand-ins may still sleep.
    os._exit(code)
