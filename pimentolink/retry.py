"""When an attempt is repeated, and after how long."""

from __future__ import annotations

from random import Random

from pimentolink.settings import RetrySettings


class RetryBudget:
    """
    Bounds retries to a share of requests, so that a failing fleet is not flooded.

    Each request earns a fraction of a retry; a reserve lets a quiet entry retry too.
    """

    def __init__(self, settings: RetrySettings) -> None:
        """
        Start with the whole reserve.

        :param settings: ratio and reserve.
        """
        self._settings = settings
        self._balance = float(settings.budget_reserve)

    def earn(self) -> None:
        """Count one request."""
        most = float(self._settings.budget_reserve)
        self._balance = min(most, self._balance + self._settings.budget_ratio)

    def spend(self) -> bool:
        """
        Ask for one retry.

        :returns: whether it is granted.
        """
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True


class Backoff:
    """Growing pauses with full jitter."""

    def __init__(self, first: float, most: float, random: Random) -> None:
        """
        Start at the shortest pause.

        :param first: seconds of the first pause, at most.
        :param most: seconds of any pause, at most.
        :param random: seeded source.
        """
        self._first = first
        self._most = most
        self._random = random
        self._failures = 0

    def next(self) -> float:
        """
        Count a failure.

        :returns: seconds to wait.
        """
        ceiling = min(self._most, self._first * 2**self._failures)
        self._failures = min(self._failures + 1, 30)
        return self._random.uniform(ceiling / 2, ceiling)

    def reset(self) -> None:
        """Count a success."""
        self._failures = 0
