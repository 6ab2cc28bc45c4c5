"""Notices that this process stood still, so that old belief is not acted on."""

from __future__ import annotations

from collections.abc import Callable

from pimentolink.logs import Log, LogEvent
from pimentolink.timers import Repeater, Timers

# Seconds between two looks, and how far off one may be before it counts as a freeze;
# a busy loop is late by some tens of milliseconds.
LOOK_INTERVAL = 0.1
FREEZE = 0.5


class StallDetector:
    """
    Compares clocks at a steady pace.

    The monotonic clock goes on while a process is stopped, but not while its instance
    is suspended; the boot clock goes on in both.
    """

    def __init__(self, timers: Timers, log: Log, on_thaw: Callable[[], object]) -> None:
        """
        Prepare; :meth:`start` begins.

        :param timers: the timer service.
        :param log: where events go.
        :param on_thaw: called after each freeze.
        """
        self._timers = timers
        self._log = log
        self._on_thaw = on_thaw
        self._seen = (timers.now(), timers.boot_time())
        self._repeater: Repeater | None = None

    def start(self) -> None:
        """Look from now on."""
        self._seen = (self._timers.now(), self._timers.boot_time())
        self._repeater = Repeater(self._timers, LOOK_INTERVAL, self._look)

    def stop(self) -> None:
        """Look no more."""
        if self._repeater is not None:
            self._repeater.cancel()

    def _look(self) -> None:
        now, boot = self._timers.now(), self._timers.boot_time()
        passed = max(now - self._seen[0], boot - self._seen[1])
        self._seen = (now, boot)
        stood = passed - LOOK_INTERVAL
        if stood < FREEZE:
            return
        self._log.write(LogEvent.FROZEN, seconds=round(stood, 3))
        self._on_thaw()
