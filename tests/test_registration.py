"""Registration of a gateway, whose renewals detect outages of the store."""

from random import Random

import pytest
from twisted.internet.defer import Deferred

from pimentolink.errors import KeyValueUnavailable
from pimentolink.keyspacefollower import KeyspaceFollower
from pimentolink.logs import Log
from pimentolink.memorykeyspace import MemoryKeyspace
from pimentolink.registration import Registration
from pimentolink.timers import ManualTimers
from tests.gatewaybuilders import gateway_settings

# Seconds within which the store must be read once it responds to reads.
RECOVERY_LIMIT = 12.0


class WatchDroppingStore:
    """A store that, while silent, does not respond and drops all watches."""

    def __init__(self, timers):
        self._timers = timers
        self._keyspace = MemoryKeyspace(timers)
        self._watches = []
        self.is_silent = False
        self.put = self._keyspace.put
        self.epoch = 0

    def silence(self):
        self.is_silent = True
        for watch in self._watches:
            watch.cancel()
        self._watches = []

    def changes(self, prefix, after, wait):
        response = Deferred()
        if not self.is_silent:
            watch = self._keyspace.changes(prefix, after, wait)
            # A dropped watch does not fail; its caller sees no response until it times
            # out.
            watch.addCallbacks(response.callback, lambda _: None)
            self._watches.append(watch)
        unavailable = KeyValueUnavailable("no answer")
        timer = self._timers.call_later(wait + 1, lambda: response.errback(unavailable))
        return response.addBoth(lambda result: (timer.cancel(), result)[1])

    def __getattr__(self, name):
        def call(*arguments):
            if not self.is_silent:
                return getattr(self._keyspace, name)(*arguments)
            response = Deferred()
            unavailable = KeyValueUnavailable("no answer")
            self._timers.call_later(1.0, lambda: response.errback(unavailable))
            return response

        return call


class Listener:
    """Records when it first received each key."""

    def __init__(self, timers):
        self._timers = timers
        self.known_at = {}

    def key_changed(self, change):
        self.known_at.setdefault(change.key, self._timers.now())

    def changes_delivered(self):
        pass

    def snapshot_delivered(self, keys, requested_at, epoch):
        pass


class World:
    def __init__(self, seed=1, make_store=WatchDroppingStore):
        self.timers = ManualTimers()
        self.store = make_store(self.timers)
        self.listener = Listener(self.timers)
        settings = gateway_settings()
        self.follower = KeyspaceFollower(
            "op/",
            self.store,
            self.listener,
            settings.store,
            self.timers,
            Random(seed),
            Log(),
        )
        self.registration = Registration(
            settings, "life", self.store, self.timers, Random(seed), Log()
        )
        self.registration.on_store_recovered = self.follower.restart
        self.follower.may_call_store = lambda: self.registration.is_store_reachable
        self.follower.start()
        self.registration.start()


@pytest.fixture
def world():
    return World()


class TestSilentStore:
    @pytest.mark.parametrize("outage", [2.0, 5.0, 8.0])
    def test_change_after_an_outage_is_known_soon(self, world, outage):
        world.timers.advance(3.3)
        world.store.silence()
        world.timers.advance(outage)
        world.store.is_silent = False
        back_at = world.timers.now()
        world.store.put("op/config", b"new")
        world.timers.advance(30.0)
        assert world.listener.known_at["op/config"] - back_at < 2.5

    @pytest.mark.parametrize("seed", range(40))
    def test_store_is_read_before_a_lost_lease_is_replaced(self, seed):
        """
        Leases end in an outage. The store responds again, but only to a renewal that
        was not pending at the end, and with the answer that the lease has ended.
        """
        random = Random(seed)
        world = World(seed)
        world.timers.advance(3.0 + random.random())
        world.store.silence()
        world.timers.advance(5.0 + random.random())
        world.store.is_silent = False
        world.store._keyspace.lapse(world.registration.lease)
        world.store.put("op/config", b"new")
        back_at = world.timers.now()
        world.timers.advance(30.0)
        assert world.listener.known_at["op/config"] - back_at < 2.0

    def test_gateway_that_stops_reads_the_store_once_it_responds(self):
        world = World(make_store=MemoryKeyspace)
        world.timers.advance(3.3)
        world.store.set_down(True)
        world.timers.advance(3.0)
        world.registration.stop()
        world.timers.advance(1.0)
        world.store.set_down(False)
        world.store.put("op/config", b"new")
        back_at = world.timers.now()
        world.timers.advance(30.0)
        assert world.listener.known_at["op/config"] - back_at < 2.0

    def test_outage_costs_renewals_only(self, world):
        """
        The store rejects each call of a gateway for some seconds. The follower must not
        keep retrying its reads meanwhile, since each one costs a call.
        """
        read = []
        read_all = world.store._keyspace.read_all
        world.store._keyspace.read_all = lambda prefix: (
            read.append(1) or read_all(prefix)
        )
        world.timers.advance(3.3)
        world.store._keyspace.set_down(True)
        world.timers.advance(10.0)
        assert len(read) <= 2
        world.store._keyspace.set_down(False)
        world.timers.advance(2.0)
        assert world.follower.is_connected

    def test_first_read_does_not_wait_for_renewals(self):
        """
        The first calls of a gateway get no response. Later the store responds to reads,
        but to no renewal.
        """

        def make_silent_store(timers):
            store = WatchDroppingStore(timers)
            store.put("op/config", b"new")
            store.silence()
            return store

        world = World(make_store=make_silent_store)
        world.follower.may_call_store = lambda: False
        world.timers.advance(1.5)
        world.store.is_silent = False
        back_at = world.timers.now()
        world.timers.advance(30.0)
        assert world.listener.known_at["op/config"] - back_at < RECOVERY_LIMIT

    def test_read_after_an_outage_does_not_wait_for_renewals_forever(self, world):
        """After an outage, the store responds to reads, but to no renewal."""
        world.timers.advance(3.3)
        world.store.silence()
        world.follower.may_call_store = lambda: False
        world.timers.advance(30.0)
        world.store.is_silent = False
        world.store.put("op/config", b"new")
        back_at = world.timers.now()
        world.timers.advance(30.0)
        assert world.listener.known_at["op/config"] - back_at < RECOVERY_LIMIT

    def test_steady_store_is_read_once(self, world):
        restarts = []
        world.registration.on_store_recovered = lambda: restarts.append(1)
        world.timers.advance(60.0)
        assert restarts == []
