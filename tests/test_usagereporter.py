"""Usage is reported once per window, also when leader, store or API fails."""

from collections import Counter
from random import Random

import pytest
from twisted.internet.defer import Deferred

from pimentolink.errors import KeyValueUnavailable, NotConnected, ReportRefused
from pimentolink.gatewaysettings import UsageSettings
from pimentolink.keyspace import Change
from pimentolink.leadership import LEADER_KEY, Leadership
from pimentolink.logs import Log
from pimentolink.memorykeyspace import MemoryKeyspace
from pimentolink.metering import Metering
from pimentolink.timers import ManualTimers
from pimentolink.usagereporter import USAGE_KEY
from tests.gatewaybuilders import gateway_settings

WINDOW = 5.0
LATE = 10.0
DELAY = 0.002


class FakeApi:
    """Accepts reports and records them in order of arrival."""

    def __init__(self, timers):
        self.timers = timers
        self.received = []
        self.is_down = False
        self.drops_responses = False
        self.refuses = False
        self.unreachable_from = set()

    async def report(self, report, leader, fence):
        if self.is_down or leader in self.unreachable_from:
            raise NotConnected("no answer")
        if self.refuses:
            raise ReportRefused("status 429")
        self.received.append((self.timers.wall_time(), leader, fence, report))
        if self.drops_responses:
            await Deferred()


class FakeNetwork:
    """Carries messages between gateways with delay and random loss."""

    def __init__(self, timers):
        self.timers = timers
        self.random = Random(1)
        self.loss_rate = 0.0
        self.peers_by_name = {}

    def send(self, sender, name, message):
        if self.random.random() >= self.loss_rate:
            self.timers.call_later(DELAY, lambda: self._arrive(sender, name, message))

    def _arrive(self, sender, name, message):
        if name in self.peers_by_name:
            self.peers_by_name[name].on_usage(sender, message)


class FakePeers:
    def __init__(self, network, name, life):
        self.network, self.name, self.life = network, name, life
        self.on_usage = lambda life, message: None
        network.peers_by_name[name] = self

    def broadcast(self, message):
        self.send_to(list(self.network.peers_by_name), [message])

    def send_to(self, names, messages):
        for name in names:
            if name != self.name:
                for message in messages:
                    self.network.send(self.life, name, message)


class SkewedTimers:
    """The timers of one gateway, whose wall clock may be wrong."""

    def __init__(self, timers):
        self._timers = timers
        self.wall_offset = 0.0

    def __getattr__(self, name):
        return getattr(self._timers, name)

    def wall_time(self):
        return self._timers.wall_time() + self.wall_offset


class Gateway:
    """The parts of a gateway that count and report usage."""

    def __init__(self, world, name, life):
        self.world, self.name = world, name
        self.clock = SkewedTimers(world.timers)
        settings = gateway_settings(instance=name)
        self.leadership = Leadership(
            settings, life, world.store, self.clock, Random(life), Log()
        )
        self.metering = Metering(
            UsageSettings(address="127.0.0.1:1", window=WINDOW, late=LATE),
            life,
            self.leadership,
            world.store,
            world.api,
            FakePeers(world.network, name, life),
            self.clock,
            Log(),
        )
        self.metering.publisher.gateways = lambda: world.gateways_by_name
        self.is_alive = True
        for key in (LEADER_KEY, USAGE_KEY):
            found = world.store._items_by_key.get(key)
            value = found.value if found else None
            self._changed(Change(key, value, found.revision if found else 0))
        self.leadership.start()
        self.metering.start()
        self._follow()

    def _changed(self, change):
        if change.key == LEADER_KEY:
            self.leadership.key_changed(change)
        elif change.key == USAGE_KEY:
            self.metering.key_changed(change)

    def _follow(self):
        """Watch the store, and read the keys again after the watch failed."""
        store = self.world.store

        def on_changes(found):
            if not self.is_alive:
                return
            for change in found.changes:
                self._changed(change)
            self._follow()

        def on_failure(_):
            if self.is_alive:
                self.world.timers.call_later(0.1, self._read_again)

        store.changes("pimentolink/", store.revision, 3600.0).addCallbacks(
            on_changes, on_failure
        )

    def _read_again(self):
        if self.world.store.is_down:
            self.world.timers.call_later(0.1, self._read_again)
            return
        for key in (LEADER_KEY, USAGE_KEY):
            found = self.world.store._items_by_key.get(key)
            revision = found.revision if found else self.world.store.revision
            self._changed(Change(key, found.value if found else None, revision))
        self._follow()

    def kill(self):
        """Stop at once, without sending anything."""
        self.is_alive = False
        self.leadership._running.cancel()
        self.metering.reporter.stop()
        for repeater in self.metering.publisher._repeaters:
            repeater.cancel()
        self.world.network.peers_by_name.pop(self.name, None)
        self.world.gateways_by_name.pop(self.name, None)

    @property
    def leads(self):
        return bool(self.leadership.lease)


class World:
    """Gateways that run requests of many organisations, and the expected counts."""

    def __init__(self, gateways=4):
        self.timers = ManualTimers()
        self.random = Random(3)
        self.store = MemoryKeyspace(self.timers)
        self.api = FakeApi(self.timers)
        self.network = FakeNetwork(self.timers)
        self.gateways_by_name = {}
        self.expected_by_window = {}
        self.gateways_started = 0
        for number in range(gateways):
            self.start(f"g{number}")

    def start(self, name):
        self.gateways_started += 1
        gateway = Gateway(self, name, f"life-{self.gateways_started}")
        self.gateways_by_name[name] = gateway
        return gateway

    def run(self, seconds, rate=40):
        """Start requests at a rate per second; most organisations get only a few."""
        for _ in range(int(seconds * rate)):
            self.timers.advance(1 / rate)
            gateway = self.random.choice(list(self.gateways_by_name.values()))
            number = int(72 * self.random.random() ** 3)
            name = f"organisation-{number}"
            window = int(self.timers.wall_time() // WINDOW)
            self.expected_by_window.setdefault(window, Counter())[name] += 1
            gateway.metering.request_started(name, self.timers.now())

    def leader(self):
        found = [item for item in self.gateways_by_name.values() if item.leads]
        return found[0] if found else None

    def check_reports(self):
        """Check the invariants of all reports; return the counts by window."""
        counts_by_window = {}
        fences = [fence for _, _, fence, _ in self.api.received]
        assert fences == sorted(fences)
        leader_by_fence = {}
        for _, leader, fence, report in self.api.received:
            assert leader_by_fence.setdefault(fence, leader) == leader
            known = counts_by_window.setdefault(report.window, report.counts)
            assert known == report.counts
        return counts_by_window

    def misreported_windows(self):
        """List the due windows reported late, with wrong counts or not at all."""
        counts_by_window = self.check_reports()
        in_time = {
            report.window
            for at, _, _, report in self.api.received
            if at <= (report.window + 1) * WINDOW + LATE
        }
        now = self.timers.wall_time()
        due = [
            item for item in self.expected_by_window if (item + 1) * WINDOW + LATE < now
        ]
        return [
            window
            for window in sorted(due)
            if window not in in_time
            or counts_by_window[window] != self.expected_by_window[window]
        ]


@pytest.fixture
def world():
    found = World()
    # Keeps events off the windows' bounds, where rounding errors would affect the test.
    found.timers.advance(8.013)
    return found


class TestCalm:
    def test_every_window_is_reported_once_and_right(self, world):
        world.run(120.0)
        assert world.misreported_windows() == []
        windows = [report.window for _, _, _, report in world.api.received]
        assert windows == sorted(set(windows))

    def test_a_report_costs_one_write(self, world):
        world.run(60.0)
        before = world.store.revision
        world.run(60.0)
        assert world.store.revision - before == 60 / WINDOW

    def test_lost_datagrams_cost_nothing(self, world):
        world.network.loss_rate = 0.2
        world.run(120.0)
        assert world.misreported_windows() == []

    def test_clocks_that_jump_on_some_instances_cost_nothing(self, world):
        gateways = list(world.gateways_by_name.values())
        world.run(20.0)
        gateways[0].clock.wall_offset = 3.0
        world.run(20.0)
        gateways[0].clock.wall_offset = -2.0
        world.run(40.0)
        assert world.misreported_windows() == []

    def test_leader_whose_clock_jumps_reports_as_before(self, world):
        world.run(20.0)
        world.leader().clock.wall_offset = -4.0
        world.run(40.0)
        assert world.misreported_windows() == []


class TestLeader:
    def test_killed_leader_costs_no_window_of_the_others(self, world):
        for _ in range(4):
            world.run(23.0)
            name = world.leader().name
            world.timers.advance(0.3)
            world.leader().kill()
            world.run(12.0)
            world.start(name)
        world.run(20.0)
        assert world.misreported_windows() == []

    def test_killed_gateway_takes_at_most_a_fraction_of_a_second_with_it(self, world):
        world.run(21.0)
        victim = next(
            item for item in world.gateways_by_name.values() if not item.leads
        )
        victim.kill()
        world.run(20.0)
        reported = world.check_reports()
        for window in world.misreported_windows():
            lost = world.expected_by_window[window] - Counter(reported[window])
            assert sum(lost.values()) <= 0.3 * 40 / 4

    def test_leader_and_a_gateway_killed_at_once(self, world):
        world.run(21.0)
        others = [item for item in world.gateways_by_name.values() if not item.leads]
        world.timers.advance(0.3)
        world.leader().kill()
        others[0].kill()
        world.run(40.0)
        assert world.misreported_windows() == []

    def test_leader_that_is_cut_off_from_the_api_hands_over(self, world):
        world.run(21.0)
        leader = world.leader()
        world.api.unreachable_from = {leader.name}
        world.run(40.0)
        assert world.leader() is not leader
        assert len(world.misreported_windows()) <= 1

    def test_leader_that_wakes_late_sends_nothing_old(self, world):
        world.run(22.0)
        leader = world.leader()
        lease = leader.leadership.lease
        world.store.lapse(lease)
        world.run(40.0)
        world.check_reports()
        assert world.misreported_windows() == []


class TestApi:
    def test_report_without_an_answer_is_sent_again_as_it_was(self, world):
        world.run(12.0)
        world.api.drops_responses = True
        world.run(7.0)
        world.api.drops_responses = False
        world.run(30.0)
        assert world.misreported_windows() == []

    def test_successor_sends_what_its_predecessor_committed(self, world):
        world.run(12.0)
        world.api.drops_responses = True
        world.run(5.0)
        world.leader().kill()
        world.api.drops_responses = False
        world.run(30.0)
        world.check_reports()

    def test_what_was_missed_follows_in_order(self, world):
        world.run(11.0)
        world.api.is_down = True
        world.run(8.0)
        world.api.is_down = False
        world.run(30.0)
        windows = [report.window for _, _, _, report in world.api.received]
        assert windows == sorted(windows)
        assert len(world.misreported_windows()) <= 1

    def test_calls_are_few_while_the_api_refuses(self, world):
        calls = []
        report = world.api.report
        world.api.report = lambda *args: calls.append(args) or report(*args)
        world.api.refuses = True
        world.run(60.0)
        assert len(calls) <= 60 / 0.8


class TestStore:
    def test_commitment_whose_answer_was_lost_is_found_again(self, world):
        world.run(11.0)
        for _ in range(5):
            world.store.answers_to_lose = 1
            world.run(WINDOW)
        world.run(20.0)
        assert world.misreported_windows() == []

    def test_outage_delays_reports_only(self, world):
        world.run(11.0)
        world.store.set_down(True)
        world.run(4.0)
        world.store.set_down(False)
        world.run(30.0)
        assert len(world.misreported_windows()) <= 1

    def test_leader_whose_lease_was_paused_goes_on_at_once(self, world):
        """
        The store did not respond for 8 s from the end of a window, and paused all
        leases. If the leader gives up its lease then, its key keeps other gateways from
        leading until the lease expires, and two windows are not reported in time.
        """
        world.run(11.97)
        leader = world.leader()
        world.store.set_down(True, pauses_leases=True)
        world.run(8.0)
        world.store.set_down(False)
        world.run(20.0)
        assert world.leader() is leader
        assert world.misreported_windows() == []

    @pytest.mark.parametrize("age", [0.5, 2.0, 6.0, 11.0])
    def test_no_window_is_reported_twice_after_a_restore(self, world, age):
        world.run(31.0 - age)
        copy = world.store.copy()
        world.run(age)
        world.store.set_down(True)
        world.run(1.0)
        world.store.set_down(False)
        world.store.restore(copy)
        world.run(40.0)
        world.check_reports()
        assert len(world.misreported_windows()) <= 2

    def test_leader_killed_with_the_restore(self, world):
        for age in (1.0, 3.0, 5.0):
            world.run(31.0 - age)
            copy = world.store.copy()
            world.run(age)
            name = world.leader().name
            world.leader().kill()
            world.store.restore(copy)
            world.run(30.0)
            world.start(name)
        world.check_reports()


class TestGatewayThatStarts:
    def test_it_reports_from_now_on_after_a_long_time_without_any(self, world, capfd):
        world.run(21.0)
        for gateway in list(world.gateways_by_name.values()):
            gateway.kill()
        world.timers.advance(3600.0)
        capfd.readouterr()
        for number in range(4):
            world.start(f"g{number}")._read_again()
        earlier = len(world.api.received)
        world.run(30.0)
        windows = [report.window for _, _, _, report in world.api.received[earlier:]]
        assert windows == list(range(windows[0], windows[0] + len(windows)))
        assert len(windows) >= 5
        assert "".join(capfd.readouterr()).count("usage_missed") == 1

    def test_it_reports_windows_that_ended_before_when_it_leads(self, world):
        """
        In a rolling restart, a gateway that had just started took over from the leader.
        It skipped the windows that had ended before its start, although the other
        gateways still had all counts of them.
        """
        world.run(23.5)
        for name in ("g0", "g1", "g2", "g3"):
            gateway = world.gateways_by_name[name]
            if not gateway.leads:
                gateway.metering.stop()
                gateway.leadership.stop()
                gateway.kill()
                world.start(name)
                world.run(0.2)
        # A killed gateway loses the counts of its last fraction of a second.
        world.timers.advance(0.3)
        world.leader().kill()
        world.run(30.0)
        assert world.misreported_windows() == []

    def test_it_reports_no_window_that_ended_before(self, world):
        world.run(31.0)
        copy = world.store.copy()
        world.run(4.0)
        for gateway in list(world.gateways_by_name.values()):
            gateway.kill()
        world.store.restore(copy)
        world.timers.advance(1.0)
        for number in range(4):
            world.start(f"g{number}")
        world.run(30.0)
        world.check_reports()


def test_store_that_is_away_raises_nothing(world):
    world.store.set_down(True)
    world.run(30.0)
    failed = []
    world.store.read("x").addErrback(lambda failure: failed.append(failure.type))
    assert failed == [KeyValueUnavailable]
