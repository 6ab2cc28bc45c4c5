"""Connections to targets, in virtual time and without sockets."""

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.testing import MemoryReactor, StringTransport

from pimentolink.errors import ConnectionsExhausted
from pimentolink.gatewaysettings import ConnectionSettings
from pimentolink.httptypes import HttpRequest
from pimentolink.targethttp import ConnectionPool, TargetConnection
from pimentolink.timers import ManualTimers

REQUEST = HttpRequest(b"GET", b"/", ((b"Host", b"a"),))


class Transport(StringTransport):
    """A transport that accepts socket options and tells of an abort."""

    def setTcpNoDelay(self, enabled):  # noqa: N802
        pass

    def getHandle(self):  # noqa: N802
        return self

    def setsockopt(self, *option):
        pass


@pytest.fixture
def timers():
    return ManualTimers()


def make_pool(timers, **settings):
    found = ConnectionSettings(**settings)
    return ConnectionPool(MemoryReactor(), "127.0.0.1:1", found, timers)


def used_connection(pool, timers, keep_alive=b"timeout=10"):
    """A connection that carried one exchange and was given back."""
    connection = TargetConnection(pool._settings, timers)
    connection.makeConnection(Transport())
    pool.count += 1
    connection.on_closed = pool._closed
    connection.send(REQUEST, lambda head: True)
    connection.dataReceived(
        b"HTTP/1.1 200 OK\r\nKeep-Alive: %s\r\nContent-Length: 0\r\n\r\n" % keep_alive
    )
    pool.release(connection)
    return connection


def acquire(pool, most_idle=None):
    """Ask for a connection; ``None`` while one is being opened."""
    outcome = []
    pending = Deferred.fromCoroutine(pool.acquire(most_idle))
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
        assert acquire(pool, most_idle=1.0) is None
        assert acquire(pool) is connection

    def test_old_connection_is_used_once_at_the_bound(self, timers):
        pool = make_pool(timers, most=1)
        connection = used_connection(pool, timers)
        timers.advance(1.5)
        assert acquire(pool, most_idle=1.0) is connection

    def test_bound_without_an_idle_connection_is_told(self, timers):
        pool = make_pool(timers, most=1)
        used_connection(pool, timers)
        assert acquire(pool) is not None
        failure = acquire(pool)
        assert failure.check(ConnectionsExhausted)
        assert str(failure.value) == str(ConnectionsExhausted("1 connections are open"))
