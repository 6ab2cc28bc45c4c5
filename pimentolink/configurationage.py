"""Tracks when the configuration in force was last verified as the newest."""

from __future__ import annotations

from pimentolink.logs import Log, LogEvent
from pimentolink.timers import Timers

# Seconds by which the clocks of two instances may drift apart within the maximum age.
CLOCK_DRIFT_MARGIN = 0.1
# Seconds after a restore of the store within which operators and targets have rewritten
# what they wrote after the backup was taken.
REWRITE_TIME = 2.0


class ConfigurationAge:
    """
    Tracks the age of the configuration, which bounds the use of revoked API keys.

    The age is the time since the last request was sent whose response verified that the
    configuration in force is the newest. It is measured on the boot clock, which
    advances while the instance is suspended. It grows while no response arrives,
    whatever the reason.
    """

    def __init__(self, max_age: float | None, timers: Timers, log: Log) -> None:
        """
        Start with a configuration that has not been verified.

        :param max_age: age in seconds at which the configuration is no longer current;
            ``None`` if it is always current.
        :param timers: the timer service.
        :param log: records when the configuration becomes current or outdated.
        """
        self._max_age = max_age - CLOCK_DRIFT_MARGIN if max_age is not None else None
        self._timers = timers
        self._log = log
        self._verified_at: float | None = None
        self._epoch: int | None = None
        self._verifiable_from = 0.0
        self._is_readable = True
        self._was_current = False

    def clock(self) -> float:
        """Return seconds of the clock that :meth:`record_verification` expects."""
        return self._timers.boot_time()

    def record_verification(self, requested_at: float, epoch: int) -> None:
        """
        Record that the configuration in force is the newest that the store has.

        A new epoch means that the store was restored from a backup. Requests sent less
        than ``REWRITE_TIME`` after it was noticed verify nothing, since a revocation
        may be missing from the store until operators have rewritten it.

        :param requested_at: when the verifying request was sent; see :meth:`clock`.
        :param epoch: epoch of the store that the response came from.
        """
        if self._epoch is not None and epoch < self._epoch:
            return
        if self._epoch is not None and epoch > self._epoch:
            self._verifiable_from = self.clock() + REWRITE_TIME
        self._epoch = epoch
        if not self._is_readable or requested_at < self._verifiable_from:
            return
        if self._verified_at is None or requested_at > self._verified_at:
            self._verified_at = requested_at
        self.log_transition()

    def set_readable(self, is_readable: bool) -> None:
        """
        Record whether the newest configuration could be parsed.

        A configuration that cannot be parsed may revoke keys, so the one in force
        cannot be verified until the next one that can be parsed.
        """
        self._is_readable = is_readable

    @property
    def epoch(self) -> int:
        """The newest known epoch of the store; 0 if none is known."""
        return self._epoch or 0

    def age(self) -> float | None:
        """Return the age in seconds; ``None`` before the first verification."""
        if self._verified_at is None:
            return None
        return max(0.0, self.clock() - self._verified_at)

    def is_current(self) -> bool:
        """Return whether requests with API keys may be served."""
        if self._max_age is None:
            return True
        age = self.age()
        return age is not None and age < self._max_age

    def log_transition(self) -> None:
        """Log if :meth:`is_current` has changed since the last call."""
        is_current = self.is_current()
        if is_current is self._was_current:
            return
        self._was_current = is_current
        age = self.age()
        self._log.write(
            LogEvent.KEYS_TRUSTED if is_current else LogEvent.KEYS_DISTRUSTED,
            age=None if age is None else round(age, 3),
            bound=self._max_age,
        )
