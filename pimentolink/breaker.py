"""A circuit breaker before the key-value service."""

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
    Passes calls on while the service answers, and refuses them at once while not.

    After failures in a row it opens; once a growing pause is over it lets a single
    call through, whose outcome closes it or begins the next pause. So an outage costs
    its callers no time-outs, and the service no stampede when it is back.
    """

    def __init__(
        self,
        store: KeyValueStore,
        settings: PlatformSettings,
        timers: Timers,
        random: Random,
    ) -> None:
        """
        Start closed.

        :param store: the service.
        :param settings: failures in a row that open it, and pauses.
        :param timers: the timer service.
        :param random: seeded source for jitter.
        """
        self._store = store
        self._max_failures = settings.breaker_failures
        self._backoff = Backoff(settings.backoff_first, settings.backoff_most, random)
        self._timers = timers
        self._failures = 0
        self._closed_at = 0.0
        self._is_trying = False

    @property
    def is_open(self) -> bool:
        """Whether the service counts as down."""
        return self._failures >= self._max_failures

    def get(self, key: str) -> Deferred[Value]:
        """Read a key."""
        return self._guard(lambda: self._store.get(key))

    def watch(self, key: str, index: int, wait: float) -> Deferred[Value]:
        """Read a key once it has changed; what watches pauses by itself."""
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
        if self.is_open and (self._is_trying or self._timers.now() < self._closed_at):
            refused: Deferred[Answered] = Deferred()
            refused.errback(KeyValueUnavailable("not asked: it did not answer before"))
            return refused
        self._is_trying = self.is_open
        return call().addCallbacks(self._answered, self._failed)

    def _answered(self, value: Answered) -> Answered:
        self._failures = 0
        self._is_trying = False
        self._backoff.reset()
        return value

    def _failed(self, failure: TwistedFailure) -> TwistedFailure:
        self._failures += 1
        self._is_trying = False
        if self.is_open:
            self._closed_at = self._timers.now() + self._backoff.next()
        return failure
