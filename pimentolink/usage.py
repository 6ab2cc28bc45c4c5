"""Counts the requests of each organisation that began to run, by window of time."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from typing import NamedTuple

# Windows before the newest that are kept; what was not reported by then is late.
MAX_WINDOWS = 8

Counts = dict[str, int]


class WindowTotals(NamedTuple):
    """
    What one life of a gateway counted in one window.

    :ivar counts: requests that began to run, by organisation.
    """

    life: str
    window: int
    counts: Counts


class UsageBook:
    """
    Totals of all gateways.

    Totals only grow, so they may be told again, late and out of order.
    """

    def __init__(self) -> None:
        """Start empty."""
        self._counts_by_life: dict[int, dict[str, Counts]] = {}

    def add(self, life: str, window: int, organisation: str) -> None:
        """Count one request."""
        counts = self._counts(life, window)
        counts[organisation] = counts.get(organisation, 0) + 1

    def take(self, totals: WindowTotals) -> None:
        """Learn totals, some of which may be known."""
        counts = self._counts(totals.life, totals.window)
        for organisation, count in totals.counts.items():
            counts[organisation] = max(count, counts.get(organisation, 0))

    def totals(self, window: int) -> Counts:
        """Add up what all gateways counted in a window."""
        added: Counts = {}
        for counts in self._counts_by_life.get(window, {}).values():
            for organisation, count in counts.items():
                added[organisation] = added.get(organisation, 0) + count
        return dict(sorted(added.items()))

    def all_totals(self, windows: Iterable[int]) -> Iterator[WindowTotals]:
        """List what is known of some windows, by life."""
        for window in windows:
            for life, counts in self._counts_by_life.get(window, {}).items():
                yield WindowTotals(life, window, dict(counts))

    def windows(self) -> list[int]:
        """List the windows in which anything was counted, the oldest first."""
        return sorted(self._counts_by_life)

    def forget_before(self, window: int) -> None:
        """Drop windows that are reported, or too old to be."""
        for known in [known for known in self._counts_by_life if known < window]:
            del self._counts_by_life[known]

    def _counts(self, life: str, window: int) -> Counts:
        return self._counts_by_life.setdefault(window, {}).setdefault(life, {})


def changed_counts(told: Mapping[str, int], counts: Counts) -> Counts:
    """List the totals that were not told yet."""
    return {name: count for name, count in counts.items() if told.get(name) != count}
