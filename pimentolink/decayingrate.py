"""A rate over the last moments."""

from __future__ import annotations

import math


class DecayingRate:
    """Amounts a second, of which older ones count less and less."""

    def __init__(self, horizon: float) -> None:
        """
        Start at 0.

        :param horizon: seconds over which the rate is averaged.
        """
        self._horizon = horizon
        self._sum = 0.0
        self._at = 0.0

    def add(self, amount: float, now: float) -> None:
        """Count an amount."""
        self._decay(now)
        self._sum += amount

    def value(self, now: float) -> float:
        """Tell the rate."""
        self._decay(now)
        return self._sum / self._horizon

    def _decay(self, now: float) -> None:
        self._sum *= math.exp(-max(0.0, now - self._at) / self._horizon)
        self._at = now
