"""Watches that the store does not know of."""

from random import Random

import pytest
from twisted.internet.defer import Deferred

from pimentolink.configurationage import ConfigurationAge
from pimentolink.configurationverifier import ConfigurationVerifier
from pimentolink.keyspacefollower import KeyspaceFollower
from pimentolink.logs import Log
from pimentolink.memorykeyspace import MemoryKeyspace
from pimentolink.timers import ManualTimers
from tests.gatewaybuilders import gateway_settings
from tests.test_registration import Listener, WatchDroppingStore

KEY = "op/config"
# Seconds within which a change must be known.
LIMIT = 2.0
# Seconds for which a watch may take to deliver changes.
DELIVERY_TIME = 0.4


class NoPeers:
    def send_to(self, gateways, messages):
        pass


def make_follower(timers, store, listener, random):
    settings = gateway_settings().store
    return KeyspaceFollower("", store, listener, settings, timers, random, Log())


class TestLostWatch:
    @pytest.mark.parametrize("outage", [0.1, 0.3, 0.5, 0.9, 1.5])
    @pytest.mark.parametrize("seed", range(8))
    def test_change_after_a_short_outage_is_known_in_time(self, outage, seed):
        """The store drops watches, and no renewal of a lease notices the outage."""
        random = Random(seed)
        timers = ManualTimers()
        store, listener = WatchDroppingStore(timers), Listener(timers)
        store.put(KEY, b"old")
        follower = make_follower(timers, store, listener, random)
        verifier = ConfigurationVerifier(
            "gateway",
            KEY,
            store,
            ConfigurationAge(None, timers, Log()),
            LIMIT,
            NoPeers(),
            timers,
        )
        verifier.has_reached = follower.has_reached
        verifier.on_revision = follower.expect_revision
        follower.start()
        verifier.start()
        timers.advance(3.0 + random.random())
        store.silence()
        timers.advance(outage)
        store.is_silent = False
        store.put("servers/new", b"target")
        back_at = timers.now()
        timers.advance(30.0)
        assert listener.known_at["servers/new"] - back_at < LIMIT


class FailingListener(Listener):
    """Raises an exception for one key, and once all changes are delivered."""

    def key_changed(self, change):
        if change.key == "a/bad":
            raise ValueError("unexpected content")
        super().key_changed(change)

    def changes_delivered(self):
        raise RuntimeError("unexpected state")


class TestFailingListener:
    def test_later_changes_are_delivered(self):
        timers = ManualTimers()
        store, listener = MemoryKeyspace(timers), FailingListener(timers)
        store.put("a/bad", b"")
        store.put("read", b"")
        make_follower(timers, store, listener, Random(1)).start()
        assert "read" in listener.known_at
        store.put("a/bad", b"")
        store.put("watched", b"")
        timers.advance(LIMIT)
        assert "watched" in listener.known_at
        store.compact()
        store.put("read again", b"")
        timers.advance(LIMIT)
        assert "read again" in listener.known_at


class TestFailingStore:
    def test_unexpected_exception_does_not_end_the_watch(self):
        timers = ManualTimers()
        store, listener = MemoryKeyspace(timers), Listener(timers)
        follower = make_follower(timers, store, listener, Random(1))
        follower.start()
        store._fail_watches(ValueError("unexpected answer"))
        store.put("new", b"")
        timers.advance(LIMIT)
        assert "new" in listener.known_at


class SlowKeyspace(MemoryKeyspace):
    """A store whose responses take some seconds to arrive."""

    def __init__(self, timers, seconds):
        super().__init__(timers)
        self._clock = timers
        self._seconds = seconds

    def read_all(self, prefix):
        return self._delayed(super().read_all(prefix))

    def changes(self, prefix, after, wait):
        return self._delayed(super().changes(prefix, after, wait))

    def _delayed(self, result):
        later = Deferred(lambda _: result.cancel())
        result.addBoth(
            lambda found: self._clock.call_later(
                self._seconds, lambda: later.called or later.callback(found)
            )
        )
        return later


class TestExpectedRevision:
    @pytest.fixture
    def timers(self):
        return ManualTimers()

    @pytest.fixture
    def store(self, timers):
        return MemoryKeyspace(timers)

    def test_watch_that_delivers_in_time_is_kept(self, timers, store):
        follower = make_follower(timers, store, Listener(timers), Random(1))
        follower.start()
        store.put("a", b"")
        follower.expect_revision(store.revision, DELIVERY_TIME)
        store.put("b", b"")
        follower.expect_revision(store.revision, DELIVERY_TIME)
        timers.advance(1.0)
        before = store.calls
        timers.advance(10.0)
        assert store.calls == before

    def test_watch_that_was_dropped_goes_on_where_it_was(self, timers, store):
        listener = Listener(timers)
        follower = make_follower(timers, store, listener, Random(1))
        follower.start()
        store.forget_watches()
        store.put("a", b"")
        before = store.calls
        follower.expect_revision(store.revision, DELIVERY_TIME)
        timers.advance(1.0)
        assert "a" in listener.known_at
        # The call that returns the change, and the watch after it.
        assert store.calls == before + 2

    def test_changes_that_are_arriving_are_not_requested_again(self, timers, store):
        """A second transfer over a slow link would delay both."""
        listener = Listener(timers)
        follower = make_follower(timers, store, listener, Random(1))
        follower.start()
        store.forget_watches()
        store.put("a", b"")
        before = store.calls
        store.is_receiving_changes = lambda: True
        follower.expect_revision(store.revision, DELIVERY_TIME)
        timers.advance(3.0)
        assert store.calls == before
        store.is_receiving_changes = lambda: False
        timers.advance(DELIVERY_TIME)
        assert "a" in listener.known_at

    def test_watch_is_not_ended_while_it_delivers_over_a_slow_link(self, timers):
        """Each new watch would wait for the link again, and none would deliver."""
        store = SlowKeyspace(timers, seconds=3.0)
        listener = Listener(timers)
        follower = make_follower(timers, store, listener, Random(1))
        follower.start()
        timers.advance(3.0)
        store.put("a", b"")
        put_at = timers.now()
        for _ in range(10):
            follower.expect_revision(store.revision, DELIVERY_TIME)
            timers.advance(0.6)
        # The watch that was pending delivers it.
        assert listener.known_at["a"] - put_at <= 3.1
