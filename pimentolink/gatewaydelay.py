"""Learns what readings take beyond their engine's time, for reasons of this gateway."""

from __future__ import annotations

from pimentolink.decayingrate import DecayingRate

# Seconds after which what was learned counts for a third, with readings or without. It
# is forgotten as fast as bursts end: a gateway that turned prompts away for its own
# delay would otherwise learn of nothing that could show that the delay is over.
HORIZON = 1.0
# Readings without delay that are taken to have ended beside those that did, so that one
# that hung does not stand for all.
PRIOR = 2.0


class GatewayDelay:
    """
    The mean of what readings took beyond what was predicted, over the last moments.

    Load pattern: gateways of very different processors and links before the same
    engines. What a busy gateway adds was taken for time of the engines by all, and each
    turned prompts away beside engines that were idle.
    """

    def __init__(self) -> None:
        """Start without delay."""
        self._seconds = DecayingRate(HORIZON)
        self._readings = DecayingRate(HORIZON)

    def learn(self, seconds: float, now: float) -> None:
        """
        Learn from a reading of this gateway.

        :param seconds: that it took beyond its engine's time and the way there; below
            zero if it took less.
        """
        self._seconds.add(seconds, now)
        self._readings.add(1, now)

    def seconds(self, now: float) -> float:
        """Predict what the next reading takes beyond its engine's time."""
        readings = self._readings.value(now) + PRIOR / HORIZON
        return max(0.0, self._seconds.value(now) / readings)
