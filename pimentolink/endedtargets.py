"""Remembers which lives of targets ended, across a restore of the store."""

from __future__ import annotations

from typing import NamedTuple

from pimentolink.targetestimate import Target

# Seconds for which an ended life is remembered; entries of targets that ended lapse
# in the restored store within a few heartbeats.
KEEP = 30.0


class _Known(NamedTuple):
    """
    What was last known of a life.

    :ivar epoch: of the store that told it.
    :ivar ended_at: seconds of the timer service; ``None`` while it is leaving.
    """

    epoch: int
    ended_at: float | None


class EndedTargets:
    """
    Tells entries of a restored store that are older than what was known before.

    Guards that a target whose leaving or end was acknowledged gets no work because an
    older copy of the store still lists it.
    """

    def __init__(self) -> None:
        """Start with nothing known."""
        self._known_by_life: dict[tuple[str, int], _Known] = {}

    def leaving(self, target: Target, epoch: int) -> None:
        """Learn that a target is leaving."""
        self._known_by_life[(target.target_id, target.born)] = _Known(epoch, None)

    def ended(self, target: Target, epoch: int, now: float) -> None:
        """Learn that a target is no longer listed."""
        self._known_by_life[(target.target_id, target.born)] = _Known(epoch, now)
        self._expire(now)

    def is_outdated(self, target: Target, epoch: int, now: float) -> bool:
        """
        Tell whether an entry is from before what is known of its life.

        :param epoch: of the store that tells the entry.
        """
        known = self._known_by_life.get((target.target_id, target.born))
        if known is None or epoch <= known.epoch:
            return False
        if known.ended_at is None:
            return not target.is_leaving
        return now - known.ended_at < KEEP

    def _expire(self, now: float) -> None:
        for life, known in list(self._known_by_life.items()):
            if known.ended_at is not None and now - known.ended_at >= KEEP:
                del self._known_by_life[life]
