"""Estimates the delay that this gateway itself adds to prefills."""

from __future__ import annotations

from pimentolink.decayingrate import DecayingRate

# Seconds after which the weight of a sample has decayed to about a third, whether or
# not new samples arrive; bursts end within about this time. The estimate has to decay
# by itself: a gateway that rejects prompts because of its own delay gets no new samples
# that could show that the delay is over.
TIME_CONSTANT = 1.0
# Number of additional samples without delay that are assumed in the mean, so that a
# single prefill that got stuck does not dominate it.
PRIOR_SAMPLES = 2.0


class GatewayDelay:
    """
    Decaying mean of the time that prefills took beyond their prediction.

    This excess is attributed to the gateway itself, since gateways whose processors and
    links differ widely share the same engines. When the delay of a busy gateway was
    attributed to the engines, all gateways considered the engines slow and rejected
    prompts while the engines were idle.
    """

    def __init__(self) -> None:
        """Start with an estimate of 0."""
        self._excess_rate = DecayingRate(TIME_CONSTANT)
        self._sample_rate = DecayingRate(TIME_CONSTANT)

    def learn(self, seconds: float, now: float) -> None:
        """
        Update the estimate with a completed prefill of this gateway.

        :param seconds: time beyond the predicted transmission and engine time;
            negative if the prefill was faster than predicted.
        :param now: seconds of the timer service.
        """
        self._excess_rate.add(seconds, now)
        self._sample_rate.add(1, now)

    def seconds(self, now: float) -> float:
        """
        Predict the delay that this gateway adds to the next prefill.

        :param now: seconds of the timer service.
        :returns: seconds.
        """
        sample_rate = self._sample_rate.value(now) + PRIOR_SAMPLES / TIME_CONSTANT
        return max(0.0, self._excess_rate.value(now) / sample_rate)
