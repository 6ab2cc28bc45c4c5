"""Calls under a claim, made at most once and shared by all attempts of a key."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable

from result import Err, Ok, Result
from twisted.internet.defer import Deferred

from pimentolink import link_pb2
from pimentolink.attempt import CALLER_HEADER, Attempt
from pimentolink.claims import ClaimPartition
from pimentolink.claimtable import ClaimState, call_digest, partition_of
from pimentolink.errors import (
    Failure,
    IdempotencyKeyReused,
    NotRun,
    OutcomeUnknown,
)
from pimentolink.httpclient import Answer
from pimentolink.outcomes import finish_from_answer, finish_from_failure
from pimentolink.partitioncounts import PartitionCounts


class _ClaimedCall:
    """
    A call under a claim, with the attempts that wait for it.

    :ivar key: digest of the call's idempotency key.
    :ivar fingerprint: digest of the call itself.
    :ivar partition: holds its claim; set once the claim was granted.
    """

    partition: ClaimPartition

    def __init__(self, key: str, fingerprint: str) -> None:
        self.key = key
        self.fingerprint = fingerprint
        self.attempts: list[Attempt] = []


class ClaimPartitions:
    """Claims keys in the partitions that they belong to; opens each partition once."""

    def __init__(
        self,
        open_partition: Callable[[str, int], ClaimPartition],
        counts: PartitionCounts,
    ) -> None:
        """
        Create a source without open partitions.

        :param open_partition: opens a partition, given its service and number.
        :param counts: the numbers of partitions of the services.
        """
        self._open_partition = open_partition
        self._counts = counts
        self._partition_by_id: dict[tuple[str, int], ClaimPartition] = {}

    async def claim(
        self, service: str, key: str, fingerprint: str
    ) -> Result[ClaimPartition, Failure]:
        """
        Claim a key for this sidecar; see :meth:`ClaimPartition.claim`.

        :param service: the service's name.
        :param key: digest of the call's idempotency key.
        :param fingerprint: digest of the call.
        :returns: the partition that holds the claim, or why it was not granted.
        """
        count = await self._counts.find(service)
        if isinstance(count, Err):
            return count
        partition_id = (service, partition_of(key, count.ok_value))
        if partition_id not in self._partition_by_id:
            self._partition_by_id[partition_id] = self._open_partition(*partition_id)
        partition = self._partition_by_id[partition_id]
        granted = await partition.claim(key, fingerprint)
        return granted if isinstance(granted, Err) else Ok(partition)


class ClaimedCalls:
    """
    The calls under a claim at one target.

    A call is made only after its claim was stored. Attempts with the same key that
    arrive while it runs get the same response. Once started, it runs to completion
    even if no attempt waits for it any more.
    """

    def __init__(
        self,
        claims: ClaimPartitions,
        max_kept_answers: int,
        start_call: Callable[[Attempt, ClaimedListener], object],
        finish: Callable[[Attempt, link_pb2.Finish], None],
        is_target_lost: Callable[[], bool],
    ) -> None:
        """
        Start without any calls.

        :param claims: claims keys in their partitions.
        :param max_kept_answers: number of answers kept for callers that repeat a
            request.
        :param start_call: starts the call of an attempt at the target.
        :param finish: finishes an attempt.
        :param is_target_lost: returns whether the target has stopped responding.
        """
        self._claims = claims
        self._max_kept_answers = max_kept_answers
        self._start_call = start_call
        self._finish = finish
        self._is_target_lost = is_target_lost
        self._call_by_key: dict[str, _ClaimedCall] = {}
        self._answers_by_key: OrderedDict[str, tuple[str, Answer]] = OrderedDict()

    @property
    def is_empty(self) -> bool:
        """Whether no call is in progress."""
        return not self._call_by_key

    def join(self, attempt: Attempt) -> bool:
        """
        Join an attempt to the call with the same key.

        If that call has completed and its answer is still kept, the attempt is
        finished with it. If the key was used for a different call, it is refused.

        :param attempt: one with an idempotency key.
        :returns: whether it was joined or finished; if not, the caller may start it.
        """
        key, fingerprint = _compute_digests(attempt.submit)
        call = self._call_by_key.get(key)
        if call is None and key not in self._answers_by_key:
            return False
        known_fingerprint = call.fingerprint if call else self._answers_by_key[key][0]
        if known_fingerprint != fingerprint:
            failure = IdempotencyKeyReused("the key stands for another call")
            self._finish(attempt, finish_from_failure(failure))
        elif call is not None:
            call.attempts.append(attempt)
        else:
            _, answer = self._answers_by_key[key]
            self._finish(attempt, finish_from_answer(answer))
        return True

    def start(self, attempt: Attempt) -> None:
        """
        Claim the key of an attempt, then make its call.

        :param attempt: one with an idempotency key that no call of this object uses.
        """
        key, fingerprint = _compute_digests(attempt.submit)
        call = _ClaimedCall(key, fingerprint)
        call.attempts.append(attempt)
        self._call_by_key[key] = call
        granted = Deferred.fromCoroutine(
            self._claims.claim(attempt.submit.service, key, fingerprint)
        )
        granted.addCallback(lambda outcome: self._claim_decided(call, outcome))

    def abandon(self, attempt: Attempt) -> None:
        """Detach a cancelled attempt from its call, which continues."""
        for call in self._call_by_key.values():
            if attempt in call.attempts:
                call.attempts.remove(attempt)

    def contains(self, attempt: Attempt) -> bool:
        """Return whether an attempt waits for a call under a claim."""
        return any(attempt in call.attempts for call in self._call_by_key.values())

    def finished(self, call: _ClaimedCall, answer: Answer) -> None:
        """Store a complete response and finish the waiting attempts with it."""
        call.partition.settle(call.key, ClaimState.DONE)
        self._answers_by_key[call.key] = (call.fingerprint, answer)
        if len(self._answers_by_key) > self._max_kept_answers:
            self._answers_by_key.popitem(last=False)
        self._finish_attempts(call, finish_from_answer(answer))

    def failed(self, call: _ClaimedCall, failure: Failure) -> None:
        """
        Handle a failed call.

        If the call certainly did not run, its key is released before the waiting
        attempts fail, so that it can be used again. Otherwise the outcome is unknown.
        """
        if not failure.ran:
            self._release_claim(call, failure)
            return
        call.partition.settle(call.key, ClaimState.UNKNOWN)
        self._finish_attempts(call, finish_from_failure(OutcomeUnknown(str(failure))))

    def _claim_decided(
        self, call: _ClaimedCall, outcome: Result[ClaimPartition, Failure]
    ) -> None:
        if isinstance(outcome, Err):
            self._finish_attempts(call, finish_from_failure(outcome.err_value))
            return
        call.partition = outcome.ok_value
        if not call.attempts or self._is_target_lost():
            self._release_claim(call, NotRun("nobody waits, or no target answers"))
        else:
            self._start_call(call.attempts[0], ClaimedListener(self, call))

    def _release_claim(self, call: _ClaimedCall, failure: Failure) -> None:
        stored = call.partition.release(call.key)
        stored.addCallback(
            lambda _: self._finish_attempts(call, finish_from_failure(failure))
        )

    def _finish_attempts(self, call: _ClaimedCall, finish: link_pb2.Finish) -> None:
        del self._call_by_key[call.key]
        for attempt in list(call.attempts):
            self._finish(attempt, finish)


class ClaimedListener:
    """Forwards the events of a call under a claim to all attempts waiting for it."""

    def __init__(self, calls: ClaimedCalls, call: _ClaimedCall) -> None:
        """Create the listener of ``call``, which belongs to ``calls``."""
        self._calls = calls
        self._call = call

    def tokens(self, tokens: list[str]) -> None:
        """Ignore tokens: plain services send none."""

    def finished(self, answer: Answer, finish_reason: str) -> None:
        """Receive a complete response."""
        self._calls.finished(self._call, answer)

    def failed(self, failure: Failure) -> None:
        """Receive a failure."""
        self._calls.failed(self._call, failure)


def _compute_digests(submit: link_pb2.Submit) -> tuple[str, str]:
    caller = next((h.value for h in submit.headers if h.name == CALLER_HEADER), "")
    key = call_digest(caller, submit.service, submit.idempotency_key)
    return key, call_digest(submit.method, submit.path, submit.body)
