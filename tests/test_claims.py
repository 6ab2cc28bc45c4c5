"""Committing claims: batched writes, no grant before its write, loss of ownership."""

import pytest
from result import Err

from pimentolink.claims import ClaimPartition
from pimentolink.errors import ClaimContended, OutcomeUnknown
from pimentolink.kvstore import MemoryStore
from pimentolink.settings import ClaimSettings
from pimentolink.timers import ManualTimers


class Harness:
    def __init__(self):
        self.timers = ManualTimers()
        self.store = MemoryStore()

    def partition(self, incarnation):
        return ClaimPartition(
            "p", incarnation, self.store, self.timers, ClaimSettings()
        )

    def claim(self, partition, key):
        outcome = []
        partition.claim(key, "same").addCallback(outcome.append)
        return outcome


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
