"""Calls under a claim: how often each key runs at the targets of several sidecars."""

import itertools
from collections import Counter

import pytest

from pimentolink import link_pb2
from pimentolink.attempt import CALLER_HEADER, Attempt, AttemptKey
from pimentolink.claimedcalls import ClaimedCalls, ClaimPartitions
from pimentolink.claims import ClaimPartition
from pimentolink.errors import ClaimContended, NotRun, TargetFailed
from pimentolink.httpclient import Answer
from pimentolink.kvstore import MemoryStore
from pimentolink.logs import Log
from pimentolink.partitioncounts import PartitionCounts
from pimentolink.settings import ClaimSettings
from pimentolink.timers import ManualTimers

COMPLETE, DROPPED, NOT_RUN = "complete", "dropped", "not run"


class Site:
    """Sidecars over one store, and the runs of each key at their targets."""

    def __init__(self):
        self.timers = ManualTimers()
        self.store = MemoryStore()
        self.runs_by_key = Counter()

    def sidecar(self, incarnation, partitions=1):
        return CallingSidecar(self, incarnation, partitions)


class CallingSidecar:
    """The claimed calls of one sidecar, whose target ends each call as told."""

    def __init__(self, site, incarnation, partitions):
        self.site = site
        self.incarnation = incarnation
        self.end = COMPLETE
        self.finishes = []
        self.calls = ClaimedCalls(
            ClaimPartitions(
                self._open,
                PartitionCounts(
                    site.store,
                    lambda service: partitions,
                    Log(instance=incarnation, role="sidecar"),
                ),
            ),
            10,
            self._run,
            lambda attempt, finish: self.finishes.append(finish),
            lambda: False,
        )

    def _open(self, service, number):
        return ClaimPartition(
            f"{service}/{number}",
            self.incarnation,
            self.site.store,
            self.site.timers,
            ClaimSettings(),
        )

    def _run(self, attempt, listener):
        if self.end == NOT_RUN:
            listener.failed(NotRun("not sent"))
            return
        self.site.runs_by_key[attempt.submit.idempotency_key] += 1
        if self.end == COMPLETE:
            listener.finished(Answer(200, {}, b"done"), "")
        else:
            listener.failed(TargetFailed("connection lost"))

    def ask(self, key, caller="agency", end=COMPLETE, to_older_system=False):
        """Submit an attempt, again if another sidecar owned the claims; wait 10 s."""
        self.end = end
        submit = link_pb2.Submit(
            service="dispatch",
            method="POST",
            path="/send",
            headers=[link_pb2.Header(name=CALLER_HEADER, value=caller)],
            idempotency_key=key,
            to_older_system=to_older_system,
        )
        for _ in range(2):
            finish = self._submit(submit)
            if finish is None or finish.error_code != ClaimContended.code:
                break
        return finish

    def _submit(self, submit):
        number = len(self.finishes)
        attempt = Attempt(AttemptKey(1, number), None, submit)
        if not self.calls.join(attempt):
            self.calls.start(attempt)
        self.site.timers.advance(10.0)
        return self.finishes[number] if len(self.finishes) > number else None


@pytest.fixture
def site():
    return Site()


class TestOwners:
    def test_released_claim_frees_no_claim_of_another_sidecar(self, site):
        first = site.sidecar("sidecar-dispatch-1/1")
        second = site.sidecar("sidecar-dispatch-2/1")
        first.ask("key", end=NOT_RUN)
        second.ask("key", end=DROPPED)
        first.ask("key")
        assert site.runs_by_key["key"] == 1

    @pytest.mark.parametrize(
        ("sidecars", "keys", "most_lost", "length"), [(2, "a", 1, 4), (3, "ab", 0, 3)]
    )
    def test_no_order_of_attempts_runs_a_key_twice(
        self, sidecars, keys, most_lost, length
    ):
        """
        Guards every order of attempts at sidecars whose incarnations begin alike.

        A claim that one of them released freed a key that another one had claimed.
        """
        numbers = range(sidecars)
        lost = range(most_lost + 1)
        attempts = itertools.product(numbers, keys, (DROPPED, NOT_RUN), lost)
        for order in itertools.product(list(attempts), repeat=length):
            site = Site()
            sidecars = [site.sidecar(f"sidecar-dispatch-{n}/1") for n in numbers]
            for number, key, end, answers_lost in order:
                site.store.answers_to_lose = answers_lost
                sidecars[number].ask(key, end=end)
            assert max(site.runs_by_key.values(), default=0) <= 1, order


class TestSameKey:
    def test_call_to_the_older_system_is_not_repeated_at_the_target(self, site):
        site.sidecar("one").ask("key", to_older_system=True, end=DROPPED)
        site.sidecar("two").ask("key", to_older_system=False)
        assert site.runs_by_key["key"] == 1

    def test_key_of_another_caller_is_another_call(self, site):
        sidecar = site.sidecar("one")
        assert sidecar.ask("key", caller="agency").outcome == link_pb2.COMPLETE
        assert sidecar.ask("key", caller="bureau").outcome == link_pb2.COMPLETE
        assert site.runs_by_key["key"] == 2


class TestPartitionCount:
    # Guards against a second run after the number of partitions was changed.
    def test_changed_number_of_partitions_frees_no_key(self, site):
        site.sidecar("before", partitions=1).ask("key", end=DROPPED)
        site.sidecar("after", partitions=8).ask("key")
        assert site.runs_by_key["key"] == 1

    # Guards against a second run at a sidecar that has another version of the
    # configuration.
    def test_sidecars_of_two_versions_run_a_key_once(self, site):
        older = site.sidecar("older", partitions=8)
        newer = site.sidecar("newer", partitions=3)
        for number in range(8):
            newer.ask(f"key-{number}", end=DROPPED)
            older.ask(f"key-{number}")
        assert max(site.runs_by_key.values()) == 1


class TestRelease:
    # Guards against a caller that waits for its release as long as others claim.
    def test_release_is_stored_while_claims_keep_arriving(self, site):
        busy = site.sidecar("busy")
        busy.ask("first")
        partition = busy.calls._claims._partition_by_id["dispatch", 0]

        def claim_again(number=0):
            partition.claim(f"other-{number}", "same")
            if number < 1_000:
                site.timers.call_later(0.05, lambda: claim_again(number + 1))

        claim_again()
        finish = busy.ask("key", end=NOT_RUN)
        assert finish is not None and finish.outcome == link_pb2.NOT_RUN
