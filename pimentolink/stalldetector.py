"""Detects that this process did not run for a while, so that its state is stale."""

from __future__ import annotations

from collections.abc import Callable

from pimentolink.logs import Log, LogEvent
from pimentolink.timers import Repeater, Timers

# Seconds between two checks.
CHECK_INTERVAL = 0.1
# Minimum lateness of a check, in seconds, that counts as a stall; a busy event loop is
# late by some tens of milliseconds.
MIN_STALL = 0.5


class StallDetector:
    """
    Detects stalls by comparing the time between checks with the intended interval.

    The monotonic clock advances while a process is stopped, but not while its instance
    is suspended; the boot clock advances in both cases.
    """

    def __init__(
        self, timers: Timers, log: Log, on_stall: Callable[[], object]
    ) -> None:
        """
        Create the detector; :meth:`start` begins the checks.

        :param timers: the timer service.
        :param log: receives log events.
        :param on_stall: called after each stall.
        """
        self._timers = timers
        self._log = log
        self._on_stall = on_stall
        self._last_times = (timers.now(), timers.boot_time())
        self._repeater: Repeater | None = None

    def start(self) -> None:
        """Start periodic checks."""
        self._last_times = (self._timers.now(), self._timers.boot_time())
        self._repeater = Repeater(self._timers, CHECK_INTERVAL, self._check)

    def stop(self) -> None:
        """Stop the checks."""
        if self._repeater is not None:
            self._repeater.cancel()

    def _check(self) -> None:
        now, boot = self._timers.now(), self._timers.boot_time()
        elapsed = max(now - self._last_times[0], boot - self._last_times[1])
        self._last_times = (now, boot)
        stall_seconds = elapsed - CHECK_INTERVAL
        if stall_seconds < MIN_STALL:
            return
        self._log.write(LogEvent.FROZEN, seconds=round(stall_seconds, 3))
        self._on_stall()
