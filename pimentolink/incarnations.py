"""Tells with which incarnation of a target an exchange that was cut off took place."""

from __future__ import annotations

from collections import OrderedDict, deque
from typing import NamedTuple

from pimentolink.crashhistory import evict_oldest
from pimentolink.targetestimate import Target

# Seconds for which the list of targets may still name an incarnation that ended. One
# that it names for longer, and that accepts connections, was wrongly taken as ended.
MAX_LIST_DELAY = 15.0
# Capacities, beyond which the oldest entries are evicted.
MAX_ENDS = 1024
MAX_UNLISTED_TARGETS = 1024
MAX_UNLISTED_PER_TARGET = 1024


class UnlistedExchange(NamedTuple):
    """
    An exchange that an incarnation cut off whose entry has not been read yet.

    :ivar fingerprint: of the request, or one of its traits.
    :ivar opened_at: when its connection began to be opened.
    :ivar is_trial: whether it was a trial of the request.
    :ivar began_at: when the request was sent; ``None`` if it is not known.
    """

    fingerprint: str
    opened_at: float
    broken_at: float
    is_trial: bool
    began_at: float | None = None


class IncarnationTracker:
    """
    Tracks which incarnations of targets ended, and exchanges with later ones.

    A target that restarts accepts connections before every gateway has read its new
    entry. An exchange on a connection that was opened once the listed incarnation was
    known to have ended took place with a later one.
    """

    def __init__(self) -> None:
        """Start without targets."""
        self._end_known_at_by_target: OrderedDict[int, float] = OrderedDict()
        self._removed: OrderedDict[int, None] = OrderedDict()
        self._unlisted_by_place: OrderedDict[
            tuple[str, str], deque[UnlistedExchange]
        ] = OrderedDict()

    def record_end(self, target: int, now: float) -> None:
        """Record that an incarnation ended, unless that was known before."""
        self._end_known_at_by_target.setdefault(target, now)
        evict_oldest(self._end_known_at_by_target, MAX_ENDS)

    def record_removal(self, target: int, now: float) -> None:
        """
        Record that the entry of an incarnation was removed from the list of targets.

        It counts as ended until the entry is back: one that is only cut off from the
        store is removed as well.
        """
        self.record_end(target, now)
        self._removed[target] = None
        evict_oldest(self._removed, MAX_ENDS)

    def record_listed(self, target: int) -> bool:
        """
        Record that an incarnation is listed.

        :returns: whether its entry had been removed before, so that it has not ended.
        """
        if target not in self._removed:
            # The entry of one that ended may be read late.
            return False
        del self._removed[target]
        self._end_known_at_by_target.pop(target, None)
        return True

    def has_ended_before(self, target: Target, opened_at: float) -> bool:
        """
        Tell whether an incarnation was known to have ended at a certain time.

        :param opened_at: when a connection began to be opened, in seconds of the timer
            service.
        """
        # Without start times, all incarnations of a target have the same key.
        known_at = self._end_known_at_by_target.get(target.key) if target.born else None
        return known_at is not None and 0 < opened_at - known_at <= MAX_LIST_DELAY

    def has_ended(self, target: Target) -> bool:
        """Tell whether an incarnation is known to have ended."""
        return target.key in self._end_known_at_by_target

    def keep(self, target: Target, exchange: UnlistedExchange) -> None:
        """
        Keep an exchange until the entry of its incarnation is read.

        :param target: an earlier incarnation, to whose address it was sent.
        """
        place = (target.target_id, target.address)
        exchanges = self._unlisted_by_place.pop(place, None)
        if exchanges is None:
            exchanges = deque(maxlen=MAX_UNLISTED_PER_TARGET)
        exchanges.append(exchange)
        self._unlisted_by_place[place] = exchanges
        evict_oldest(self._unlisted_by_place, MAX_UNLISTED_TARGETS)

    def take(self, target: Target, now: float) -> list[UnlistedExchange]:
        """
        Return the kept exchanges that a newly listed incarnation cut off.

        Exchanges on connections opened after its known end stay for a later one.
        """
        place = (target.target_id, target.address)
        exchanges = self._unlisted_by_place.pop(place, deque())
        found: list[UnlistedExchange] = []
        for exchange in exchanges:
            if now - exchange.broken_at > MAX_LIST_DELAY:
                continue
            if self.has_ended_before(target, exchange.opened_at):
                self.keep(target, exchange)
            else:
                found.append(exchange)
        return found
