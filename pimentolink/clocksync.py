"""Agrees with other gateways on the time of day."""

from __future__ import annotations

from statistics import median

from pimentolink.timers import Timers

# Seconds between two tellings of the own clock, and how long one is believed; several
# in a row may be lost.
TELL_INTERVAL = 5.0
KEEP = 30.0


class SynchronizedClock:
    """
    Estimates the time of day from the clocks of all gateways.

    Wall clocks of some instances may jump by seconds. The boot clock does not, so each
    gateway's wall clock is kept as its distance from the boot clock here, and the
    median of these is taken: a minority that has jumped, this one included, moves it no
    further than the others differ.
    """

    def __init__(self, timers: Timers) -> None:
        """
        Start with the own clock.

        :param timers: the timer service.
        """
        self._timers = timers
        self._samples_by_life: dict[str, tuple[float, float]] = {}

    def told(self, life: str, wall_time: float) -> None:
        """
        Learn what another gateway's wall clock shows.

        :param life: of its process.
        :param wall_time: seconds since 1970, as of now.
        """
        boot = self._timers.boot_time()
        self._samples_by_life[life] = (boot, wall_time - boot)

    def now(self) -> float:
        """Estimate the time of day, in seconds since 1970."""
        boot = self._timers.boot_time()
        for life, (told_at, _) in list(self._samples_by_life.items()):
            if boot - told_at > KEEP:
                del self._samples_by_life[life]
        distances = [distance for _, distance in self._samples_by_life.values()]
        own = self._timers.wall_time() - boot
        return boot + median([own, *distances])
