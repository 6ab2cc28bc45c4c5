"""Learns how long engines take to read prompts, from readings that ended."""

from __future__ import annotations

# Share of what was learned that one more reading leaves; the last 50 or so decide, a
# fraction of a second under load, and the two figures of a line need a few dozen.
MEMORY = 0.98
# Readings without which nothing is known: fewer cannot tell fixed time from rate.
MIN_SAMPLES = 4
# What they count for by the time the last of them has ended, at least.
MIN_COUNT = MIN_SAMPLES * MEMORY**MIN_SAMPLES
# Weight of a reading that took longer than predicted, against one that did not. What a
# gateway's own link and processor add makes readings look longer, never shorter; with
# equal weights, engines looked 4 times as slow as they were while gateways' links were
# full, and nine of ten prompts were turned away beside idle engines.
LONGER_WEIGHT = 0.25
# Spread of prompt lengths, against their mean, below which fixed time and rate cannot
# be told apart.
MIN_SPREAD = 0.1
# Weight of one reading in what is learned of a single engine and of copies; the last
# ten or so decide, so that an engine that turned slow is known within a second.
SMOOTHING = 0.12
# How much slower or faster than the others one engine is believed to be at most.
MAX_SLOWNESS = 10.0
MIN_SLOWNESS = 0.25
# A single reading is believed to take this many times what was predicted at most, so
# that one that hung does not stand for all.
MAX_SURPRISE = 4.0


class PrefillCost:
    """
    Time of a reading as a fixed part and a part for each token.

    Load pattern: engines whose speed nobody states. With a constant of 30 ms for the
    fixed part where a reading takes 1 ms, engines stand idle at 0.2 to 0.3 of their
    rate while prompts are turned away.
    """

    def __init__(self) -> None:
        """Start without knowledge."""
        # Whether enough readings were timed to predict others.
        self.is_known = False
        self._samples = 0.0
        self._count = 0.0
        self._tokens = 0.0
        self._seconds = 0.0
        self._tokens_squared = 0.0
        self._products = 0.0
        self._fixed = 0.0
        self._per_token = 0.0

    def learn(self, tokens: int, seconds: float) -> None:
        """
        Learn from a reading that came to its end.

        :param tokens: that were read.
        :param seconds: for which it kept the engine busy.
        """
        weight = 1.0
        if self.is_known:
            predicted = self.seconds(tokens)
            seconds = min(seconds, MAX_SURPRISE * predicted)
            weight = LONGER_WEIGHT if seconds > predicted else 1.0
        self._samples = MEMORY * self._samples + 1
        self.is_known = self._samples >= MIN_COUNT
        self._count = MEMORY * self._count + weight
        self._tokens = MEMORY * self._tokens + weight * tokens
        self._seconds = MEMORY * self._seconds + weight * seconds
        self._tokens_squared = MEMORY * self._tokens_squared + weight * tokens**2
        self._products = MEMORY * self._products + weight * tokens * seconds
        self._fit()

    def _fit(self) -> None:
        """Draw the line through what was learned; neither figure is below zero."""
        mean_tokens = self._tokens / self._count
        mean_seconds = self._seconds / self._count
        variance = self._tokens_squared / self._count - mean_tokens**2
        per_token = mean_seconds / max(1.0, mean_tokens)
        fixed = 0.0
        if variance > (MIN_SPREAD * mean_tokens) ** 2:
            covariance = self._products / self._count - mean_tokens * mean_seconds
            slope = max(0.0, covariance / variance)
            fixed = mean_seconds - slope * mean_tokens
            if fixed >= 0:
                per_token = slope
            else:
                fixed = 0.0
        self._fixed, self._per_token = fixed, per_token

    def seconds(self, tokens: int) -> float:
        """Predict how long a reading takes; 0 while nothing is known."""
        return self._fixed + self._per_token * tokens


class ServiceCosts:
    """What is learned of the engines of one service, by their role."""

    def __init__(self, first_rate: float, writer_share: float) -> None:
        """
        Start without knowledge.

        :param first_rate: prompt tokens a second until readings were timed.
        :param writer_share: of a reader's rate that a writer has until its own
            readings were timed.
        """
        self._first_rate = first_rate
        self._writer_share = writer_share
        self._readers = PrefillCost()
        self._writers = PrefillCost()
        # How much longer than predicted readings of each role take at all engines; what
        # they have in common is no slowness of one.
        self._usual_reader = Slowness(1 - MEMORY, LONGER_WEIGHT)
        self._usual_writer = Slowness(1 - MEMORY, LONGER_WEIGHT)
        # Seconds that fetching parts takes besides their tokens.
        self.copy_overhead = 0.0

    def of_role(self, is_decode_engine: bool) -> PrefillCost:
        """Tell what is learned of one role."""
        return self._writers if is_decode_engine else self._readers

    def is_known(self, is_decode_engine: bool) -> bool:
        """Tell whether predictions for a role rest on readings that were timed."""
        return self._readers.is_known or self.of_role(is_decode_engine).is_known

    def seconds(self, tokens: int, is_decode_engine: bool) -> float:
        """Predict how long a reading takes at a usual engine of a role."""
        cost = self.of_role(is_decode_engine)
        if cost.is_known:
            return cost.seconds(tokens)
        share = self._writer_share if is_decode_engine else 1.0
        if self._readers.is_known:
            return self._readers.seconds(tokens) / share
        return tokens / (self._first_rate * share)

    def usual(self, is_decode_engine: bool) -> Slowness:
        """Tell how long readings of a role take against predictions, over engines."""
        return self._usual_writer if is_decode_engine else self._usual_reader

    def learn_copy(self, seconds: float) -> None:
        """Learn what a fetch took besides its tokens."""
        self.copy_overhead += SMOOTHING * (max(0.0, seconds) - self.copy_overhead)


class Slowness:
    """
    How much slower one engine is than others of its role.

    It compares sums of seconds, so that short readings, whose times scatter most,
    count for little.
    """

    def __init__(
        self, smoothing: float = SMOOTHING, longer_weight: float = 1.0
    ) -> None:
        """
        Take the engine for a usual one.

        :param smoothing: weight of one reading.
        :param longer_weight: of what a reading took beyond what others did.
        """
        self._smoothing = smoothing
        self._longer_weight = longer_weight
        self._predicted = 0.0
        self._took = 0.0
        self.factor = 1.0

    def learn(self, predicted: float, took: float) -> None:
        """
        Learn from a reading that came to its end.

        :param predicted: seconds that a usual engine takes.
        :param took: seconds.
        """
        if predicted <= 0:
            return
        took = min(took, MAX_SLOWNESS * predicted)
        beyond = max(0.0, took - self.factor * predicted)
        took -= (1 - self._longer_weight) * beyond
        if not self._predicted:
            # An engine is a usual one until some readings say otherwise.
            self._predicted = self._took = predicted / self._smoothing
        self._predicted += predicted - self._smoothing * self._predicted
        self._took += took - self._smoothing * self._took
        self.factor = max(MIN_SLOWNESS, self._took / self._predicted)
