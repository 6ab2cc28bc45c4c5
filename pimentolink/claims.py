"""
Commits claims to the key-value store.

A call that may not be repeated is claimed before it is made.
"""

from __future__ import annotations

from typing import NamedTuple

import msgspec
from result import Err, Ok, Result
from twisted.internet.defer import Deferred

from pimentolink.claimtable import (
    ClaimDocument,
    ClaimState,
    ClaimTable,
    PartitionClock,
)
from pimentolink.errors import (
    ClaimContended,
    ClaimUnavailable,
    Failure,
    KeyValueUnavailable,
)
from pimentolink.kvstore import KeyValueStore
from pimentolink.settings import ClaimSettings
from pimentolink.timers import Timers, pause

TAKE_OVER_ATTEMPTS = 3
READ_BACK_DELAY = 0.2
# Seconds after a write during which the next one is sent without reading the document
# first. While claims arrive steadily, only one call to the store is made per write.
OWNERSHIP_CHECK_INTERVAL = 1.0


class _PendingClaim(NamedTuple):
    """A claim in the table, whose write is not confirmed yet."""

    key: str
    granted: Deferred[Result[None, Failure]]


class ClaimPartition:
    """
    One partition of the claims of a service, as written by one sidecar.

    Only the sidecar that the stored document names as owner adds claims, by
    compare-and-swap. Taking over ownership is a compare-and-swap as well, so the next
    write of the previous owner fails and its call is not made. Claims that arrive
    during a write are batched into the next one.

    A store that was restored may assign the same revision again, so that a write of a
    previous owner could replace the claims of its successor. An owner that has not
    written for a while therefore reads the document first.

    :ivar is_owned: whether the last write succeeded, which made this sidecar the owner.
    """

    def __init__(
        self,
        path: str,
        incarnation: str,
        store: KeyValueStore,
        timers: Timers,
        settings: ClaimSettings,
    ) -> None:
        """
        Create a partition that this sidecar does not own yet.

        :param path: key of the document in the key-value store.
        :param incarnation: identifier of this run of the process.
        :param store: the key-value store.
        :param timers: the timer service.
        :param settings: limits and intervals.
        """
        self._path = path
        self._incarnation = incarnation
        self._store = store
        self._timers = timers
        self._settings = settings
        self._table = ClaimTable(settings, incarnation)
        self._clock = PartitionClock(timers)
        self._waiting: list[tuple[str, str, Deferred[Result[None, Failure]]]] = []
        self._releases: list[Deferred[Result[None, Failure]]] = []
        self._revision = 0
        self._write_number = 0
        self._is_dirty = False
        self._is_writing = False
        self._written_at = timers.now()
        self.is_owned = False

    def claim(self, key: str, fingerprint: str) -> Deferred[Result[None, Failure]]:
        """
        Claim a key for this sidecar.

        :param key: digest of the call's idempotency key.
        :param fingerprint: digest of the call.
        :returns: fires with ``Ok`` once the claim is stored and the call may be made,
            or with the reason why it may not. After ``NotRun`` the key is free.
        """
        granted: Deferred[Result[None, Failure]] = Deferred()
        self._waiting.append((key, fingerprint, granted))
        self._start_writing()
        return granted

    def settle(self, key: str, state: ClaimState) -> None:
        """Record the outcome of a call; it is stored with the next write."""
        self._table.settle(key, state)
        self._mark_dirty()

    def release(self, key: str) -> Deferred[Result[None, Failure]]:
        """
        Release the key of a call that certainly was not made.

        :param key: digest of the call's idempotency key.
        :returns: fires once the release is stored, or with the reason why it could
            not be stored.
        """
        self._table.release(key)
        stored: Deferred[Result[None, Failure]] = Deferred()
        self._releases.append(stored)
        self._start_writing()
        return stored

    def _mark_dirty(self) -> None:
        if not self._is_dirty:
            self._is_dirty = True
            self._timers.call_later(1.0, self._start_writing)

    def _start_writing(self) -> None:
        if not self._is_writing and (self._waiting or self._releases or self._is_dirty):
            self._is_writing = True
            Deferred.fromCoroutine(self._write_loop())

    async def _write_loop(self) -> None:
        try:
            while self._waiting or self._releases or (self._is_dirty and self.is_owned):
                await self._process_batch()
                await pause(self._timers, self._settings.commit_interval)
        finally:
            self._is_writing = False

    async def _process_batch(self) -> None:
        if self.is_owned and self._is_check_due():
            failure = await self._check_ownership()
            if failure is not None:
                self._answer_releases(self._take_releases(), Err(failure))
                self._refuse_waiting(failure)
                return
        if not self.is_owned:
            lost = ClaimContended("the partition was taken over")
            self._answer_releases(self._take_releases(), Err(lost))
            if not self._waiting:
                return
            try:
                await self._take_over()
            except KeyValueUnavailable as error:
                self._refuse_waiting(ClaimUnavailable(str(error), retry_after=1.0))
                return
        if not self.is_owned:
            self._refuse_waiting(ClaimContended("taken over by another sidecar"))
            return
        pending = self._admit_waiting()
        releases = self._take_releases()
        if not pending and not releases and not self._is_dirty:
            return
        outcome = await self._commit_pending(pending)
        self._answer_releases(releases, outcome)

    def _is_check_due(self) -> bool:
        return self._timers.now() - self._written_at > OWNERSHIP_CHECK_INTERVAL

    async def _check_ownership(self) -> Failure | None:
        """Read the document; return why this sidecar is no longer its owner."""
        self.is_owned = False
        try:
            stored = await self._store.get(self._path)
            if stored.data is not None:
                owner = _decode_document(stored.data).owner
                self.is_owned = owner == self._incarnation
        except KeyValueUnavailable as error:
            return ClaimUnavailable(str(error), retry_after=1.0)
        if not self.is_owned:
            return ClaimContended("the partition was taken over")
        return None

    def _take_releases(self) -> list[Deferred[Result[None, Failure]]]:
        releases, self._releases = self._releases, []
        return releases

    def _answer_releases(
        self,
        releases: list[Deferred[Result[None, Failure]]],
        outcome: Result[None, Failure],
    ) -> None:
        for stored in releases:
            stored.callback(outcome)

    def _refuse_waiting(self, failure: Failure) -> None:
        waiting, self._waiting = self._waiting, []
        for _, _, granted in waiting:
            granted.callback(Err(failure))

    def _admit_waiting(self) -> list[_PendingClaim]:
        waiting, self._waiting = self._waiting, []
        pending = []
        for key, fingerprint, granted in waiting:
            admitted = self._table.add(key, fingerprint, self._clock.now())
            if isinstance(admitted, Err):
                granted.callback(admitted)
            else:
                pending.append(_PendingClaim(key, granted))
        return pending

    async def _commit_pending(
        self, pending: list[_PendingClaim]
    ) -> Result[None, Failure]:
        outcome: Result[None, Failure]
        try:
            if await self._commit():
                outcome = Ok(None)
            else:
                outcome = Err(ClaimContended("the partition was taken over"))
        except KeyValueUnavailable as error:
            outcome = Err(ClaimUnavailable(str(error), retry_after=1.0))
        if isinstance(outcome, Err):
            # None of these calls will be made, so their keys are released.
            for item in pending:
                self._table.release(item.key)
            self._is_dirty = True
        for item in pending:
            item.granted.callback(outcome)
        return outcome

    async def _take_over(self) -> None:
        for _ in range(TAKE_OVER_ATTEMPTS):
            stored = await self._store.get(self._path)
            self._load(stored.data)
            self._revision = stored.revision
            if await self._commit():
                return

    def _load(self, data: bytes | None) -> None:
        if data is None:
            self._table.load({})
            return
        document = _decode_document(data)
        claims = document.claims_by_key
        if document.clock is None:
            # These claims bear times of wall clocks, so their retention starts anew.
            now = int(self._clock.now())
            claims = {key: claim._replace(at=now) for key, claim in claims.items()}
        else:
            self._clock.set(document.clock)
        self._table.load(claims)

    async def _commit(self) -> bool:
        """
        Write the table to the store.

        If the store does not answer, the document is read back to find out whether
        the write was applied.

        :returns: whether it was stored, in which case this sidecar is the owner.
        :raises KeyValueUnavailable: if the result of the write is unknown.
        """
        self._write_number += 1
        self._is_dirty = False
        claims = dict(self._table.claims_by_key)
        data = msgspec.json.encode(
            ClaimDocument(
                self._incarnation,
                self._write_number,
                claims,
                int(self._clock.now()),
            )
        )
        self.is_owned = False
        sent_at = self._timers.now()
        try:
            revision = await self._store.compare_and_swap(
                self._path, data, self._revision
            )
        except KeyValueUnavailable:
            revision = await self._find_own_write()
        if revision is None:
            return False
        self._revision = revision
        self._written_at = sent_at
        self.is_owned = True
        return True

    async def _find_own_write(self) -> int | None:
        await pause(self._timers, READ_BACK_DELAY)
        stored = await self._store.get(self._path)
        if stored.data is None:
            return None
        document = _decode_document(stored.data)
        is_own = (document.owner, document.write) == (
            self._incarnation,
            self._write_number,
        )
        return stored.revision if is_own else None


def _decode_document(data: bytes) -> ClaimDocument:
    try:
        return msgspec.json.decode(data, type=ClaimDocument)
    except msgspec.DecodeError as error:
        raise KeyValueUnavailable(f"unreadable claims: {error}") from error
