"""Commits claims: a call that may not be repeated is claimed before it is made."""

from __future__ import annotations

from typing import NamedTuple

import msgspec
from result import Err, Ok, Result
from twisted.internet.defer import Deferred

from pimentolink.claimtable import Claim, ClaimDocument, ClaimState, ClaimTable
from pimentolink.errors import (
    ClaimContended,
    ClaimUnavailable,
    Failure,
    KeyValueUnavailable,
)
from pimentolink.kvstore import KeyValueStore
from pimentolink.settings import ClaimSettings
from pimentolink.timers import Timers, pause

TAKE_OVER_TRIES = 3
READ_BACK_PAUSE = 0.2


class _Pending(NamedTuple):
    """A claim waiting to be committed."""

    key: str
    granted: Deferred[Result[None, Failure]]


class ClaimPartition:
    """
    One partition as one sidecar commits it.

    Only the sidecar that the stored document names as owner adds claims, by
    compare-and-swap; taking over is itself a compare-and-swap, so that the write of
    an owner that was replaced fails and the call behind it is not made. Claims that
    arrive while a write is under way share the next one.
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
        Prepare; the partition is not owned yet.

        :param path: the document's key in the key-value service.
        :param incarnation: identity of this process's life.
        :param store: the key-value service.
        :param timers: the timer service.
        :param settings: bounds and intervals.
        """
        self._path = path
        self._incarnation = incarnation
        self._store = store
        self._timers = timers
        self._settings = settings
        self._table = ClaimTable(settings, incarnation)
        self._waiting: list[tuple[str, str, Deferred[Result[None, Failure]]]] = []
        self._revision = 0
        self._write = 0
        self._is_dirty = False
        self._is_busy = False
        self.is_owned = False

    def claim(self, key: str, fingerprint: str) -> Deferred[Result[None, Failure]]:
        """
        Claim a key for this sidecar.

        :param key: digest of the call's key.
        :param fingerprint: digest of the call.
        :returns: granted, so that the call may be made once; or why not. A
            ``NotRun`` leaves the key free.
        """
        granted: Deferred[Result[None, Failure]] = Deferred()
        self._waiting.append((key, fingerprint, granted))
        self._start()
        return granted

    def settle(self, key: str, state: ClaimState) -> None:
        """Record what became of the call; stored with the next write."""
        self._table.settle(key, state)
        self._mark_dirty()

    def release(self, key: str) -> Deferred[Result[None, Failure]]:
        """
        Free the key of a call that is known not to have been made.

        :param key: digest of the call's key.
        :returns: once stored, or why it could not be.
        """
        self._table.release(key)
        return Deferred.fromCoroutine(self._store_release())

    async def _store_release(self) -> Result[None, Failure]:
        while self._is_busy:
            await pause(self._timers, self._settings.commit_interval)
        if not self.is_owned:
            return Err(ClaimContended("the partition was taken over"))
        self._is_busy = True
        try:
            is_stored = await self._commit()
        except KeyValueUnavailable as error:
            return Err(error)
        finally:
            self._is_busy = False
            self._start()
        if not is_stored:
            return Err(ClaimContended("the partition was taken over"))
        return Ok(None)

    def _mark_dirty(self) -> None:
        if not self._is_dirty:
            self._is_dirty = True
            self._timers.call_later(1.0, self._start)

    def _start(self) -> None:
        if not self._is_busy and (self._waiting or self._is_dirty):
            self._is_busy = True
            Deferred.fromCoroutine(self._work())

    async def _work(self) -> None:
        try:
            while self._waiting or (self._is_dirty and self.is_owned):
                await self._turn()
                await pause(self._timers, self._settings.commit_interval)
        finally:
            self._is_busy = False

    async def _turn(self) -> None:
        if not self.is_owned:
            try:
                await self._take_over()
            except KeyValueUnavailable as error:
                self._refuse_waiting(ClaimUnavailable(str(error), retry_after=1.0))
                return
        if not self.is_owned:
            self._refuse_waiting(ClaimContended("taken over by another sidecar"))
            return
        pending = self._admit_waiting()
        if not pending and not self._is_dirty:
            return
        await self._commit_pending(pending)

    def _refuse_waiting(self, failure: Failure) -> None:
        waiting, self._waiting = self._waiting, []
        for _, _, granted in waiting:
            granted.callback(Err(failure))

    def _admit_waiting(self) -> list[_Pending]:
        waiting, self._waiting = self._waiting, []
        pending = []
        for key, fingerprint, granted in waiting:
            admitted = self._table.add(key, fingerprint, self._timers.wall_time())
            if isinstance(admitted, Err):
                granted.callback(admitted)
            else:
                pending.append(_Pending(key, granted))
        return pending

    async def _commit_pending(self, pending: list[_Pending]) -> None:
        outcome: Result[None, Failure]
        try:
            if await self._commit():
                outcome = Ok(None)
            else:
                outcome = Err(ClaimContended("the partition was taken over"))
        except KeyValueUnavailable as error:
            outcome = Err(ClaimUnavailable(str(error), retry_after=1.0))
        if isinstance(outcome, Err):
            # None of these calls is made, so their keys are free again here.
            for item in pending:
                self._table.release(item.key)
            self._is_dirty = True
        for item in pending:
            item.granted.callback(outcome)

    async def _take_over(self) -> None:
        for _ in range(TAKE_OVER_TRIES):
            stored = await self._store.get(self._path)
            claims: dict[str, Claim] = {}
            if stored.data is not None:
                claims = _decode(stored.data).claims_by_key
            self._table.load(claims)
            self._revision = stored.revision
            if await self._commit():
                return

    async def _commit(self) -> bool:
        """
        Store the table.

        :returns: whether it was stored, which makes or keeps this sidecar the owner.
        :raises KeyValueUnavailable: if that cannot be told.
        """
        self._write += 1
        self._is_dirty = False
        claims = dict(self._table.claims_by_key)
        data = msgspec.json.encode(
            ClaimDocument(self._incarnation, self._write, claims)
        )
        self.is_owned = False
        try:
            revision = await self._store.compare_and_swap(
                self._path, data, self._revision
            )
        except KeyValueUnavailable:
            revision = await self._find_own_write()
        if revision is None:
            return False
        self._revision = revision
        self.is_owned = True
        return True

    async def _find_own_write(self) -> int | None:
        await pause(self._timers, READ_BACK_PAUSE)
        stored = await self._store.get(self._path)
        if stored.data is None:
            return None
        document = _decode(stored.data)
        is_own = (document.owner, document.write) == (self._incarnation, self._write)
        return stored.revision if is_own else None


def _decode(data: bytes) -> ClaimDocument:
    return msgspec.json.decode(data, type=ClaimDocument)
