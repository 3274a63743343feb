#!/usr/bin/env python3
"""Guards against invalid input from callers that reaches a backend server or
affects other callers.

Inputs: messages whose framing is ambiguous (request smuggling), oversized
headers and bodies, slow senders, half-closed connections, unknown services,
invalid numbers. Each must be answered with an error status and a reason."""

import socket
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import harness

from harness import RawConnection, Rule, Service, check

HEAD = ("POST /orders HTTP/1.1\r\nHost: catalog\r\n"
        "Guavacross-Service: catalog\r\nIdempotency-Key: bad\r\n")
GET = ("GET /previews HTTP/1.1\r\nHost: catalog\r\n"
       "Guavacross-Service: catalog\r\n")
SMUGGLED = "GET /previews/smuggled HTTP/1.1\r\nHost: x\r\n\r\n"

# By name: the bytes sent and the expected status.
MESSAGES = {
    "length with chunked": (
        HEAD + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n"
        "0\r\n\r\n" + SMUGGLED, 400),
    "two lengths": (
        HEAD + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", 400),
    "two equal lengths": (
        HEAD + "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc", 400),
    "a negative length": (HEAD + "Content-Length: -1\r\n\r\n", 400),
    "a length that is not a number": (HEAD + "Content-Length: x\r\n\r\n", 400),
    "an unsupported transfer coding": (
        HEAD + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 400),
    "bare line feeds": (
        "GET /previews HTTP/1.1\nHost: x\nGuavacross-Service: catalog\n\n",
        400),
    "a folded header line": (GET + "X: a\r\n b\r\n\r\n", 400),
    "a space before the colon": (GET + "X : a\r\n\r\n", 400),
    "no Host header": ("GET /previews HTTP/1.1\r\n\r\n", 400),
    "a bad chunk size": (
        HEAD + "Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n", 400),
    "an oversized header": (GET + "X: " + "a" * 70000 + "\r\n\r\n", 431),
    "an oversized request line": (
        "GET /" + "a" * 70000 + " HTTP/1.1\r\nHost: x\r\n\r\n", 431),
    "an oversized body": (
        HEAD + "Content-Length: 99999999\r\n\r\n" + "a" * 1000, 413),
    "an oversized chunked body": (
        HEAD + "Transfer-Encoding: chunked\r\n\r\n" +
        ("8000\r\n" + "a" * 0x8000 + "\r\n") * 40, 413),
    "a deadline that is not a number": (
        GET + "Guavacross-Deadline-Ms: soon\r\n\r\n", 400),
    "a negative deadline": (GET + "Guavacross-Deadline-Ms: -5\r\n\r\n", 400),
    "an unknown service": (
        "GET / HTTP/1.1\r\nHost: x\r\nGuavacross-Service: attic\r\n\r\n", 404),
    "an order without an Idempotency-Key": (
        "POST /orders HTTP/1.1\r\nHost: x\r\nGuavacross-Service: catalog\r\n"
        "Content-Length: 0\r\n\r\n", 400),
    "bytes that are not HTTP": (
        "\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03" * 9, 400),
}


def first_answer(instance, data):
    connection = RawConnection(instance.callers)
    try:
        connection.send(data.encode("latin-1"))
    except (BrokenPipeError, ConnectionResetError):
        pass
    answer = connection.read_answer()
    rest = connection.read_to_end() if answer and answer.status >= 400 and (
        answer.header("Connection") == "close") else b""
    connection.close()
    return answer, rest


with harness.Case(__file__) as case:
    case.start_platform({"catalog": 2})
    instance, = case.start_instances(1)
    case.publish(Service("catalog"))

    for name, (data, status) in MESSAGES.items():
        with case.section(name):
            before = case.sum_counter("requests", "catalog")
            answer, rest = first_answer(instance, data)
            check(answer is not None, "the connection closed without an answer")
            check(answer.status == status and answer.reason,
                  f"{answer}: {answer.body}")
            check(answer.outcome in ("not-run", "unknown"), f"{answer}")
            check(b"HTTP/1.1" not in rest, f"a second answer: {rest[:200]}")
            check(case.sum_counter("requests", "catalog") == before,
                  "the invalid request reached a backend server")
            case.check_own(instance.call("GET", "/previews"))

    with case.section("senders that stall within a header or body"):
        slow = [RawConnection(instance.callers) for _ in range(20)]
        for number, connection in enumerate(slow):
            connection.send(GET[:40] if number % 2 else
                            HEAD + "Content-Length: 9\r\n\r\nabc")
        for number in range(20):
            case.check_own(instance.call("GET", f"/previews/{number}"))
        answer = slow[1].read_answer()
        check(answer is None or answer.status == 408, f"{answer}")
        for connection in slow:
            connection.close()
        check(case.runs().get("bad", 0) == 0, "an incomplete order ran")

    with case.section("a caller that half-closes its connection"):
        connection = RawConnection(instance.callers)
        connection.send(GET + "X-Request-Id: half\r\n\r\n")
        connection.socket.shutdown(socket.SHUT_WR)
        answer = connection.read_answer()
        # Both are allowed: the complete answer, or none.
        if answer is not None:
            answer.identity = "half"
            case.check_own(answer)

    with case.section("100 callers that reset their connection mid-request"):
        for number in range(100):
            connection = RawConnection(instance.callers)
            connection.send(GET + "\r\n" if number % 2 else HEAD)
            connection.reset()
        case.check_own(instance.call("GET", "/previews"))
        check(instance.running, "the instance exited")
