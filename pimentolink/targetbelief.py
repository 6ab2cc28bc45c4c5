"""What one gateway believes of one target: state, work under way, speed, health."""

from __future__ import annotations

import enum
from collections.abc import Iterable
from typing import NamedTuple

from pimentolink.dialect import PromptPart
from pimentolink.gatewaysettings import EjectionSettings, PlacementSettings
from pimentolink.partmemory import PartIndex, PartMemory
from pimentolink.routes import EngineModel

# Weight of one timed reading in the estimate of an engine's rate; the last ten or so
# decide, about a second under load.
RATE_SMOOTHING = 0.12
# Weight of one outcome in a target's share of failures; the last ten or so decide.
OUTCOME_SMOOTHING = 0.1
# Rates are believed within these multiples of the fleet's, so that one odd reading
# takes no engine out of use.
LEAST_RATE = 0.1
MOST_RATE = 1.6
# Seconds after which a reading that another gateway told of, and whose end was never
# told, no longer counts, beyond its own work.
LOST_END = 2.0
# Seconds that fetching parts from another engine takes besides their tokens.
COPY_OVERHEAD = 0.015
# Tokens a second of a target from which nothing is ever fetched.
NO_COPY_RATE = 1e9


class EngineRole(enum.Enum):
    """What an engine does; other targets have no role."""

    NONE = "none"
    READER = "reader"
    WRITER = "writer"


class Target(NamedTuple):
    """
    A target as it is listed.

    :ivar target_id: its name, which a restart may keep.
    :ivar born: when this life of it began, in Unix milliseconds; 0 if it does not
        tell. A later life knows nothing of the one before.
    """

    target_id: str
    service: str
    address: str
    data_centre: str
    slots: int
    is_leaving: bool
    role: EngineRole
    born: int = 0


class EngineReport(NamedTuple):
    """
    What an engine says of itself.

    :ivar is_busy: whether it carries out an order.
    :ivar orders_accepted: since its start.
    :ivar born: when that was, in Unix milliseconds; 0 if it does not tell.
    """

    role: EngineRole
    is_busy: bool
    orders_accepted: int
    born: int = 0

    def is_of(self, target: Target) -> bool:
        """Tell whether the life that is listed said this, as far as both tell."""
        return not self.born or not target.born or self.born == target.born


class Reading(NamedTuple):
    """
    A prompt that an engine reads or has waiting.

    :ivar tokens: that it must read.
    :ivar forgotten_at: when it no longer counts though no end was told.
    """

    tokens: int
    parts: tuple[PromptPart, ...]
    began_at: float
    forgotten_at: float


class TargetBelief:
    """What is believed of one target, from the list and from outcomes."""

    def __init__(
        self, target: Target, settings: PlacementSettings, index: PartIndex
    ) -> None:
        """
        Start without knowledge of load.

        :param target: as listed.
        :param settings: rates to begin with.
        :param index: learns which parts it holds.
        """
        self.target = target
        self._settings = settings
        self.rate = float(settings.first_rate)
        self._copy_rate = NO_COPY_RATE
        # What it will hold once it has read all that it was given, and what it holds
        # already, so that other engines can fetch it.
        self.parts = PartMemory(target.target_id, index)
        self.fetchable = PartMemory(target.target_id)
        self.readings_by_ticket: dict[str, Reading] = {}
        self.in_flight = 0
        self.streams_by_peer: dict[str, int] = {}
        self.missing_since: float | None = None
        # Whether the target started again since; what this life held is gone.
        self.is_replaced = False
        self.changing_until = 0.0
        self.failure_share = 0.0
        self._failures = 0
        self._ejections = 0
        self.ejected_until = 0.0

    def set_model(self, model: EngineModel | None) -> None:
        """
        Learn what is told of its service's engines.

        :param model: ``None`` for other targets.
        """
        self._copy_rate = model.copy_rate if model else NO_COPY_RATE
        for memory in (self.parts, self.fetchable):
            memory.most_tokens = model.cache_tokens if model else 0

    def load(self) -> int:
        """Count requests under way here, from all gateways."""
        return self.in_flight + sum(self.streams_by_peer.values())

    def is_usable(self, now: float) -> bool:
        """Tell whether it may get new work."""
        return (
            not self.target.is_leaving
            and self.missing_since is None
            and now >= self.changing_until
        )

    def is_ejected(self, now: float) -> bool:
        """Tell whether its failures keep it from new work for now."""
        return now < self.ejected_until

    def rate_now(self) -> float:
        """Tell how many prompt tokens a second it reads in its role."""
        share = 1.0
        if self.target.role is EngineRole.WRITER:
            share = self._settings.decode_rate
        return self.rate * share

    def work_time(self, tokens: int) -> float:
        """
        Predict how long reading takes once it begins.

        :param tokens: to be read.
        :returns: seconds.
        """
        return self._settings.overhead + tokens / self.rate_now()

    def copy_time(self, tokens: int) -> float:
        """
        Predict how long fetching parts from another engine takes.

        :param tokens: to be fetched.
        :returns: seconds.
        """
        return COPY_OVERHEAD + tokens / self._copy_rate if tokens else 0.0

    def backlog(self, now: float) -> float:
        """
        Predict when all readings there are done.

        :returns: seconds from now.
        """
        if not self.readings_by_ticket:
            return 0.0
        self._forget_lost(now)
        readings = self.readings_by_ticket.values()
        total = sum(self.work_time(reading.tokens) for reading in readings)
        oldest = min((reading.began_at for reading in readings), default=now)
        # Tells how much of the first one is done; the others wait behind it.
        first = next(iter(readings), None)
        if first is None:
            return 0.0
        done = min(now - oldest, 0.9 * self.work_time(first.tokens))
        return max(0.0, total - done)

    def _forget_lost(self, now: float) -> None:
        lost = [
            ticket
            for ticket, reading in self.readings_by_ticket.items()
            if now > reading.forgotten_at
        ]
        for ticket in lost:
            del self.readings_by_ticket[ticket]

    def begin_reading(
        self,
        ticket: str,
        tokens: int,
        parts: Iterable[PromptPart],
        now: float,
    ) -> None:
        """Count a reading that was sent there, by whichever gateway."""
        expected = self.backlog(now) + self.work_time(tokens)
        forgotten_at = now + 3 * expected + LOST_END
        reading = Reading(tokens, tuple(parts), now, forgotten_at)
        self.readings_by_ticket[ticket] = reading
        self.parts.note(reading.parts)

    def end_reading(self, ticket: str, is_good: bool) -> None:
        """
        Count a reading no more.

        :param is_good: whether it was done, so that its parts are there.
        """
        reading = self.readings_by_ticket.pop(ticket, None)
        if reading is not None and is_good:
            self.fetchable.note(reading.parts)

    def fetched(self, parts: tuple[PromptPart, ...]) -> None:
        """Learn that it fetched a prompt, which it keeps like its own."""
        self.parts.note(parts)
        self.fetchable.note(parts)

    def timed_reading(self, expected: float, took: float, usual_rate: float) -> None:
        """
        Learn the rate from a reading that came to its end.

        :param expected: seconds that were predicted, with what was before it.
        :param took: seconds that it took.
        :param usual_rate: of the fleet, which bounds what is believed.
        """
        if took <= 0 or expected <= 0:
            return
        sample = self.rate * min(2.0, max(0.25, expected / took))
        rate = self.rate + RATE_SMOOTHING * (sample - self.rate)
        self.rate = min(MOST_RATE * usual_rate, max(LEAST_RATE * usual_rate, rate))

    def outcome(self, is_good: bool) -> None:
        """Learn how an attempt ended; a good one also ends the row of failures."""
        sample = 0.0 if is_good else 1.0
        self.failure_share += OUTCOME_SMOOTHING * (sample - self.failure_share)
        if is_good:
            self._failures = 0
            self._ejections = 0

    def forgive(self) -> None:
        """Forget failures and what followed from them."""
        self.failure_share = 0.0
        self._failures = 0
        self._ejections = 0
        self.ejected_until = 0.0

    def failed(self, now: float, settings: EjectionSettings) -> bool:
        """
        Count a failure.

        :returns: whether it ejects the target.
        """
        self._failures += 1
        if self._failures < settings.failures and self._ejections == 0:
            return False
        pause = min(settings.most, settings.first * 2**self._ejections)
        self.ejected_until = now + pause
        self._ejections = min(self._ejections + 1, 16)
        self._failures = 0
        return True
