"""Connections to targets, in virtual time and without sockets."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.internet.testing import MemoryReactor
from twisted.python.failure import Failure

from pimentolink.errors import ConnectionBroken, ConnectionsExhausted, ReplyInvalid
from pimentolink.gatewaysettings import ConnectionSettings
from pimentolink.httptypes import HttpRequest
from pimentolink.targethttp import (
    MAX_DISCARDED_BYTES,
    MAX_PRECEDING_RESPONSES,
    ConnectionPool,
    TargetConnection,
)
from pimentolink.timers import ManualTimers
from tests.gatewaybuilders import SocketTransport, split_at

REQUEST = HttpRequest(b"GET", b"/", ((b"Host", b"a"),))


HEAD = b"HTTP/1.1 200 OK\r\nX-Id: %s\r\n"
FRAMINGS = ("length", "chunks", "end")
CUTS = st.lists(st.integers(0, 400), max_size=8)


def encode_reply(framing, pieces, request_id=b"mine"):
    """Encode a response with one of the body framings of HTTP/1.1."""
    body = b"".join(pieces)
    head = HEAD % request_id
    if framing == "length":
        return head + b"Content-Length: %d\r\n\r\n%s" % (len(body), body)
    if framing == "end":
        return head + b"\r\n" + body
    chunks = [b"%x\r\n%s\r\n" % (len(piece), piece) for piece in pieces]
    head += b"Transfer-Encoding: chunked\r\n\r\n"
    return head + b"".join(chunks) + b"0\r\n\r\n"


class Exchange:
    """One request on a connection, with its body or failure."""

    def __init__(self):
        self.connection = TargetConnection(ConnectionSettings(), ManualTimers())
        self.connection.makeConnection(SocketTransport())
        self.outcome = None
        pending = Deferred.fromCoroutine(self._run())
        pending.addErrback(self._failed)

    async def _run(self):
        await self.connection.send(REQUEST, lambda head: head.header(b"x-id") != b"old")
        self.outcome = await self.connection.read_all(100_000)

    def _failed(self, failure):
        # Any other exception is a bug in the parser.
        failure.trap(ConnectionBroken, ReplyInvalid)
        self.outcome = failure.value

    def receive(self, data, cuts=()):
        for piece in split_at(data, cuts):
            if self.connection.is_open:
                self.connection.dataReceived(piece)

    def close(self, is_reset=False):
        reason = ConnectionLost() if is_reset else ConnectionDone()
        self.connection.connectionLost(Failure(reason))


PIECES = st.lists(st.binary(min_size=1, max_size=40), max_size=5)


@settings(max_examples=10_000, deadline=None)
@given(framing=st.sampled_from(FRAMINGS), pieces=PIECES, cuts=CUTS, old=st.booleans())
def test_any_pieces_give_the_same_answer(framing, pieces, cuts, old):
    """A response to an earlier request may precede it and is discarded."""
    exchange = Exchange()
    before = encode_reply("length", [b"stale"], b"old") if old else b""
    exchange.receive(before + encode_reply(framing, pieces), cuts)
    exchange.close()
    assert exchange.outcome == b"".join(pieces)


@settings(max_examples=10_000, deadline=None)
@given(
    framing=st.sampled_from(FRAMINGS),
    pieces=PIECES,
    cuts=CUTS,
    missing=st.integers(1, 200),
    is_reset=st.booleans(),
)
def test_part_of_an_answer_never_looks_whole(framing, pieces, cuts, missing, is_reset):
    """Only a body framed by the end of the connection is complete at a clean close."""
    exchange = Exchange()
    whole = encode_reply(framing, pieces)
    part = whole[: max(0, len(whole) - missing)]
    exchange.receive(part, cuts)
    exchange.close(is_reset)
    if framing == "end" and not is_reset and b"\r\n\r\n" in part:
        assert exchange.outcome == part.partition(b"\r\n\r\n")[2]
    else:
        assert isinstance(exchange.outcome, ConnectionBroken | ReplyInvalid)


@settings(max_examples=10_000, deadline=None)
@given(
    framing=st.sampled_from(FRAMINGS),
    pieces=PIECES,
    cuts=CUTS,
    noise=st.binary(min_size=1, max_size=8),
    at=st.integers(0, 300),
)
def test_damaged_answer_is_told_or_read(framing, pieces, cuts, noise, at):
    """Any input leads to a response or to a typed failure."""
    exchange = Exchange()
    whole = encode_reply(framing, pieces)
    exchange.receive(whole[:at] + noise + whole[at:], cuts)
    exchange.close()
    assert exchange.outcome is not None


class TestExtraBytes:
    def test_bytes_that_nobody_asked_for_end_the_connection(self):
        exchange = Exchange()
        exchange.receive(encode_reply("length", [b"a"]) + b"HTTP/1.1 200 OK\r\n")
        assert exchange.outcome == b"a"
        assert not exchange.connection.is_reusable

    def test_bytes_on_an_idle_connection_end_it(self):
        exchange = Exchange()
        exchange.receive(encode_reply("length", [b"a"]))
        assert exchange.connection.is_reusable
        exchange.receive(b"x")
        assert not exchange.connection.is_open


@pytest.fixture
def timers():
    return ManualTimers()


def make_pool(timers, **settings):
    connection_settings = ConnectionSettings(**settings)
    return ConnectionPool(MemoryReactor(), "127.0.0.1:1", connection_settings, timers)


def used_connection(pool, timers, keep_alive=b"timeout=10"):
    """Return a connection that was released to its pool after one exchange."""
    connection = TargetConnection(pool._settings, timers)
    connection.makeConnection(SocketTransport())
    pool.count += 1
    connection.on_closed = pool._on_connection_closed
    connection.send(REQUEST, lambda head: True)
    connection.dataReceived(
        b"HTTP/1.1 200 OK\r\nKeep-Alive: %s\r\nContent-Length: 0\r\n\r\n" % keep_alive
    )
    pool.release(connection)
    return connection


def acquire(pool, max_idle=None, request_id=""):
    """Acquire a connection; return ``None`` while one is being opened."""
    outcome = []
    pending = Deferred.fromCoroutine(pool.acquire(max_idle, request_id))
    pending.addBoth(outcome.append)
    return outcome[0] if outcome else None


class TestReuse:
    def test_connection_is_used_again_within_what_its_target_grants(self, timers):
        pool = make_pool(timers, idle=8.0)
        connection = used_connection(pool, timers)
        timers.advance(7.9)
        assert acquire(pool) is connection

    def test_connection_is_not_used_when_its_target_may_have_closed_it(self, timers):
        pool = make_pool(timers, idle=8.0)
        connection = used_connection(pool, timers, keep_alive=b"timeout=5")
        timers.advance(4.1)
        assert acquire(pool) is None
        assert not connection.is_open

    def test_old_connection_is_kept_from_a_request_that_runs_once(self, timers):
        pool = make_pool(timers)
        connection = used_connection(pool, timers)
        timers.advance(1.5)
        assert acquire(pool, max_idle=1.0) is None
        assert acquire(pool) is connection

    def test_old_connection_is_used_once_at_the_bound(self, timers):
        pool = make_pool(timers, most=1)
        connection = used_connection(pool, timers)
        timers.advance(1.5)
        assert acquire(pool, max_idle=1.0) is connection

    def test_connection_is_kept_from_the_request_that_it_carried_last(self, timers):
        pool = make_pool(timers)
        older, newer = (used_connection(pool, timers) for _ in range(2))
        newer.last_request_id = "a"
        assert acquire(pool, request_id="a") is older
        assert acquire(pool, request_id="a") is None
        assert acquire(pool, request_id="b") is newer

    def test_bound_without_an_idle_connection_is_told(self, timers):
        pool = make_pool(timers, most=1)
        used_connection(pool, timers)
        assert acquire(pool) is not None
        failure = acquire(pool)
        assert failure.check(ConnectionsExhausted)
        assert str(failure.value) == str(ConnectionsExhausted("1 connections are open"))


class TestEndlessResponses:
    """A target in trouble writes until it is cut off."""

    @pytest.mark.parametrize(
        "response",
        [b"HTTP/1.1 100 Continue\r\n\r\n", encode_reply("length", [], b"old")],
    )
    def test_before_the_awaited_one_end_the_exchange(self, response):
        exchange = Exchange()
        exchange.receive(response * MAX_PRECEDING_RESPONSES)
        assert exchange.outcome is None
        exchange.receive(response)
        assert isinstance(exchange.outcome, ReplyInvalid)
        assert not exchange.connection.is_open

    def test_to_another_request_end_the_exchange(self):
        exchange = Exchange()
        exchange.receive(HEAD % b"old" + b"\r\n")
        for _ in range(MAX_DISCARDED_BYTES // 50_000):
            exchange.receive(b"x" * 50_000)
        assert exchange.outcome is None
        exchange.receive(b"x")
        assert isinstance(exchange.outcome, ReplyInvalid)

    def test_some_that_precede_the_awaited_one_are_passed_over(self):
        exchange = Exchange()
        exchange.receive(b"HTTP/1.1 100 Continue\r\n\r\n" * MAX_PRECEDING_RESPONSES)
        exchange.receive(encode_reply("length", [b"body"]))
        assert exchange.outcome == b"body"
