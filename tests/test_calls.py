"""Calls to targets, without sockets."""

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.testing import MemoryReactor

from pimentolink.calls import Caller
from pimentolink.dialect import CallerRequest, Sending
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


class World:
    def __init__(self):
        self.reactor = MemoryReactor()
        self.fleet = fleet(target("t"))
        self.caller = Caller(
            self.reactor,
            ConnectionSettings(),
            self.fleet,
            PlatformDialect(),
            ManualTimers(),
            Log(instance="g"),
            Metrics(),
        )

    def begin(self, time_left):
        outcome = []
        belief = self.fleet.targets_by_id["t"]
        begun = self.caller.begin(REQUEST, belief, Sending("t", time_left))
        Deferred.fromCoroutine(begun).addBoth(outcome.append)
        return outcome


@pytest.fixture
def world():
    return World()


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
