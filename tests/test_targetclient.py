"""Calls to targets, without sockets."""

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionDone
from twisted.internet.testing import MemoryReactor
from twisted.python.failure import Failure

from pimentolink.dialect import CallerRequest, SendOptions, fingerprint_of
from pimentolink.errors import CannotBeInTime, ConnectionBroken, ReplyInvalid
from pimentolink.gatewaysettings import ConnectionSettings
from pimentolink.httptypes import HttpRequest
from pimentolink.logs import Log
from pimentolink.metrics import Metrics
from pimentolink.platform.dialect import PlatformDialect
from pimentolink.targetclient import TargetClient
from pimentolink.timers import ManualTimers
from tests.gatewaybuilders import SocketTransport, fleet, target
from tests.requesthandlers import PermissiveWatcher

REQUEST = CallerRequest(
    request_id="a",
    http=HttpRequest(b"GET", b"/p/", ((b"Host", b"h.example"),)),
    host="h.example",
    path="/p/",
    arrived_at=0.0,
    caller_timeout=1.0,
    parts=(),
    prompt_tokens=0,
    output_tokens=0,
    last_event=None,
)


class CallerHarness:
    def __init__(self):
        self.reactor = MemoryReactor()
        self.timers = ManualTimers()
        self.watcher = PermissiveWatcher()
        self.fleet = fleet(target("t"))
        self.target_client = TargetClient(
            self.reactor,
            ConnectionSettings(),
            self.fleet,
            PlatformDialect(),
            self.watcher,
            self.timers,
            Log(instance="g"),
            Metrics(),
        )

    def begin(self, time_left):
        outcome = []
        estimate = self.fleet.targets_by_id["t"]
        pending = self.target_client.begin(
            REQUEST, estimate, SendOptions("t", time_left)
        )
        Deferred.fromCoroutine(pending).addBoth(outcome.append)
        return outcome


@pytest.fixture
def world():
    return CallerHarness()


class TestFingerprint:
    def fingerprint(self, **changes):
        http = REQUEST.http._replace(**changes)
        return fingerprint_of(http, "h.example")

    def test_is_the_same_when_it_is_asked_again(self):
        headers = ((b"Host", b"h.example"), (b"Pimentolink-Request-Id", b"b"))
        assert self.fingerprint(headers=headers) == self.fingerprint()

    @pytest.mark.parametrize(
        "changes", [{"body": b"x"}, {"path": b"/p/?a"}, {"method": b"POST"}]
    )
    def test_differs_with_what_is_asked(self, changes):
        assert self.fingerprint(**changes) != self.fingerprint()

    def test_parts_of_a_request_do_not_run_into_each_other(self):
        one = self.fingerprint(path=b"/p/a", body=b"b")
        assert one != self.fingerprint(path=b"/p/", body=b"ab")


class TestTimeLeft:
    """Failure: the event loop runs late, and so does the timer of the deadline."""

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


class TestBrokenExchange:
    def test_watcher_learns_when_the_connection_began_to_be_opened(self, world):
        """The target may have accepted it long before this process handles that."""
        world.timers.advance(5.0)
        outcome = world.begin(3.0)
        world.timers.advance(0.4)
        factory = world.reactor.tcpClients[0][2]
        connection = factory.buildProtocol(None)
        connection.makeConnection(SocketTransport())
        world.timers.advance(0.1)
        connection.connectionLost(Failure(ConnectionDone()))
        assert outcome[0].check(ReplyInvalid, ConnectionBroken)
        assert world.watcher.opened_at == [5.0]
