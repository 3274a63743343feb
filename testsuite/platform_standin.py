"""Stand-ins for the platform: its store, with the keyed topics that operators
and backend servers write, and backend servers that register themselves there.

They implement the platform's protocol only as far as the cases need it, and the
faults that the cases inject."""

import base64
import contextlib
import http.server
import json
import os
import socket
import struct
import threading
import time
import typing
import urllib.parse


class _Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 64

    def __init__(self, *arguments):
        self._open = set()
        # Source addresses whose new connections are reset.
        self.refused = set()
        super().__init__(*arguments)

    def process_request(self, request, client_address):
        if client_address[0] in self.refused:
            self._reset(request)
            request.close()
            return
        self._open.add(request)
        super().process_request(request, client_address)

    @staticmethod
    def _reset(connection):
        """Makes the end of the connection a reset."""
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                              struct.pack("ii", 1, 0))

    def reset_from(self, source):
        """Resets the open connections from an address."""
        for connection in list(self._open):
            with contextlib.suppress(OSError):
                if connection.getpeername()[0] == source:
                    self._reset(connection)
                    # The handler's thread holds it open, but sees its end.
                    connection.shutdown(socket.SHUT_RD)

    def shutdown_request(self, request):
        self._open.discard(request)
        super().shutdown_request(request)

    def crash(self):
        """Stops listening and closes all open connections."""
        self.shutdown()
        self.server_close()
        for connection in list(self._open):
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)

    def handle_error(self, *_):
        """Ignores errors: instances reset connections in normal operation."""


def reset(connection):
    """Resets a connection at once, without a regular end before."""
    _Server._reset(connection)
    os.close(connection.detach())


def _serve(address, handler):
    ip, port = address.rsplit(":", 1)
    server = _Server((ip, int(port)), handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server


class _Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def log_message(self, *_):
        pass

    def answer(self, status, body=b"", headers=(), body_s=0):
        """Sends an answer, whose body takes `body_s`."""
        self.send_response(status)
        for name, value in headers:
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        if not body_s:
            self.wfile.write(body)
            return
        for byte in body:
            self.wfile.write(bytes([byte]))
            time.sleep(body_s / len(body))


class Store:
    """The store. `append` writes as operators and backend servers do.

    Faults: `refusing` answers all calls with 503 (all or none, since the store
    can't tell which instance calls), `down` leaves calls without an answer,
    `forget` drops the history of a topic, `restore` brings back a copy.
    `broken`, if set, writes all answers by hand: it is called with the
    connection, which ends with the answer."""

    def __init__(self, address):
        self._topics = {}
        self._first = {}
        # Rises with each restoration; sent with all answers.
        self.era = 1
        self._changed = threading.Condition()
        self.down = False
        self.refusing = False
        self.broken = None
        self.calls = 0
        store = self

        class Handler(_Handler):
            def do_GET(self):
                store._answer(self)

            def end_headers(self):
                self.send_header("Store-Era", str(store.era))
                super().end_headers()

            do_POST = do_GET

        self._server = _serve(address, Handler)

    def append(self, topic, key, value):
        """Appends a record; a value of None removes the key."""
        text = json.dumps(value) if isinstance(value, (dict, list)) else value
        with self._changed:
            self._topics.setdefault(topic, []).append((key, text))
            self._changed.notify_all()

    def forget(self, topic):
        with self._changed:
            self._first[topic] = len(self._topics.get(topic, []))

    def copy(self):
        """The records of all topics, for `restore`."""
        with self._changed:
            return {topic: list(log) for topic, log in self._topics.items()}

    def restore(self, copy):
        """Comes back from an older copy: offsets go back and are given out
        again, and the era rises."""
        with self._changed:
            self._topics = {topic: list(log) for topic, log in copy.items()}
            self._first = {}
            self.era += 1
            self._changed.notify_all()

    def newest(self, topic):
        """The newest value of each key."""
        with self._changed:
            return {key: value for key, value in self._topics.get(topic, [])
                    if value is not None}

    def _answer(self, handler):
        self.calls += 1
        if self.down:
            # Longer than the time-out of any instance's call.
            time.sleep(5)
            handler.close_connection = True
            return
        if self.refusing:
            handler.answer(503)
            return
        if self.broken:
            self.broken(handler.connection)
            handler.close_connection = True
            return
        url = urllib.parse.urlsplit(handler.path)
        query = dict(urllib.parse.parse_qsl(url.query))
        if url.path == "/log-newest":
            handler.answer(200, self._newest(query["Topic"]))
        elif url.path == "/log-read":
            handler.answer(*self._read(query["Topic"], int(query["From"]),
                                       int(query.get("WaitMs", 0))))
        elif url.path == "/log-append":
            length = int(handler.headers.get("Content-Length") or 0)
            handler.answer(*self._append(query["Topic"],
                                         handler.rfile.read(length)))
        else:
            handler.answer(404)

    def _append(self, topic, body):
        """Appends an instance's record; 403 for topics of other writers."""
        if topic in ("keyed.op", "keyed.servers"):
            return 403, b""
        size, = struct.unpack_from(">I", body)
        content = body[4:4 + size]
        if len(content) != size or len(body) != 4 + size:
            return 400, b""
        key_end = 1 + content[0]
        self.append(topic, content[1:key_end].decode(),
                    content[key_end:].decode() or None)
        with self._changed:
            end = len(self._topics[topic])
        return 200, json.dumps({"Offset": end - 1, "End": end}).encode()

    def _newest(self, topic):
        with self._changed:
            log = list(self._topics.get(topic, []))
        newest = {key: (offset, value)
                  for offset, (key, value) in enumerate(log)}
        items = [{"Key": key, "Offset": offset,
                  "Value": base64.b64encode(value.encode()).decode()}
                 for key, (offset, value) in newest.items()
                 if value is not None]
        return json.dumps({"items": items, "HasMore": False,
                           "End": len(log)}).encode()

    def _read(self, topic, first, wait_ms):
        end = time.monotonic() + wait_ms / 1000
        with self._changed:
            while (len(self._topics.get(topic, [])) <= first
                   and time.monotonic() < end):
                self._changed.wait(end - time.monotonic())
            log = self._topics.get(topic, [])
            retained = self._first.get(topic, 0)
            if first < retained or first > len(log):
                return 410, json.dumps({"First": retained}).encode()
            body = struct.pack(">QQ", len(log), retained)
            for key, value in log[first:]:
                content = bytes([len(key)]) + key.encode()
                content += (value or "").encode()
                body += struct.pack(">I", len(content)) + content
            return 200, body


class SentRequest(typing.NamedTuple):
    """A request as it arrived at a target."""
    line: str
    headers: dict
    body: bytes


class Target:
    """A backend server that registers itself and records the requests it runs.

    `fault` is empty or one of `mute` (runs the request, never answers), `lost`
    (runs it, closes without an answer), `full` (refuses it as not executed),
    `full once` (refuses each request once, and sends the refusal again before
    the next answer on the connection), `extra` (first sends an answer to another
    request), `deaf` (doesn't answer health checks). With `leaving` it says so in
    all its answers, and with `limit` it names that many requests a second; with
    `pause_s` it refuses requests and asks for a pause of that length; with
    `body_s` it takes that long for the body of an answer. `cut` cuts it off from
    one source address. `broken`, if set, writes the answers to requests by hand:
    it is called with the connection and the lines of a genuine head, before the
    request's body is read; the connection ends with the answer."""

    def __init__(self, store, address, name, service, work_s=0.0,
                 registered_address=None):
        # Kinds of cuts by source address; see `cut`.
        self._cuts = {}
        self._asked_by = {}
        self.store, self.address = store, address
        self.name, self.service = name, service
        self.work_s = work_s
        self.fault = ""
        self.leaving = False
        self.pause_s = 0
        self.body_s = 0
        self.broken = None
        # A header value, sent as it is; None sends none.
        self.limit = None
        # Times in s at which requests and health checks arrived.
        self.arrived = []
        # Times in s at which requests were refused for a pause.
        self.refused_at = []
        # (monotonic time in s, request id) of each run, added at its start.
        self.started = []
        # What arrived, by request id; and the ids of refused requests.
        self.requests = {}
        self.refused = []
        self.misdirected = 0
        self._registered_address = registered_address or address
        self._started_ms = int(time.time() * 1000)
        self._heartbeat = 0
        target = self

        class Handler(_Handler):
            def do_GET(self):
                target._answer(self)

            do_POST = do_GET

        self._server = _serve(address, Handler)
        self.register()

    @property
    def runs(self):
        return [request for _, request in self.started]

    def register(self, state="ready", **fields):
        self._heartbeat += 1
        entry = {"Service": self.service, "Address": self._registered_address,
                 "Zone": "zone-a", "Version": "v1", "Slots": 4, "State": state,
                 "WarmupLeftMs": 0, "Seq": self._heartbeat,
                 "born": self._started_ms}
        self.store.append("keyed.servers", self.name, {**entry, **fields})

    def deregister(self):
        self.store.append("keyed.servers", self.name, None)

    def crash(self):
        """Closes everything at once; its entry in the store remains."""
        self._server.crash()

    def cut(self, source, kind):
        """Cuts the target off from a source address, until `heal`.

        `hang`: requests don't arrive, on open and new connections. `reset`: both
        are reset. `refuse new`: new connections are reset and open ones work.
        `one way`: requests arrive and run, their answers get lost."""
        self._cuts[source] = kind
        if kind in ("reset", "refuse new"):
            self._server.refused.add(source)
        if kind == "reset":
            self._server.reset_from(source)

    def heal(self, source):
        self._cuts.pop(source, None)
        self._server.refused.discard(source)

    def asked_by(self, source):
        """The number of requests and health checks that an address sent."""
        return self._asked_by.get(source, 0)

    def _answer(self, handler):
        source = handler.client_address[0]
        cut = self._cuts.get(source)
        if cut in ("hang", "reset"):
            self._wait_for_heal(source)
            handler.close_connection = True
            return
        self._asked_by[source] = self._asked_by.get(source, 0) + 1
        if cut == "one way":
            self._run_without_answer(handler)
            return
        self._run(handler)

    def _wait_for_heal(self, source):
        while source in self._cuts:
            time.sleep(0.05)

    def _run_without_answer(self, handler):
        request = handler.headers.get("X-Request-Id")
        if request:
            self.started.append((time.monotonic(), request))
        self._wait_for_heal(handler.client_address[0])
        handler.close_connection = True

    def _run(self, handler):
        if self.broken and handler.path != "/health":
            self._answer_by_hand(handler)
            return
        length = int(handler.headers.get("Content-Length") or 0)
        body = handler.rfile.read(length)
        self.arrived.append(time.monotonic())
        load = [("X-Server-Load", "1,0,4,100"), ("X-Instance-Id", self.name),
                *self._announcements()]
        request = handler.headers.get("X-Request-Id")
        if request:
            load.append(("X-Request-Id", request))
        if handler.path == "/health" and self.fault == "deaf":
            # Longer than the time-out of a health check.
            time.sleep(3)
            handler.close_connection = True
            return
        if handler.path == "/health":
            handler.answer(200, b"", load)
            return
        if handler.headers.get("X-Expected-Instance") != self.name:
            self.misdirected += 1
            handler.answer(421, b"", load)
            return
        self.requests[request] = SentRequest(
            f"{handler.command} {handler.path}", dict(handler.headers), body)
        if self.pause_s > 0:
            self.refused_at.append(time.monotonic())
            handler.answer(503, b"", load + [("X-Not-Executed", "1"),
                                             ("Retry-After",
                                              str(self.pause_s))])
            return
        if copy := handler.__dict__.pop("refusal", None):
            handler.answer(*copy)
        if self.fault == "full once" and request not in self.refused:
            self.refused.append(request)
            handler.refusal = (503, b"", load + [("X-Not-Executed", "1")])
            handler.answer(*handler.refusal)
            return
        if self.fault == "full":
            self.refused.append(request)
            handler.answer(503, b"", load + [("X-Not-Executed", "1")])
            return
        self.started.append((time.monotonic(), request))
        time.sleep(self.work_s)
        if self.fault in ("mute", "lost"):
            time.sleep(3 if self.fault == "mute" else 0)
            handler.close_connection = True
            return
        if self.fault == "extra":
            self._answer_as(handler, "another")
        self._answer_as(handler, request)

    def _answer_by_hand(self, handler):
        request = handler.headers.get("X-Request-Id")
        self.started.append((time.monotonic(), request))
        self.broken(handler.connection,
                    f"X-Request-Id: {request}\r\n"
                    f"X-Response-Signature: s.{self.name}\r\n")
        handler.close_connection = True

    def _announcements(self):
        """The headers that all its answers have."""
        leaving = [("Server-Leaving", "1")] if self.leaving else []
        limit = [] if self.limit is None else [("Server-Limit", self.limit)]
        return leaving + limit

    def _answer_as(self, handler, request):
        handler.answer(200, f"{self.name} ran {request}".encode(),
                       [*self._announcements(), ("X-Request-Id", request),
                        ("X-Response-Signature", f"s.{self.name}")],
                       self.body_s)


def config(version, routes, services):
    """A configuration record. `routes` are (name, prefix, kind, service)."""
    return {
        "Version": version,
        "Routes": {
            "Columns": ["Name", "Host", "PathPrefix", "Kind", "TimeoutMs",
                        "SloMs", "Priority", "Split", "Attempts", "Service"],
            "Rows": [[name, "shop.example", prefix, kind, 2000, 600, 1, None,
                      2, service] for name, prefix, kind, service in routes]},
        "Services": {
            "Columns": ["Name", "HealthPath", "MaxConns", "Protocol", "Tls"],
            "Rows": [[name, "/health", 260, "h1", False]
                     for name in services]},
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 1000,
                   "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}}
