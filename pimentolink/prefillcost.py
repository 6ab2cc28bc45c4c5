"""Estimates how long engines take to prefill prompts, from completed prefills."""

from __future__ import annotations

# Factor by which each new sample reduces the weight of older ones. The estimate is
# dominated by about the last 50 samples, which arrive within a fraction of a second
# under load; fitting the two parameters of a line takes a few dozen.
DECAY_FACTOR = 0.98
# Minimum number of samples for a prediction; fewer cannot separate the fixed time from
# the time per token.
MIN_SAMPLES = 4
# Lower bound on the decayed weight of that many samples.
MIN_DECAYED_COUNT = MIN_SAMPLES * DECAY_FACTOR**MIN_SAMPLES
# Weight of a prefill that took longer than predicted, relative to one that did not.
# Delays of a gateway's own link and processor make prefills appear longer, never
# shorter. With equal weights, engines appeared 4 times slower than they were while the
# links of gateways were saturated, and nine of ten prompts were rejected while engines
# were idle.
OVERRUN_WEIGHT = 0.25
# Minimum standard deviation of prompt lengths, relative to their mean, to separate the
# fixed time from the time per token.
MIN_LENGTH_VARIATION = 0.1
# Weight of a new sample in the moving averages for a single engine and for copies.
# About the last ten samples dominate, so that an engine that slows down is detected
# within a second.
SMOOTHING = 0.12
# Bounds on the estimated slowness of an engine relative to others of its role.
MAX_SLOWNESS = 10.0
MIN_SLOWNESS = 0.25
# The duration of a prefill is capped at this multiple of its prediction, so that a
# single hung prefill does not dominate the estimate.
MAX_OVERRUN_FACTOR = 4.0


class PrefillCost:
    """
    Duration of a prefill, modelled as a fixed time plus a time per token.

    Load pattern: engines whose speed is not configured. With a constant fixed time of
    30 ms where a prefill takes 1 ms, prompts are rejected while engines run at only 0.2
    to 0.3 of their capacity.
    """

    def __init__(self) -> None:
        """Create a model without samples."""
        # Whether there are enough samples for predictions.
        self.is_known = False
        self._samples = 0.0
        self._count = 0.0
        self._tokens = 0.0
        self._seconds = 0.0
        self._tokens_squared = 0.0
        self._products = 0.0
        self._fixed_seconds = 0.0
        self._seconds_per_token = 0.0

    def learn(self, tokens: int, seconds: float) -> None:
        """
        Update the model with a completed prefill.

        :param tokens: tokens that were computed.
        :param seconds: time for which the prefill kept the engine busy.
        """
        weight = 1.0
        if self.is_known:
            predicted = self.seconds(tokens)
            seconds = min(seconds, MAX_OVERRUN_FACTOR * predicted)
            weight = OVERRUN_WEIGHT if seconds > predicted else 1.0
        self._samples = DECAY_FACTOR * self._samples + 1
        self.is_known = self._samples >= MIN_DECAYED_COUNT
        self._count = DECAY_FACTOR * self._count + weight
        self._tokens = DECAY_FACTOR * self._tokens + weight * tokens
        self._seconds = DECAY_FACTOR * self._seconds + weight * seconds
        self._tokens_squared = DECAY_FACTOR * self._tokens_squared + weight * tokens**2
        self._products = DECAY_FACTOR * self._products + weight * tokens * seconds
        self._fit()

    def _fit(self) -> None:
        """Fit a line by weighted least squares; neither parameter is negative."""
        mean_tokens = self._tokens / self._count
        mean_seconds = self._seconds / self._count
        variance = self._tokens_squared / self._count - mean_tokens**2
        seconds_per_token = mean_seconds / max(1.0, mean_tokens)
        fixed_seconds = 0.0
        if variance > (MIN_LENGTH_VARIATION * mean_tokens) ** 2:
            covariance = self._products / self._count - mean_tokens * mean_seconds
            slope = max(0.0, covariance / variance)
            fixed_seconds = mean_seconds - slope * mean_tokens
            if fixed_seconds >= 0:
                seconds_per_token = slope
            else:
                fixed_seconds = 0.0
        self._fixed_seconds, self._seconds_per_token = fixed_seconds, seconds_per_token

    def seconds(self, tokens: int) -> float:
        """Predict the duration of a prefill; 0 without samples."""
        return self._fixed_seconds + self._seconds_per_token * tokens


class ServiceCosts:
    """Prefill cost models of the engines of one service, by role."""

    def __init__(self, first_rate: float, writer_share: float) -> None:
        """
        Create models without samples.

        :param first_rate: assumed prompt tokens per second until prefills have been
            measured.
        :param writer_share: assumed prefill rate of a decode engine as a fraction of
            that of a prefill engine, until its own prefills have been measured.
        """
        self._first_rate = first_rate
        self._writer_share = writer_share
        self._prefill_role_cost = PrefillCost()
        self._decode_role_cost = PrefillCost()
        # Ratio of measured to predicted prefill time over all engines of each role. A
        # deviation that all engines share is not attributed to a single one.
        self._prefill_baseline = Slowness(1 - DECAY_FACTOR, OVERRUN_WEIGHT)
        self._decode_baseline = Slowness(1 - DECAY_FACTOR, OVERRUN_WEIGHT)
        # Fixed time of a fetch in seconds, besides the time per token.
        self.copy_overhead = 0.0

    def cost_model(self, is_decode_engine: bool) -> PrefillCost:
        """Return the cost model of one role."""
        return self._decode_role_cost if is_decode_engine else self._prefill_role_cost

    def is_known(self, is_decode_engine: bool) -> bool:
        """Return whether predictions for a role are based on measured prefills."""
        return (
            self._prefill_role_cost.is_known
            or self.cost_model(is_decode_engine).is_known
        )

    def seconds(self, tokens: int, is_decode_engine: bool) -> float:
        """Predict the duration of a prefill on a typical engine of a role."""
        cost = self.cost_model(is_decode_engine)
        if cost.is_known:
            return cost.seconds(tokens)
        share = self._writer_share if is_decode_engine else 1.0
        if self._prefill_role_cost.is_known:
            return self._prefill_role_cost.seconds(tokens) / share
        return tokens / (self._first_rate * share)

    def typical_slowness(self, is_decode_engine: bool) -> Slowness:
        """Return the ratio of measured to predicted time over all engines of a role."""
        return self._decode_baseline if is_decode_engine else self._prefill_baseline

    def learn_copy(self, seconds: float) -> None:
        """Update the average fixed time of a fetch."""
        self.copy_overhead += SMOOTHING * (max(0.0, seconds) - self.copy_overhead)


class Slowness:
    """
    Slowness of one engine relative to others of its role.

    The factor is a ratio of summed seconds, so that short prefills, whose durations
    vary most, have little weight.
    """

    def __init__(
        self, smoothing: float = SMOOTHING, excess_weight: float = 1.0
    ) -> None:
        """
        Start with a factor of 1.

        :param smoothing: weight of a new sample.
        :param excess_weight: weight of the time that a prefill took beyond its
            expected duration.
        """
        self._smoothing = smoothing
        self._excess_weight = excess_weight
        self._predicted = 0.0
        self._measured = 0.0
        self.factor = 1.0

    def learn(self, predicted: float, took: float) -> None:
        """
        Update the factor with a completed prefill.

        :param predicted: predicted duration on a typical engine, in seconds.
        :param took: measured duration, in seconds.
        """
        if predicted <= 0:
            return
        took = min(took, MAX_SLOWNESS * predicted)
        excess = max(0.0, took - self.factor * predicted)
        took -= (1 - self._excess_weight) * excess
        if not self._predicted:
            # Start from a factor of 1 with the weight of a full averaging window, so
            # that it takes several samples to move the factor.
            self._predicted = self._measured = predicted / self._smoothing
        self._predicted += predicted - self._smoothing * self._predicted
        self._measured += took - self._smoothing * self._measured
        self.factor = max(MIN_SLOWNESS, self._measured / self._predicted)
