"""Watches all keys under a prefix and recovers from outages and lost history."""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from random import Random
from typing import Any, Protocol

from twisted.internet.defer import Deferred

from pimentolink.errors import HistoryLost, KeyValueUnavailable
from pimentolink.gatewaysettings import StoreSettings
from pimentolink.keyspace import Change, Changes, Keyspace, epoch_of
from pimentolink.logs import Log, LogEvent
from pimentolink.retry import Backoff
from pimentolink.timers import (
    Timer,
    Timers,
    call_logging_errors,
    pause,
    run_in_background,
)

# Longest time in an outage, in seconds, without an attempt to read the store.
MAX_READ_PAUSE = 6.0


class KeyspaceListener(Protocol):
    """Receives the content of the store and its changes."""

    def key_changed(self, change: Change) -> None:
        """Handle one change."""

    def changes_delivered(self) -> None:
        """Handle the end of the changes of one response."""

    def snapshot_delivered(
        self, keys: frozenset[str], requested_at: float, epoch: int
    ) -> None:
        """
        Handle a full read, after :meth:`key_changed` was called for each key.

        :meth:`changes_delivered` is called next.

        :param keys: all keys that exist; any other was removed.
        :param requested_at: when the read was sent, in seconds of
            :meth:`~pimentolink.timers.Timers.boot_time`, which also counts while the
            instance is suspended.
        :param epoch: of the store.
        """


class KeyspaceFollower:
    """
    Keeps one watch open and passes its changes to a listener.

    After an outage or when history was lost, it reads all keys again, since it may have
    missed changes. A watch that the store does not know of, because it was lost or
    dropped during an outage, looks like one without changes; :meth:`expect_revision`
    detects it.

    :ivar is_connected: whether the store responded to the last call.
    :ivar confirmed_at: when the store last responded, in seconds of the timer service.
    """

    def __init__(
        self,
        prefix: str,
        keyspace: Keyspace,
        listener: KeyspaceListener,
        settings: StoreSettings,
        timers: Timers,
        random: Random,
        log: Log,
    ) -> None:
        """
        Create a follower; :meth:`start` makes the first call.

        :param prefix: of the keys.
        :param keyspace: the store.
        :param listener: receives every change.
        :param settings: length of a watch, backoff and pause between watches.
        :param timers: the timer service.
        :param random: seeded source of jitter.
        :param log: receives the events.
        """
        self._prefix = prefix
        self._keyspace = keyspace
        self._listener = listener
        self._settings = settings
        self._timers = timers
        self._log = log
        self._backoff = Backoff(settings.backoff_first, settings.backoff_most, random)
        self._loop: Deferred[None] | None = None
        self._revision: int | None = None
        self._has_read = False
        self._failed_at = 0.0
        self._overdue_check: Timer | None = None
        self._catching_up: Deferred[None] | None = None
        self.is_connected = False
        # Whether the store is expected to respond. During an outage, most retries are
        # skipped while this is false, since each one costs a call.
        self.may_call_store: Callable[[], bool] = lambda: True
        self.confirmed_at = timers.now()

    def start(self) -> None:
        """Read all keys, then watch them."""
        self._loop = run_in_background(self._timers, self._run)

    def restart(self) -> None:
        """Read all keys again now, since the known ones may be outdated."""
        self.stop()
        self._revision = None
        self.start()

    def stop(self) -> None:
        """Stop watching."""
        if self._loop is not None:
            self._loop.cancel()
        if self._overdue_check is not None:
            self._overdue_check.cancel()
            self._overdue_check = None
        if self._catching_up is not None:
            self._catching_up.cancel()

    def has_reached(self, revision: int) -> bool:
        """Return whether all changes up to a revision were delivered."""
        return self._revision is not None and self._revision >= revision

    def expect_revision(self, revision: int, delivery_time: float) -> None:
        """
        Request the changes up to a revision again if they do not arrive in time.

        :param revision: a revision that the store has reached.
        :param delivery_time: seconds to wait for the watch to deliver them.
        """
        if self._overdue_check is None and self._is_behind(revision):
            self._overdue_check = self._timers.call_later(
                max(delivery_time, self._settings.gather),
                lambda: self._check_overdue(revision, delivery_time),
            )

    def _is_behind(self, revision: int) -> bool:
        return self._revision is not None and self._revision < revision

    def _check_overdue(self, revision: int, delivery_time: float) -> None:
        self._overdue_check = None
        if not self._is_behind(revision) or self._catching_up is not None:
            return
        if self._keyspace.is_receiving_changes():
            # A second transfer over the same link would delay both.
            self.expect_revision(revision, delivery_time)
            return
        self._log.write(
            LogEvent.WATCH_LOST,
            prefix=self._prefix,
            after=self._revision,
            revision=revision,
            age=round(self.age(), 3),
        )
        self._catching_up = run_in_background(self._timers, self._catch_up)
        self._catching_up.addBoth(self._caught_up)

    def _caught_up(self, _: object) -> None:
        self._catching_up = None

    async def _catch_up(self) -> None:
        """
        Request the overdue changes beside the watch.

        The watch is ended only once they are here: it may be delivering them over a
        slow link.
        """
        if self._revision is None:
            return
        wait = self._settings.timeout
        try:
            found = await self._keyspace.changes(self._prefix, self._revision, wait)
        except HistoryLost:
            self._revision = None
        except KeyValueUnavailable:
            return
        else:
            if not self._is_behind(found.revision):
                return
            self._record_response()
            self._deliver(found)
        if self._loop is not None:
            self._loop.cancel()
        self.start()

    def age(self) -> float:
        """Return the seconds since the store last responded."""
        return self._timers.now() - self.confirmed_at

    async def _run(self) -> None:
        while True:
            try:
                if self._is_call_due():
                    await self._read_or_watch()
                else:
                    await pause(self._timers, self._settings.backoff_first)
            except HistoryLost:
                self._log.write(LogEvent.HISTORY_LOST, after=self._revision)
                self._revision = None
            except KeyValueUnavailable as failure:
                self._record_outage(failure)
                await pause(self._timers, self._backoff.next())

    def _is_call_due(self) -> bool:
        """
        Return whether to call the store now.

        During an outage, renewals of the lease usually detect its end, at a lower cost.
        But the store may respond to reads only, and without a first read this gateway
        cannot serve at all.
        """
        if not self._has_read or self.is_connected or self.may_call_store():
            return True
        return self._timers.now() - self._failed_at >= MAX_READ_PAUSE

    def _read_or_watch(self) -> Coroutine[Any, Any, None]:
        return self._read_all() if self._revision is None else self._watch()

    async def _read_all(self) -> None:
        requested_at = self._timers.boot_time()
        try:
            snapshot = await self._keyspace.read_all(self._prefix)
        except KeyValueUnavailable as failure:
            self._log.write(
                LogEvent.STORE_UNREAD,
                prefix=self._prefix,
                detail=failure.detail,
                took=round(self._timers.boot_time() - requested_at, 3),
            )
            raise
        self._record_response()
        for item in snapshot.items:
            change = Change(item.key, item.value, item.revision)
            call_logging_errors(self._listener.key_changed, change)
        keys = frozenset(item.key for item in snapshot.items)
        epoch = epoch_of(snapshot.revision)
        call_logging_errors(
            self._listener.snapshot_delivered, keys, requested_at, epoch
        )
        call_logging_errors(self._listener.changes_delivered)
        self._revision = snapshot.revision
        self._has_read = True
        self._log.write(
            LogEvent.STORE_READ,
            prefix=self._prefix,
            keys=len(keys),
            revision=snapshot.revision,
            took=round(self._timers.boot_time() - requested_at, 3),
        )

    async def _watch(self) -> None:
        assert self._revision is not None
        wait = self._settings.watch_wait
        found = await self._keyspace.changes(self._prefix, self._revision, wait)
        self._record_response()
        self._deliver(found)
        if found.changes:
            await pause(self._timers, self._settings.gather)

    def _deliver(self, found: Changes) -> None:
        for change in found.changes:
            # The watch may have delivered some of them in the meantime.
            if self._is_behind(change.revision):
                call_logging_errors(self._listener.key_changed, change)
        self._revision = found.revision
        if found.changes:
            call_logging_errors(self._listener.changes_delivered)

    def _record_response(self) -> None:
        self.confirmed_at = self._timers.now()
        self._backoff.reset()
        if not self.is_connected:
            self.is_connected = True
            self._log.write(LogEvent.KEY_VALUE_BACK, prefix=self._prefix)

    def _record_outage(self, failure: KeyValueUnavailable) -> None:
        # Changes between a failed watch and the next call may be missed, so that call
        # reads all keys.
        self._revision = None
        self._failed_at = self._timers.now()
        if self.is_connected:
            self.is_connected = False
            self._log.write(
                LogEvent.KEY_VALUE_LOST,
                prefix=self._prefix,
                detail=failure.detail,
                age=round(self.age(), 3),
            )
