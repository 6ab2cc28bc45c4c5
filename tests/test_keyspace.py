"""Runs the same tests on the in-memory store and on the platform's HTTP interface."""

import threading

import pytest
from twisted.internet import reactor
from twisted.internet.defer import Deferred

from pimentolink.errors import HistoryLost, KeyValueUnavailable, LeaseLost
from pimentolink.gatewaysettings import ConnectionSettings, StoreSettings
from pimentolink.keyspace import Write
from pimentolink.memorykeyspace import MemoryKeyspace
from pimentolink.platform.store import PlatformStore
from pimentolink.timers import ReactorTimers
from tools.fleet import Fleet, call


@pytest.fixture(scope="module")
def service():
    with Fleet() as fleet:
        fleet.start("store", "standins.platform_store")
        fleet.settle()
        yield fleet


class BlockingStore:
    """Calls a store from the test's thread and waits for the result."""

    def __init__(self, keyspace, faults):
        self.keyspace = keyspace
        self.fault = faults

    def __getattr__(self, name):
        def call_and_wait(*arguments):
            done = threading.Event()
            results = []

            async def perform():
                return await getattr(self.keyspace, name)(*arguments)

            def begin():
                pending = Deferred.fromCoroutine(perform())
                pending.addBoth(results.append).addBoth(lambda _: done.set())

            reactor.callFromThread(begin)
            assert done.wait(10)
            if hasattr(results[0], "raiseException"):
                results[0].raiseException()
            return results[0]

        return call_and_wait


class MemoryFaults:
    def __init__(self, keyspace):
        self._keyspace = keyspace

    def down(self, how):
        reactor.callFromThread(self._keyspace.set_down, bool(how))

    def lose_answer(self):
        self._keyspace.answers_to_lose = 1

    def compact(self):
        reactor.callFromThread(self._keyspace.compact)

    def copy(self):
        self._copy = self._keyspace.copy()

    def restore(self):
        reactor.callFromThread(self._keyspace.restore, self._copy)


class HttpFaults:
    def __init__(self, service):
        self._service = service

    def down(self, how):
        call(self._service.url("store", "/faults"), "PUT", {"down": how})

    def lose_answer(self):
        call(self._service.url("store", "/faults"), "PUT", {"lose_answers": 1})

    def compact(self):
        call(self._service.url("store", "/compact"), "PUT")

    def copy(self):
        call(self._service.url("store", "/copy"), "PUT")

    def restore(self):
        call(self._service.url("store", "/restore"), "PUT")


@pytest.fixture(params=["memory", "platform"])
def store(request, loop):
    timers = ReactorTimers(reactor)
    if request.param == "memory":
        keyspace = MemoryKeyspace(timers)
        return BlockingStore(keyspace, MemoryFaults(keyspace))
    service = request.getfixturevalue("service")
    settings = StoreSettings(address=service.address("store"), timeout=0.5)
    keyspace = PlatformStore(reactor, settings, ConnectionSettings(), timers)
    return BlockingStore(keyspace, HttpFaults(service))


@pytest.fixture
def key(request):
    return f"pimentolink/test/{request.node.name}"


class TestKeys:
    def test_absent_key(self, store, key):
        assert store.read(key) is None

    def test_write_is_read_back(self, store, key):
        revision = store.write(Write(key, b"\x00one", 0))
        item = store.read(key)
        assert (item.value, item.revision) == (b"\x00one", revision)

    def test_write_on_another_revision_is_not_made(self, store, key):
        revision = store.write(Write(key, b"one", 0))
        assert store.write(Write(key, b"two", 0)) is None
        assert store.write(Write(key, b"two", revision + 1000)) is None
        assert store.write(Write(key, b"two", revision)) > revision
        assert store.read(key).value == b"two"

    def test_all_pages_are_read(self, store, key):
        for number in range(120):
            store.write(Write(f"{key}/{number:03}", b"%d" % number, 0))
        snapshot = store.read_all(f"{key}/")
        assert [item.value for item in sorted(snapshot.items)] == [
            b"%d" % number for number in range(120)
        ]


class TestChanges:
    def test_changes_come_in_order(self, store, key):
        after = store.read_all(key).revision
        first = store.write(Write(key, b"one", 0))
        store.write(Write(key, b"two", first))
        found = store.changes(key, after, 5.0)
        assert [change.value for change in found.changes] == [b"one", b"two"]
        assert found.revision >= found.changes[-1].revision

    def test_wait_ends_without_changes(self, store, key):
        after = store.read_all(key).revision
        assert store.changes(f"{key}/none", after, 0.1).changes == ()

    def test_forgotten_history_is_told(self, store, key):
        store.write(Write(key, b"one", 0))
        store.fault.compact()
        with pytest.raises(HistoryLost):
            store.changes(key, 0, 0.1)


class TestLeases:
    def test_key_goes_with_its_lease(self, store, key):
        lease = store.grant(60.0)
        store.write(Write(key, b"one", 0, lease))
        store.renew(lease)
        store.revoke(lease)
        assert store.read(key) is None

    def test_lapsed_lease_cannot_be_renewed_or_used(self, store, key):
        lease = store.grant(60.0)
        store.revoke(lease)
        with pytest.raises(LeaseLost):
            store.renew(lease)
        with pytest.raises(LeaseLost):
            store.write(Write(key, b"one", 0, lease))


class TestGuards:
    def test_write_is_made_only_while_the_other_key_is_as_told(self, store, key):
        guard = store.write(Write(f"{key}/guard", b"g", 0))
        guarded = Write(key, b"one", 0, guard=(f"{key}/guard", guard))
        first = store.write(guarded)
        assert first > guard
        store.write(Write(f"{key}/guard", b"h", guard))
        assert store.write(guarded._replace(value=b"two", expected=first)) is None
        assert store.read(key).value == b"one"


class TestRestore:
    """
    The store is restored from an older copy of itself. Later writes are lost and its
    counters go back, so it issues the same revisions and leases again for other
    writes. These must not be confused with those from before the restore.
    """

    def test_revisions_rise_all_the_same(self, store, key):
        store.write(Write(key, b"one", 0))
        store.fault.copy()
        before = store.write(Write(f"{key}/lost", b"lost", 0))
        store.fault.restore()
        assert store.read(f"{key}/lost") is None
        assert store.read(key).value == b"one"
        assert store.write(Write(f"{key}/new", b"new", 0)) > before

    def test_write_on_a_revision_from_before_is_not_made(self, store, key):
        store.fault.copy()
        before = store.write(Write(key, b"one", 0))
        store.fault.restore()
        store.read(key)
        assert store.write(Write(key, b"two", 0)) is not None
        assert store.write(Write(key, b"three", before)) is None

    def test_guard_of_a_revision_from_before_does_not_hold(self, store, key):
        guard = store.write(Write(f"{key}/guard", b"g", 0))
        store.fault.copy()
        store.fault.restore()
        store.read(key)
        assert store.write(Write(key, b"x", 0, guard=(f"{key}/guard", guard))) is None

    def test_lease_from_before_has_ended(self, store, key):
        lease = store.grant(60.0)
        store.fault.copy()
        store.fault.restore()
        store.read(key)
        with pytest.raises(LeaseLost):
            store.renew(lease)
        with pytest.raises(LeaseLost):
            store.write(Write(key, b"one", 0, lease))
        store.revoke(lease)

    def test_changes_after_a_revision_from_before_are_lost(self, store, key):
        store.fault.copy()
        after = store.write(Write(key, b"one", 0))
        store.fault.restore()
        with pytest.raises((HistoryLost, KeyValueUnavailable)):
            store.changes(key, after, 0.1)
        with pytest.raises(HistoryLost):
            store.changes(key, after, 0.1)


class TestFaults:
    def test_write_whose_answer_is_lost_may_have_been_made(self, store, key):
        store.fault.lose_answer()
        with pytest.raises(KeyValueUnavailable):
            store.write(Write(key, b"one", 0))
        assert store.read(key).value == b"one"

    @pytest.mark.parametrize("how", ["busy", "reset", "silent"])
    def test_outage_is_told_within_the_timeout(self, store, key, how):
        store.fault.down(how)
        try:
            with pytest.raises(KeyValueUnavailable):
                store.read(key)
        finally:
            store.fault.down("")
        assert store.read(key) is None
