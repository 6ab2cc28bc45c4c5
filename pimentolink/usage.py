"""Counts the requests that started to run, by organisation and time window."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from typing import NamedTuple

# Windows kept before the newest one. Usage that has not been reported by then is past
# its deadline.
MAX_WINDOWS = 8

Counts = dict[str, int]


class WindowTotals(NamedTuple):
    """
    Requests that one gateway process counted in one window.

    :ivar life: identity of the process; a restarted gateway has a new one.
    :ivar window: number of the window.
    :ivar counts: requests that started to run, by organisation.
    """

    life: str
    window: int
    counts: Counts


class UsageCounters:
    """
    Usage counters of all gateway processes, by window.

    A counter is written by one process only and never decreases. Merging keeps the
    maximum, so totals may arrive late, repeatedly and out of order.
    """

    def __init__(self) -> None:
        """Create empty counters."""
        self._counts_by_window: dict[int, dict[str, Counts]] = {}

    def add(self, life: str, window: int, organisation: str) -> None:
        """Count one request that started to run."""
        counts = self._counts(life, window)
        counts[organisation] = counts.get(organisation, 0) + 1

    def merge(self, totals: WindowTotals) -> None:
        """Merge totals, some or all of which may be known already."""
        counts = self._counts(totals.life, totals.window)
        for organisation, count in totals.counts.items():
            counts[organisation] = max(count, counts.get(organisation, 0))

    def totals(self, window: int) -> Counts:
        """Return the counts of a window, summed over all gateway processes."""
        sums: Counts = {}
        for counts in self._counts_by_window.get(window, {}).values():
            for organisation, count in counts.items():
                sums[organisation] = sums.get(organisation, 0) + count
        return dict(sorted(sums.items()))

    def all_totals(self, windows: Iterable[int]) -> Iterator[WindowTotals]:
        """Yield the totals of each gateway process in each of the given windows."""
        for window in windows:
            for life, counts in self._counts_by_window.get(window, {}).items():
                yield WindowTotals(life, window, dict(counts))

    def windows(self) -> list[int]:
        """List the windows that have any counts, oldest first."""
        return sorted(self._counts_by_window)

    def forget_before(self, window: int) -> None:
        """Drop windows that were reported or are too old to be reported."""
        for old in [old for old in self._counts_by_window if old < window]:
            del self._counts_by_window[old]

    def _counts(self, life: str, window: int) -> Counts:
        return self._counts_by_window.setdefault(window, {}).setdefault(life, {})


def changed_counts(sent: Mapping[str, int], counts: Counts) -> Counts:
    """Return the totals that differ from those sent last."""
    return {name: count for name, count in counts.items() if sent.get(name) != count}
