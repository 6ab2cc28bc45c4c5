"""Callers that send invalid data, read slowly or disconnect, on real connections."""

import json
import socket
import time

import pytest
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport
from twisted.web.resource import Resource

from pimentolink.callersite import make_site
from pimentolink.settings import CallerLimits
from pimentolink.timers import ManualTimers
from tests.builders import TARGETS, configuration, start_targets
from tools.fleet import Fleet, call, wait_until


@pytest.fixture(scope="module")
def fleet():
    with Fleet() as started_fleet:
        start_targets(started_fleet, "--step-base", "0.001")
        started_fleet.start_entry(
            "entry", "north", limits={"request_head": 1.0, "stall": 1.5}
        )
        started_fleet.apply(configuration())
        started_fleet.wait_ready("entry", TARGETS)
        yield started_fleet


def connect(fleet):
    host, _, port = fleet.address("entry").rpartition(":")
    return socket.create_connection((host, int(port)), timeout=10)


def streaming_request(tokens):
    body = {"model": "claims", "prompt": "p", "max_tokens": tokens, "stream": True}
    data = json.dumps(body).encode()
    head = "POST /v1/completions HTTP/1.1\r\nhost: a\r\ncontent-length: "
    return f"{head}{len(data)}\r\n\r\n".encode() + data


def read_all(connection):
    data = b""
    try:
        while received := connection.recv(65536):
            data += received
    except ConnectionError:
        pass
    return data


def count_running(fleet):
    engines = ("engine-1", "engine-2")
    return sum(call(fleet.url(name, "/load")).json["running"] for name in engines)


def test_slow_sender_gets_408_and_a_close(fleet):
    with connect(fleet) as connection:
        connection.sendall(
            b"POST /v1/completions HTTP/1.1\r\ncontent-length: 9\r\n\r\n"
        )
        assert read_all(connection).startswith(b"HTTP/1.1 408")


class TestIdleConnection:
    """A connection to an entry that stalled past the idle limit, in virtual time."""

    def channel(self):
        limits = CallerLimits(request_head=1.0)
        self.timers = ManualTimers()
        self.clock = Clock()
        site = make_site(Resource(), limits, self.timers)
        site.reactor = self.clock
        channel = site.buildProtocol(None)
        self.transport = StringTransport()
        channel.makeConnection(self.transport)
        return channel

    def test_bytes_that_waited_to_be_read_are_answered(self):
        channel = self.channel()
        self.clock.advance(1.3)
        assert not self.transport.disconnecting
        channel.dataReceived(b"POST /a HTTP/1.1\r\ncontent-length: 9\r\n\r\n")
        self.clock.advance(1.0)
        self.timers.advance(1.0)
        assert self.transport.value().startswith(b"HTTP/1.1 408")

    def test_connection_without_bytes_is_closed(self):
        self.channel()
        self.clock.advance(1.0)
        assert not self.transport.disconnecting
        self.clock.advance(0.2)
        assert self.transport.disconnecting


def test_idle_connection_is_closed(fleet):
    with connect(fleet) as connection:
        assert read_all(connection) == b""


def test_flood_of_headers_is_refused(fleet):
    with connect(fleet) as connection:
        lines = b"".join(b"x-%d: %s\r\n" % (n, b"y" * 100) for n in range(1000))
        try:
            connection.sendall(b"GET /healthz HTTP/1.1\r\n" + lines + b"\r\n")
        except ConnectionError:
            return
        assert not read_all(connection).startswith(b"HTTP/1.1 200")


def test_what_is_not_http_is_refused(fleet):
    with connect(fleet) as connection:
        connection.sendall(b"\x00\x01\x02 hello\r\n\r\n")
        assert read_all(connection).startswith(b"HTTP/1.1 400")


def test_vanished_callers_work_is_cancelled(fleet):
    with connect(fleet) as connection:
        connection.sendall(streaming_request(5_000))
        assert connection.recv(100)
    wait_until(lambda: count_running(fleet) == 0, within=5.0, what="the cancel")


def test_caller_that_never_reads_is_given_up(fleet):
    before = call(fleet.url("entry", "/metrics")).body.count(b"caller_too_slow")
    assert before == 0
    with connect(fleet) as connection:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        connection.sendall(streaming_request(60_000))

        def is_given_up():
            return b"caller_too_slow" in call(fleet.url("entry", "/metrics")).body

        wait_until(is_given_up, within=40.0, what="the slow caller's end")
    wait_until(lambda: count_running(fleet) == 0, within=5.0, what="the cancel")


def test_refusal_comes_at_once_and_says_when_to_come_back(fleet):
    for name in ("sidecar-engine-1", "sidecar-engine-2"):
        fleet.processes_by_name[name].pause()
    try:
        wait_until(lambda: not reached(fleet), what="both links to end")
        start = time.monotonic()
        body = {"model": "claims", "prompt": "p"}
        reply = call(fleet.url("entry", "/v1/completions"), "POST", body)
        assert time.monotonic() - start < 2.0
        assert reply.status == 503
        assert reply.json["error"] == {
            "code": "no_target",
            "message": "no target of claims is available",
            "ran": False,
        }
        assert int(reply.headers["retry-after"]) >= 1
    finally:
        for name in ("sidecar-engine-1", "sidecar-engine-2"):
            fleet.processes_by_name[name].resume()


def reached(fleet):
    headers = {"authorization": "Bearer a shared key for loopback only"}
    told = call(fleet.url("entry", "/pimentolink/status"), headers=headers).json
    return [item for item in told["targets"] if item["target"].startswith("engine")]


def test_status_is_not_for_strangers(fleet):
    reply = call(fleet.url("entry", "/pimentolink/status"))
    assert (reply.status, reply.json["error"]["code"]) == (401, "unauthenticated")


def test_secrets_reach_no_log(fleet):
    key = "a shared key for loopback only"
    for process in fleet.processes_by_name.values():
        assert key not in process.log_path.read_text()


def test_no_process_had_a_fault_of_its_own(fleet):
    assert fleet.faults() == []
