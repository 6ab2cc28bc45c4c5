"""Tests of limits on admission, retries and memory, and of behaviour at the limit."""

from random import Random

import pytest
from result import Err

from pimentolink import link_pb2
from pimentolink.claimtable import ClaimState, ClaimTable
from pimentolink.errors import AlreadyRun, OutcomeUnknown, Overloaded
from pimentolink.prefixes import PrefixIndex
from pimentolink.retry import AdaptiveTimeout, Backoff, RetryBudget
from pimentolink.router import RoundRobin, Router
from pimentolink.settings import (
    ClaimSettings,
    QueueSettings,
    RetrySettings,
    RoutingSettings,
)
from pimentolink.targetpool import TargetPool, TargetState
from pimentolink.targetqueue import QueuedRequest, TargetQueue
from tools.capacity import _request


class TestRetryBudget:
    def test_a_storm_gets_the_reserve_and_then_a_share(self):
        budget = RetryBudget(RetrySettings(budget_ratio=0.25, budget_reserve=8))
        granted = 0
        for _ in range(400):
            budget.earn()
            granted += budget.spend()
        assert 100 <= granted <= 108

    def test_backoff_grows_to_its_bound_and_starts_anew(self):
        backoff = Backoff(0.1, 1.0, Random(3))
        pauses = [backoff.next() for _ in range(40)]
        assert 0.05 <= pauses[0] <= 0.1
        assert all(0.5 <= pause <= 1.0 for pause in pauses[4:])
        assert len(set(pauses)) == 40
        backoff.reset()
        assert backoff.next() <= 0.1


class TestAdaptiveTimeout:
    def test_doubles_with_timeouts_to_its_bound_and_shrinks_with_a_quick_call(self):
        timeout = AdaptiveTimeout(1.0, 4.0)
        granted = []
        for _ in range(4):
            granted.append(timeout.seconds)
            timeout.record(timeout.seconds)
        assert granted == [1.0, 2.0, 4.0, 4.0]
        timeout.record(1.5)
        assert timeout.seconds == 3.0
        timeout.record(0.01)
        assert timeout.seconds == 1.0


class TestEjection:
    settings = RoutingSettings(ejection_failures=2, ejection_time=1, ejection_most=4)

    def test_pause_doubles_to_its_bound_and_a_success_clears_it(self):
        target = TargetState("a", "d")
        pauses = []
        now = 0.0
        for _ in range(4):
            assert not target.failed(now, self.settings)
            assert target.failed(now, self.settings)
            start = now
            while not target.is_available(now):
                now += 0.5
            pauses.append(now - start)
        assert pauses == [1.0, 2.0, 4.0, 4.0]
        target.succeeded()
        target.failed(now, self.settings)
        target.failed(now, self.settings)
        assert target.is_available(now + 1.0)

    def test_target_that_turned_work_away_is_not_asked_before_its_next_report(self):
        """
        Guards against a request using up its attempts at one target.

        A target that has begun a planned change rejects requests, but its last load
        report still says that it accepts work.
        """
        target = TargetState("a", "d")
        target.reported(link_pb2.Load(accepting=True))
        target.suspend_until(0.25)
        assert not target.is_available(0.2)
        assert target.is_available(0.25)
        target.reported(link_pb2.Load(accepting=False))
        assert not target.is_available(0.25)

    def test_refusal_tells_when_the_ejection_ends(self):
        target = TargetState("a", "d")
        target.reported(link_pb2.Load(accepting=True))
        pool = TargetPool()
        pool.add(target)
        router = Router(RoundRobin())
        router.pool_by_service["m"] = pool
        for _ in range(2):
            target.failed(0.0, self.settings)
        refused = router.choose(_request(), 1, [], 0.25).err_value
        assert refused.retry_after == 0.75


class TestTargetQueue:
    def queue(self, slots=1, waiting=2):
        return TargetQueue(QueueSettings(slots=slots, waiting=waiting, aging=10))

    def offer(self, queue, key, priority, since=0.0):
        return queue.offer(QueuedRequest(key, priority, since, 10, 5))

    def test_at_the_bound_the_least_urgent_is_shed(self):
        queue = self.queue()
        self.offer(queue, "low", 6)
        self.offer(queue, "middle", 3)
        assert self.offer(queue, "urgent", 0).ok_value == "low"
        refused = self.offer(queue, "another", 6)
        assert isinstance(refused.err_value, Overloaded)
        assert queue.waiting == 2

    def test_more_urgent_work_goes_first_but_waiting_raises(self):
        queue = self.queue(waiting=9)
        self.offer(queue, "check", 6, since=0.0)
        self.offer(queue, "triage", 0, since=50.0)
        assert queue.take(50.0).key == "triage"
        queue.remove("triage")
        self.offer(queue, "later", 0, since=70.0)
        assert queue.take(70.0).key == "check"

    def test_work_counted_is_given_back_to_the_token(self):
        queue = self.queue(slots=2)
        self.offer(queue, "a", 0)
        self.offer(queue, "b", 0)
        queue.take(0.0)
        queue.prefilled("a")
        assert (queue.prefill_tokens, queue.decode_tokens) == (10, 10)
        queue.remove("a")
        queue.remove("b")
        assert (queue.prefill_tokens, queue.decode_tokens) == (0, 0)


class TestClaimTable:
    def table(self, most=2, retention=100):
        return ClaimTable(ClaimSettings(most=most, retention=retention), "life-1")

    def test_at_the_bound_new_claims_are_refused_and_none_forgotten(self):
        table = self.table()
        table.add("a", "x", 0.0)
        table.add("b", "x", 0.0)
        assert isinstance(table.add("c", "x", 1.0).err_value, Overloaded)
        assert isinstance(table.add("a", "x", 1.0).err_value, OutcomeUnknown)
        assert not isinstance(table.add("c", "x", 101.0), Err)

    def test_what_was_settled_here_outlives_a_lost_write(self):
        table = self.table()
        table.add("done", "x", 0.0)
        table.add("free", "x", 0.0)
        stored = dict(table.claims_by_key)
        table.settle("done", ClaimState.DONE)
        table.release("free")
        table.load(stored)
        assert isinstance(table.add("done", "x", 1.0).err_value, AlreadyRun)
        assert not isinstance(table.add("free", "x", 1.0), Err)

    def test_another_lifes_claim_is_never_released(self):
        table = self.table()
        table.add("a", "x", 0.0)
        other = ClaimTable(ClaimSettings(), "life-2")
        other.load(dict(table.claims_by_key))
        other.release("a")
        assert isinstance(other.add("a", "x", 1.0).err_value, OutcomeUnknown)


class TestPool:
    def test_a_key_keeps_its_order_when_others_come_and_go(self):
        pool = TargetPool()
        for number in range(20):
            pool.add(TargetState(f"t{number}", "d"))
        before = [target.target_id for target in pool.ring_order(12345)]
        pool.remove(before[5])
        after = [target.target_id for target in pool.ring_order(12345)]
        assert after == before[:5] + before[6:]

    def test_sample_is_bounded(self):
        pool = TargetPool()
        for number in range(50):
            pool.add(TargetState(f"t{number}", "d"))
        assert len(pool.sample("d", 8, Random(1))) == 8
        assert pool.sample("elsewhere", 8, Random(1)) == []


class TestPrefixMemory:
    def test_is_bounded_and_forgets_the_oldest(self):
        memory = PrefixIndex(2)
        memory.record_prefill(_request()._replace(prefixes=(1,)), "a")
        memory.record_prefill(_request()._replace(prefixes=(2, 3)), "b")
        assert (
            memory.expected_cached_tokens(_request()._replace(prefixes=(1,)), "a") == 0
        )
        assert (
            memory.expected_cached_tokens(_request()._replace(prefixes=(2, 3)), "b")
            == 512
        )


@pytest.mark.parametrize("accepting", [True, False])
def test_target_that_takes_no_work_is_not_available(accepting):
    target = TargetState("a", "d")
    target.reported(link_pb2.Load(accepting=accepting))
    assert target.is_available(0.0) is accepting
