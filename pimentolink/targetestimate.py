"""What one gateway believes of one target: state, work under way, speed, health."""

from __future__ import annotations

import enum
from collections.abc import Iterable
from typing import NamedTuple

from pimentolink.dialect import PromptPart
from pimentolink.gatewaysettings import EjectionSettings
from pimentolink.peermessages import target_key
from pimentolink.prefillcost import ServiceCosts, Slowness
from pimentolink.prefixcache import PrefixCacheEstimate, PrefixCacheIndex
from pimentolink.routes import EngineModel

# Weight of one outcome in a target's share of failures; the last ten or so decide.
OUTCOME_SMOOTHING = 0.1
# Seconds after which a reading that another gateway told of, and whose end was never
# told, no longer counts, beyond its own work.
LOST_END = 2.0
# Seconds for which a target that refused a connection gets no work; then the next
# request asks it again, so that it is used soon after it is back.
REFUSAL_PAUSE = 0.25
# Tokens a second of a target from which nothing is ever fetched.
NO_COPY_RATE = 1e9


class EngineRole(enum.Enum):
    """What an engine does; other targets have no role."""

    NONE = "none"
    PREFILL = "reader"
    DECODE = "writer"


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

    @property
    def key(self) -> int:
        """Names this life of it to other gateways."""
        return target_key(self.target_id, self.born)


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


def prefill_ticket(life: str, number: int) -> str:
    """
    Name a reading so that no other gateway has one of that name.

    :param life: of the gateway's process.
    :param number: of the reading, among those of that life.
    """
    return f"{life}-{number}"


class Prefill(NamedTuple):
    """
    A prompt that an engine reads or has waiting.

    :ivar tokens: that it must read.
    :ivar copied: tokens that it fetches from another engine first.
    :ivar arrives_at: when the engine has the prompt; it was not busy with it before.
    :ivar forgotten_at: when it no longer counts though no end was told.
    """

    tokens: int
    copied: int
    parts: tuple[PromptPart, ...]
    arrives_at: float
    forgotten_at: float


class TargetEstimate:
    """What is believed of one target, from the list and from outcomes."""

    def __init__(
        self, target: Target, costs: ServiceCosts, index: PrefixCacheIndex
    ) -> None:
        """
        Start without knowledge of load.

        :param target: as listed.
        :param costs: what is learned of the engines of its service.
        :param index: learns which parts it holds.
        """
        self.target = target
        self._costs = costs
        # Time of a reading here, against usual engines of the role.
        self.slowness = Slowness()
        self._last_end = 0.0
        self._copy_rate = NO_COPY_RATE
        # What it will hold once it has read all that it was given, and what it holds
        # already, so that other engines can fetch it.
        self.parts = PrefixCacheEstimate(target.target_id, index)
        self.fetchable = PrefixCacheEstimate(target.target_id)
        self.prefills_by_ticket: dict[str, Prefill] = {}
        self.in_flight = 0
        self.streams_by_peer: dict[str, int] = {}
        self.missing_since: float | None = None
        # Whether the target started again since; what this life held is gone.
        self.is_replaced = False
        self.changing_until = 0.0
        self.refusing_until = 0.0
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
            memory.capacity_tokens = model.cache_tokens if model else 0

    def load(self) -> int:
        """Count requests under way here, from all gateways."""
        return self.in_flight + sum(self.streams_by_peer.values())

    def streams(self) -> int:
        """Count answers that it writes; prompts that it still reads are none."""
        return max(0, self.load() - len(self.prefills_by_ticket))

    def is_usable(self, now: float) -> bool:
        """Tell whether it may get new work."""
        return (
            not self.target.is_leaving
            and self.missing_since is None
            and now >= self.changing_until
            and now >= self.refusing_until
        )

    def is_ejected(self, now: float) -> bool:
        """Tell whether its failures keep it from new work for now."""
        return now < self.ejected_until

    @property
    def is_decode_engine(self) -> bool:
        """Whether it writes answers, also."""
        return self.target.role is EngineRole.DECODE

    @property
    def is_timed(self) -> bool:
        """Whether what is predicted of it rests on readings that were timed."""
        return self._costs.is_known(self.is_decode_engine)

    def work_time(self, tokens: int) -> float:
        """
        Predict how long reading takes once it begins.

        :param tokens: to be read.
        :returns: seconds.
        """
        is_decode_engine = self.is_decode_engine
        slowness = self.slowness.factor / self._costs.usual(is_decode_engine).factor
        return slowness * self._costs.seconds(tokens, is_decode_engine)

    def copy_time(self, tokens: int) -> float:
        """
        Predict how long fetching parts from another engine takes.

        :param tokens: to be fetched.
        :returns: seconds.
        """
        if not tokens:
            return 0.0
        return self._costs.copy_overhead + tokens / self._copy_rate

    def backlog(self, now: float) -> float:
        """
        Predict when all readings there are done.

        :returns: seconds from now.
        """
        if not self.prefills_by_ticket:
            return 0.0
        self._forget_lost(now)
        readings = self.prefills_by_ticket.values()
        total = sum(self._reading_time(reading) for reading in readings)
        # Tells how much of the first one is done; the others wait behind it.
        first = next(iter(readings), None)
        if first is None:
            return 0.0
        begun = max(first.arrives_at, self._last_end)
        done = min(max(0.0, now - begun), 0.9 * self._reading_time(first))
        return max(0.0, total - done)

    def _reading_time(self, reading: Prefill) -> float:
        return self.work_time(reading.tokens) + self.copy_time(reading.copied)

    def _forget_lost(self, now: float) -> None:
        lost = [
            ticket
            for ticket, reading in self.prefills_by_ticket.items()
            if now > reading.forgotten_at
        ]
        for ticket in lost:
            del self.prefills_by_ticket[ticket]

    def start_prefill(
        self,
        ticket: str,
        tokens: int,
        parts: Iterable[PromptPart],
        now: float,
        copied: int = 0,
        way: float = 0.0,
    ) -> None:
        """
        Count a reading that was sent there, by whichever gateway.

        :param copied: tokens that it fetches from another engine first.
        :param way: seconds until the engine has the prompt.
        """
        expected = way + self.backlog(now) + self.work_time(tokens)
        forgotten_at = now + 3 * expected + LOST_END
        reading = Prefill(tokens, copied, tuple(parts), now + way, forgotten_at)
        self.prefills_by_ticket[ticket] = reading
        self.parts.note(reading.parts)

    def end_prefill(self, ticket: str, is_good: bool, now: float) -> float | None:
        """
        Count a reading no more, and learn from it.

        It kept the engine busy since it arrived there, or since the reading before it
        ended, since engines read one prompt after the other.

        :param is_good: whether it was done, so that its parts are there.
        :returns: seconds for which it kept the engine busy; ``None`` if it is not
            known or was not done.
        """
        reading = self.prefills_by_ticket.pop(ticket, None)
        if reading is None:
            return None
        busy_since = max(reading.arrives_at, self._last_end)
        self._last_end = now
        if not is_good:
            return None
        self.fetchable.note(reading.parts)
        took = max(0.0, now - busy_since)
        self._learn(reading, took)
        return took

    def drop_prefill(self, ticket: str) -> None:
        """Count a reading no more whose end was not seen, and learn nothing from it."""
        self.prefills_by_ticket.pop(ticket, None)

    def _learn(self, reading: Prefill, took: float) -> None:
        if reading.copied:
            tokens_time = reading.copied / self._copy_rate
            work = self.work_time(reading.tokens)
            self._costs.learn_copy(took - work - tokens_time)
            return
        usual = self._costs.seconds(reading.tokens, self.is_decode_engine)
        if self.is_timed:
            self.slowness.learn(usual, took)
            self._costs.usual(self.is_decode_engine).learn(usual, took)
        self._costs.of_role(self.is_decode_engine).learn(reading.tokens, took)

    def fetched(self, parts: tuple[PromptPart, ...]) -> None:
        """Learn that it fetched a prompt, which it keeps like its own."""
        self.parts.note(parts)
        self.fetchable.note(parts)

    def outcome(self, is_good: bool) -> None:
        """Learn how an attempt ended; a good one also ends the row of failures."""
        sample = 0.0 if is_good else 1.0
        self.failure_share += OUTCOME_SMOOTHING * (sample - self.failure_share)
        if is_good:
            self._failures = 0
            self._ejections = 0

    def refused_connection(self, now: float) -> None:
        """Learn that nothing listens there; even as the last one left it is no use."""
        self.refusing_until = now + REFUSAL_PAUSE

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
