"""Crashes of targets that count against one request, and its quarantine."""

from __future__ import annotations

from collections import OrderedDict
from typing import Any

# Seconds for which a crash counts against the requests that were in flight; as long
# as the longest lease of the key-value store.
CRASH_TTL = 600.0
# Crashes from which on a request is a suspect and quarantined. A single crash proves
# nothing, since it affects every request in flight at the target.
MIN_SUSPECT_CRASHES = 2
# Seconds for which a suspect is quarantined. Targets that crashed are back by then, so
# that another crash does not take the last one down.
SUSPECT_QUARANTINE = 4.0
# Jitter of quarantines as a share of their length, so that gateways do not all begin
# a trial at the same moment.
QUARANTINE_JITTER = 0.5
# Seconds of quarantine once a trial of the request itself has crashed a target; doubled
# with each further one.
FAILED_TRIAL_QUARANTINE = 60.0


def quarantine_time(crashes: int, failed_trials: int) -> float:
    """
    Compute how long a request is quarantined after crashes of targets.

    :param crashes: crashes at which it was in flight.
    :param failed_trials: those of them that happened during a trial of it.
    :returns: seconds.
    """
    if failed_trials:
        return float(FAILED_TRIAL_QUARANTINE * 2 ** (failed_trials - 1))
    return SUSPECT_QUARANTINE if crashes >= MIN_SUSPECT_CRASHES else 0.0


class CrashHistory:
    """
    The crashes that count against one request.

    :ivar recorded_at_by_target: when this gateway learned of each crash.
    :ivar failed_trials: targets that crashed during a trial of this request.
    :ivar stored: targets whose crash other gateways can read from the store.
    :ivar quarantined_until: when the request may be sent again.
    """

    def __init__(self) -> None:
        """Start without crashes."""
        self.recorded_at_by_target: dict[int, float] = {}
        self.failed_trials: set[int] = set()
        self.stored: set[int] = set()
        self.quarantined_until = 0.0

    def expire(self, now: float) -> None:
        """Remove crashes older than their time to live."""
        begin = now - CRASH_TTL
        old = [key for key, at in self.recorded_at_by_target.items() if at < begin]
        for key in old:
            self.remove(key)

    def remove(self, target: int) -> None:
        """Remove the crash of a target."""
        del self.recorded_at_by_target[target]
        self.failed_trials.discard(target)


def evict_oldest(table: OrderedDict[Any, Any], capacity: int) -> None:
    """Remove the oldest entries of a table beyond its capacity."""
    while len(table) > capacity:
        table.popitem(last=False)
