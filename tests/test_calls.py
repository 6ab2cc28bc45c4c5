"""Calls to targets, without sockets."""

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.testing import MemoryReactor

from pimentolink.calls import Caller
from pimentolink.dialect import CallerRequest, Sending, fingerprint_of
from pimentolink.errors import CannotBeInTime
from pimentolink.gatewaysettings import ConnectionSettings
from pimentolink.httptypes import HttpRequest
from pimentolink.logs import Log
from pimentolink.metrics import Metrics
from pimentolink.platform.dialect import PlatformDialect
from pimentolink.timers import ManualTimers
from tests.gatewayparts import fleet, target

REQUEST = CallerRequest(
    request_id="a",
    http=HttpRequest(b"GET", b"/p/", ((b"Host", b"h.example"),)),
    host="h.example",
    path="/p/",
    arrived_at=0.0,
    patience=1.0,
    parts=(),
    prompt_tokens=0,
    output_tokens=0,
    last_event=None,
)


class IdleWatcher:
    """Lets every request through."""

    async def admit(self, request):
        pass

    def cut_off(self, request, estimate):
        pass

    def connection_lost(self, estimate):
        pass

    def answered(self, request):
        pass


class World:
    def __init__(self):
        self.reactor = MemoryReactor()
        self.fleet = fleet(target("t"))
        self.caller = Caller(
            self.reactor,
            ConnectionSettings(),
            self.fleet,
            PlatformDialect(),
            IdleWatcher(),
            ManualTimers(),
            Log(instance="g"),
            Metrics(),
        )

    def begin(self, time_left):
        outcome = []
        estimate = self.fleet.targets_by_id["t"]
        begun = self.caller.begin(REQUEST, estimate, Sending("t", time_left))
        Deferred.fromCoroutine(begun).addBoth(outcome.append)
        return outcome


@pytest.fixture
def world():
    return World()


class TestFingerprint:
    def again(self, **changes):
        http = REQUEST.http._replace(**changes)
        return fingerprint_of(http, "h.example")

    def test_is_the_same_when_it_is_asked_again(self):
        headers = ((b"Host", b"h.example"), (b"Pimentolink-Request-Id", b"b"))
        assert self.again(headers=headers) == self.again()

    @pytest.mark.parametrize(
        "changes", [{"body": b"x"}, {"path": b"/p/?a"}, {"method": b"POST"}]
    )
    def test_differs_with_what_is_asked(self, changes):
        assert self.again(**changes) != self.again()

    def test_parts_of_a_request_do_not_run_into_each_other(self):
        one = self.again(path=b"/p/a", body=b"b")
        assert one != self.again(path=b"/p/", body=b"ab")


class TestTimeLeft:
    """Pattern: the loop runs late, so the timer that ends the request does too."""

    @pytest.mark.parametrize("time_left", [0.0, -1.3])
    def test_request_whose_time_is_over_is_not_sent(self, world, time_left):
        failure = world.begin(time_left)[0]
        assert failure.check(CannotBeInTime)
        assert not failure.value.ran
        assert failure.value.retry_after > 0
        assert world.reactor.tcpClients == []
        assert world.fleet.targets_by_id["t"].in_flight == 0

    def test_request_with_time_left_is_sent(self, world):
        assert world.begin(0.5) == []
        assert len(world.reactor.tcpClients) == 1
