"""Stores the crashes of suspects, so that gateways that start later know them."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from random import Random
from typing import NamedTuple

import msgspec
from twisted.internet.defer import Deferred

from pimentolink.crashhistory import CRASH_TTL, MIN_SUSPECT_CRASHES
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
from pimentolink.suspects import SuspectTracker
from pimentolink.timers import Timer, Timers, pause, run_in_background

SUSPECT_PREFIX = "pimentolink/suspects/"
# Seconds for which a write is delayed, so that further crashes join it.
BATCH_DELAY = 0.1
# Seconds after which a gateway that knows of a crash only from others writes it, unless
# one that saw the crash has; and the jitter added, so that not all gateways write it.
RELAYED_WRITE_DELAY = 1.0
RELAYED_WRITE_JITTER = 1.0
# Capacity of one document, of which the oldest messages are left out; keeps it well
# below the size limit of a value.
MAX_DOCUMENT_MESSAGES = 256


class SuspectDocument(msgspec.Struct):
    """What one gateway reports to all others, including those that start later."""

    news: list[TargetCrashed | SuspectCleared]


def clearing_key(fingerprint: str) -> str:
    """Build the key of the document by which an operator clears a request."""
    return f"{SUSPECT_PREFIX}operators/{fingerprint}"


class StoredSuspects:
    """The crashes of suspects, merged from the documents of all gateways."""

    def __init__(self) -> None:
        """Start without documents."""
        self._crashes: set[tuple[str, int]] = set()
        self._cleared: set[tuple[str, int]] = set()

    def add(self, document: SuspectDocument) -> None:
        """Merge the messages of one document."""
        for message in document.news:
            if isinstance(message, SuspectCleared):
                crashes = {(message.fingerprint, key) for key in message.targets}
                self._cleared |= crashes
            else:
                crashes = {(name, message.target) for name in message.fingerprints}
                self._crashes |= crashes

    def crashes_by_fingerprint(self) -> dict[str, list[int]]:
        """List the targets at whose crash each request was in flight."""
        listed: dict[str, list[int]] = {}
        for fingerprint, target in sorted(self._crashes - self._cleared):
            listed.setdefault(fingerprint, []).append(target)
        return listed


class _TimedMessage(NamedTuple):
    """A message of this gateway's document, and when it was first written."""

    at: float
    message: TargetCrashed | SuspectCleared


class SuspectStore:
    """
    Writes this gateway's document of suspects, and reads those of the others.

    Each gateway writes a document of its own, so that none overwrites another's; the
    known crashes are those of all documents together. A request is only written once it
    is a suspect, so that a crash with tens of requests in flight costs no call to the
    store. With several cells, requests with a single crash are written too, since
    messages between gateways do not carry it from cell to cell.
    """

    def __init__(
        self,
        owner: str,
        keyspace: Keyspace,
        suspects: SuspectTracker,
        timers: Timers,
        backoff: Backoff,
        random: Random,
        log: Log,
    ) -> None:
        """
        Prepare without writing anything.

        :param owner: unique name of this process among all incarnations of gateways.
        :param keyspace: the store.
        :param suspects: the crashes that this gateway knows.
        :param timers: the timer service.
        :param backoff: delays after failed calls to the store.
        :param random: seeded source for the jitter of writes.
        :param log: receives log events.
        """
        self._key = SUSPECT_PREFIX + owner
        self._keyspace = keyspace
        self._suspects = suspects
        self._timers = timers
        self._backoff = backoff
        self._random = random
        self._log = log
        self._revision = 0
        self._written: list[_TimedMessage] = []
        # Clearings by this gateway that are not in the store yet. The oldest is dropped
        # if the store is unavailable for long.
        self._unwritten: deque[SuspectCleared] = deque(maxlen=MAX_DOCUMENT_MESSAGES)
        self._needs_rewrite = False
        self._timer: Timer | None = None
        self._due_at = 0.0
        self._writing: Deferred[None] | None = None
        self.has_several_cells: Callable[[], bool] = lambda: False
        self.on_message: Callable[[SuspectMessage, str], None] = (
            lambda message, source: None
        )

    def stop(self) -> None:
        """Cancel a scheduled write and one in progress."""
        if self._timer is not None:
            self._timer.cancel()
        if self._writing is not None:
            self._writing.cancel()

    def restored(self) -> None:
        """Write this gateway's document again after the store was restored."""
        self._needs_rewrite = bool(self._written)
        if self._needs_rewrite:
            self._write_in(BATCH_DELAY)

    def crash_recorded(self, is_own: bool) -> None:
        """
        Schedule a write after a crash was counted against requests.

        :param is_own: whether this gateway saw the crash itself.
        """
        wait = BATCH_DELAY
        if not is_own:
            wait = RELAYED_WRITE_DELAY + self._random.uniform(0.0, RELAYED_WRITE_JITTER)
        self._write_in(wait)

    def cleared(self, cleared: SuspectCleared) -> None:
        """Schedule a write after this gateway cleared a request."""
        self._unwritten.append(cleared)
        self._write_in(BATCH_DELAY)

    def key_changed(self, change: Change) -> None:
        """Apply a document that a gateway or an operator wrote."""
        if change.value is None:
            # Its lease expired, and its crashes have expired here as well.
            return
        found = read_entry(change.key, change.value, SuspectDocument, self._log)
        if found is None:
            return
        for message in found.news:
            self.on_message(message, "store")
            if isinstance(message, TargetCrashed):
                self._mark_stored(message)

    def _write_in(self, seconds: float) -> None:
        if self._writing is not None:
            # The write in progress looks for new messages before it ends.
            return
        due_at = self._timers.now() + seconds
        if self._timer is not None:
            if self._due_at <= due_at:
                return
            self._timer.cancel()
        self._due_at = due_at
        self._timer = self._timers.call_later(seconds, self._start_writing)

    def _start_writing(self) -> None:
        self._timer = None
        self._writing = run_in_background(self._timers, self._write)
        self._writing.addCallback(self._writing_done)

    def _writing_done(self, _: object) -> None:
        self._writing = None

    async def _write(self) -> None:
        while (pending := self._pending_messages()) or self._needs_rewrite:
            try:
                await self._write_document(pending)
            except (KeyValueUnavailable, LeaseLost) as failure:
                self._log.write(LogEvent.SUSPECTS_UNSTORED, detail=str(failure))
                await pause(self._timers, self._backoff.next())

    def _pending_messages(self) -> list[_TimedMessage]:
        """List the messages that are not in the store yet."""
        now = self._timers.now()
        min_crashes = 1 if self.has_several_cells() else MIN_SUSPECT_CRASHES
        crashes: list[TargetCrashed | SuspectCleared] = [
            message
            for crash in self._suspects.unstored(min_crashes, now)
            for message in crash_messages(*crash)
        ]
        return [_TimedMessage(now, message) for message in (*self._unwritten, *crashes)]

    async def _write_document(self, pending: list[_TimedMessage]) -> None:
        begin = self._timers.now() - CRASH_TTL
        before = [kept for kept in self._written if kept.at >= begin]
        kept = [*before, *pending][-MAX_DOCUMENT_MESSAGES:]
        lease = await self._keyspace.grant(CRASH_TTL)
        document = SuspectDocument([item.message for item in kept])
        write = Write(self._key, msgspec.json.encode(document), self._revision, lease)
        revision = await self._keyspace.write(write)
        if revision is None:
            # An earlier write took effect although its reply was lost.
            found = await self._keyspace.read(self._key)
            self._revision = found.revision if found is not None else 0
            return
        self._backoff.reset()
        self._needs_rewrite = False
        self._revision = revision
        self._written = kept
        for item in pending:
            self._mark_written(item.message)
        self._log.write(LogEvent.SUSPECTS_STORED, news=len(kept), revision=revision)

    def _mark_written(self, message: TargetCrashed | SuspectCleared) -> None:
        if isinstance(message, TargetCrashed):
            self._mark_stored(message)
        elif message in self._unwritten:
            self._unwritten.remove(message)

    def _mark_stored(self, crash: TargetCrashed) -> None:
        for fingerprint in crash.fingerprints:
            self._suspects.mark_stored(fingerprint, crash.target, crash.is_tried)
