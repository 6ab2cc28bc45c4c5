"""Remembers which incarnations of targets ended, across a restore of the store."""

from __future__ import annotations

from typing import NamedTuple

from pimentolink.targetestimate import Target

# Seconds for which an ended incarnation is remembered; in a restored store, the entries
# of targets that ended lapse after a few missed heartbeats.
ENDED_TTL = 30.0


class _Known(NamedTuple):
    """
    What was last known of an incarnation of a target.

    :ivar epoch: of the store from which it was read.
    :ivar ended_at: in seconds of the timer service; ``None`` while it is leaving.
    """

    epoch: int
    ended_at: float | None


class EndedTargets:
    """
    Detects entries of a restored store that are older than what is already known.

    A restored copy of the store may still list a target whose shutdown or end this
    gateway has seen; such a target must get no work.
    """

    def __init__(self) -> None:
        """Start without targets."""
        self._known_by_incarnation: dict[tuple[str, int], _Known] = {}

    def mark_leaving(self, target: Target, epoch: int) -> None:
        """Record that a target announced its shutdown."""
        self._known_by_incarnation[(target.target_id, target.born)] = _Known(
            epoch, None
        )

    def mark_ended(self, target: Target, epoch: int, now: float) -> None:
        """Record that a target is no longer listed."""
        self._known_by_incarnation[(target.target_id, target.born)] = _Known(epoch, now)
        self._expire(now)

    def mark_listed(self, target: Target) -> None:
        """Record that a target is listed again, so that it had not ended."""
        incarnation = (target.target_id, target.born)
        known = self._known_by_incarnation.get(incarnation)
        if known is not None and known.ended_at is not None:
            del self._known_by_incarnation[incarnation]

    def is_outdated(self, target: Target, epoch: int, now: float) -> bool:
        """
        Tell whether an entry is older than what is known of its incarnation.

        :param epoch: of the store that lists the entry.
        """
        known = self._known_by_incarnation.get((target.target_id, target.born))
        if known is None or epoch <= known.epoch:
            return False
        if known.ended_at is None:
            return not target.is_leaving
        return now - known.ended_at < ENDED_TTL

    def _expire(self, now: float) -> None:
        for incarnation, known in list(self._known_by_incarnation.items()):
            if known.ended_at is not None and now - known.ended_at >= ENDED_TTL:
                del self._known_by_incarnation[incarnation]
