"""One suite over every store that entries, sidecars and operators can use."""

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


class Calls:
    """Calls of a store from the test's thread."""

    def __init__(self, store, set_down, lose):
        self.store = store
        self.set_down = set_down
        self.lose = lose

    def wait(self, call):
        done = threading.Event()
        outcome = []

        def begin():
            pending = Deferred.fromCoroutine(self._await(call))
            pending.addBoth(outcome.append).addBoth(lambda _: done.set())

        reactor.callFromThread(begin)
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


def calls_in_memory():
    store = MemoryStore()

    def lose():
        store.answers_to_lose = 1

    return Calls(store, store.set_down, lose)


def calls_of_a_keyspace_in_memory():
    timers = ReactorTimers(reactor)
    keyspace = MemoryKeyspace(timers)

    def lose():
        keyspace.answers_to_lose = 1

    return Calls(KeyspaceStore(keyspace, timers), keyspace.set_down, lose)


def calls_of_the_platform(fleet):
    timers = ReactorTimers(reactor)
    settings = StoreSettings(address=fleet.address("store"), timeout=0.5)
    keyspace = PlatformStore(reactor, settings, ConnectionSettings(), timers)
    faults = fleet.url("store", "/faults")
    return Calls(
        KeyspaceStore(keyspace, timers),
        lambda is_down: call(faults, "PUT", {"down": "reset" if is_down else ""}),
        lambda: call(faults, "PUT", {"lose_answers": 1}),
    )


@pytest.fixture(params=["memory", "http", "keyspace", "platform"])
def calls(request, loop):
    if request.param == "memory":
        yield calls_in_memory()
        return
    if request.param == "keyspace":
        yield calls_of_a_keyspace_in_memory()
        return
    fleet = request.getfixturevalue("service")
    if request.param == "platform":
        yield calls_of_the_platform(fleet)
        call(fleet.url("store", "/faults"), "PUT", {"down": "", "lose_answers": 0})
        return
    settings = PlatformSettings(
        key_value=fleet.address("key_value"), instance_list="127.0.0.1:1"
    )
    faults = fleet.url("key_value", "/faults")
    yield Calls(
        HttpStore(reactor, settings),
        lambda is_down: call(faults, "PUT", {"down": is_down}),
        lambda: call(faults, "PUT", {"lose_answers": 1}),
    )
    call(faults, "PUT", {"down": False, "lose_answers": 0})


class TestCompareAndSwap:
    def test_absent_key_is_written_against_zero(self, calls):
        revision = calls.swap("a/new", b"1", 0)
        assert revision is not None
        assert calls.get("a/new")[:2] == (b"1", revision)

    def test_write_against_an_old_revision_is_not_made(self, calls):
        first = calls.swap("a/old", b"1", 0)
        assert calls.swap("a/old", b"2", first) is not None
        assert calls.swap("a/old", b"3", first) is None
        assert calls.get("a/old").data == b"2"

    def test_lost_answer_raises_though_the_write_is_made(self, calls):
        calls.lose()
        with pytest.raises(KeyValueUnavailable):
            calls.swap("a/lost", b"1", 0)
        assert calls.get("a/lost").data == b"1"


class TestReading:
    def test_absent_key_has_no_data_and_revision_zero(self, calls):
        assert calls.get("a/none")[:2] == (None, 0)

    def test_watch_answers_with_the_next_value(self, calls):
        calls.swap("a/watched", b"1", 0)
        known = calls.get("a/watched")

        def watch():
            pending = calls.store.watch("a/watched", known.service_index, 5.0)
            reactor.callLater(
                0.05, calls.store.compare_and_swap, "a/watched", b"2", known.revision
            )
            return pending

        assert calls.wait(watch).data == b"2"

    def test_watch_is_not_ended_by_keys_that_begin_alike(self, calls):
        calls.swap("a/alike", b"1", 0)
        known = calls.get("a/alike")
        swap = calls.store.compare_and_swap

        def watch():
            pending = calls.store.watch("a/alike", known.service_index, 5.0)
            reactor.callLater(0.05, swap, "a/alike/other", b"9", 0)
            reactor.callLater(0.1, swap, "a/alike", b"2", known.revision)
            return pending

        assert calls.wait(watch).data == b"2"

    def test_absent_key_is_told_once_it_is_written(self, calls):
        known = calls.get("a/later")

        def watch():
            pending = calls.store.watch("a/later", known.service_index, 5.0)
            reactor.callLater(0.05, calls.store.compare_and_swap, "a/later", b"1", 0)
            return pending

        assert calls.wait(watch).data == b"1"

    def test_outage_raises(self, calls):
        calls.set_down(True)
        with pytest.raises(KeyValueUnavailable):
            calls.get("a/any")
        calls.set_down(False)


class TestLease:
    def test_is_held_by_one(self, calls):
        def hold(holder):
            return calls.wait(lambda: calls.store.hold_lease("l", holder, 5.0))

        assert hold("one") is True
        assert hold("one") is True
