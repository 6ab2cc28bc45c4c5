"""A gateway's own entry, whose renewals tell whether the store answers."""

from random import Random

import pytest
from twisted.internet.defer import Deferred

from pimentolink.errors import KeyValueUnavailable
from pimentolink.keyspacefollower import KeyspaceFollower
from pimentolink.logs import Log
from pimentolink.memorykeyspace import MemoryKeyspace
from pimentolink.registration import Registration
from pimentolink.timers import ManualTimers
from tests.gatewayparts import gateway_settings


class ForgetfulStore:
    """A store that, while silent, answers nothing and forgets who watches."""

    def __init__(self, timers):
        self._timers = timers
        self._keys = MemoryKeyspace(timers)
        self._watches = []
        self.is_silent = False
        self.put = self._keys.put
        self.epoch = 0

    def silence(self):
        self.is_silent = True
        for watch in self._watches:
            watch.cancel()
        self._watches = []

    def changes(self, prefix, after, wait):
        told = Deferred()
        if not self.is_silent:
            watch = self._keys.changes(prefix, after, wait)
            # A watch that is forgotten tells its caller nothing.
            watch.addCallbacks(told.callback, lambda _: None)
            self._watches.append(watch)
        lost = KeyValueUnavailable("no answer")
        timer = self._timers.call_later(wait + 1, lambda: told.errback(lost))
        return told.addBoth(lambda found: (timer.cancel(), found)[1])

    def __getattr__(self, name):
        def call(*arguments):
            if not self.is_silent:
                return getattr(self._keys, name)(*arguments)
            told = Deferred()
            lost = KeyValueUnavailable("no answer")
            self._timers.call_later(1.0, lambda: told.errback(lost))
            return told

        return call


class Listener:
    """Remembers when it learned of each key."""

    def __init__(self, timers):
        self._timers = timers
        self.known_at = {}

    def key_changed(self, change):
        self.known_at.setdefault(change.key, self._timers.now())

    def changes_told(self):
        pass

    def keys_read(self, keys, asked_at, epoch):
        pass


class World:
    def __init__(self):
        self.timers = ManualTimers()
        self.store = ForgetfulStore(self.timers)
        self.listener = Listener(self.timers)
        settings = gateway_settings()
        self.follower = KeyspaceFollower(
            "op/",
            self.store,
            self.listener,
            settings.store,
            self.timers,
            Random(1),
            Log(),
        )
        self.registration = Registration(
            settings, "life", self.store, self.timers, Random(1), Log()
        )
        self.registration.on_store_back = self.follower.restart
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

    def test_outage_costs_renewals_only(self, world):
        """Pattern: the store turns some gateways away for seconds, call by call."""
        read = []
        read_all = world.store._keys.read_all
        world.store._keys.read_all = lambda prefix: read.append(1) or read_all(prefix)
        world.follower.may_ask = lambda: world.registration.is_answered
        world.timers.advance(3.3)
        world.store._keys.set_down(True)
        world.timers.advance(10.0)
        assert len(read) <= 2
        world.store._keys.set_down(False)
        world.timers.advance(2.0)
        assert world.follower.is_connected

    def test_steady_store_is_read_once(self, world):
        restarts = []
        world.registration.on_store_back = lambda: restarts.append(1)
        world.timers.advance(60.0)
        assert restarts == []
