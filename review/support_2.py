"""Stand-ins and helpers of the second review's scripts.

They play the platform's store, its operator, backend servers ("targets") and
clients by the users' pages, all in one process, and start instances of the
program with the command and the settings template of the deploy file. All
addresses are loopback addresses."""

import asyncio
import base64
import json
import os
import pathlib
import re
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "shop.example"

# Exit codes of a script.
HELD, BROKEN, NOT_RUN = 0, 1, 2

# The ports of a deployment, the same on all its addresses; `Deployment` moves
# them if one is in use. That of the operators stands in the deploy file's
# template.
PORTS = {"front": 8144, "ready": 8140, "directory": 8143, "control": 8146,
         "peers": 7670, "relay": 7675, "store": 8142, "target": 8283}
OPERATORS_PORT = 7661


def trouble():
    """Whether the disruption is brought about."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """What was sent, answered and run: one JSON object a line."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self.begun_at = time.monotonic()

    def add(self, event, **fields):
        at = round(time.monotonic() - self.begun_at, 4)
        self._file.write(json.dumps({"s": at, "event": event, **fields}) + "\n")

    def close(self):
        self._file.close()


# Messages -------------------------------------------------------------------


class Head:
    """The head of a request or an answer."""

    def __init__(self, lines):
        self.first = lines[0]
        self.fields = []
        for line in lines[1:]:
            name, _, value = line.partition(":")
            self.fields.append((name.strip().lower(), value.strip()))

    def get(self, name, default=None):
        for each, value in self.fields:
            if each == name.lower():
                return value
        return default


class Ended(Exception):
    """The connection ended before the message was complete."""


async def read_head(reader):
    """The next head; None if the connection ends before its first byte."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise Ended("inside of a head") from None
        return None
    except OSError:
        return None
    return Head(data.decode("latin-1").rstrip("\r\n").split("\r\n"))


async def read_body(reader, head):
    """The body of a request."""
    try:
        if (head.get("transfer-encoding") or "").lower() == "chunked":
            body = b""
            while True:
                size = int((await reader.readline()).split(b";")[0], 16)
                if size == 0:
                    while (await reader.readline()).strip():
                        pass
                    return body
                body += await reader.readexactly(size)
                await reader.readexactly(2)
        return await reader.readexactly(int(head.get("content-length") or 0))
    except (asyncio.IncompleteReadError, ValueError, OSError) as error:
        raise Ended(f"inside of a body: {error}") from None


async def read_answer(reader, method="GET"):
    """One answer: (head, body, whether the connection may be used further).
    Raises `Ended` if it isn't complete; its `args` then hold the head if it has
    arrived."""
    while True:
        head = await read_head(reader)
        if head is None:
            raise Ended("no answer", None)
        status = int(head.first.split()[1])
        if not 100 <= status < 200:
            break
    if method == "HEAD" or status in (204, 304):
        body = b""
    elif (head.get("transfer-encoding") or "").lower() == "chunked":
        try:
            body = await read_body(reader, head)
        except Ended as error:
            raise Ended(str(error), head) from None
    elif head.get("content-length") is not None:
        try:
            body = await reader.readexactly(int(head.get("content-length")))
        except (asyncio.IncompleteReadError, OSError):
            raise Ended("inside of a body", head) from None
    else:
        body = await reader.read(-1)
        return status, head, body, False
    keep = (head.get("connection") or "").lower() != "close"
    return status, head, body, keep


def message(first, fields, body=b""):
    lines = [first] + [f"{name}: {value}" for name, value in fields]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def abort(writer):
    """Resets a connection."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                            struct.pack("ii", 1, 0))
        except OSError:
            pass
    writer.transport.abort()


# The platform's store --------------------------------------------------------


class Store:
    """The store: linearizable, keeps all records, 4 ms an answer."""

    def __init__(self, ip, port):
        self.address = f"{ip}:{port}"
        self._ip, self._port = ip, port
        self.topics = {}
        self._changed = asyncio.Event()
        self.calls = 0
        # Called before each answer with (path, query); may sleep, or return
        # bytes to send in place of the answer, or "drop".
        self.hook = None

    async def start(self):
        self._server = await asyncio.start_server(self._serve, self._ip,
                                                  self._port)

    def append(self, topic, key, value):
        text = (None if value is None
                else json.dumps(value, separators=(",", ":")).encode()
                if not isinstance(value, bytes) else value)
        self.topics.setdefault(topic, []).append((key.encode(), text))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                body = await read_body(reader, head)
                self.calls += 1
                await self._answer(head, body, writer)
        except (Ended, OSError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, head, body, writer):
        path, _, query_text = head.first.split()[1].partition("?")
        from urllib.parse import parse_qsl
        query = dict(parse_qsl(query_text))
        await asyncio.sleep(0.004)
        if self.hook is not None:
            special = await self.hook(path, query)
            if special is not None:
                abort(writer)
                return
        if path == "/log-newest":
            status, answer = 200, self._newest(query["Topic"])
        elif path == "/log-read":
            status, answer = await self._read(query)
        elif path == "/log-append":
            status, answer = self._append(query["Topic"], body)
        else:
            status, answer = 404, b""
        writer.write(message(f"HTTP/1.1 {status} X",
                             [("Content-Length", len(answer))], answer))
        await writer.drain()

    def _append(self, topic, body):
        if topic in ("keyed.op", "keyed.servers"):
            return 403, b""
        first = len(self.topics.get(topic, []))
        at = 0
        while at < len(body):
            size, = struct.unpack_from(">I", body, at)
            content = body[at + 4:at + 4 + size]
            key_end = 1 + content[0]
            self.append(topic, content[1:key_end].decode("latin-1"),
                        bytes(content[key_end:]) or None)
            at += 4 + size
        return 200, json.dumps({"Offset": first, "End": len(
            self.topics.get(topic, []))}).encode()

    def _newest(self, topic):
        log = self.topics.get(topic, [])
        newest = {key: (offset, value)
                  for offset, (key, value) in enumerate(log)}
        items = [{"Key": key.decode(), "Offset": offset,
                  "Value": base64.b64encode(value).decode()}
                 for key, (offset, value) in newest.items()
                 if value is not None]
        return json.dumps({"items": items, "HasMore": False,
                           "End": len(log)}).encode()

    async def _read(self, query):
        topic, first = query["Topic"], int(query["From"])
        end = time.monotonic() + int(query.get("WaitMs", 0)) / 1000
        while len(self.topics.get(topic, [])) <= first:
            left = end - time.monotonic()
            if left <= 0:
                break
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                break
        log = self.topics.get(topic, [])
        if first > len(log):
            return 410, json.dumps({"First": 0}).encode()
        body = struct.pack(">QQ", len(log), 0)
        for key, value in log[first:]:
            content = bytes([len(key)]) + key + (value or b"")
            body += struct.pack(">I", len(content)) + content
            if len(body) > (1 << 20):
                break
        return 200, body


# Targets ---------------------------------------------------------------------


class Request:
    """A request as it arrived at a target."""

    def __init__(self, head, body):
        self.method, self.path, _ = head.first.split()
        self.head, self.body = head, body
        self.id = head.get("x-request-id")


class Target:
    """A backend server by the users' pages: it registers itself, answers
    status checks with its load, runs `slots` requests at once, queues 16 and
    refuses more as not executed, and gives 421 to what is meant for another."""

    def __init__(self, store, record, ip, port, name, service, zone="zone-a",
                 slots=4, work=None):
        self.store, self.record = store, record
        self.ip, self.port, self.name = ip, port, name
        self.service, self.zone, self.slots = service, zone, slots
        # Seconds of work and bytes of the answer's body for a request.
        self.work = work or (lambda request: (0.05, 400))
        # If set, called in place of the usual answer with (target, request,
        # writer, body); returns whether the connection is kept.
        self.answer = None
        # Ids of the requests that it has begun to run, and when.
        self.runs, self.run_times = [], []
        self.refused = 0
        self.misdirected = 0
        self._busy = 0
        self._free = asyncio.Semaphore(slots)
        self._seq = 0
        self._born = int(time.time() * 1000)
        self.state = "ready"
        self._writers = set()

    @property
    def address(self):
        return f"{self.ip}:{self.port}"

    async def start(self, advertised=None):
        self._advertised = advertised or self.address
        self._server = await asyncio.start_server(self._serve, self.ip,
                                                  self.port)
        self.register()
        self._beat = asyncio.create_task(self._beats())

    def register(self):
        self._seq += 1
        self.store.append("keyed.servers", self.name, {
            "Service": self.service, "Address": self._advertised,
            "Zone": self.zone, "Version": "v1", "Slots": self.slots,
            "State": self.state, "WarmupLeftMs": 0, "Seq": self._seq,
            "born": self._born})

    async def _beats(self):
        while True:
            await asyncio.sleep(1.5)
            self.register()

    def load(self):
        running = min(self._busy, self.slots)
        return [("X-Server-Load", f"{running},{self._busy - running},"
                                  f"{self.slots},100")]

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                if head.first.split()[1] == "/health":
                    self._write(writer, 200, [("X-Instance-Id", self.name)])
                    continue
                request = Request(head, await read_body(reader, head))
                if not await self._handle(request, reader, writer):
                    break
        except (Ended, OSError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def _write(self, writer, status, fields, body=b""):
        writer.write(message(f"HTTP/1.1 {status} X",
                             [*fields, *self.load(),
                              ("Content-Length", len(body))], body))

    async def _handle(self, request, reader, writer):
        known = [("X-Request-Id", request.id)] if request.id else []
        if request.head.get("x-expected-instance") not in (None, self.name):
            self.misdirected += 1
            self._write(writer, 421, [*known, ("X-Not-Executed", "1")])
            return True
        if self._busy >= self.slots + 16:
            self.refused += 1
            self._write(writer, 503, [*known, ("X-Not-Executed", "1")])
            return True
        self._busy += 1
        try:
            async with self._free:
                if reader.at_eof() or writer.transport.is_closing():
                    return False
                self.runs.append(request.id)
                self.run_times.append(time.monotonic())
                self.record.add("runs", target=self.name, id=request.id,
                                method=request.method, path=request.path)
                work_s, size = self.work(request)
                await asyncio.sleep(work_s)
                body = body_of(request.id, size)
                # A target stops work at the deadline that it was given.
                limit = int(request.head.get("x-deadline-ms") or 60000) / 1000
                try:
                    return await asyncio.wait_for(
                        self._send(request, writer, known, body), limit)
                except asyncio.TimeoutError:
                    return False
        finally:
            self._busy -= 1

    async def _send(self, request, writer, known, body):
        if self.answer is not None:
            return await self.answer(self, request, writer, body)
        self._write(writer, 200, [*known, self.signature(request)], body)
        await writer.drain()
        return True

    def signature(self, request):
        return ("X-Response-Signature", f"s.{self.name}.{request.id}")


def body_of(request_id, size):
    """The body of the answer to a request: can't be taken for another's."""
    line = f"{request_id};".encode()
    return (line * (size // len(line) + 1))[:size]


# Instances -------------------------------------------------------------------


class Instance:
    """An instance of the program, with the deploy file's command."""

    def __init__(self, folder, name, ip, zone, seeds, store, bounds=None,
                 more=""):
        self.name, self.ip, self.zone = name, ip, zone
        self.front, self.ready, self.directory = (
            f"{ip}:{PORTS[name]}" for name in ("front", "ready", "directory"))
        self._folder = folder
        self.settings = folder / f"{name}.toml"
        self._fields = {
            "Node": name, "Region": "r", "Zone": zone,
            "Listen.Front": self.front, "Listen.Ready": self.ready,
            "Listen.Directory": self.directory, "Ip": ip,
            "InternalPorts.0": PORTS["peers"],
            "InternalPorts.1": PORTS["relay"],
            "Seeds": seeds, "Platform.Address": store,
            "Bounds.DrainMs": "2000", "Bounds.GraceS": "6",
            "Limits.MaxFds": "10250", "Bounds.RetryBudgetRatio": "0.2",
            "Bounds.BudgetExtra": "62", "Bounds.ProbesPerS": "60",
            "Bounds.ttl_max_s": "5", **(bounds or {})}
        # Lines beside those of the template.
        self.more_settings = more
        self.write_settings()
        self.process = None

    def write_settings(self):
        text = (ROOT / "deploy/settings.toml.in").read_text()
        seeds = ", ".join(f'"{each}:{PORTS["control"]}"' for each in self._fields["Seeds"])
        text = re.sub(r"\{\{#Seeds\}\}.*?\{\{/Seeds\}\}", seeds, text)
        text = re.sub(r"\{\{([\w.]+)\}\}",
                      lambda found: str(self._fields[found[1]]), text)
        self.settings.write_text(text + self.more_settings)

    def start(self):
        deploy = (ROOT / "deploy/system.toml").read_text()
        words = re.search(r'^run = "(.*)"$', deploy, re.M)[1].split()
        log = open(self._folder / f"{self.name}.log", "ab")
        self.process = subprocess.Popen(
            [str(ROOT / words[0]), *words[1:]], cwd=ROOT, stdout=log,
            stderr=log, stdin=subprocess.DEVNULL,
            env={"PATH": os.environ.get("PATH", ""),
                 "HOME": str(self._folder),
                 "GUAVACROSS_SETTINGS": str(self.settings)})
        log.close()

    def signal(self, number):
        self.process.send_signal(number)

    async def is_ready(self):
        answer = await exchange(self.ready, message(
            "GET /ready HTTP/1.1", [("Host", self.ready)]), 2)
        return answer is not None and answer[0] == 200

    def stop(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


async def connect(address, timeout=1.0, limit=1 << 22):
    ip, port = address.rsplit(":", 1)
    return await asyncio.wait_for(
        asyncio.open_connection(ip, int(port), limit=limit), timeout)


async def exchange(address, data, timeout):
    """One request on a new connection; its answer, or None."""
    try:
        reader, writer = await connect(address)
    except (OSError, asyncio.TimeoutError):
        return None
    try:
        writer.write(data)
        return await asyncio.wait_for(read_answer(reader), timeout)
    except (Ended, OSError, asyncio.TimeoutError):
        return None
    finally:
        abort(writer)


def request_bytes(method, path, request_id, deadline_ms, body=None, fields=()):
    lines = [("Host", HOST), ("X-Request-Id", request_id),
             ("X-Deadline-Ms", deadline_ms), *fields]
    if body is not None:
        lines.append(("Content-Length", len(body)))
    return message(f"{method} {path} HTTP/1.1", lines, body or b"")


def config(version, routes, services, **more):
    """A configuration; `routes` are dictionaries of the fields of a route."""
    columns = ["Name", "Host", "PathPrefix", "Kind", "TimeoutMs", "SloMs",
               "Priority", "Split", "Attempts", "Service"]
    usual = {"Host": HOST, "SloMs": 250, "Priority": 1, "Attempts": 3}
    rows = [[{**usual, **route}.get(column) for column in columns]
            for route in routes]
    return {"Version": version, "Routes": {"Columns": columns, "Rows": rows},
            "Services": {"Columns": ["Name", "HealthPath", "MaxConns"],
                         "Rows": [[name, "/health", 260]
                                  for name in services]},
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304,
                       "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
            **more}


class Deployment:
    """A small deployment on loopback addresses of its own."""

    def __init__(self, record):
        self.record = record
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = pathlib.Path(self._folder.name)
        self._net = self._free_net()
        self.store = Store(self.ip(250), PORTS["store"])
        self.targets, self.instances, self.version = [], [], 0
        self._ids = 0

    def _free_net(self):
        """A block of loopback addresses whose ports are free."""
        for step in range(200):
            number = (os.getpid() + step * 37) % 57500
            net = f"127.{20 + number // 250}.{1 + number % 250}"
            moved = {name: port + 20 * step for name, port in PORTS.items()}
            try:
                # The highest and lowest addresses in use, and some between.
                for host in (1, 2, 3, 20, 30, 60, 100, 102, 250):
                    for port in (*moved.values(), OPERATORS_PORT):
                        with socket.socket() as probe:
                            probe.bind((f"{net}.{host}", port))
            except OSError:
                continue
            PORTS.update(moved)
            return net
        raise RuntimeError("no free addresses")

    def ip(self, number):
        return f"{self._net}.{number}"

    async def start_store(self):
        await self.store.start()

    async def add_targets(self, service, count, zones=("zone-a",), **options):
        added = []
        for index in range(count):
            number = 20 + len(self.targets)
            target = Target(self.store, self.record, self.ip(number), PORTS["target"],
                            f"i-{service}-{index}", service,
                            zones[index % len(zones)], **options)
            await target.start()
            self.targets.append(target)
            added.append(target)
        return added

    def publish(self, routes, services, **more):
        self.version += 3
        self.store.append("keyed.op", "config",
                          config(self.version, routes, services, **more))

    def add_instances(self, count, zones=("zone-a",), bounds=None):
        seeds = [self.ip(1 + n) for n in range(min(3, count))]
        for index in range(count):
            self.instances.append(Instance(
                self.folder, f"edge-{index}", self.ip(1 + index),
                zones[index % len(zones)], seeds, self.store.address, bounds))
            self.instances[-1].start()

    async def wait_ready(self, timeout=15):
        end = time.monotonic() + timeout
        for instance in self.instances:
            while not await instance.is_ready():
                if (time.monotonic() > end
                        or instance.process.poll() is not None):
                    raise RuntimeError(f"{instance.name} isn't ready")
                await asyncio.sleep(0.1)

    def new_id(self):
        self._ids += 1
        return f"{self._ids:08x}{os.getpid() & 0xffff:04x}"

    def close(self):
        for instance in self.instances:
            instance.stop()
        if keep := os.environ.get("KEEP_LOGS"):
            import shutil
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        self._folder.cleanup()


def main(file, play, limit_s=110):
    """Runs `play(deployment)`, which returns whether the rule held; ends with
    the exit code of a script."""
    if not (ROOT / "target/guavacross").exists():
        print("target/guavacross isn't built", file=sys.stderr)
        sys.exit(NOT_RUN)
    record = Record(pathlib.Path(file).resolve().parent / "record.txt")
    code = NOT_RUN
    deployment = None

    async def run():
        nonlocal deployment, code
        deployment = Deployment(record)
        held = await asyncio.wait_for(play(deployment), limit_s)
        code = HELD if held else BROKEN

    def end(*_):
        raise KeyboardInterrupt

    signal.signal(signal.SIGTERM, end)
    loop = asyncio.new_event_loop()
    # Connections that the instances reset end the tasks that serve them.
    loop.set_exception_handler(lambda *_: None)
    try:
        loop.run_until_complete(run())
    except KeyboardInterrupt:
        code = NOT_RUN
    except Exception as error:  # The case couldn't run.
        print(f"not run: {error!r}", file=sys.stderr)
        record.add("not run", why=repr(error))
    finally:
        if deployment is not None:
            deployment.close()
        record.close()
    sys.stdout.flush()
    sys.stderr.flush()
    # Without the clean-up of tasks that still serve connections.
    os._exit(code)
