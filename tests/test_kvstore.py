"""Contract tests that every implementation of the key-value store passes."""

import threading

import pytest
from twisted.internet import reactor
from twisted.internet.defer import Deferred

from pimentolink.errors import KeyValueUnavailable
from pimentolink.gatewaysettings import ConnectionSettings, StoreSettings
from pimentolink.keyspacestore import KeyspaceStore
from pimentolink.kvstore import HttpStore, MemoryStore
from pimentolink.memorykeyspace import MemoryKeyspace
from pimentolink.platform.store import PlatformStore
from pimentolink.settings import PlatformSettings
from pimentolink.timers import ReactorTimers
from tools.fleet import Fleet, call


@pytest.fixture(scope="module")
def service():
    with Fleet() as fleet:
        fleet.start("key_value", "standins.key_value")
        fleet.start("store", "standins.platform_store")
        fleet.settle()
        yield fleet


class BlockingStore:
    """Makes blocking calls to a store from the test's thread."""

    def __init__(self, store, set_down, lose_answer):
        self.store = store
        self.set_down = set_down
        self.lose_answer = lose_answer

    def wait(self, call):
        done = threading.Event()
        outcome = []

        def start_call():
            pending = Deferred.fromCoroutine(self._await(call))
            pending.addBoth(outcome.append).addBoth(lambda _: done.set())

        reactor.callFromThread(start_call)
        assert done.wait(10)
        if hasattr(outcome[0], "raiseException"):
            outcome[0].raiseException()
        return outcome[0]

    async def _await(self, call):
        return await call()

    def get(self, key):
        return self.wait(lambda: self.store.get(key))

    def swap(self, key, data, revision):
        return self.wait(lambda: self.store.compare_and_swap(key, data, revision))


def memory_store():
    store = MemoryStore()

    def lose_answer():
        store.answers_to_lose = 1

    return BlockingStore(store, store.set_down, lose_answer)


def memory_keyspace_store():
    timers = ReactorTimers(reactor)
    keyspace = MemoryKeyspace(timers)

    def lose_answer():
        keyspace.answers_to_lose = 1

    return BlockingStore(
        KeyspaceStore(keyspace, timers), keyspace.set_down, lose_answer
    )


def platform_store(fleet):
    timers = ReactorTimers(reactor)
    settings = StoreSettings(address=fleet.address("store"), timeout=0.5)
    keyspace = PlatformStore(reactor, settings, ConnectionSettings(), timers)
    faults = fleet.url("store", "/faults")
    return BlockingStore(
        KeyspaceStore(keyspace, timers),
        lambda is_down: call(faults, "PUT", {"down": "reset" if is_down else ""}),
        lambda: call(faults, "PUT", {"lose_answers": 1}),
    )


@pytest.fixture(params=["memory", "http", "keyspace", "platform"])
def blocking_store(request, loop):
    if request.param == "memory":
        yield memory_store()
        return
    if request.param == "keyspace":
        yield memory_keyspace_store()
        return
    fleet = request.getfixturevalue("service")
    if request.param == "platform":
        yield platform_store(fleet)
        call(fleet.url("store", "/faults"), "PUT", {"down": "", "lose_answers": 0})
        return
    settings = PlatformSettings(
        key_value=fleet.address("key_value"), instance_list="127.0.0.1:1"
    )
    faults = fleet.url("key_value", "/faults")
    yield BlockingStore(
        HttpStore(reactor, settings),
        lambda is_down: call(faults, "PUT", {"down": is_down}),
        lambda: call(faults, "PUT", {"lose_answers": 1}),
    )
    call(faults, "PUT", {"down": False, "lose_answers": 0})


class TestCompareAndSwap:
    def test_absent_key_is_written_against_zero(self, blocking_store):
        revision = blocking_store.swap("a/new", b"1", 0)
        assert revision is not None
        assert blocking_store.get("a/new")[:2] == (b"1", revision)

    def test_write_against_an_old_revision_is_not_made(self, blocking_store):
        first = blocking_store.swap("a/old", b"1", 0)
        assert blocking_store.swap("a/old", b"2", first) is not None
        assert blocking_store.swap("a/old", b"3", first) is None
        assert blocking_store.get("a/old").data == b"2"

    def test_lost_answer_raises_though_the_write_is_made(self, blocking_store):
        blocking_store.lose_answer()
        with pytest.raises(KeyValueUnavailable):
            blocking_store.swap("a/lost", b"1", 0)
        assert blocking_store.get("a/lost").data == b"1"


class TestReading:
    def test_absent_key_has_no_data_and_revision_zero(self, blocking_store):
        assert blocking_store.get("a/none")[:2] == (None, 0)

    def test_watch_answers_with_the_next_value(self, blocking_store):
        blocking_store.swap("a/watched", b"1", 0)
        known = blocking_store.get("a/watched")

        def watch():
            pending = blocking_store.store.watch("a/watched", known.service_index, 5.0)
            reactor.callLater(
                0.05,
                blocking_store.store.compare_and_swap,
                "a/watched",
                b"2",
                known.revision,
            )
            return pending

        assert blocking_store.wait(watch).data == b"2"

    def test_watch_is_not_ended_by_keys_that_begin_alike(self, blocking_store):
        blocking_store.swap("a/alike", b"1", 0)
        known = blocking_store.get("a/alike")
        swap = blocking_store.store.compare_and_swap

        def watch():
            pending = blocking_store.store.watch("a/alike", known.service_index, 5.0)
            reactor.callLater(0.05, swap, "a/alike/other", b"9", 0)
            reactor.callLater(0.1, swap, "a/alike", b"2", known.revision)
            return pending

        assert blocking_store.wait(watch).data == b"2"

    def test_absent_key_is_told_once_it_is_written(self, blocking_store):
        known = blocking_store.get("a/later")

        def watch():
            pending = blocking_store.store.watch("a/later", known.service_index, 5.0)
            reactor.callLater(
                0.05, blocking_store.store.compare_and_swap, "a/later", b"1", 0
            )
            return pending

        assert blocking_store.wait(watch).data == b"1"

    def test_outage_raises(self, blocking_store):
        blocking_store.set_down(True)
        with pytest.raises(KeyValueUnavailable):
            blocking_store.get("a/any")
        blocking_store.set_down(False)


class TestLease:
    def test_is_held_by_one(self, blocking_store):
        def hold(holder):
            return blocking_store.wait(
                lambda: blocking_store.store.hold_lease("l", holder, 5.0)
            )

        assert hold("one") is True
        assert hold("one") is True
