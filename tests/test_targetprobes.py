"""Whether a target that broke a connection off has ended, as new connections show."""

import errno

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.error import (
    ConnectError,
    ConnectionLost,
    ConnectionRefusedError,
    TimeoutError,
)
from twisted.internet.testing import MemoryReactor
from twisted.python.failure import Failure

from pimentolink.gatewaysettings import ConnectionSettings
from pimentolink.logs import LogEvent
from pimentolink.metrics import Metrics
from pimentolink.platform.dialect import PlatformDialect
from pimentolink.targetclient import TargetClient
from pimentolink.targetprobes import (
    CLOSED_PROBES,
    MAX_PROBE_LATENESS,
    MAX_PROBES,
    MAX_TURNED_AWAY_AGE,
    PROBE_HOLD,
    PROBE_INTERVAL,
    Probe,
    ProbeOutcome,
    ProbeSeries,
    ProbeVerdict,
)
from pimentolink.timers import ManualTimers
from tests.gatewaybuilders import SocketTransport, fleet, target

# Seconds after which a proxy without its target closes a connection.
CLOSED_AFTER = 0.002
CLOSED = Probe(ProbeOutcome.CLOSED, CLOSED_AFTER)
KEPT = Probe(ProbeOutcome.KEPT, PROBE_HOLD)
LATE = PROBE_HOLD + MAX_PROBE_LATENESS + 0.01


def verdict(*probes, lost=5.0, still_open=0.0):
    """Record probes until one of them settles it."""
    series = ProbeSeries()
    for probe in probes:
        found = series.record(probe, lost, still_open)
        if found is not None:
            return found
    return None


class TestSeries:
    def test_target_that_closes_several_in_a_row_has_ended(self):
        assert verdict(*[CLOSED] * (CLOSED_PROBES - 1)) is None
        assert verdict(*[CLOSED] * CLOSED_PROBES) is ProbeVerdict.CLOSES

    def test_target_that_refuses_has_ended(self):
        refused = Probe(ProbeOutcome.REFUSED, 0.001)
        assert verdict(refused) is ProbeVerdict.REFUSES
        assert verdict(CLOSED, refused) is ProbeVerdict.REFUSES

    def test_target_that_keeps_one_listens(self):
        for closed in range(CLOSED_PROBES):
            assert verdict(*[CLOSED] * closed, KEPT) is ProbeVerdict.LISTENS

    def test_target_that_cannot_be_reached_has_not_ended(self):
        unknown = Probe(ProbeOutcome.UNKNOWN, 0.6)
        assert verdict(CLOSED, unknown) is ProbeVerdict.LISTENS

    def test_target_with_an_old_connection_listens(self):
        probes = [CLOSED] * CLOSED_PROBES
        assert verdict(*probes, still_open=5.0) is ProbeVerdict.LISTENS

    def test_connection_that_is_just_opened_shows_nothing(self):
        probes = [CLOSED] * CLOSED_PROBES
        assert verdict(*probes, still_open=CLOSED_AFTER) is ProbeVerdict.CLOSES

    @pytest.mark.parametrize("lost", [0.0, CLOSED_AFTER, MAX_TURNED_AWAY_AGE])
    def test_target_that_was_not_reached_before_either_has_not_ended(self, lost):
        probes = [CLOSED] * CLOSED_PROBES
        assert verdict(*probes, lost=lost) is ProbeVerdict.LISTENS

    def test_connections_turned_away_slowly_are_no_sign(self):
        slow = [Probe(ProbeOutcome.CLOSED, 0.1)] * CLOSED_PROBES
        assert verdict(*slow, lost=0.2) is ProbeVerdict.LISTENS
        assert verdict(*slow, lost=0.21) is ProbeVerdict.CLOSES

    @pytest.mark.parametrize("outcome", [ProbeOutcome.CLOSED, ProbeOutcome.KEPT])
    def test_lateness_of_this_process_shows_nothing(self, outcome):
        late = Probe(outcome, LATE)
        probes = [*[CLOSED] * (CLOSED_PROBES - 1), late]
        assert verdict(*probes, *[CLOSED] * (CLOSED_PROBES - 1)) is None
        assert verdict(late, *[CLOSED] * CLOSED_PROBES) is ProbeVerdict.CLOSES

    def test_number_of_probes_is_bounded(self):
        late = Probe(ProbeOutcome.CLOSED, LATE)
        assert verdict(*[late] * (MAX_PROBES - 1)) is None
        assert verdict(*[late] * MAX_PROBES) is ProbeVerdict.LISTENS


class World:
    """A gateway's client and the connections that it opens to one target."""

    def __init__(self):
        self.reactor = MemoryReactor()
        self.timers = ManualTimers()
        self.lines = []
        self.fleet = fleet(target("t"))
        self.estimate = self.fleet.targets_by_id["t"]
        self.client = TargetClient(
            self.reactor,
            ConnectionSettings(),
            self.fleet,
            PlatformDialect(),
            None,
            self.timers,
            self,
            Metrics(),
        )
        self.outcome = []

    def write(self, event, **fields):
        self.lines.append((event, fields))

    def check(self):
        checking = Deferred.fromCoroutine(self.client.is_listening(self.estimate))
        checking.addBoth(self.outcome.append)

    def attempt(self):
        """Return the factory of the newest attempt to connect."""
        return self.reactor.tcpClients[-1][2]

    def accept(self):
        """Accept the newest attempt to connect."""
        wrapper = self.attempt().buildProtocol(None)
        wrapper.makeConnection(SocketTransport())
        return wrapper._wrappedProtocol

    def fail(self, error):
        self.attempt().clientConnectionFailed(None, Failure(error))

    def lose(self, connection):
        connection.connectionLost(Failure(ConnectionLost()))

    def connect(self, seconds):
        """Open a connection of the pool, and keep it for a while."""
        Deferred.fromCoroutine(self.client.pool(self.estimate).open())
        connection = self.accept()
        self.timers.advance(seconds)
        return connection

    def close_probe(self):
        """Accept a probe and close it."""
        connection = self.accept()
        self.timers.advance(CLOSED_AFTER)
        self.lose(connection)

    @property
    def attempts(self):
        return len(self.reactor.tcpClients)


@pytest.fixture
def world():
    return World()


class TestProbing:
    def test_target_behind_a_proxy_that_listens(self, world):
        self.lose_served(world)
        began_at = world.timers.now()
        for number in range(CLOSED_PROBES):
            assert world.outcome == []
            assert world.attempts == number + 2
            world.close_probe()
            world.timers.advance(PROBE_INTERVAL)
        assert world.outcome == [False]
        assert world.timers.now() - began_at < 1.0
        ((event, fields),) = world.lines
        assert event is LogEvent.TARGET_CLOSES_CONNECTIONS
        assert fields["target"] == "t"
        assert world.estimate.refusing_until > began_at

    def lose_served(self, world):
        connection = world.connect(1.0)
        world.check()
        world.lose(connection)

    def test_connections_reset_before_they_are_known_to_be_open(self, world):
        self.lose_served(world)
        for _ in range(CLOSED_PROBES):
            world.fail(ConnectError(errno.ECONNRESET))
            world.timers.advance(PROBE_INTERVAL)
        assert world.outcome == [False]

    def test_probe_that_is_kept_is_closed(self, world):
        self.lose_served(world)
        probe = world.accept()
        world.timers.advance(PROBE_HOLD)
        assert probe.transport.disconnecting or probe.transport.disconnected
        world.lose(probe)
        assert world.outcome == [True]
        assert world.lines == []
        assert probe.transport.value() == b""

    def test_refused_probe_settles_it(self, world):
        self.lose_served(world)
        world.fail(ConnectionRefusedError())
        assert world.outcome == [False]
        assert world.lines == []

    def test_probe_that_reaches_nobody_settles_nothing(self, world):
        self.lose_served(world)
        world.fail(TimeoutError())
        assert world.outcome == [True]

    def test_old_connection_that_stays_open(self, world):
        world.connect(1.0)
        self.lose_served(world)
        for _ in range(CLOSED_PROBES):
            world.close_probe()
            world.timers.advance(PROBE_INTERVAL)
        assert world.outcome == [True]

    def test_connection_that_this_gateway_closed_was_not_lost(self, world):
        connection = world.connect(1.0)
        world.check()
        connection.abort()
        world.lose(connection)
        for _ in range(CLOSED_PROBES):
            world.close_probe()
            world.timers.advance(PROBE_INTERVAL)
        assert world.outcome == [True]

    def test_loss_long_before_is_not_of_this_end(self, world):
        connection = world.connect(1.0)
        world.lose(connection)
        world.timers.advance(1.5)
        world.check()
        for _ in range(CLOSED_PROBES):
            world.close_probe()
            world.timers.advance(PROBE_INTERVAL)
        assert world.outcome == [True]

    def test_probes_are_not_counted_as_the_targets_connections(self, world):
        self.lose_served(world)
        assert world.client.pool(world.estimate).count == 0
        assert world.estimate.in_flight == 0
        assert not world.estimate.failure_share
