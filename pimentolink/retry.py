"""Retry budget, exponential backoff and adaptive timeouts."""

from __future__ import annotations

from random import Random

from pimentolink.settings import RetrySettings


class RetryBudget:
    """
    Limits retries to a ratio of the requests, so that they do not overload targets.

    Each request adds a fraction of a retry to the balance. The balance starts at the
    reserve and never exceeds it, so that an entry with few requests can retry too.
    """

    def __init__(self, settings: RetrySettings) -> None:
        """
        Start with a balance equal to the reserve.

        :param settings: ratio and reserve of the budget, in retries.
        """
        self._settings = settings
        self._balance = float(settings.budget_reserve)

    def earn(self) -> None:
        """Add the credit of one request to the balance."""
        maximum = float(self._settings.budget_reserve)
        self._balance = min(maximum, self._balance + self._settings.budget_ratio)

    def spend(self) -> bool:
        """
        Spend one retry if the balance allows it.

        :returns: whether the retry is granted.
        """
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True


class Backoff:
    """
    Exponential backoff with equal jitter.

    The upper limit doubles with each failure in a row; the delay is drawn uniformly
    between half that limit and the limit.
    """

    def __init__(self, initial: float, maximum: float, random: Random) -> None:
        """
        Start with no failures.

        :param initial: upper limit of the first delay, in seconds.
        :param maximum: upper limit of any delay, in seconds.
        :param random: seeded random number generator.
        """
        self._initial = initial
        self._maximum = maximum
        self._random = random
        self._failures = 0

    def next(self) -> float:
        """
        Record a failure.

        :returns: seconds to wait before the next attempt.
        """
        ceiling = min(self._maximum, self._initial * 2**self._failures)
        self._failures = min(self._failures + 1, 30)
        return self._random.uniform(ceiling / 2, ceiling)

    def reset(self) -> None:
        """Record a success, which returns to the shortest delay."""
        self._failures = 0


class AdaptiveTimeout:
    """
    Timeout of a call, twice what the previous one took, within limits.

    A call that ends by its timeout doubles it, so a service that has become slow is
    waited for after a few calls; one that responds quickly again is not.

    :ivar seconds: timeout of the next call.
    """

    def __init__(self, least: float, most: float) -> None:
        """
        Start with the shortest timeout.

        :param least: shortest timeout, in seconds.
        :param most: longest timeout, in seconds.
        """
        self._least = least
        self._most = most
        self.seconds = least

    def record(self, took: float) -> None:
        """
        Record a call that has ended.

        :param took: its duration in seconds, also if it failed.
        """
        self.seconds = min(self._most, max(self._least, 2 * took))
