"""Asks the store at a steady pace whether the configuration in force is the newest."""

from __future__ import annotations

from collections.abc import Callable

from twisted.internet.defer import CancelledError, Deferred

from pimentolink.configurationage import ConfigurationAge
from pimentolink.errors import KeyValueUnavailable
from pimentolink.keyspace import Change, Item, Keyspace, epoch_of
from pimentolink.timers import Timers, pause

# Questions within the bound on the age. A question without an answer leaves the time
# for another one, on a new connection, before the configuration counts as outdated.
QUESTIONS = 2.5
# Share of the pause between two questions after which one without an answer is asked
# again.
RETRY_SHARE = 0.15


class ConfigurationProver:
    """
    Reads the configuration's key, which only then proves the one in force current.

    A watch without news proves nothing: one whose connection fell silent, or that the
    store forgot, looks the same.
    """

    def __init__(
        self,
        key: str,
        keyspace: Keyspace,
        age: ConfigurationAge,
        bound: float,
        timers: Timers,
    ) -> None:
        """
        Prepare; :meth:`start` begins.

        :param key: of the configuration.
        :param keyspace: the store.
        :param age: learns what the answers prove.
        :param bound: seconds after which the configuration counts as outdated.
        :param timers: the timer service.
        """
        self._key = key
        self._keyspace = keyspace
        self._age = age
        self._interval = bound / QUESTIONS
        self._timers = timers
        self._revision = 0
        self._running: Deferred[None] | None = None
        self.is_needed: Callable[[], bool] = lambda: True
        self.on_change: Callable[[Change], None] = lambda change: None

    def start(self) -> None:
        """Ask from now on."""
        self._running = Deferred.fromCoroutine(self._run())
        self._running.addErrback(lambda failure: failure.trap(CancelledError))

    def stop(self) -> None:
        """Ask no more."""
        if self._running is not None:
            self._running.cancel()

    def restart(self) -> None:
        """Ask now: this process stood still, or the store was restored."""
        self.stop()
        self.start()

    async def _run(self) -> None:
        while True:
            is_answered = not self.is_needed() or await self._ask()
            self._age.look()
            share = 1.0 if is_answered else RETRY_SHARE
            await pause(self._timers, share * self._interval)

    async def _ask(self) -> bool:
        """
        Ask once.

        :returns: whether there was an answer.
        """
        asked_at = self._age.clock()
        try:
            found = await self._keyspace.read(self._key)
        except KeyValueUnavailable:
            return False
        if found is not None:
            self._take(found)
            self._age.proven(asked_at, epoch_of(found.revision))
        return True

    def _take(self, found: Item) -> None:
        if found.revision != self._revision:
            self._revision = found.revision
            self.on_change(Change(found.key, found.value, found.revision))
