"""
Crashes of two incarnations of a target, of which gateways learn at different times.

A gateway sent a request to a target whose earlier incarnation it knew to have ended,
before it had read the new entry. The request crashed the new incarnation. The crash
was recorded for the earlier one, for which it counted already, or not at all if the
new entry arrived in the meantime. So three crashes counted as two, and the request was
sent to further targets.
"""

from random import Random

import pytest

from pimentolink.crashreports import CrashReports
from pimentolink.incarnations import (
    MAX_LIST_DELAY,
    MAX_UNLISTED_PER_TARGET,
    IncarnationTracker,
    UnlistedExchange,
)
from pimentolink.peermessages import SuspectCleared
from pimentolink.suspects import SuspectTracker
from pimentolink.timers import ManualTimers
from tests.gatewaybuilders import fleet, target
from tests.test_crashreports import FATAL, make_request
from tools.replay import QuietLog

# Milliseconds; the clocks of restarted targets are ahead of those of gateways, so that
# start times do not tell which incarnation accepted a connection.
WALL_TIME = int(ManualTimers().wall_time() * 1000)
FIRST, SECOND, THIRD = (
    target("t", born=WALL_TIME + hours * 3_600_000) for hours in (0, 1, 2)
)
# The second incarnation, with a correct clock.
SECOND_ON_TIME = target("t", born=WALL_TIME + 1_015)
# Seconds between two events.
STEP = 0.01


class Gateway:
    """A gateway's own decisions; its list of targets and connections are simulated."""

    def __init__(self, world):
        self.world = world
        self.peers = []
        self.wire = []
        self.fleet = fleet(FIRST)
        self.suspects = SuspectTracker(Random(1))
        self.reports = CrashReports(self.suspects, self, world.timers, QuietLog())
        self.reports.is_listening = self.is_listening
        self.sent_by_request = {}

    async def is_listening(self, estimate):
        return self.world.is_listening

    def broadcast(self, message):
        for peer in self.peers:
            peer.wire.append(message)

    def send(self, fingerprint=FATAL):
        estimate = self.fleet.targets_by_id["t"]
        self.sent_by_request[fingerprint] = (estimate, self.world.timers.now())

    def lose(self, fingerprint=FATAL):
        """Learn that the connection of a request broke."""
        estimate, opened_at = self.sent_by_request.pop(fingerprint)
        request = make_request(fingerprint, f"{fingerprint} {opened_at}")
        self.reports.cut_off(request, estimate, opened_at)
        self.reports.connection_lost(estimate)

    def read(self, item):
        """Read a new entry, as :class:`Membership` applies it."""
        previous = self.fleet.targets_by_id["t"]
        estimate = self.fleet.put(item)
        self.reports.target_ended(previous.target, "started again")
        self.reports.target_listed(estimate)

    def remove(self):
        """See the entry of the target go, as :class:`Membership` applies it."""
        estimate = self.fleet.remove("t")
        estimate.missing_since = self.world.timers.now()
        self.reports.target_removed(estimate.target, "no longer listed")

    def list_again(self, item):
        self.reports.target_listed(self.fleet.put(item))

    def hear(self):
        while self.wire:
            self.reports.receive(self.wire.pop(0), "peer")

    def crashes(self, fingerprint=FATAL):
        return set(self.suspects.crashes(fingerprint, self.world.timers.now()))


class World:
    """Two gateways that know that the request crashed the first incarnation."""

    def __init__(self):
        self.timers = ManualTimers()
        self.is_listening = True
        self.gateways = [Gateway(self) for _ in range(2)]
        first, second = self.gateways
        first.peers, second.peers = [second], [first]
        self.timers.advance(1.0)
        first.send()
        self.crash()
        self.timers.advance(STEP)
        first.lose()
        second.hear()
        self.timers.advance(STEP)
        self.start()

    def crash(self):
        self.is_listening = False

    def start(self):
        self.is_listening = True

    def do(self, *steps):
        for step in steps:
            step()
            self.timers.advance(STEP)


def keys(*targets):
    return {item.key for item in targets}


@pytest.fixture
def world():
    return World()


@pytest.fixture
def second(world):
    """Return the gateway that heard of the first crash."""
    return world.gateways[1]


class TestRestartNotReadYet:
    def test_entry_read_while_the_request_runs(self, world, second):
        world.do(second.send, world.crash, lambda: second.read(SECOND), second.lose)
        assert second.crashes() == keys(FIRST, SECOND)

    def test_entry_read_after_the_break(self, world, second):
        world.do(second.send, world.crash, second.lose)
        assert second.crashes() == keys(FIRST)
        world.do(lambda: second.read(SECOND))
        assert second.crashes() == keys(FIRST, SECOND)

    def test_target_started_again_before_its_entry_is_read(self, world, second):
        world.do(second.send, world.crash, second.lose, world.start)
        world.do(lambda: second.read(SECOND))
        assert second.crashes() == keys(FIRST)
        world.do(lambda: second.read(THIRD))
        assert second.crashes() == keys(FIRST, SECOND)

    def test_listed_incarnation_that_lives_has_not_crashed(self, world, second):
        """An incarnation that was never listed may have crashed instead."""
        world.do(second.send, world.crash, second.lose, world.start)
        world.do(lambda: second.read(SECOND))
        world.timers.advance(MAX_LIST_DELAY + 1.0)
        world.do(lambda: second.read(THIRD))
        assert second.crashes() == keys(FIRST)

    def test_target_that_does_not_come_back(self, world, second):
        world.do(second.send, world.crash, second.lose)
        world.timers.advance(MAX_LIST_DELAY + 1.0)
        world.do(lambda: second.read(SECOND))
        assert second.crashes() == keys(FIRST)

    def test_late_entry_of_the_first_incarnation(self, world, second):
        world.do(second.send, world.crash, second.lose)
        world.do(lambda: second.fleet.put(FIRST._replace(born=0)))
        assert second.crashes() == keys(FIRST)
        world.do(lambda: second.read(SECOND))
        assert second.crashes() == keys(FIRST, SECOND)

    def test_other_address(self, world, second):
        """The new incarnation cannot have accepted a connection at the old address."""
        world.do(second.send, world.crash, second.lose)
        for item in (SECOND, THIRD):
            moved = item._replace(address="127.0.0.1:9999")
            world.do(lambda moved=moved: second.read(moved))
        assert second.crashes() == keys(FIRST)

    def test_connection_opened_before_the_end_was_known(self, world):
        first = world.gateways[0]
        first.send("0" * 32)
        first.sent_by_request["0" * 32] = (first.fleet.targets_by_id["t"], 0.5)
        world.crash()
        first.lose("0" * 32)
        assert first.crashes("0" * 32) == keys(FIRST)

    def test_end_that_the_list_does_not_confirm(self, world, second):
        """A target that accepts connections for long has not ended."""
        world.timers.advance(MAX_LIST_DELAY + 1.0)
        world.do(lambda: second.send("0" * 32), world.crash)
        world.do(lambda: second.lose("0" * 32))
        assert second.crashes("0" * 32) == keys(FIRST)

    def test_unknown_start_times(self):
        estimate = fleet(target("t")).targets_by_id["t"]
        tracker = IncarnationTracker()
        tracker.record_end(estimate.target.key, 1.0)
        assert not tracker.has_ended_before(estimate.target, 2.0)

    def test_exchange_after_the_end_of_the_listed_one_waits_for_the_next(self):
        tracker = IncarnationTracker()
        tracker.record_end(SECOND.key, 2.0)
        exchange = UnlistedExchange(FATAL, 3.0, 3.1, False)
        tracker.keep(FIRST, exchange)
        assert tracker.take(SECOND, 4.0) == []
        assert tracker.take(THIRD, 5.0) == [exchange]

    def test_kept_exchanges_are_bounded(self):
        tracker = IncarnationTracker()
        for number in range(MAX_UNLISTED_PER_TARGET + 1):
            tracker.keep(FIRST, UnlistedExchange(f"{number:032x}", 1.0, 1.0, False))
        assert len(tracker.take(SECOND, 2.0)) == MAX_UNLISTED_PER_TARGET

    def test_trial_is_blamed_once_the_entry_is_read(self, world, second):
        second.suspects.record_crash(99, [FATAL], world.timers.now())
        world.timers.advance(10.0)
        second.sent_by_request[FATAL] = (
            second.fleet.targets_by_id["t"],
            world.timers.now(),
        )
        request_id = f"{FATAL} {world.timers.now()}"
        assert second.suspects.begin_trial(FATAL, request_id, world.timers.now())
        world.do(world.crash, second.lose, lambda: second.read(SECOND))
        assert second.suspects.is_blamed(FATAL, SECOND.key)


class TestEndNotKnown:
    """A gateway that has not heard of the end before it opens a connection."""

    @pytest.fixture
    def unaware(self, second):
        second.suspects.incarnations = IncarnationTracker()
        return second

    def test_entry_read_while_the_request_runs(self, world, unaware):
        """A connection opened after the next start was not to the earlier one."""
        world.do(unaware.send, world.crash)
        world.do(lambda: unaware.read(SECOND_ON_TIME), unaware.lose)
        assert unaware.crashes() == keys(FIRST, SECOND_ON_TIME)

    def test_connection_opened_before_the_next_start(self, world, unaware):
        world.do(unaware.send, world.crash)
        world.do(lambda: unaware.read(SECOND), unaware.lose)
        assert unaware.crashes() == keys(FIRST)

    def test_target_that_announced_its_end_after_it_was_listed(self, world, unaware):
        world.do(unaware.send, lambda: unaware.read(SECOND_ON_TIME))
        world.do(lambda: unaware.fleet.put(SECOND_ON_TIME._replace(is_leaving=True)))
        world.do(world.crash, unaware.lose)
        assert unaware.crashes() == keys(FIRST)


class TestRelease:
    def test_crash_told_after_a_release_does_not_quarantine_again(self, world, second):
        second.suspects.record_crash(99, [FATAL], world.timers.now())
        world.do(second.send, world.crash, second.lose)
        released = SuspectCleared(FATAL, [*second.crashes()])
        second.reports.receive(released, "store")
        world.do(lambda: second.read(SECOND))
        assert second.crashes() == keys(SECOND)
        assert not second.suspects.is_suspect(FATAL, world.timers.now())


# What must have happened before each event. The numbers are those of the gateways.
EARLIER = {
    "send 0": [],
    "send 1": [],
    "crash": ["send 0", "send 1"],
    "start": ["crash"],
    "lose 0": ["crash"],
    "lose 1": ["crash"],
    "second 0": [],
    "second 1": [],
    "third 0": ["second 0", "start"],
    "third 1": ["second 1", "start"],
}


def orders(done=()):
    """List all orders of the events; both gateways are alike, so one sends first."""
    if len(done) == len(EARLIER):
        yield done
    for event, earlier in EARLIER.items():
        if event == "send 1" and "send 0" not in done:
            continue
        if event not in done and all(item in done for item in earlier):
            yield from orders((*done, event))


def play(order, is_heard_at_once):
    """Play one order of events, and return the crashes that each gateway counts."""
    world = World()
    for event in order:
        name, _, number = event.partition(" ")
        if name == "crash":
            step = world.crash
        elif name == "start":
            step = world.start
        else:
            gateway = world.gateways[int(number)]
            step = {
                "send": gateway.send,
                "lose": gateway.lose,
                "second": lambda gateway=gateway: gateway.read(SECOND),
                "third": lambda gateway=gateway: gateway.read(THIRD),
            }[name]
        world.do(step)
        if is_heard_at_once:
            for gateway in world.gateways:
                gateway.hear()
    for gateway in world.gateways:
        gateway.hear()
    return [gateway.crashes() for gateway in world.gateways]


@pytest.mark.parametrize("is_heard_at_once", [True, False])
def test_all_gateways_attribute_a_crash_to_the_same_incarnation(is_heard_at_once):
    """
    Guards that one crash is neither counted twice nor for an earlier incarnation.

    Plays every order of events of two gateways that send the request to the second
    incarnation, which crashes and is replaced. If both learn that their connection
    broke only after they read of the replacement, neither can tell which incarnation
    broke it, and the crash does not count.
    """
    played = 0
    for order in orders():
        found = play(order, is_heard_at_once)
        has_seen_break = any(
            order.index(f"lose {number}") < order.index(f"third {number}")
            for number in range(2)
        )
        expected = keys(FIRST, SECOND) if has_seen_break else keys(FIRST)
        assert found == [expected, expected], order
        played += 1
    assert played > 1000


class TestReturnedEntry:
    """
    A target that is cut off from the store is removed from the list, and back later.

    It counted as ended for good. An exchange that began within 15 s was taken for one
    with an incarnation not listed yet, so that its crash counted against nobody.
    """

    @pytest.fixture
    def gateway(self, world):
        gateway = world.gateways[0]
        world.do(lambda: gateway.read(SECOND), gateway.remove)
        world.timers.advance(1.0)
        world.do(lambda: gateway.list_again(SECOND))
        return gateway

    def test_crash_after_the_return_counts(self, world, gateway):
        world.do(gateway.send, world.crash, gateway.lose)
        assert gateway.crashes() == keys(FIRST, SECOND)

    def test_reset_connection_after_the_return_is_no_crash(self, world, gateway):
        world.do(gateway.send, gateway.lose)
        assert gateway.crashes() == keys(FIRST)

    def test_late_entry_of_one_that_ended_does_not_revive_it(self, world):
        gateway = world.gateways[0]
        gateway.suspects.incarnations.record_end(SECOND.key, world.timers.now())
        world.do(lambda: gateway.read(SECOND))
        assert gateway.suspects.incarnations.has_ended(SECOND)
