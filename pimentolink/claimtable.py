"""The claims of one partition: who may make which call, and what became of it."""

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


def call_digest(*parts: str | bytes) -> str:
    """
    Digest what identifies a call.

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
    Find the partition that a claim belongs to.

    :param key: digest of the call's key.
    :param partitions: how many the service has.
    :returns: 0 to ``partitions`` - 1.
    """
    return xxhash.xxh3_64_intdigest(key.encode()) % partitions


# Enough of an incarnation to tell claims apart, in a value that is written often.
IDENTITY_DIGITS = 12


class ClaimState(enum.StrEnum):
    """What is known of a claimed call."""

    CLAIMED = "c"
    DONE = "d"
    UNKNOWN = "u"


class Claim(NamedTuple):
    """
    One claim as stored.

    :ivar claim_id: unique; tells this claim from another one on the same key.
    :ivar fingerprint: digest of the call itself.
    :ivar at: when, in seconds since 1970.
    """

    claim_id: str
    fingerprint: str
    at: int
    state: ClaimState


class ClaimDocument(msgspec.Struct, frozen=True):
    """
    A partition as stored in the key-value service.

    :ivar owner: incarnation of the only sidecar that may add claims.
    :ivar write: number of this write, by which its writer recognises it.
    """

    owner: str
    write: int
    claims_by_key: dict[str, Claim]


class ClaimTable:
    """
    The claims of one partition.

    Guards that a key, once claimed, is never given out again unless its call is
    known not to have been made.
    """

    def __init__(self, settings: ClaimSettings, incarnation: str) -> None:
        """
        Start empty.

        :param settings: bound and retention.
        :param incarnation: begins the identity of each claim made here.
        """
        self._settings = settings
        self._incarnation = incarnation[:IDENTITY_DIGITS]
        self._made = 0
        self._settled_by_id: OrderedDict[str, ClaimState | None] = OrderedDict()
        self.claims_by_key: OrderedDict[str, Claim] = OrderedDict()

    def load(self, stored_by_key: dict[str, Claim]) -> None:
        """
        Replace all claims by those stored, as far as this table does not know better.

        A claim made here whose call was settled or not made keeps that outcome, also
        where the write that says so was lost.

        :param stored_by_key: claims as read.
        """
        ordered = sorted(stored_by_key.items(), key=lambda pair: pair[1].at)
        self.claims_by_key = OrderedDict(ordered)
        for key, claim in ordered:
            if claim.claim_id in self._settled_by_id:
                self._apply(key, self._settled_by_id[claim.claim_id])

    def add(self, key: str, fingerprint: str, now: float) -> Result[None, Failure]:
        """
        Claim a key.

        :param key: digest of the call's key.
        :param fingerprint: digest of the call.
        :param now: seconds since 1970.
        :returns: the claim is in the table; or why it may not be.
        """
        known = self.claims_by_key.get(key)
        if known is not None:
            return Err(_refusal_of(known, fingerprint))
        self._expire(now)
        if len(self.claims_by_key) >= self._settings.most:
            return Err(Overloaded("the partition holds too many claims"))
        self._made += 1
        claim_id = f"{self._incarnation}:{self._made}"
        self.claims_by_key[key] = Claim(
            claim_id, fingerprint, int(now), ClaimState.CLAIMED
        )
        return Ok(None)

    def settle(self, key: str, state: ClaimState) -> None:
        """
        Record what became of a call claimed here.

        :param key: digest of the call's key.
        :param state: what is known now.
        """
        self._remember(key, state)

    def release(self, key: str) -> None:
        """
        Drop the claim of a call that is known not to have been made.

        :param key: digest of the call's key.
        """
        self._remember(key, None)

    def _remember(self, key: str, state: ClaimState | None) -> None:
        claim = self.claims_by_key.get(key)
        if claim is None or not claim.claim_id.startswith(f"{self._incarnation}:"):
            return
        self._settled_by_id[claim.claim_id] = state
        if len(self._settled_by_id) > self._settings.most:
            self._settled_by_id.popitem(last=False)
        self._apply(key, state)

    def _apply(self, key: str, state: ClaimState | None) -> None:
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


def _refusal_of(known: Claim, fingerprint: str) -> Failure:
    if known.fingerprint != fingerprint:
        return IdempotencyKeyReused("the key stands for another call")
    if known.state is ClaimState.DONE:
        return AlreadyRun("its answer is no longer kept")
    return OutcomeUnknown("a call under this key was begun and may have run")
