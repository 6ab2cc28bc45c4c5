"""Requests on their way to a final answer, without sockets."""

from random import Random

import pytest
from result import Ok
from twisted.internet.defer import CancelledError, Deferred

from pimentolink.dialect import CallerRequest
from pimentolink.forwarder import Forwarder
from pimentolink.httptypes import HttpRequest
from pimentolink.logs import LogEvent
from pimentolink.metrics import Metrics
from pimentolink.routes import RoutingTable, RoutingTables
from pimentolink.timers import ManualTimers
from tests.gatewayparts import route


class KeptLog:
    def __init__(self):
        self.lines = []

    def write(self, event, **fields):
        self.lines.append((event, fields))


class EndlessWork:
    """Sends the request to a target and waits for good."""

    async def serve(self, work):
        work.attempts.sent("engine-1")
        await Deferred()


class Dialect:
    def __init__(self, timers):
        self._timers = timers

    def read_request(self, http, now):
        return Ok(CallerRequest("r1", http, "h.example", "/p/x", now, 5.0))


class Responder:
    has_begun = False


@pytest.fixture
def timers():
    return ManualTimers()


class TestCallerThatLeaves:
    def test_targets_of_its_work_are_told(self, timers):
        tables, log, work = RoutingTables(), KeptLog(), EndlessWork()
        tables.offer(RoutingTable(3, [route()], [], None))
        forwarder = Forwarder(
            tables, Dialect(timers), work, work, timers, Random(1), log, Metrics()
        )
        http = HttpRequest(b"POST", b"/p/x", ())
        handling = Deferred.fromCoroutine(forwarder.handle(http, Responder()))
        timers.advance(0.5)
        ended = []
        handling.addErrback(lambda failure: ended.append(failure.type))
        handling.cancel()
        ((event, fields),) = log.lines
        assert event is LogEvent.WORK_CANCELLED
        assert (fields["request"], fields["targets"]) == ("r1", ["engine-1"])
        assert (fields["took"], fields["left"]) == (0.5, 1.5)
        assert ended == [CancelledError]
        assert forwarder.in_work == 0
