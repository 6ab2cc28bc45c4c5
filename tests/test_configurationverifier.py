"""Tests of how long a configuration counts as current when the store fails."""

import json
from random import Random

import pytest
from twisted.internet.defer import Deferred

from pimentolink.configurationage import REWRITE_TIME, ConfigurationAge
from pimentolink.configurationverifier import ConfigurationVerifier
from pimentolink.keyspacefollower import KeyspaceFollower
from pimentolink.logs import Log
from pimentolink.membership import Membership
from pimentolink.memorykeyspace import MemoryKeyspace
from pimentolink.platform.documents import CONFIGURATION_KEY, PlatformDocuments
from pimentolink.routes import RoutingTables
from pimentolink.timers import ManualTimers
from tests.gatewaybuilders import fleet, gateway_settings

BOUND = 5.0


def configuration(version, *keys):
    tenants = [{"name": "north", "apiKeys": list(keys)}]
    return json.dumps({"version": version, "routes": [], "tenants": tenants}).encode()


class FaultyKeyspace(MemoryKeyspace):
    """A store that can delay the results of reads and leave watches unanswered."""

    def __init__(self, timers):
        super().__init__(timers)
        self.timers = timers
        self.delay = 0.0
        self.drops_watches = False

    def read(self, key):
        return self._delayed(super().read(key))

    def read_revision(self):
        return self._delayed(super().read_revision())

    def _delayed(self, result):
        if not self.delay:
            return result
        later = Deferred()
        self.timers.call_later(self.delay, lambda: result.chainDeferred(later))
        return later

    def changes(self, prefix, after, wait):
        if self.drops_watches:
            return Deferred()
        return super().changes(prefix, after, wait)


class PeerNetwork:
    """Delivers messages between gateways after a delay, or drops them."""

    def __init__(self, timers):
        self.timers = timers
        self.verifiers = {}
        self.delay = 0.002
        self.is_partitioned = False
        self.sent = 0

    def sender_for(self, name):
        """Return the sender of one gateway."""
        return _PeerSender(self, name)

    def broadcast(self, sender, gateways, messages):
        for name in gateways:
            for message in messages:
                self._send(self.verifiers[name], message, sender)

    def _send(self, receiver, message, sender):
        def arrive():
            receiver.handle_message(
                message, lambda reply: self._send(sender, reply, receiver)
            )

        self.sent += 1
        if not self.is_partitioned:
            self.timers.call_later(self.delay, arrive)


class _PeerSender:
    def __init__(self, peers, name):
        self.peers, self.name = peers, name

    def send_to(self, gateways, messages):
        self.peers.broadcast(self.peers.verifiers[self.name], gateways, messages)


class Gateway:
    """The parts of one gateway that decide whether an API key is accepted."""

    def __init__(self, timers, store, name="g0", peers=None):
        self.store = store
        peers = peers or PeerNetwork(timers)
        settings, log = gateway_settings().store, Log()
        self.tables = RoutingTables()
        self.age = ConfigurationAge(BOUND, timers, log)
        self.membership = Membership(
            self.tables, fleet(), self.age, PlatformDocuments(), settings, timers, log
        )
        self.follower = KeyspaceFollower(
            "", store, self.membership, settings, timers, Random(1), log
        )
        self.verifier = ConfigurationVerifier(
            name,
            CONFIGURATION_KEY,
            store,
            self.age,
            BOUND,
            peers.sender_for(name),
            timers,
        )
        peers.verifiers[name] = self.verifier
        self.verifier.gateways = lambda: peers.verifiers
        self.verifier.version = lambda: self.tables.version
        self.verifier.on_change = self.membership.key_changed
        self.verifier.has_reached = self.follower.has_reached
        self.verifier.on_revision = self.follower.expect_revision
        self.follower.start()
        self.verifier.start()

    def serves(self, key):
        table = self.tables.table
        is_known = table is not None and table.api_keys.organisation(key) is not None
        return self.age.is_current() and is_known


@pytest.fixture
def timers():
    return ManualTimers()


@pytest.fixture
def store(timers):
    keyspace = FaultyKeyspace(timers)
    keyspace.put(CONFIGURATION_KEY, configuration(1, "k", "l"))
    return keyspace


def seconds_served(timers, gateway, key, seconds=20.0):
    """Return the seconds from now until a key is accepted for the last time."""
    started_at = timers.boot_time()
    last = 0.0
    while timers.boot_time() - started_at < seconds:
        if gateway.serves(key):
            last = timers.boot_time() - started_at
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
        assert seconds_served(timers, gateway, b"k") <= 0.3
        assert gateway.serves(b"l")

    def test_gateway_that_is_cut_off_stops_within_the_bound(self, timers, store):
        gateway = Gateway(timers, store)
        timers.advance(7.3)
        store.set_down(True)
        assert 0.4 * BOUND <= seconds_served(timers, gateway, b"k") < BOUND

    def test_silent_watch_proves_nothing(self, timers, store):
        gateway = Gateway(timers, store)
        store.drops_watches = True
        timers.advance(7.3)
        gateway.follower.restart()
        store.put(CONFIGURATION_KEY, configuration(2, "l"))
        assert seconds_served(timers, gateway, b"k") < BOUND
        assert gateway.serves(b"l")

    def test_answer_that_was_long_on_its_way_proves_no_more(self, timers, store):
        gateway = Gateway(timers, store)
        timers.advance(1.9)
        store.delay = 4.0
        timers.advance(0.5)
        store.drops_watches = True
        gateway.follower.restart()
        store.put(CONFIGURATION_KEY, configuration(2, "l"))
        assert seconds_served(timers, gateway, b"k") < BOUND

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
        assert seconds_served(timers, gateway, b"k") < BOUND
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
        used = seconds_served(timers, gateway, b"k", 5.0)
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


class World:
    """Gateways that ask each other; each has its own store, which may fail alone."""

    def __init__(self, timers, gateways):
        self.timers = timers
        self.peers = PeerNetwork(timers)
        self.stores = []
        self.gateways = []
        for number in range(gateways):
            store = FaultyKeyspace(timers)
            self.stores.append(store)
            store.put(CONFIGURATION_KEY, configuration(1, "k", "l"))
            gateway = Gateway(timers, store, f"g{number}", self.peers)
            self.gateways.append(gateway)

    def revoke(self):
        for store in self.stores:
            store.put(CONFIGURATION_KEY, configuration(2, "l"))

    def calls(self):
        return sum(store.calls for store in self.stores)


class TestOtherGateways:
    def test_one_reads_the_key_for_all(self, timers):
        world = World(timers, 12)
        timers.advance(10.0)
        before = world.calls()
        timers.advance(60.0)
        reads = 60 / (0.3 * BOUND)
        watches = 12 * 60 / 20
        assert world.calls() - before <= reads + watches + 12
        assert all(gateway.serves(b"k") for gateway in world.gateways)

    @pytest.mark.parametrize("number", range(4))
    def test_gateway_that_the_store_turns_away_goes_on(self, timers, number):
        world = World(timers, 4)
        timers.advance(10.3)
        world.stores[number].set_down(True)
        reader = world.gateways[0].verifier._select_reader() or "g0"
        for _ in range(200):
            timers.advance(0.05)
            if reader != f"g{number}":
                assert world.gateways[number].serves(b"k")

    def test_gateways_that_are_all_turned_away_stop_within_the_bound(self, timers):
        """
        Guards against gateways that verify each other without the store.

        Each reply includes the age of the replying gateway, so that ages accumulate.
        """
        world = World(timers, 5)
        timers.advance(10.3)
        for store in world.stores:
            store.set_down(True)
        for gateway in world.gateways:
            assert seconds_served(timers, gateway, b"k", 8.0) < BOUND

    def test_late_answers_prove_no_more_than_prompt_ones(self, timers):
        world = World(timers, 5)
        timers.advance(10.3)
        world.peers.delay = 0.045
        for store in world.stores:
            store.drops_watches = True
        for gateway in world.gateways:
            gateway.follower.restart()
        world.revoke()
        revoked_at = timers.now()
        while timers.now() - revoked_at < BOUND:
            timers.advance(0.05)
        assert not any(gateway.serves(b"k") for gateway in world.gateways)
        assert all(gateway.serves(b"l") for gateway in world.gateways)

    def test_gateways_that_do_not_hear_each_other_ask_the_store(self, timers):
        world = World(timers, 5)
        timers.advance(10.3)
        world.peers.is_partitioned = True
        for _ in range(200):
            timers.advance(0.05)
            assert all(gateway.serves(b"k") for gateway in world.gateways)

    def test_gateway_behind_the_others_reads_the_newer_configuration(self, timers):
        world = World(timers, 3)
        for store in world.stores:
            store.drops_watches = True
        timers.advance(10.3)
        for gateway in world.gateways:
            gateway.follower.restart()
        world.revoke()
        timers.advance(BOUND)
        assert [gateway.tables.table.version for gateway in world.gateways] == [2] * 3

    def test_suspended_gateway_tells_its_whole_age(self, timers):
        world = World(timers, 2)
        timers.advance(10.3)
        for store in world.stores:
            store.set_down(True)
        timers.suspend(BOUND)
        timers.advance(0.5)
        assert not any(gateway.serves(b"k") for gateway in world.gateways)
