"""Follows all keys under a prefix through outages and lost history."""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from random import Random
from typing import Any, Protocol

from twisted.internet.defer import Deferred

from pimentolink.errors import HistoryLost, KeyValueUnavailable
from pimentolink.gatewaysettings import StoreSettings
from pimentolink.keyspace import Change, Keyspace, epoch_of
from pimentolink.logs import Log, LogEvent
from pimentolink.retry import Backoff
from pimentolink.timers import Timers, in_background, pause


class KeyspaceListener(Protocol):
    """Learns what stands in the store."""

    def key_changed(self, change: Change) -> None:
        """Take one change."""

    def changes_told(self) -> None:
        """Learn that all changes of one answer were told."""

    def keys_read(self, keys: frozenset[str], asked_at: float, epoch: int) -> None:
        """
        Learn that all keys were read, each told by :meth:`key_changed` before.

        :meth:`changes_told` follows.

        :param keys: those that exist; all others are gone.
        :param asked_at: when they were asked for, on the clock that goes on while the
            instance is suspended.
        :param epoch: of the store.
        """


class KeyspaceFollower:
    """
    Keeps one watch open.

    After lost history or an outage everything is read again, since changes may have
    been missed.
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
        Prepare; :meth:`start` begins.

        :param prefix: of the keys.
        :param keyspace: the store.
        :param listener: learns of every change.
        :param settings: patience and pauses.
        :param timers: the timer service.
        :param random: seeded source for jitter.
        :param log: where events go.
        """
        self._prefix = prefix
        self._keyspace = keyspace
        self._listener = listener
        self._settings = settings
        self._timers = timers
        self._log = log
        self._backoff = Backoff(settings.backoff_first, settings.backoff_most, random)
        self._running: Deferred[None] | None = None
        self._revision: int | None = None
        self.is_connected = False
        # Whether the store may answer; while it does not, each try costs a call.
        self.may_ask: Callable[[], bool] = lambda: True
        self.confirmed_at = timers.now()

    def start(self) -> None:
        """Read everything, then watch."""
        self._running = in_background(self._follow())

    def restart(self) -> None:
        """Read everything again now; what is known may be old."""
        self.stop()
        self._revision = None
        self.start()

    def stop(self) -> None:
        """Watch no more."""
        if self._running is not None:
            self._running.cancel()

    def age(self) -> float:
        """Tell how long ago the store last confirmed what is known, in seconds."""
        return self._timers.now() - self.confirmed_at

    async def _follow(self) -> None:
        while True:
            try:
                if self.may_ask() or self.is_connected:
                    await self._step()
                else:
                    await pause(self._timers, self._settings.backoff_first)
            except HistoryLost:
                self._log.write(LogEvent.HISTORY_LOST, after=self._revision)
                self._revision = None
            except KeyValueUnavailable as failure:
                self._disconnected(failure)
                await pause(self._timers, self._backoff.next())

    def _step(self) -> Coroutine[Any, Any, None]:
        return self._read_all() if self._revision is None else self._watch()

    async def _read_all(self) -> None:
        asked_at = self._timers.boot_time()
        snapshot = await self._keyspace.read_all(self._prefix)
        self._confirmed()
        for item in snapshot.items:
            self._listener.key_changed(Change(item.key, item.value, item.revision))
        keys = frozenset(item.key for item in snapshot.items)
        self._listener.keys_read(keys, asked_at, epoch_of(snapshot.revision))
        self._listener.changes_told()
        self._revision = snapshot.revision

    async def _watch(self) -> None:
        assert self._revision is not None
        wait = self._settings.watch_wait
        found = await self._keyspace.changes(self._prefix, self._revision, wait)
        self._confirmed()
        for change in found.changes:
            self._listener.key_changed(change)
        self._revision = found.revision
        if found.changes:
            self._listener.changes_told()
            await pause(self._timers, self._settings.gather)

    def _confirmed(self) -> None:
        self.confirmed_at = self._timers.now()
        self._backoff.reset()
        if not self.is_connected:
            self.is_connected = True
            self._log.write(LogEvent.KEY_VALUE_BACK, prefix=self._prefix)

    def _disconnected(self, failure: KeyValueUnavailable) -> None:
        # Changes may be missed between a broken watch and the next call.
        self._revision = None
        if self.is_connected:
            self.is_connected = False
            self._log.write(
                LogEvent.KEY_VALUE_LOST,
                prefix=self._prefix,
                detail=failure.detail,
                age=round(self.age(), 3),
            )
