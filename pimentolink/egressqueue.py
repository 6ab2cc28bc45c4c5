"""Predicts how long bytes take to leave this instance over its own link."""

from __future__ import annotations

from pimentolink.timers import Timers

BITS_PER_BYTE = 8
BITS_PER_MEGABIT = 1_000_000


class EgressQueue:
    """
    Model of the bytes that this instance has written but not yet transmitted.

    Load pattern: instances whose links differ widely in rate share the same engines. A
    prompt of 9 KB takes 15 ms over a link of 5 Mbit/s and 0.4 ms over one of
    200 Mbit/s. When this time was attributed to the engine, engines appeared three
    times slower than they were, and prompts were rejected while engines were idle.
    """

    def __init__(self, megabits_per_second: float, timers: Timers) -> None:
        """
        Create an empty queue.

        :param megabits_per_second: link rate in Mbit/s; 0 if unknown, in which case
            the rate is taken as unlimited.
        :param timers: the timer service.
        """
        self._seconds_per_byte = (
            BITS_PER_BYTE / (megabits_per_second * BITS_PER_MEGABIT)
            if megabits_per_second
            else 0.0
        )
        self._timers = timers
        self._free_at = 0.0

    def record_sent(self, size: int) -> None:
        """Record bytes written now, to any destination."""
        begins_at = max(self._free_at, self._timers.now())
        self._free_at = begins_at + size * self._seconds_per_byte

    def delay(self, size: int) -> float:
        """
        Predict how long it takes to transmit data that is written now.

        :param size: size of the data in bytes.
        :returns: seconds until the last byte has left.
        """
        queued = max(0.0, self._free_at - self._timers.now())
        return queued + size * self._seconds_per_byte
