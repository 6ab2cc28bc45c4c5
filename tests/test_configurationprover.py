"""Until when a configuration counts as current, whatever happens to the store."""

import json
from random import Random

import pytest
from twisted.internet.defer import Deferred

from pimentolink.configurationage import REWRITE_TIME, ConfigurationAge
from pimentolink.configurationprover import ConfigurationProver
from pimentolink.keyspacefollower import KeyspaceFollower
from pimentolink.logs import Log
from pimentolink.membership import Membership
from pimentolink.memorykeyspace import MemoryKeyspace
from pimentolink.platform.documents import CONFIGURATION_KEY, PlatformDocuments
from pimentolink.routes import RoutingTables
from pimentolink.timers import ManualTimers
from tests.gatewayparts import fleet, gateway_settings

BOUND = 5.0


def configuration(version, *keys):
    tenants = [{"name": "north", "apiKeys": list(keys)}]
    return json.dumps({"version": version, "routes": [], "tenants": tenants}).encode()


class SilentKeyspace(MemoryKeyspace):
    """A store that can take a question and answer late, from an old copy, or never."""

    def __init__(self, timers):
        super().__init__(timers)
        self.timers = timers
        self.delay = 0.0
        self.is_deaf = False

    def read(self, key):
        found = super().read(key)
        if not self.delay:
            return found
        later = Deferred()
        self.timers.call_later(self.delay, lambda: found.chainDeferred(later))
        return later

    def changes(self, prefix, after, wait):
        if self.is_deaf:
            return Deferred()
        return super().changes(prefix, after, wait)


class Gateway:
    """What decides on keys in one gateway."""

    def __init__(self, timers, store):
        self.store = store
        settings, log = gateway_settings().store, Log()
        self.tables = RoutingTables()
        self.age = ConfigurationAge(BOUND, timers, log)
        self.membership = Membership(
            self.tables, fleet(), self.age, PlatformDocuments(), settings, timers, log
        )
        self.follower = KeyspaceFollower(
            "", store, self.membership, settings, timers, Random(1), log
        )
        self.prover = ConfigurationProver(
            CONFIGURATION_KEY, store, self.age, BOUND, timers
        )
        self.prover.on_change = self.membership.key_changed
        self.follower.start()
        self.prover.start()

    def serves(self, key):
        table = self.tables.table
        is_known = table is not None and table.api_keys.organisation(key) is not None
        return self.age.is_current() and is_known


@pytest.fixture
def timers():
    return ManualTimers()


@pytest.fixture
def store(timers):
    found = SilentKeyspace(timers)
    found.put(CONFIGURATION_KEY, configuration(1, "k", "l"))
    return found


def longest_use(timers, gateway, key, seconds=20.0):
    """Tell until how long from now a key is served."""
    began_at = timers.boot_time()
    last = 0.0
    while timers.boot_time() - began_at < seconds:
        if gateway.serves(key):
            last = timers.boot_time() - began_at
        timers.advance(0.05)
    return last


class TestRevocation:
    def test_key_is_served_all_the_time_while_the_store_answers(self, timers, store):
        gateway = Gateway(timers, store)
        for _ in range(400):
            timers.advance(0.05)
            assert gateway.serves(b"k")

    def test_revoked_key_goes_with_the_watch(self, timers, store):
        gateway = Gateway(timers, store)
        timers.advance(7.0)
        store.put(CONFIGURATION_KEY, configuration(2, "l"))
        assert longest_use(timers, gateway, b"k") <= 0.3
        assert gateway.serves(b"l")

    def test_gateway_that_is_cut_off_stops_within_the_bound(self, timers, store):
        gateway = Gateway(timers, store)
        timers.advance(7.3)
        store.set_down(True)
        assert 0.4 * BOUND <= longest_use(timers, gateway, b"k") < BOUND

    def test_silent_watch_proves_nothing(self, timers, store):
        gateway = Gateway(timers, store)
        store.is_deaf = True
        timers.advance(7.3)
        gateway.follower.restart()
        store.put(CONFIGURATION_KEY, configuration(2, "l"))
        assert longest_use(timers, gateway, b"k") < BOUND
        assert gateway.serves(b"l")

    def test_answer_that_was_long_on_its_way_proves_no_more(self, timers, store):
        gateway = Gateway(timers, store)
        timers.advance(1.9)
        store.delay = 4.0
        timers.advance(0.5)
        store.is_deaf = True
        gateway.follower.restart()
        store.put(CONFIGURATION_KEY, configuration(2, "l"))
        assert longest_use(timers, gateway, b"k") < BOUND

    def test_suspended_instance_wakes_without_trust(self, timers, store):
        gateway = Gateway(timers, store)
        timers.advance(7.0)
        store.set_down(True)
        timers.suspend(BOUND)
        assert not gateway.serves(b"k")

    def test_unreadable_configuration_takes_trust_away(self, timers, store):
        gateway = Gateway(timers, store)
        timers.advance(7.0)
        store.put(CONFIGURATION_KEY, b"{")
        assert longest_use(timers, gateway, b"k") < BOUND
        store.put(CONFIGURATION_KEY, configuration(3, "l"))
        timers.advance(3.0)
        assert gateway.serves(b"l")
        assert not gateway.serves(b"k")

    def test_outage_that_is_shorter_than_the_bound_refuses_nothing(self, timers, store):
        gateway = Gateway(timers, store)
        for _ in range(20):
            timers.advance(7.1)
            store.set_down(True)
            for _ in range(40):
                timers.advance(0.05)
                assert gateway.serves(b"k")
            store.set_down(False)


class TestRestore:
    def test_restored_configuration_proves_nothing_until_it_is_rewritten(
        self, timers, store
    ):
        gateway = Gateway(timers, store)
        copy = store.copy()
        timers.advance(7.0)
        store.set_down(True)
        store.put(CONFIGURATION_KEY, configuration(2, "l"))
        revoked_at = timers.boot_time()
        timers.advance(3.0)
        store.set_down(False)
        store.restore(copy)
        gateway.follower.restart()
        timers.advance(REWRITE_TIME)
        store.put(CONFIGURATION_KEY, configuration(2, "l"))
        used = longest_use(timers, gateway, b"k", 5.0)
        assert timers.boot_time() - revoked_at > BOUND
        assert used == 0.0
        timers.advance(1.0)
        assert gateway.serves(b"l")

    def test_configuration_does_not_regress(self, timers, store):
        gateway = Gateway(timers, store)
        copy = store.copy()
        store.put(CONFIGURATION_KEY, configuration(2, "l"))
        timers.advance(7.0)
        store.restore(copy)
        gateway.follower.restart()
        timers.advance(7.0)
        assert gateway.tables.table.version == 2
        assert not gateway.serves(b"k")


class TestQuestions:
    def test_two_and_a_half_questions_a_bound(self, timers, store):
        Gateway(timers, store)
        timers.advance(1.0)
        before = store.calls
        timers.advance(60.0)
        assert store.calls - before <= 60 / BOUND * 2.5 + 60 / 20 + 1
