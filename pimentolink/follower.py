"""Watches a key of the key-value service and reconnects after outages."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from twisted.internet.defer import CancelledError, Deferred
from twisted.python.failure import Failure as TwistedFailure

from pimentolink.errors import KeyValueUnavailable
from pimentolink.kvstore import KeyValueStore, Value
from pimentolink.logs import Log, LogEvent
from pimentolink.retry import Backoff
from pimentolink.settings import PlatformSettings
from pimentolink.timers import Timers, call_logging_errors


class KeyFollower:
    """Watches a key, reports each value and retries failures with backoff."""

    def __init__(
        self,
        key: str,
        store: KeyValueStore,
        settings: PlatformSettings,
        timers: Timers,
        random: Random,
        log: Log,
        on_value: Callable[[Value], object],
    ) -> None:
        """
        Create a follower; :meth:`start` sends the first request.

        :param key: the key to watch.
        :param store: the key-value service.
        :param settings: duration of a watch, backoff delays.
        :param timers: the timer service.
        :param random: seeded source for jitter.
        :param log: receives log events.
        :param on_value: called with each value read, unless the key is absent.
        """
        self._key = key
        self._store = store
        self._settings = settings
        self._timers = timers
        self._backoff = Backoff(settings.backoff_first, settings.backoff_most, random)
        self._log = log
        self._on_value = on_value
        self._index = 0
        self._is_stopped = False
        self._pending: Deferred[Value] | None = None
        self.is_connected = False

    def start(self) -> None:
        """Read the key, then watch it."""
        self._request_value()

    def schedule_read(self) -> None:
        """Read the key again after a backoff delay, even if it has not changed."""
        self._index = 0
        if self._pending is not None:
            self._pending.cancel()
        self._timers.call_later(self._backoff.next(), self._request_value)

    def stop(self) -> None:
        """Stop watching and cancel the pending request."""
        self._is_stopped = True
        if self._pending is not None:
            self._pending.cancel()

    def _request_value(self) -> None:
        if self._is_stopped:
            return
        if self._index == 0:
            self._pending = self._store.get(self._key)
        else:
            wait = self._settings.watch_wait
            self._pending = self._store.watch(self._key, self._index, wait)
        self._pending.addCallbacks(self._value_received, self._read_failed)

    def _value_received(self, value: Value) -> None:
        self._set_connected(True)
        self._backoff.reset()
        # A service that was set up anew restarts its index, so the key is read again.
        index_was_reset = value.service_index < self._index
        self._index = 0 if index_was_reset else value.service_index
        if value.data is not None:
            call_logging_errors(self._on_value, value)
        if self._index == 0:
            self._timers.call_later(self._backoff.next(), self._request_value)
        else:
            self._request_value()

    def _read_failed(self, failure: TwistedFailure) -> None:
        if self._is_stopped or failure.check(CancelledError):
            return
        self._set_connected(False)
        self._timers.call_later(self._backoff.next(), self._request_value)

    def _set_connected(self, is_connected: bool) -> None:
        if is_connected == self.is_connected:
            return
        self.is_connected = is_connected
        if is_connected:
            self._log.write(LogEvent.KEY_VALUE_BACK, key=self._key)
        else:
            code = KeyValueUnavailable.code
            self._log.write(LogEvent.KEY_VALUE_LOST, key=self._key, code=code)
