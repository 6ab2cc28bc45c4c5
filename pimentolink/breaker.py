"""Circuit breaker for calls to the key-value service."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import TypeVar

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure as TwistedFailure

from pimentolink.errors import KeyValueUnavailable
from pimentolink.kvstore import KeyValueStore, Value
from pimentolink.retry import Backoff
from pimentolink.settings import PlatformSettings
from pimentolink.timers import Timers

Answered = TypeVar("Answered")


class BreakerStore:
    """
    Key-value store client that fails fast while the service is unavailable.

    The breaker opens after a number of consecutive failures and then refuses calls
    immediately. After an exponential backoff delay it lets a single trial call through,
    which closes the breaker if it succeeds and starts the next delay if it fails. This
    spares callers timeouts during an outage and avoids a thundering herd when the
    service recovers.
    """

    def __init__(
        self,
        store: KeyValueStore,
        settings: PlatformSettings,
        timers: Timers,
        random: Random,
    ) -> None:
        """
        Start with the breaker closed.

        :param store: client of the service, to which calls are passed.
        :param settings: number of consecutive failures that open the breaker, and
            limits of the backoff delay.
        :param timers: the timer service.
        :param random: seeded random number generator for jitter.
        """
        self._store = store
        self._max_failures = settings.breaker_failures
        self._backoff = Backoff(settings.backoff_first, settings.backoff_most, random)
        self._timers = timers
        self._failures = 0
        self._next_trial_at = 0.0
        self._is_trial_running = False

    @property
    def is_open(self) -> bool:
        """Whether the breaker is open, which means that the service is unavailable."""
        return self._failures >= self._max_failures

    def get(self, key: str) -> Deferred[Value]:
        """Read a key."""
        return self._guard(lambda: self._store.get(key))

    def watch(self, key: str, index: int, wait: float) -> Deferred[Value]:
        """
        Read a key once it has changed.

        Bypasses the breaker, since watchers apply their own backoff.
        """
        return self._store.watch(key, index, wait)

    def compare_and_swap(
        self, key: str, data: bytes, revision: int
    ) -> Deferred[int | None]:
        """Write a key if it still has ``revision``."""
        return self._guard(lambda: self._store.compare_and_swap(key, data, revision))

    def hold_lease(self, key: str, holder: str, seconds: float) -> Deferred[bool]:
        """Take or renew a lease."""
        return self._guard(lambda: self._store.hold_lease(key, holder, seconds))

    def _guard(self, call: Callable[[], Deferred[Answered]]) -> Deferred[Answered]:
        if self.is_open and (
            self._is_trial_running or self._timers.now() < self._next_trial_at
        ):
            refused: Deferred[Answered] = Deferred()
            refused.errback(KeyValueUnavailable("not asked: it did not answer before"))
            return refused
        self._is_trial_running = self.is_open
        return call().addCallbacks(self._on_success, self._on_failure)

    def _on_success(self, value: Answered) -> Answered:
        self._failures = 0
        self._is_trial_running = False
        self._backoff.reset()
        return value

    def _on_failure(self, failure: TwistedFailure) -> TwistedFailure:
        self._failures += 1
        self._is_trial_running = False
        if self.is_open:
            self._next_trial_at = self._timers.now() + self._backoff.next()
        return failure
