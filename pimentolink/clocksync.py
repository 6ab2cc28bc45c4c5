"""Estimates the time of day from the wall clocks of all gateways."""

from __future__ import annotations

from statistics import median

from pimentolink.timers import Timers

# Seconds between two reports of the own clock, and the time for which a report of
# another gateway is used; several in a row may be lost.
REPORT_INTERVAL = 5.0
SAMPLE_LIFETIME = 30.0


class SynchronizedClock:
    """
    Estimates the time of day from the wall clocks of all gateways.

    Wall clocks of some instances may jump by seconds. The boot clock does not, so each
    gateway's wall clock is stored as its offset from the local boot clock, and the
    median offset is used. A minority of clocks that have jumped, the own included,
    shifts the median no further than the other clocks differ.
    """

    def __init__(self, timers: Timers) -> None:
        """
        Start with the own clock only.

        :param timers: the timer service.
        """
        self._timers = timers
        self._samples_by_life: dict[str, tuple[float, float]] = {}

    def add_sample(self, life: str, wall_time: float) -> None:
        """
        Record the time of another gateway's wall clock.

        :param life: identifies its process.
        :param wall_time: seconds since 1970, as of now.
        """
        boot = self._timers.boot_time()
        self._samples_by_life[life] = (boot, wall_time - boot)

    def now(self) -> float:
        """Estimate the time of day, in seconds since 1970."""
        boot = self._timers.boot_time()
        for life, (sampled_at, _) in list(self._samples_by_life.items()):
            if boot - sampled_at > SAMPLE_LIFETIME:
                del self._samples_by_life[life]
        offsets = [offset for _, offset in self._samples_by_life.values()]
        own_offset = self._timers.wall_time() - boot
        return boot + median([own_offset, *offsets])
