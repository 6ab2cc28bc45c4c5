"""Tests how valid and invalid replies of the platform's store are handled."""

from random import Random
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.defer import Deferred
from twisted.internet.testing import MemoryReactorClock

from pimentolink.errors import Failure, KeyValueUnavailable
from pimentolink.gatewaysettings import ConnectionSettings, StoreSettings
from pimentolink.httptypes import HttpReply, ReplyHead
from pimentolink.keyspace import Write
from pimentolink.keyspacefollower import KeyspaceFollower
from pimentolink.logs import Log
from pimentolink.platform import store as store_module
from pimentolink.platform.store import MAX_DATA_GAP, PlatformStore
from pimentolink.timers import ManualTimers, pause
from tests.jsonvalues import DOCUMENTS, VALUES, documents_with
from tests.test_registration import RECOVERY_LIMIT, Listener

ITEM = {"key": "k", "revision": 3, "value": "YQ=="}
ITEMS = st.lists(
    st.fixed_dictionaries(
        {}, optional={name: st.just(value) | VALUES for name, value in ITEM.items()}
    ),
    max_size=2,
)
REPLIES = st.one_of(
    documents_with("lease", "revision", **ITEM),
    st.fixed_dictionaries(
        {
            "items": ITEMS,
            "events": ITEMS,
            "morePages": st.just(False),
            "currentRev": st.just(5) | VALUES,
        }
    ).map(msgspec.json.encode),
    DOCUMENTS,
)
CALLS = {
    "read_all": lambda store: store.read_all("p"),
    "changes": lambda store: store.changes("p", 1, 1.0),
    "read": lambda store: store.read("k"),
    "read_revision": lambda store: store.read_revision(),
    "write": lambda store: store.write(Write("k", b"v", 0, 0)),
    "grant": lambda store: store.grant(1.0),
}


def call_outcome(call, status, body):
    """Make a call whose reply is available at once; return its result or failure."""

    async def reply_at_once(*arguments):
        return HttpReply(ReplyHead(status, ()), body)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(store_module, "exchange", reply_at_once)
        settings = StoreSettings(address="127.0.0.1:1")
        store = PlatformStore(None, settings, ConnectionSettings(), ManualTimers())
        outcomes = []
        pending: Deferred = CALLS[call](store)
        pending.addBoth(outcomes.append)
    return outcomes[0]


class TestCancel:
    def test_follower_that_stops_while_it_connects_makes_no_more_calls(self):
        """A restart of the follower would leave two of its loops running."""
        timers = ManualTimers()
        settings = StoreSettings(address="127.0.0.1:1")
        store = PlatformStore(
            MemoryReactorClock(), settings, ConnectionSettings(), timers
        )
        listener: Any = None
        follower = KeyspaceFollower(
            "", store, listener, settings, timers, Random(1), Log()
        )
        follower.start()
        follower.stop()
        timers.advance(30.0)
        assert store.calls == 1


class TestReceiving:
    def test_part_of_a_response_to_a_watch_is_noticed_for_a_moment(self, monkeypatch):
        callbacks = []

        async def exchange(pool, request, accepts, max_bytes, on_data):
            callbacks.append(on_data)
            await Deferred()

        monkeypatch.setattr(store_module, "exchange", exchange)
        timers = ManualTimers()
        settings = StoreSettings(address="127.0.0.1:1")
        store = PlatformStore(None, settings, ConnectionSettings(), timers)
        store.read("k")
        store.changes("", 1, 20.0)
        of_read, of_watch = callbacks
        of_read()
        assert not store.is_receiving_changes()
        of_watch()
        assert store.is_receiving_changes()
        timers.advance(MAX_DATA_GAP)
        assert not store.is_receiving_changes()


class TestSlowResponse:
    def start_read(self, monkeypatch):
        """Read from a store whose response is under way; return what it needs."""
        callbacks, outcomes = [], []

        async def exchange(pool, request, accepts, max_bytes, on_data):
            callbacks.append(on_data)
            await Deferred()

        monkeypatch.setattr(store_module, "exchange", exchange)
        timers = ManualTimers()
        settings = StoreSettings(address="127.0.0.1:1", timeout=1.0)
        store = PlatformStore(None, settings, ConnectionSettings(), timers)
        store.read_all("").addBoth(outcomes.append)
        return timers, callbacks[0], outcomes

    def test_is_read_as_long_as_parts_of_it_arrive(self, monkeypatch):
        # Guards against a configuration that was read from the start again and again,
        # since its transfer over a slow link took longer than a call's timeout.
        timers, on_data, outcomes = self.start_read(monkeypatch)
        for _ in range(5):
            timers.advance(0.9)
            on_data()
        assert outcomes == []
        timers.advance(1.1)
        assert outcomes[0].check(KeyValueUnavailable)

    def test_is_given_up_in_the_end_even_if_parts_of_it_arrive(self, monkeypatch):
        timers, on_data, outcomes = self.start_read(monkeypatch)
        for _ in range(200):
            timers.advance(0.1)
            on_data()
        assert outcomes[0].check(KeyValueUnavailable)


class TestSlowStore:
    def read_after(self, monkeypatch, delay, outage=30.0):
        """
        Return the seconds after an outage until a store is first read.

        :param delay: seconds until it responds to a request that it gets after that.
        """
        timers = ManualTimers()

        async def exchange(pool, request, accepts, max_bytes, on_data):
            if timers.now() < outage or b"/kv-watch" in request.path:
                await Deferred()
            await pause(timers, delay)
            page = {"items": [ITEM], "morePages": False, "currentRev": 5}
            body = msgspec.json.encode(page)
            return HttpReply(ReplyHead(200, ()), body)

        monkeypatch.setattr(store_module, "exchange", exchange)
        settings = StoreSettings(address="127.0.0.1:1", timeout=1.0)
        store = PlatformStore(None, settings, ConnectionSettings(), timers)
        listener = Listener(timers)
        KeyspaceFollower(
            "", store, listener, settings, timers, Random(1), Log()
        ).start()
        timers.advance(outage + 60.0)
        return listener.known_at[ITEM["key"]] - outage

    @pytest.mark.parametrize("delay", [0.5, 1.5, 2.5, 3.5])
    def test_is_read_in_time_after_an_outage(self, monkeypatch, delay):
        """Each response takes longer than the timeout of other calls."""
        assert self.read_after(monkeypatch, delay) < RECOVERY_LIMIT

    @pytest.mark.parametrize("outage", [0.7 * number for number in range(1, 30)])
    def test_is_read_soon_after_it_was_silent(self, monkeypatch, outage):
        """It never answers what it was asked before, so that must not be waited for."""
        assert self.read_after(monkeypatch, 0.01, outage) < 2.5


class TestRespondsToReads:
    @pytest.mark.parametrize(
        ("call", "status", "expected"),
        [
            ("read_all", 200, True),
            ("read", 404, True),
            ("changes", 410, True),
            ("read_revision", 503, False),
            ("read_all", 429, False),
            ("read", 500, False),
            ("grant", 503, True),
        ],
    )
    def test_depends_on_the_latest_read(self, monkeypatch, call, status, expected):
        async def exchange(*arguments):
            return HttpReply(ReplyHead(status, ()), b"{}")

        monkeypatch.setattr(store_module, "exchange", exchange)
        settings = StoreSettings(address="127.0.0.1:1")
        store = PlatformStore(None, settings, ConnectionSettings(), ManualTimers())
        CALLS[call](store).addErrback(lambda _: None)
        assert store.responds_to_reads is expected

    def test_is_false_after_a_timeout(self, monkeypatch):
        async def exchange(*arguments):
            await Deferred()

        monkeypatch.setattr(store_module, "exchange", exchange)
        settings = StoreSettings(address="127.0.0.1:1")
        timers = ManualTimers()
        store = PlatformStore(None, settings, ConnectionSettings(), timers)
        store.read("k").addErrback(lambda _: None)
        timers.advance(settings.timeout)
        assert not store.responds_to_reads


class TestAnswers:
    @pytest.mark.parametrize("value", ["a", "\u0080"])
    def test_value_that_is_no_base64_counts_as_no_answer(self, value):
        body = msgspec.json.encode(ITEM | {"value": value})
        failure = call_outcome("read", 200, body)
        assert failure.check(KeyValueUnavailable)

    @settings(max_examples=10_000, deadline=None)
    @given(
        call=st.sampled_from(sorted(CALLS)),
        status=st.sampled_from([200, 200, 200, 404, 410, 412, 429, 503]),
        body=REPLIES,
    )
    def test_any_answer_is_read_or_fails_as_the_store_may(self, call, status, body):
        result = call_outcome(call, status, body)
        if hasattr(result, "check"):
            assert result.check(Failure), result
