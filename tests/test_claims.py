"""Committing claims: batched writes, no grant before its write, loss of ownership."""

import msgspec
import pytest
from result import Err

from pimentolink.claims import ClaimPartition
from pimentolink.claimtable import ClaimState
from pimentolink.errors import ClaimContended, OutcomeUnknown
from pimentolink.kvstore import MemoryStore
from pimentolink.settings import ClaimSettings
from pimentolink.timers import ManualTimers

RETENTION = ClaimSettings().retention


class WrongWallClock:
    """Timers of an instance whose wall clock is wrong."""

    def __init__(self, timers, error):
        self._timers = timers
        self.error = error

    def wall_time(self):
        return self._timers.wall_time() + self.error

    def __getattr__(self, name):
        return getattr(self._timers, name)


class Harness:
    def __init__(self):
        self.timers = ManualTimers()
        self.store = MemoryStore()

    def partition(self, incarnation, clock_error=0.0, **settings):
        return ClaimPartition(
            "p",
            incarnation,
            self.store,
            WrongWallClock(self.timers, clock_error),
            ClaimSettings(**settings),
        )

    def ask(self, partition, key):
        """Claim a key; return the answer after ten seconds."""
        outcome = self.claim(partition, key)
        self.timers.advance(10.0)
        return outcome[0] if outcome else None

    def copy_store(self):
        return self.store._index, dict(self.store._value_by_key)

    def restore_store(self, copy):
        self.store._index, self.store._value_by_key = copy[0], dict(copy[1])

    def claim(self, partition, key):
        outcome = []
        partition.claim(key, "same").addCallback(outcome.append)
        return outcome


def is_unknown(outcome):
    return isinstance(outcome, Err) and isinstance(outcome.err_value, OutcomeUnknown)


@pytest.fixture
def harness():
    return Harness()


class TestBudget:
    def test_many_claims_share_few_writes(self, harness):
        partition = harness.partition("one")
        outcomes = []
        for number in range(400):
            outcomes.append(harness.claim(partition, f"key-{number}"))
            harness.timers.advance(0.005)
        harness.timers.advance(1.0)
        assert all(outcome and not isinstance(outcome[0], Err) for outcome in outcomes)
        # 400 claims in 2 s, at 10 writes per second, plus one read at take-over.
        assert harness.store.calls <= 24

    def test_idle_partition_asks_nothing(self, harness):
        partition = harness.partition("one")
        harness.claim(partition, "a")
        harness.timers.advance(2.0)
        before = harness.store.calls
        harness.timers.advance(1_000.0)
        assert harness.store.calls == before


class TestAuthority:
    def test_former_owner_is_refused_and_its_key_stays_free(self, harness):
        old, new = harness.partition("old"), harness.partition("new")
        harness.claim(old, "first")
        harness.timers.advance(1.0)
        harness.claim(new, "second")
        harness.timers.advance(1.0)
        lost = harness.claim(old, "third")
        harness.timers.advance(1.0)
        assert isinstance(lost[0].err_value, ClaimContended)
        again = harness.claim(new, "third")
        harness.timers.advance(1.0)
        assert not isinstance(again[0], Err)

    def test_released_claim_frees_no_claim_of_another_owner(self, harness):
        """
        The incarnations begin alike, and so did the identifiers of their claims. The
        key of the second was free once the first, which had released a claim, was owner
        again.
        """
        first = harness.partition("sidecar-dispatch-1/1")
        second = harness.partition("sidecar-dispatch-2/1")
        for owner, key in ((first, "a"), (second, "b"), (first, "c"), (second, "d")):
            harness.claim(owner, key)
            harness.timers.advance(1.0)
        asked = harness.claim(first, "d")
        harness.timers.advance(1.0)
        assert isinstance(asked[0].err_value, OutcomeUnknown)

    def test_claim_of_a_dead_owner_is_unknown(self, harness):
        harness.claim(harness.partition("dead"), "key")
        harness.timers.advance(1.0)
        asked = harness.claim(harness.partition("next"), "key")
        harness.timers.advance(1.0)
        assert isinstance(asked[0].err_value, OutcomeUnknown)

    def test_lost_answer_is_read_back_and_granted(self, harness):
        partition = harness.partition("one")
        harness.claim(partition, "a")
        harness.timers.advance(1.0)
        harness.store.answers_to_lose = 1
        granted = harness.claim(partition, "b")
        harness.timers.advance(1.0)
        assert not isinstance(granted[0], Err)

    def test_outage_refuses_as_not_run_and_leaves_the_key_free(self, harness):
        partition = harness.partition("one")
        harness.store.set_down(True)
        refused = harness.claim(partition, "a")
        harness.timers.advance(1.0)
        assert refused[0].err_value.ran is False
        harness.store.set_down(False)
        granted = harness.claim(partition, "a")
        harness.timers.advance(1.0)
        assert not isinstance(granted[0], Err)


class TestUnreadableDocument:
    @pytest.mark.parametrize("data", [b"", b"[]", b'{"owner": 1}', b"\xff"])
    def test_refuses_at_once_as_not_run(self, harness, data):
        """Guards against calls that wait for a claim until their patience is over."""
        harness.store.compare_and_swap("p", data, 0)
        partition = harness.partition("one")
        for key in ("first", "second"):
            refused = harness.claim(partition, key)
            harness.timers.advance(1.0)
            assert refused[0].err_value.ran is False


class TestRestoredStore:
    """The store is restored from a copy that is older than a claim."""

    @pytest.mark.parametrize("has_document", [False, True])
    def test_claim_of_a_live_owner_is_kept(self, harness, has_document):
        """Guards against a second run of a call at the sidecar that made it."""
        owner = harness.partition("owner")
        if has_document:
            harness.ask(owner, "before")
        copy = harness.copy_store()
        harness.ask(owner, "key")
        harness.restore_store(copy)
        for name in ("first", "second", "third"):
            harness.ask(owner, name)
        assert is_unknown(harness.ask(owner, "key"))
        assert is_unknown(harness.ask(harness.partition("next"), "key"))

    def test_claims_made_since_the_copy_are_not_granted_again(self, harness):
        """Guards against a second run after a claim that no copy and no process has."""
        harness.ask(harness.partition("one"), "first")
        copy = harness.copy_store()
        harness.ask(harness.partition("two"), "key")
        harness.restore_store(copy)
        asked = harness.ask(harness.partition("three"), "key")
        assert isinstance(asked, Err)

    def test_revision_counted_again_lets_no_former_owner_write(self, harness):
        """Guards against claims that a former owner overwrites at an old revision."""
        former = harness.partition("former")
        copy = harness.copy_store()
        harness.ask(former, "first")
        revision = former._revision
        harness.restore_store(copy)
        later = harness.partition("later")
        harness.ask(later, "key")
        assert harness.store._index == revision
        harness.ask(former, "other")
        assert is_unknown(harness.ask(former, "key"))


class TestOwnershipCheck:
    """An owner that has not written for a while reads its document first."""

    def test_costs_one_read_for_each_write_at_most(self, harness):
        owner = harness.partition("one")
        harness.ask(owner, "first")
        before = harness.store.calls
        harness.ask(owner, "second")
        assert harness.store.calls == before + 2

    def test_outage_refuses_as_not_run_and_leaves_the_key_free(self, harness):
        owner = harness.partition("one")
        harness.ask(owner, "first")
        harness.store.set_down(True)
        assert harness.ask(owner, "second").err_value.ran is False
        harness.store.set_down(False)
        assert not isinstance(harness.ask(owner, "second"), Err)
        assert is_unknown(harness.ask(owner, "first"))


class TestOutcomes:
    def test_outcome_pushed_out_frees_no_key(self, harness):
        owner = harness.partition("one", most=2)
        harness.ask(owner, "key")
        owner.settle("key", ClaimState.UNKNOWN)
        for number in range(5):
            harness.ask(owner, f"other-{number}")
            owner.release(f"other-{number}")
            harness.timers.advance(10.0)
        assert is_unknown(harness.ask(owner, "key"))

    def test_release_pushed_out_frees_no_claim_of_another_owner(self, harness):
        first, second = harness.partition("first", most=2), harness.partition("second")
        harness.ask(first, "key")
        harness.ask(second, "other")
        first.release("key")
        for number in range(4):
            harness.ask(first, f"more-{number}")
            first.release(f"more-{number}")
            harness.timers.advance(10.0)
        assert is_unknown(harness.ask(first, "other"))
        assert not isinstance(harness.ask(first, "key"), Err)


class TestRetention:
    """Guards against a call that runs again as a wall clock frees its key early."""

    def is_free(self, harness, partition, key):
        asked = harness.claim(partition, key)
        harness.timers.advance(1.0)
        return not isinstance(asked[0], Err)

    @pytest.mark.parametrize("first_error", [0.0, -1.8e9, -RETENTION, RETENTION])
    @pytest.mark.parametrize("second_error", [0.0, -1.8e9, 2 * RETENTION, 1e9])
    def test_claim_is_kept_whatever_wall_clocks_say(
        self, harness, first_error, second_error
    ):
        first = harness.partition("first", first_error)
        assert self.is_free(harness, first, "key")
        harness.timers.advance(RETENTION / 2)
        second = harness.partition("second", second_error)
        assert self.is_free(harness, second, "other")
        assert not self.is_free(harness, second, "key")

    def test_claim_expires_after_its_retention_over_several_owners(self, harness):
        for number in range(4):
            owner = harness.partition(f"owner-{number}", number * 1e6)
            assert self.is_free(harness, owner, "key") is (number == 0)
            harness.timers.advance(RETENTION / 4)
            assert self.is_free(harness, owner, f"other-{number}")
        last = harness.partition("last")
        assert self.is_free(harness, last, "key")

    def test_claim_of_a_wall_clock_ahead_fills_no_partition_for_good(self, harness):
        ahead = harness.partition("ahead", 100 * RETENTION, most=1)
        assert self.is_free(harness, ahead, "first")
        harness.timers.advance(RETENTION)
        assert self.is_free(harness, ahead, "second")
        harness.timers.advance(RETENTION)
        later = harness.partition("later", most=1)
        assert not self.is_free(harness, later, "third")
        harness.timers.advance(RETENTION)
        assert self.is_free(harness, later, "third")

    def test_clock_set_forward_frees_no_key_of_the_same_owner(self, harness):
        owner = harness.partition("one")
        assert self.is_free(harness, owner, "key")
        owner._timers.error = RETENTION
        assert self.is_free(harness, owner, "other")
        assert not self.is_free(harness, owner, "key")

    def test_clock_set_back_keeps_no_later_claim_for_good(self, harness):
        owner = harness.partition("one", 365 * RETENTION, most=3)
        assert self.is_free(harness, owner, "first")
        owner._timers.error = 0.0
        assert self.is_free(harness, owner, "second")
        assert self.is_free(harness, owner, "third")
        harness.timers.advance(2 * RETENTION)
        assert self.is_free(harness, owner, "fourth")

    def test_document_without_a_clock_starts_the_retention_anew(self, harness):
        document = {
            "owner": "older",
            "write": 1,
            "claims_by_key": {"old": ["id:1", "same", 1, "c"]},
        }
        harness.store.compare_and_swap("p", msgspec.json.encode(document), 0)
        partition = harness.partition("new")
        assert self.is_free(harness, partition, "first")
        assert not self.is_free(harness, partition, "old")
        harness.timers.advance(RETENTION - 10.0)
        assert self.is_free(harness, partition, "second")
        assert not self.is_free(harness, partition, "old")
        harness.timers.advance(10.0)
        assert self.is_free(harness, partition, "third")
        assert self.is_free(harness, partition, "old")
