"""How long ago the configuration in force was known to be the newest."""

from __future__ import annotations

from pimentolink.logs import Log, LogEvent
from pimentolink.timers import Timers

# Seconds by which clocks of two instances may differ over the bound.
CLOCK_MARGIN = 0.1
# Seconds after a restore within which operators and targets have written again what
# they wrote since the copy.
REWRITE_TIME = 2.0


class ConfigurationAge:
    """
    Tells whether a revoked API key can still be taken for valid here.

    The age counts from the sending of the last question whose answer showed that the
    configuration in force was the newest, on the clock that goes on while the instance
    is suspended. It grows while nothing is heard, whatever the reason.
    """

    def __init__(self, bound: float | None, timers: Timers, log: Log) -> None:
        """
        Begin with a configuration of which nothing is known.

        :param bound: seconds after which it no longer counts as current; ``None`` if
            it always does.
        :param timers: the timer service.
        :param log: where changes go.
        """
        self._bound = bound - CLOCK_MARGIN if bound is not None else None
        self._timers = timers
        self._log = log
        self._proven_at: float | None = None
        self._epoch: int | None = None
        self._not_before = 0.0
        self._is_readable = True
        self._was_current = False

    def clock(self) -> float:
        """Read the clock on which :meth:`proven` expects its moment, in seconds."""
        return self._timers.boot_time()

    def proven(self, asked_at: float, epoch: int) -> None:
        """
        Learn that the configuration in force is the newest that the store has.

        In a new epoch that proves nothing until operators had the time to write again
        what the store lost.

        :param asked_at: when the question was sent whose answer shows it; see
            :meth:`clock`.
        :param epoch: of the store.
        """
        if self._epoch is not None and epoch < self._epoch:
            return
        if self._epoch is not None and epoch > self._epoch:
            self._not_before = self.clock() + REWRITE_TIME
        self._epoch = epoch
        if not self._is_readable or asked_at < self._not_before:
            return
        if self._proven_at is None or asked_at > self._proven_at:
            self._proven_at = asked_at
        self.look()

    def read(self, is_readable: bool) -> None:
        """
        Learn whether the newest configuration could be read.

        One that cannot be read may take keys away, so nothing proves the one in force
        until the next that can.
        """
        self._is_readable = is_readable

    @property
    def epoch(self) -> int:
        """The newest epoch of the store that is known."""
        return self._epoch or 0

    def age(self) -> float | None:
        """Tell the age in seconds; ``None`` before the first proof."""
        if self._proven_at is None:
            return None
        return max(0.0, self.clock() - self._proven_at)

    def is_current(self) -> bool:
        """Tell whether requests with API keys may be served."""
        if self._bound is None:
            return True
        age = self.age()
        return age is not None and age < self._bound

    def look(self) -> None:
        """Log a change of :meth:`is_current`."""
        is_current = self.is_current()
        if is_current is self._was_current:
            return
        self._was_current = is_current
        age = self.age()
        self._log.write(
            LogEvent.KEYS_TRUSTED if is_current else LogEvent.KEYS_DISTRUSTED,
            age=None if age is None else round(age, 3),
            bound=self._bound,
        )
