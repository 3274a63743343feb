#!/usr/bin/env python3
"""Naive reference implementation of guavacross: one process, one lock, no
probes, no retries, a configuration file that is read once.

It defines what a caller sees without faults. Under faults its answers are
missing or wrong; the differential test compares only where it gives an outcome.

Usage: naive_server.py IP:PORT DOCUMENT
"""

import http.client
import http.server
import pathlib
import sys
import threading
import tomllib

REMOVED_HEADERS = {"connection", "transfer-encoding", "content-length",
               "guavacross-in-flight", "guavacross-incarnation"}


class Refusal(Exception):
    """An error answer that the server generates itself."""

    def __init__(self, status, reason):
        super().__init__(reason)
        self.status = status
        self.reason = reason


class NaiveBalancer:
    """The whole state, behind one lock."""

    def __init__(self, document):
        self.sections = document["section"]
        self.lock = threading.Lock()
        self.next_target = {}
        # Each non-repeatable request and its answer, by identity.
        self.completed = {}

    def find_class(self, service, method, path):
        if service not in self.sections:
            raise Refusal(404, "unknown-service")
        for rule in self.sections[service]["class"]:
            if (method in rule["methods"] and
                    path.startswith(rule["path_prefix"])):
                return rule
        raise Refusal(404, "no-matching-class")

    def handle(self, service, method, path, headers, body):
        """Returns status, headers, body and 1 for a replayed answer, else 0."""
        with self.lock:
            rule = self.find_class(service, method, path)
            if len(body) > rule.get("max_body_bytes", 1 << 20):
                raise Refusal(413, "body-too-large")
            if rule["repeatable"]:
                return *self.forward(service, method, path, headers, body), 0
            key = headers.get("Idempotency-Key")
            if key is None:
                raise Refusal(400, "key-missing")
            identity = (service, headers.get("Guavacross-Tenant"), key)
            request = (method, path, body)
            if identity not in self.completed:
                answer = self.forward(service, method, path, headers, body)
                self.completed[identity] = (request, answer)
                return *answer, 0
            earlier, answer = self.completed[identity]
            if earlier != request:
                raise Refusal(422, "key-conflict")
            return *answer, 1

    def forward(self, service, method, path, headers, body):
        targets = self.sections[service]["target"]
        turn = self.next_target.get(service, 0)
        self.next_target[service] = turn + 1
        connection = http.client.HTTPConnection(
            targets[turn % len(targets)]["address"], timeout=30)
        try:
            connection.request(method, path, body, headers)
            response = connection.getresponse()
            data = response.read()
        finally:
            connection.close()
        kept = [(name, value) for name, value in response.getheaders()
                if name.lower() not in REMOVED_HEADERS]
        return response.status, kept, data


def make_handler(balancer):
    class Handler(http.server.BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"

        def answer(self):
            length = int(self.headers.get("Content-Length") or 0)
            body = self.rfile.read(length)
            service = self.headers.get("Guavacross-Service", "")
            try:
                status, headers, data, replay = balancer.handle(
                    service, self.command, self.path, dict(self.headers), body)
                outcome = "done"
            except Refusal as refusal:
                status, data, replay = refusal.status, b"", 0
                headers = [("Guavacross-Reason", refusal.reason)]
                outcome = "not-run"
                if "Idempotency-Key" in self.headers:
                    # An earlier copy may have run, so no outcome is stated.
                    outcome = None
            self.send_response(status)
            for name, value in headers:
                self.send_header(name, value)
            if outcome is not None:
                self.send_header("Guavacross-Outcome", outcome)
            if replay:
                self.send_header("Guavacross-Replay", "recorded")
            self.send_header("Content-Length", str(len(data)))
            self.end_headers()
            if self.command != "HEAD":
                self.wfile.write(data)

        do_GET = do_POST = do_PUT = do_DELETE = do_HEAD = answer

        def log_message(self, *_):
            pass

    return Handler


def main():
    ip, port = sys.argv[1].rsplit(":", 1)
    document = tomllib.loads(pathlib.Path(sys.argv[2]).read_text())
    server = http.server.ThreadingHTTPServer(
        (ip, int(port)), make_handler(NaiveBalancer(document)))
    server.serve_forever()


if __name__ == "__main__":
    main()
