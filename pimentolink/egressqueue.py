"""Predicts how long bytes take to leave this instance over its own link."""

from __future__ import annotations

from pimentolink.timers import Timers

# Bits of a byte and of a megabit, to tell a link's rate in bytes a second.
BYTE = 8
MEGABIT = 1_000_000


class EgressQueue:
    """
    The queue of bytes that this instance has written and that are still leaving it.

    Load pattern: instances with links of very different rates before the same engines.
    A prompt of 9 KB takes 15 ms over a link of 5 Mbit/s and 0.4 ms over one of
    200 Mbit/s. Counted as time of the engine, it made engines look three times as slow
    as they were, and prompts were turned away while engines stood idle.
    """

    def __init__(self, megabits: float, timers: Timers) -> None:
        """
        Start with nothing written.

        :param megabits: a second that the link carries; 0 if it is not known, which
            counts as a link without bound.
        :param timers: the timer service.
        """
        self._seconds_per_byte = BYTE / (megabits * MEGABIT) if megabits else 0.0
        self._timers = timers
        self._free_at = 0.0

    def sent(self, size: int) -> None:
        """Count bytes that were written just now, to whomever."""
        begins_at = max(self._free_at, self._timers.now())
        self._free_at = begins_at + size * self._seconds_per_byte

    def delay(self, size: int) -> float:
        """
        Predict when the last of some bytes has left if they are written now.

        :param size: of what would be written, in bytes.
        :returns: seconds from now.
        """
        queued = max(0.0, self._free_at - self._timers.now())
        return queued + size * self._seconds_per_byte
