"""Calls under a claim: made at most once, and shared by all who ask for them."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable

from result import Err, Result

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
from pimentolink.outcomes import finish_of, finish_of_answer


class _ClaimedCall:
    """A call under a claim, with every attempt that asks for it."""

    def __init__(self, key: str, fingerprint: str, partition: ClaimPartition) -> None:
        self.key = key
        self.fingerprint = fingerprint
        self.partition = partition
        self.attempts: list[Attempt] = []


class ClaimSource:
    """Finds the partition that commits a claim."""

    def __init__(
        self,
        open_partition: Callable[[str, int], ClaimPartition],
        partitions_of: Callable[[str], int],
    ) -> None:
        """
        Prepare.

        :param open_partition: makes the partition of a service with a number.
        :param partitions_of: tells how many partitions a service has.
        """
        self._open = open_partition
        self._partitions_of = partitions_of
        self._partition_by_place: dict[tuple[str, int], ClaimPartition] = {}

    def find(self, service: str, key: str) -> ClaimPartition:
        """
        Find a claim's partition.

        :param service: the service's name.
        :param key: digest of the call's key.
        """
        place = (service, partition_of(key, self._partitions_of(service)))
        if place not in self._partition_by_place:
            self._partition_by_place[place] = self._open(*place)
        return self._partition_by_place[place]


class ClaimedCalls:
    """
    Calls under a claim at one target.

    Guards that a call is made only once its claim is stored, that whoever asks for it
    meanwhile gets the same answer, and that it goes on to its end though nobody waits
    for it any more.
    """

    def __init__(
        self,
        claims: ClaimSource,
        answers_kept: int,
        make: Callable[[Attempt, ClaimedListener], object],
        finish: Callable[[Attempt, link_pb2.Finish], None],
        is_target_lost: Callable[[], bool],
    ) -> None:
        """
        Start empty.

        :param claims: finds the partition of a claim.
        :param answers_kept: answers kept for callers that ask again.
        :param make: makes the call of an attempt at the target.
        :param finish: ends an attempt.
        :param is_target_lost: tells whether the target no longer answers.
        """
        self._claims = claims
        self._answers_kept = answers_kept
        self._make = make
        self._finish = finish
        self._is_target_lost = is_target_lost
        self._call_by_key: dict[str, _ClaimedCall] = {}
        self._answers_by_key: OrderedDict[str, tuple[str, Answer]] = OrderedDict()

    @property
    def is_empty(self) -> bool:
        """Whether no call is under way."""
        return not self._call_by_key

    def join(self, attempt: Attempt) -> bool:
        """
        Attach an attempt to the call under its key, if there is or was one.

        :param attempt: with an idempotency key.
        :returns: whether it was attached, answered or refused.
        """
        key, fingerprint = _digests_of(attempt.submit)
        call = self._call_by_key.get(key)
        if call is None and key not in self._answers_by_key:
            return False
        known = call.fingerprint if call else self._answers_by_key[key][0]
        if known != fingerprint:
            failure = IdempotencyKeyReused("the key stands for another call")
            self._finish(attempt, finish_of(failure))
        elif call is not None:
            call.attempts.append(attempt)
        else:
            _, answer = self._answers_by_key[key]
            self._finish(attempt, finish_of_answer(answer))
        return True

    def start(self, attempt: Attempt) -> None:
        """
        Claim the key of an attempt, then make its call.

        :param attempt: with an idempotency key that no call here has.
        """
        key, fingerprint = _digests_of(attempt.submit)
        partition = self._claims.find(attempt.submit.service, key)
        call = _ClaimedCall(key, fingerprint, partition)
        call.attempts.append(attempt)
        self._call_by_key[key] = call
        granted = partition.claim(key, fingerprint)
        granted.addCallback(lambda outcome: self._decided(call, outcome))

    def abandon(self, attempt: Attempt) -> None:
        """Let an attempt wait no more; its call goes on."""
        for call in self._call_by_key.values():
            if attempt in call.attempts:
                call.attempts.remove(attempt)

    def has(self, attempt: Attempt) -> bool:
        """Tell whether an attempt waits for a call under a claim."""
        return any(attempt in call.attempts for call in self._call_by_key.values())

    def finished(self, call: _ClaimedCall, answer: Answer) -> None:
        """Record a whole answer and pass it on."""
        call.partition.settle(call.key, ClaimState.DONE)
        self._answers_by_key[call.key] = (call.fingerprint, answer)
        if len(self._answers_by_key) > self._answers_kept:
            self._answers_by_key.popitem(last=False)
        self._end(call, finish_of_answer(answer))

    def failed(self, call: _ClaimedCall, failure: Failure) -> None:
        """Record a failure and pass it on."""
        if not failure.ran:
            self._give_back(call, failure)
            return
        call.partition.settle(call.key, ClaimState.UNKNOWN)
        self._end(call, finish_of(OutcomeUnknown(str(failure))))

    def _decided(self, call: _ClaimedCall, outcome: Result[None, Failure]) -> None:
        if isinstance(outcome, Err):
            self._end(call, finish_of(outcome.err_value))
        elif not call.attempts or self._is_target_lost():
            self._give_back(call, NotRun("nobody waits, or no target answers"))
        else:
            self._make(call.attempts[0], ClaimedListener(self, call))

    def _give_back(self, call: _ClaimedCall, failure: Failure) -> None:
        stored = call.partition.release(call.key)
        stored.addCallback(lambda _: self._end(call, finish_of(failure)))

    def _end(self, call: _ClaimedCall, finish: link_pb2.Finish) -> None:
        del self._call_by_key[call.key]
        for attempt in list(call.attempts):
            self._finish(attempt, finish)


class ClaimedListener:
    """Ties a call under a claim to all attempts that wait for it."""

    def __init__(self, calls: ClaimedCalls, call: _ClaimedCall) -> None:
        """Listen for ``call``, on behalf of ``calls``."""
        self._calls = calls
        self._call = call

    def tokens(self, tokens: list[str]) -> None:
        """Take nothing: plain services send no tokens."""

    def finished(self, answer: Answer, finish_reason: str) -> None:
        """Take the end of a whole answer."""
        self._calls.finished(self._call, answer)

    def failed(self, failure: Failure) -> None:
        """Take a failure."""
        self._calls.failed(self._call, failure)


def _digests_of(submit: link_pb2.Submit) -> tuple[str, str]:
    caller = next((h.value for h in submit.headers if h.name == CALLER_HEADER), "")
    key = call_digest(caller, submit.service, submit.idempotency_key)
    return key, call_digest(submit.method, submit.path, submit.body)
