"""The claims of one partition, with the known outcome of each call."""

from __future__ import annotations

import enum
from collections import OrderedDict
from typing import NamedTuple

import msgspec
import xxhash
from result import Err, Ok, Result

from pimentolink.errors import (
    AlreadyRun,
    Failure,
    IdempotencyKeyReused,
    OutcomeUnknown,
    Overloaded,
)
from pimentolink.settings import ClaimSettings
from pimentolink.timers import Timers


def call_digest(*parts: str | bytes) -> str:
    """
    Compute the digest of a call or of its idempotency key.

    :param parts: caller, service and key; or method, path and body.
    :returns: 32 hexadecimal digits.
    """
    digest = xxhash.xxh3_128()
    for part in parts:
        encoded = part.encode() if isinstance(part, str) else part
        digest.update(len(encoded).to_bytes(4, "big"))
        digest.update(encoded)
    return digest.hexdigest()


def partition_of(key: str, partitions: int) -> int:
    """
    Compute the number of the partition that a claim belongs to.

    :param key: digest of the call's idempotency key.
    :param partitions: number of partitions of the service.
    :returns: 0 to ``partitions`` - 1.
    """
    return xxhash.xxh3_64_intdigest(key.encode()) % partitions


# Claims carry only this many digits of a digest of the incarnation: enough to
# distinguish them, and short, since the document is written often.
INCARNATION_DIGEST_LENGTH = 12


class ClaimState(enum.StrEnum):
    """The known outcome of a claimed call."""

    CLAIMED = "c"
    DONE = "d"
    UNKNOWN = "u"


class Claim(NamedTuple):
    """
    One claim, as stored.

    :ivar claim_id: unique; distinguishes this claim from another one on the same key.
    :ivar fingerprint: digest of the call itself.
    :ivar at: when it was made, in seconds of the partition's clock.
    :ivar state: known outcome of the call.
    """

    claim_id: str
    fingerprint: str
    at: int
    state: ClaimState


class ClaimDocument(msgspec.Struct, frozen=True):
    """
    A partition, as stored in the key-value store.

    :ivar owner: incarnation of the only sidecar that may add claims.
    :ivar write: sequence number, by which the owner recognises its own write.
    :ivar claims_by_key: claims by the digest of the call's idempotency key.
    :ivar clock: the partition's clock at the write, in seconds; see
        :class:`PartitionClock`. Older sidecars store none.
    """

    owner: str
    write: int
    claims_by_key: dict[str, Claim]
    clock: int | None = None


class PartitionClock:
    """
    The time by which the claims of a partition expire.

    Each owner continues from the time stored with the claims and advances it by its
    monotonic clock, so that it never runs ahead of real time. Wall clocks may be wrong
    by days: one that is ahead would free the keys of calls that ran.
    """

    def __init__(self, timers: Timers) -> None:
        """
        Start a clock for a partition that was never stored.

        :param timers: the timer service.
        """
        self._timers = timers
        self._set_to = 0.0
        self._set_at = 0.0
        # Older sidecars compare the times of claims with their wall clocks.
        self.set(timers.wall_time())

    def set(self, seconds: float) -> None:
        """Continue from a stored time."""
        self._set_to = seconds
        self._set_at = self._timers.now()

    def now(self) -> float:
        """Read the clock, in seconds."""
        return self._set_to + self._timers.now() - self._set_at


class ClaimTable:
    """
    The claims of one partition, in the order in which they were made.

    A key that was claimed cannot be claimed again until the claim expires, unless its
    call certainly was not made.
    """

    def __init__(self, settings: ClaimSettings, incarnation: str) -> None:
        """
        Create an empty table.

        :param settings: size limit and retention.
        :param incarnation: unique; its digest begins the identifier of each claim
            added here.
        """
        self._settings = settings
        digest = xxhash.xxh3_64_hexdigest(incarnation.encode())
        self._incarnation = digest[:INCARNATION_DIGEST_LENGTH]
        self._claims_made = 0
        self._outcome_by_claim_id: OrderedDict[str, ClaimState | None] = OrderedDict()
        self.claims_by_key: OrderedDict[str, Claim] = OrderedDict()

    def load(self, stored_by_key: dict[str, Claim]) -> None:
        """
        Replace all claims of others by those read from the store.

        The outcome of a call that was claimed here takes precedence over the stored
        claim, since the write of that outcome may have been lost. Claims made here are
        kept if they are missing there, since the store may have been restored from an
        older copy.

        :param stored_by_key: claims as read.
        """
        own_by_key = {
            key: claim
            for key, claim in self.claims_by_key.items()
            if self._is_own(claim)
        }
        claims_by_key = own_by_key | stored_by_key
        ordered = sorted(claims_by_key.items(), key=lambda pair: pair[1].at)
        self.claims_by_key = OrderedDict(ordered)
        for key, claim in ordered:
            if claim.claim_id in self._outcome_by_claim_id:
                self._apply_outcome(key, self._outcome_by_claim_id[claim.claim_id])

    def add(self, key: str, fingerprint: str, now: float) -> Result[None, Failure]:
        """
        Add the claim of a key.

        :param key: digest of the call's idempotency key.
        :param fingerprint: digest of the call.
        :param now: seconds of the partition's clock.
        :returns: ``Ok`` if it was added, or the reason why the key cannot be claimed.
        """
        existing = self.claims_by_key.get(key)
        if existing is not None:
            return Err(_refusal_for(existing, fingerprint))
        self._expire(now)
        if len(self.claims_by_key) >= self._settings.most:
            return Err(Overloaded("the partition holds too many claims"))
        self._claims_made += 1
        claim_id = f"{self._incarnation}:{self._claims_made}"
        self.claims_by_key[key] = Claim(
            claim_id, fingerprint, int(now), ClaimState.CLAIMED
        )
        return Ok(None)

    def settle(self, key: str, state: ClaimState) -> None:
        """
        Record the outcome of a call that was claimed here.

        :param key: digest of the call's idempotency key.
        :param state: the outcome.
        """
        self._record_outcome(key, state)

    def release(self, key: str) -> None:
        """
        Remove the claim of a call that certainly was not made.

        :param key: digest of the call's idempotency key.
        """
        self._record_outcome(key, None)

    def _record_outcome(self, key: str, state: ClaimState | None) -> None:
        claim = self.claims_by_key.get(key)
        if claim is None or not self._is_own(claim):
            return
        self._outcome_by_claim_id[claim.claim_id] = state
        if len(self._outcome_by_claim_id) > self._settings.most:
            self._outcome_by_claim_id.popitem(last=False)
        self._apply_outcome(key, state)

    def _is_own(self, claim: Claim) -> bool:
        return claim.claim_id.startswith(f"{self._incarnation}:")

    def _apply_outcome(self, key: str, state: ClaimState | None) -> None:
        if state is None:
            del self.claims_by_key[key]
        else:
            self.claims_by_key[key] = self.claims_by_key[key]._replace(state=state)

    def _expire(self, now: float) -> None:
        while self.claims_by_key:
            key = next(iter(self.claims_by_key))
            if self.claims_by_key[key].at + self._settings.retention > now:
                return
            del self.claims_by_key[key]


def _refusal_for(existing: Claim, fingerprint: str) -> Failure:
    if existing.fingerprint != fingerprint:
        return IdempotencyKeyReused("the key stands for another call")
    if existing.state is ClaimState.DONE:
        return AlreadyRun("its answer is no longer kept")
    return OutcomeUnknown("a call under this key was begun and may have run")
