"""Follows the accepted configuration in the key-value service."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

import msgspec
from twisted.internet.defer import Deferred

from pimentolink.configuration import Adoption
from pimentolink.errors import KeyValueUnavailable
from pimentolink.kvstore import KeyValueStore, Value
from pimentolink.logs import Log, LogEvent
from pimentolink.retry import Backoff
from pimentolink.settings import PlatformSettings
from pimentolink.timers import Timers

CONFIGURATION_KEY = "pimentolink/configuration"


class ConfigurationFollower:
    """
    Keeps one watch on the configuration and offers what it brings.

    Goes on through outages with growing pauses; what is in force stays in force.
    """

    def __init__(
        self,
        store: KeyValueStore,
        adoption: Adoption,
        settings: PlatformSettings,
        timers: Timers,
        random: Random,
        log: Log,
        on_adopted: Callable[[], None],
    ) -> None:
        """
        Prepare; :meth:`start` begins.

        :param store: the key-value service.
        :param adoption: the configuration in force.
        :param settings: patience and pauses.
        :param timers: the timer service.
        :param random: seeded source for jitter.
        :param log: where events go.
        :param on_adopted: called after a newer configuration came into force.
        """
        self._store = store
        self._adoption = adoption
        self._settings = settings
        self._timers = timers
        self._backoff = Backoff(settings.backoff_first, settings.backoff_most, random)
        self._log = log
        self._on_adopted = on_adopted
        self._index = 0
        self._is_stopped = False
        self._pending: Deferred[Value] | None = None
        self.is_connected = False

    def start(self) -> None:
        """Read the configuration, then watch it."""
        self._ask(self._store.get(CONFIGURATION_KEY))

    def stop(self) -> None:
        """Watch no more."""
        self._is_stopped = True
        if self._pending is not None:
            self._pending.cancel()

    def offer(self, document: bytes) -> bool:
        """
        Offer a document from anywhere.

        :param document: an accepted configuration as JSON.
        :returns: whether it is now in force.
        """
        try:
            is_newer = self._adoption.offer(document)
        except msgspec.DecodeError as error:
            self._log.write(LogEvent.CONFIGURATION_UNREADABLE, detail=str(error))
            return False
        if is_newer:
            version = self._adoption.version
            self._log.write(LogEvent.CONFIGURATION_ADOPTED, version=version)
            self._on_adopted()
        return is_newer

    def _ask(self, pending: Deferred[Value]) -> None:
        self._pending = pending
        pending.addCallbacks(self._came, self._failed)

    def _came(self, value: Value) -> None:
        if not self.is_connected:
            self.is_connected = True
            self._log.write(LogEvent.KEY_VALUE_BACK)
        self._backoff.reset()
        # A service that was set up anew counts from the start again.
        self._index = value.service_index if value.service_index >= self._index else 0
        if value.data is not None:
            self.offer(value.data)
        self._watch()

    def _failed(self, failure: object) -> None:
        if self._is_stopped:
            return
        if self.is_connected:
            self.is_connected = False
            self._log.write(LogEvent.KEY_VALUE_LOST, code=KeyValueUnavailable.code)
        self._timers.call_later(self._backoff.next(), self._watch)

    def _watch(self) -> None:
        if self._is_stopped:
            return
        wait = self._settings.watch_wait
        if self._index == 0:
            self._ask(self._store.get(CONFIGURATION_KEY))
        else:
            self._ask(self._store.watch(CONFIGURATION_KEY, self._index, wait))
