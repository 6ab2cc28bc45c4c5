"""Exponentially decaying rate estimator."""

from __future__ import annotations

import math


class DecayingRate:
    """A rate per second in which the weight of older amounts decays exponentially."""

    def __init__(self, horizon: float) -> None:
        """
        Create an estimator with a rate of 0.

        :param horizon: time constant of the decay, in seconds.
        """
        self._horizon = horizon
        self._sum = 0.0
        self._updated_at = 0.0

    def add(self, amount: float, now: float) -> None:
        """Record an amount."""
        self._decay(now)
        self._sum += amount

    def value(self, now: float) -> float:
        """Return the rate per second."""
        self._decay(now)
        return self._sum / self._horizon

    def _decay(self, now: float) -> None:
        self._sum *= math.exp(-max(0.0, now - self._updated_at) / self._horizon)
        self._updated_at = now
