"""Keeps what is held against requests in the store, for gateways that start later."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from random import Random
from typing import NamedTuple

import msgspec
from twisted.internet.defer import Deferred

from pimentolink.errors import KeyValueUnavailable, LeaseLost
from pimentolink.jsondocument import read_entry
from pimentolink.keyspace import Change, Keyspace, Write
from pimentolink.logs import Log, LogEvent
from pimentolink.peermessages import (
    SuspectCleared,
    SuspectMessage,
    TargetCrashed,
    crash_messages,
)
from pimentolink.retry import Backoff
from pimentolink.suspects import Suspects
from pimentolink.suspicion import KEEP, SUSPECT_FROM
from pimentolink.timers import Timer, Timers, in_background, pause

SUSPECT_PREFIX = "pimentolink/suspects/"
# Seconds in which further crashes join the same write.
GATHER = 0.1
# Seconds after which a gateway that only heard of a crash writes it, if none of those
# that saw it has; and by how much more that differs, so that not all write it.
HEARD_WAIT = 1.0
HEARD_SPREAD = 1.0
# Messages of one document, the newest; keeps it well below what a key may hold.
MAX_NEWS = 256


class SuspectDocument(msgspec.Struct):
    """What one gateway tells all others, also those that start later."""

    news: list[TargetCrashed | SuspectCleared]


def clearing_key(fingerprint: str) -> str:
    """Name the document by which an operator clears a request."""
    return f"{SUSPECT_PREFIX}operators/{fingerprint}"


class StoredSuspects:
    """What all documents together hold against requests."""

    def __init__(self) -> None:
        """Start with nothing read."""
        self._crashes: set[tuple[str, int]] = set()
        self._cleared: set[tuple[str, int]] = set()

    def take(self, document: SuspectDocument) -> None:
        """Add what one document tells."""
        for message in document.news:
            if isinstance(message, SuspectCleared):
                pairs = {(message.fingerprint, key) for key in message.targets}
                self._cleared |= pairs
            else:
                pairs = {(name, message.target) for name in message.fingerprints}
                self._crashes |= pairs

    def crashes_by_fingerprint(self) -> dict[str, list[int]]:
        """List the targets at whose crash each request was under way."""
        listed: dict[str, list[int]] = {}
        for fingerprint, target in sorted(self._crashes - self._cleared):
            listed.setdefault(fingerprint, []).append(target)
        return listed


class _Told(NamedTuple):
    """A message of this gateway's document, and when it was first written."""

    at: float
    message: TargetCrashed | SuspectCleared


class SuspectStore:
    """
    Writes and reads documents of suspects.

    Each gateway writes its own, so none overwrites another's; what is known is all of
    them together. A request is only written once it is a suspect, so that the crash of
    a target that takes tens of requests with it costs no call. Between cells nothing
    else carries the first crash, so it is written there too.
    """

    def __init__(
        self,
        owner: str,
        keyspace: Keyspace,
        suspects: Suspects,
        timers: Timers,
        backoff: Backoff,
        random: Random,
        log: Log,
    ) -> None:
        """
        Prepare.

        :param owner: names this process among all lives of all gateways.
        :param keyspace: the store.
        :param suspects: what is known.
        :param timers: the timer service.
        :param backoff: pauses after calls without an answer.
        :param random: seeded source, which spreads writes.
        :param log: where events go.
        """
        self._key = SUSPECT_PREFIX + owner
        self._keyspace = keyspace
        self._suspects = suspects
        self._timers = timers
        self._backoff = backoff
        self._random = random
        self._log = log
        self._revision = 0
        self._written: list[_Told] = []
        # What this gateway cleared and has not written; the oldest goes if the store is
        # away for long.
        self._unwritten: deque[SuspectCleared] = deque(maxlen=MAX_NEWS)
        self._is_lost = False
        self._timer: Timer | None = None
        self._due_at = 0.0
        self._writing: Deferred[None] | None = None
        self.is_divided: Callable[[], bool] = lambda: False
        self.on_news: Callable[[SuspectMessage, str], None] = lambda message, source: (
            None
        )

    def stop(self) -> None:
        """Write nothing more."""
        if self._timer is not None:
            self._timer.cancel()
        if self._writing is not None:
            self._writing.cancel()

    def restored(self) -> None:
        """Write again what the store lost as it was restored."""
        self._is_lost = bool(self._written)
        if self._is_lost:
            self._write_in(GATHER)

    def struck(self, is_own: bool) -> None:
        """
        Learn that a crash is held against requests.

        :param is_own: whether this gateway saw it.
        """
        wait = GATHER
        if not is_own:
            wait = HEARD_WAIT + self._random.uniform(0.0, HEARD_SPREAD)
        self._write_in(wait)

    def cleared(self, cleared: SuspectCleared) -> None:
        """Learn that this gateway cleared a request."""
        self._unwritten.append(cleared)
        self._write_in(GATHER)

    def key_changed(self, change: Change) -> None:
        """Read a document that a gateway or an operator wrote."""
        if change.value is None:
            # Its lease ran out; what it told has lapsed here as well.
            return
        found = read_entry(change.key, change.value, SuspectDocument, self._log)
        if found is None:
            return
        for message in found.news:
            self.on_news(message, "store")
            if isinstance(message, TargetCrashed):
                self._mark_stored(message)

    def _write_in(self, seconds: float) -> None:
        if self._writing is not None:
            # Looks for what is new once it is done.
            return
        due_at = self._timers.now() + seconds
        if self._timer is not None:
            if self._due_at <= due_at:
                return
            self._timer.cancel()
        self._due_at = due_at
        self._timer = self._timers.call_later(seconds, self._begin)

    def _begin(self) -> None:
        self._timer = None
        self._writing = in_background(self._write())
        self._writing.addCallback(self._ended)

    def _ended(self, _: object) -> None:
        self._writing = None

    async def _write(self) -> None:
        while (fresh := self._fresh()) or self._is_lost:
            try:
                await self._try_to_write(fresh)
            except (KeyValueUnavailable, LeaseLost) as failure:
                self._log.write(LogEvent.SUSPECTS_UNSTORED, detail=str(failure))
                await pause(self._timers, self._backoff.next())

    def _fresh(self) -> list[_Told]:
        """List what is to be written and not in the store yet."""
        now = self._timers.now()
        least = 1 if self.is_divided() else SUSPECT_FROM
        crashes: list[TargetCrashed | SuspectCleared] = [
            message
            for crash in self._suspects.unstored(least, now)
            for message in crash_messages(*crash)
        ]
        return [_Told(now, message) for message in (*self._unwritten, *crashes)]

    async def _try_to_write(self, fresh: list[_Told]) -> None:
        begin = self._timers.now() - KEEP
        before = [told for told in self._written if told.at >= begin]
        told = [*before, *fresh][-MAX_NEWS:]
        lease = await self._keyspace.grant(KEEP)
        document = SuspectDocument([item.message for item in told])
        write = Write(self._key, msgspec.json.encode(document), self._revision, lease)
        revision = await self._keyspace.write(write)
        if revision is None:
            # An earlier write took effect though its answer was lost.
            found = await self._keyspace.read(self._key)
            self._revision = found.revision if found is not None else 0
            return
        self._backoff.reset()
        self._is_lost = False
        self._revision = revision
        self._written = told
        for item in fresh:
            self._mark_written(item.message)
        self._log.write(LogEvent.SUSPECTS_STORED, news=len(told), revision=revision)

    def _mark_written(self, message: TargetCrashed | SuspectCleared) -> None:
        if isinstance(message, TargetCrashed):
            self._mark_stored(message)
        elif message in self._unwritten:
            self._unwritten.remove(message)

    def _mark_stored(self, crash: TargetCrashed) -> None:
        for fingerprint in crash.fingerprints:
            self._suspects.stored(fingerprint, crash.target, crash.is_tried)
