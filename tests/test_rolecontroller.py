"""Tests that only one gateway at a time sends orders, and none on stale state."""

import json
from random import Random

import pytest

from pimentolink.errors import NotConnected
from pimentolink.gatewaysettings import StoreSettings
from pimentolink.httptypes import HttpReply, ReplyHead
from pimentolink.keyspace import Change
from pimentolink.leadership import LEADER_KEY, Leadership
from pimentolink.logs import Log
from pimentolink.memorykeyspace import MemoryKeyspace
from pimentolink.platform.dialect import PlatformDialect
from pimentolink.rolebalance import RoleBalancer
from pimentolink.rolecontroller import ORDER_UNCERTAINTY, RoleController
from pimentolink.targetestimate import EngineRole
from pimentolink.timers import ManualTimers
from tests.gatewaybuilders import MODEL, engines, fleet, gateway_settings
from tests.requesthandlers import IgnoringPublisher

LIST_LAG = 4.0
# Seconds for which gateways are down in a full stop.
DOWN_TIME = 1.5
# Seconds from its end for which the store stays away.
OUTAGE_TIME = 5.0
# Seconds after it within which an engine must be ordered to take a missing role: 12 s
# for service to come back, less the time of the change and that of listing engines.
ORDER_LIMIT = 12.0 - MODEL.switch_time - StoreSettings(address="store:1").return_time
# The same if the store is away meanwhile, so that engines are listed again by then.
LATE_ORDER_LIMIT = 12.0 - MODEL.switch_time


class FakeEngines:
    """Accepts orders like engines that do not check fencing tokens."""

    def __init__(self, timers):
        self._timers = timers
        self.orders = []
        self.accepted = {}
        self.phases = {}
        self.is_silent = False
        self.born = 0
        self.fleets = []

    async def send(self, estimate, message):
        name = estimate.target.target_id
        if message.path == b"/report":
            sequence = self.accepted.get(name, 0)
            phase = self.phases.get(name, "decode")
            body = {"phase": phase, "busy": False, "sequence": sequence}
            body["born"] = self.born
            return HttpReply(ReplyHead(200, ()), json.dumps(body).encode())
        order = json.loads(message.body)
        self.orders.append((self._timers.now(), name, order))
        if self.is_silent:
            raise NotConnected("no answer")
        self.accepted[name] = self.accepted.get(name, 0) + 1
        self.phases[name] = order["phase"]
        self._timers.call_later(LIST_LAG, lambda: self._list(name))
        return HttpReply(ReplyHead(202, ()), b"{}")

    def _list(self, name):
        for gateway_fleet in self.fleets:
            known = gateway_fleet.targets_by_id[name].target
            gateway_fleet.put(known._replace(role=EngineRole.PREFILL))


class FrozenFleets(list):
    """A list of fleets that stays empty, so that no fleet learns of role changes."""

    def append(self, gateway_fleet):
        pass


class World:
    """A store, engines, and gateways that compete for leadership."""

    def __init__(self):
        self.timers = ManualTimers()
        self.store = MemoryKeyspace(self.timers)
        self.engine = FakeEngines(self.timers)
        self.controllers = []

    def gateway(self, readers=2, writers=5, instance=""):
        """Start a gateway; with the name of one that ended, it takes its place."""
        gateway_fleet = fleet(*engines(readers, writers))
        self.engine.fleets.append(gateway_fleet)
        instance = instance or f"g{len(self.controllers)}"
        settings = gateway_settings(instance=instance)
        leadership = Leadership(
            settings,
            f"life-{len(self.controllers)}",
            self.store,
            self.timers,
            Random(len(self.controllers)),
            Log(),
        )
        controller = RoleController(
            leadership,
            RoleBalancer(settings.roles, gateway_fleet),
            gateway_fleet,
            PlatformDialect(),
            self.engine.send,
            IgnoringPublisher(),
            self.timers,
            Log(),
        )
        leadership.lead = controller.lead
        controller.services = lambda: ["s"]
        leadership.key_changed(self.leader_key())
        self.controllers.append(controller)
        leadership.start()
        self._follow(leadership)
        return controller

    def _follow(self, leadership):
        def on_changes(changes):
            for change in changes.changes:
                if change.key == LEADER_KEY:
                    leadership.key_changed(change)
            self._follow(leadership)

        after = self.store.revision
        self.store.changes("pimentolink/", after, 3600.0).addCallbacks(
            on_changes,
            lambda _: self.timers.call_later(0.1, lambda: self._follow(leadership)),
        )

    def leader_key(self):
        found = self.store._items_by_key.get(LEADER_KEY)
        return Change(LEADER_KEY, found and found.value, found.revision if found else 0)

    def fencing_tokens(self):
        return [order["fencingToken"] for _, _, order in self.engine.orders]


@pytest.fixture
def world():
    return World()


class TestOneHolder:
    def test_only_one_of_many_gives_orders(self, world):
        for _ in range(5):
            world.gateway()
        world.timers.advance(30.0)
        assert world.engine.orders
        assert len({order["holder"] for _, _, order in world.engine.orders}) == 1

    def test_successor_waits_for_the_last_orders_and_fences_higher(self, world):
        first, second = world.gateway(), world.gateway()
        world.timers.advance(8.0)
        controller, other = (
            (first, second) if first._leadership.lease else (second, first)
        )
        order_count = len(world.engine.orders)
        assert order_count
        controller._leadership._running.cancel()
        world.timers.advance(30.0)
        last = world.engine.orders[order_count - 1][0]
        later = world.engine.orders[order_count:]
        assert later
        assert later[0][0] - last >= gateway_settings().order_lease_ms / 1000
        assert {order["holder"] for _, _, order in later} == {other._leadership.name}
        assert world.fencing_tokens() == sorted(world.fencing_tokens())

    def test_no_order_goes_out_without_a_lease(self, world):
        world.gateway()
        world.timers.advance(5.0)
        order_count = len(world.engine.orders)
        world.store.set_down(True)
        world.timers.advance(60.0)
        assert len(world.engine.orders) <= order_count + 1
        assert all(at <= 6.0 for at, _, _ in world.engine.orders)

    def test_lease_taken_by_another_ends_the_right_before_the_next_order(self, world):
        controller = world.gateway()
        world.timers.advance(3.0)
        world.store.lapse(controller._leadership.lease)
        world.store.put(LEADER_KEY, b'{"instance": "x", "life": "y"}')
        order_count = len(world.engine.orders)
        world.timers.advance(20.0)
        assert len(world.engine.orders) == order_count

    def test_nothing_is_ordered_after_a_freeze_until_the_lease_is_renewed(self, world):
        controller = world.gateway()
        world.timers.advance(5.0)
        controller._leadership.invalidate_lease()
        change = controller._balancer.decide("s", world.timers.now() + 9.0)
        assert change is not None
        assert not controller._may_order(change)
        world.timers.advance(2.0)
        assert controller._may_order(change)


class TestFullStop:
    """All gateways end at once and start again, as the only decode engine is lost."""

    def order_after_full_stop(self, world, offset, outage=0.0):
        """
        Return the seconds until an engine is ordered to take the decode role.

        :param outage: seconds for which the store is away as the gateways start again;
            leases do not expire meanwhile.
        """
        gateways = [world.gateway(), world.gateway()]
        world.timers.advance(20.0 + offset)
        assert any(controller._leadership.lease for controller in gateways)
        order_count = len(world.engine.orders)
        for controller in gateways:
            controller._leadership._running.cancel()
        if outage:
            world.store.set_down(True, pauses_leases=True)
        world.timers.advance(DOWN_TIME)
        world.engine.phases = dict.fromkeys(("reader-0", "reader-1"), "prefill")
        back_at = world.timers.now()
        for controller in gateways:
            name = controller._leadership.instance
            world.gateway(readers=2, writers=0, instance=name)
        if outage:
            world.timers.advance(outage)
            world.store.set_down(False)
        world.timers.advance(30.0)
        ordered_at, _, order = world.engine.orders[order_count]
        assert order["phase"] == "decode"
        assert world.fencing_tokens() == sorted(world.fencing_tokens())
        return ordered_at - back_at

    @pytest.mark.parametrize("offset", [0.1 * number for number in range(30)])
    def test_engine_gets_the_missing_role_in_time(self, world, offset):
        assert self.order_after_full_stop(world, offset) < ORDER_LIMIT

    @pytest.mark.parametrize("offset", [0.1 * number for number in range(30)])
    def test_store_that_is_away_for_a_while_leaves_time_enough(self, world, offset):
        order_time = self.order_after_full_stop(world, offset, OUTAGE_TIME)
        assert order_time < LATE_ORDER_LIMIT


class TestRestoredStore:
    def test_key_of_the_own_previous_process_is_not_taken_over_at_once(self, world):
        """Another gateway may have led since the store was copied."""
        world.gateway(instance="g0")
        world.timers.advance(5.0)
        copy = world.store.copy()
        world.controllers[0]._leadership._running.cancel()
        world.store.restore(copy)
        restored_at, order_count = world.timers.now(), len(world.engine.orders)
        world.gateway(instance="g0")
        world.timers.advance(30.0)
        lease_time = gateway_settings().order_lease_ms / 1000
        assert world.engine.orders[order_count][0] - restored_at > lease_time


class TestRounds:
    """Load pattern: a large fleet that starts in the wrong roles."""

    def test_orders_of_one_round_rest_on_one_reading_of_the_right(self, world):
        reads = []
        read = world.store.read
        world.store.read = lambda key: reads.append(key) or read(key)
        world.gateway(readers=12, writers=27)
        while not world.engine.orders:
            world.timers.advance(0.1)
        world.timers.advance(0.5)
        assert len(world.engine.orders) == 9
        assert reads.count(LEADER_KEY) == 1

    def test_all_orders_of_a_round_are_fenced_alike(self, world):
        world.gateway(readers=12, writers=27)
        world.timers.advance(30.0)
        assert len(world.engine.orders) == 19
        assert len(set(world.fencing_tokens())) == 1

    def test_no_order_of_a_round_goes_out_once_the_right_is_lost(self, world):
        controller = world.gateway(readers=12, writers=27)
        world.timers.advance(2.0)
        world.store.lapse(controller._leadership.lease)
        world.store.put(LEADER_KEY, b'{"instance": "x", "life": "y"}')
        world.timers.advance(20.0)
        assert world.engine.orders == []


class TestOrdersInDoubt:
    def test_engine_gets_no_further_order_until_the_lost_one_is_over(self, world):
        world.engine.is_silent = True
        world.gateway(readers=1, writers=3)
        world.timers.advance(60.0)
        times_by_engine = {}
        for at, name, _ in world.engine.orders:
            times_by_engine.setdefault(name, []).append(at)
        for times in times_by_engine.values():
            gaps = [b - a for a, b in zip(times, times[1:], strict=False)]
            assert all(gap >= ORDER_UNCERTAINTY for gap in gaps)

    def test_role_that_the_list_tells_late_is_not_ordered_again(self, world):
        world.engine.fleets = FrozenFleets()
        world.gateway(readers=1, writers=3)
        world.timers.advance(60.0)
        names = [name for _, name, _ in world.engine.orders]
        assert len(names) == len(set(names))

    def test_engine_that_started_again_gets_no_order_on_its_earlier_life(self, world):
        world.engine.born = 2_000
        controller = world.gateway()
        for target in engines(2, 5):
            controller._fleet.put(target._replace(born=1_000))
        world.timers.advance(20.0)
        assert world.engine.orders == []
        for target in engines(2, 5):
            controller._fleet.put(target._replace(born=2_000))
        world.timers.advance(20.0)
        assert world.engine.orders

    def test_lost_order_is_in_doubt_beyond_its_engines_restart(self, world):
        world.engine.is_silent = True
        controller = world.gateway(readers=1, writers=3)
        while not world.engine.orders:
            world.timers.advance(0.1)
        at, name, _ = world.engine.orders[0]
        world.engine.is_silent = False
        known = controller._fleet.targets_by_id[name].target
        controller._fleet.put(known._replace(born=5_000))
        world.timers.advance(ORDER_UNCERTAINTY - 1.0)
        later = [order for order in world.engine.orders[1:] if order[1] == name]
        assert later == []

    def test_orders_expect_what_the_engine_told(self, world):
        world.engine.accepted = {f"writer-{number}": 4 for number in range(5)}
        world.gateway()
        world.timers.advance(10.0)
        assert {order["expected"] for _, _, order in world.engine.orders} == {4}
        assert {order["phase"] for _, _, order in world.engine.orders} == {"prefill"}
