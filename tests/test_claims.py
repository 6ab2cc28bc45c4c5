"""Committing claims: few writes, no claim without its write, no lost authority."""

import pytest
from result import Err

from pimentolink.claims import ClaimPartition
from pimentolink.errors import ClaimContended, OutcomeUnknown
from pimentolink.kvstore import MemoryStore
from pimentolink.settings import ClaimSettings
from pimentolink.timers import ManualTimers


class Site:
    def __init__(self):
        self.timers = ManualTimers()
        self.store = MemoryStore()

    def partition(self, life):
        return ClaimPartition("p", life, self.store, self.timers, ClaimSettings())

    def claim(self, partition, key):
        outcome = []
        partition.claim(key, "same").addCallback(outcome.append)
        return outcome


@pytest.fixture
def site():
    return Site()


class TestBudget:
    def test_many_claims_share_few_writes(self, site):
        partition = site.partition("one")
        outcomes = []
        for number in range(400):
            outcomes.append(site.claim(partition, f"key-{number}"))
            site.timers.advance(0.005)
        site.timers.advance(1.0)
        assert all(outcome and not isinstance(outcome[0], Err) for outcome in outcomes)
        # 400 claims in 2 s, at 10 writes a second, and one reading at take-over.
        assert site.store.calls <= 24

    def test_idle_partition_asks_nothing(self, site):
        partition = site.partition("one")
        site.claim(partition, "a")
        site.timers.advance(2.0)
        before = site.store.calls
        site.timers.advance(1_000.0)
        assert site.store.calls == before


class TestAuthority:
    def test_former_owner_is_refused_and_its_key_stays_free(self, site):
        old, new = site.partition("old"), site.partition("new")
        site.claim(old, "first")
        site.timers.advance(1.0)
        site.claim(new, "second")
        site.timers.advance(1.0)
        lost = site.claim(old, "third")
        site.timers.advance(1.0)
        assert isinstance(lost[0].err_value, ClaimContended)
        again = site.claim(new, "third")
        site.timers.advance(1.0)
        assert not isinstance(again[0], Err)

    def test_claim_of_a_dead_owner_is_unknown(self, site):
        site.claim(site.partition("dead"), "key")
        site.timers.advance(1.0)
        asked = site.claim(site.partition("next"), "key")
        site.timers.advance(1.0)
        assert isinstance(asked[0].err_value, OutcomeUnknown)

    def test_lost_answer_is_read_back_and_granted(self, site):
        partition = site.partition("one")
        site.claim(partition, "a")
        site.timers.advance(1.0)
        site.store.answers_to_lose = 1
        granted = site.claim(partition, "b")
        site.timers.advance(1.0)
        assert not isinstance(granted[0], Err)

    def test_outage_refuses_as_not_run_and_leaves_the_key_free(self, site):
        partition = site.partition("one")
        site.store.set_down(True)
        refused = site.claim(partition, "a")
        site.timers.advance(1.0)
        assert refused[0].err_value.ran is False
        site.store.set_down(False)
        granted = site.claim(partition, "a")
        site.timers.advance(1.0)
        assert not isinstance(granted[0], Err)
