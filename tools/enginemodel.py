"""A model's engine in virtual time: reads prompts one by one, writes many answers."""

from __future__ import annotations

import msgspec
from twisted.internet.defer import Deferred

from pimentolink.dialect import PromptPart
from pimentolink.errors import ConnectionBroken, NotListening
from pimentolink.prefixcache import PrefixCacheEstimate
from pimentolink.targetestimate import EngineRole
from pimentolink.timers import Timers


class EngineFigures(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """
    How fast modelled engines are.

    :ivar read_rate: prompt tokens a second that a reader reads.
    :ivar writer_share: share of that rate at an engine that also writes answers.
    :ivar overhead: seconds of a reading besides its tokens.
    :ivar step: seconds between two tokens of an answer on an idle engine.
    :ivar slots: answers that an engine writes at once; with all of them, a step takes
        twice as long.
    :ivar cache_tokens: that its memory holds.
    :ivar copy_rate: tokens a second that go over the link between two engines.
    """

    read_rate: float
    step: float
    slots: int
    cache_tokens: int
    copy_rate: float
    writer_share: float = 0.5
    overhead: float = 0.01


class ModelEngine:
    """
    One engine.

    Its memory forgets the least recently used parts. A prompt that it began to read is
    held for those that it reads next, and for other engines once the reading is done.
    """

    def __init__(
        self, name: str, role: EngineRole, figures: EngineFigures, timers: Timers
    ) -> None:
        """
        Start idle and empty.

        :param name: of the engine.
        :param role: whether it reads for others or writes.
        :param figures: its speed.
        :param timers: virtual time.
        """
        self.name = name
        self.role = role
        self.figures = figures
        self._timers = timers
        self._writing = 0
        # In order, so that a replay repeats.
        self._waiters: dict[Deferred[None], None] = {}
        self.speed = 1.0
        self.tokens_read = 0
        self.born = 0
        self.start_again()

    def start_again(self) -> None:
        """Begin a new life, which holds nothing of the one before."""
        self.born += 1
        self.is_lost = False
        self._held = PrefixCacheEstimate(self.name)
        self._held.capacity_tokens = self.figures.cache_tokens
        # What it will hold once all is read that was sent here.
        self._planned = PrefixCacheEstimate(self.name)
        self._planned.capacity_tokens = self.figures.cache_tokens
        self._reading_until = 0.0

    def lose(self) -> None:
        """Crash: whatever was under way fails, and nothing is taken any more."""
        self.is_lost = True
        waiters, self._waiters = self._waiters, {}
        for waiter in waiters:
            waiter.errback(ConnectionBroken(f"{self.name} crashed"))

    async def read(
        self, parts: tuple[PromptPart, ...], source: ModelEngine | None
    ) -> None:
        """
        Read a prompt after those that came before it.

        :param source: an engine from which it fetches what that one holds.
        :raises ConnectionBroken: if it crashes.
        """
        now = self._timers.now()
        begins = max(now, self._reading_until)
        held = self._planned.held_tokens(parts)
        there = source._held.held_tokens(parts) if source is not None else 0
        copied = max(0, there - held)
        tokens = max(1, sum(part.tokens for part in parts) - held - copied)
        took = self.figures.overhead + tokens / self._read_rate()
        took += copied / self.figures.copy_rate
        self._reading_until = begins + took
        self.tokens_read += tokens
        self._planned.note(parts)
        await self._wait(begins + took - now)
        self._held.note(parts)

    def _read_rate(self) -> float:
        share = self.figures.writer_share if self.role is EngineRole.DECODE else 1.0
        return self.figures.read_rate * share * self.speed

    async def fetch(self, parts: tuple[PromptPart, ...]) -> None:
        """
        Fetch the KV cache of a prompt that another engine read.

        :raises ConnectionBroken: if this one crashes.
        """
        missing = sum(part.tokens for part in parts) - self._held.held_tokens(parts)
        await self._wait(missing / self.figures.copy_rate)
        self._planned.note(parts)
        self._held.note(parts)

    async def write(self, tokens: int) -> None:
        """
        Write an answer.

        :raises ConnectionBroken: if it crashes.
        """
        self._writing += 1
        try:
            crowd = 1 + self._writing / self.figures.slots
            await self._wait(tokens * self.figures.step * crowd / self.speed)
        finally:
            self._writing -= 1

    async def _wait(self, seconds: float) -> None:
        if self.is_lost:
            raise NotListening(f"{self.name} has ended")
        waiter: Deferred[None] = Deferred()
        self._waiters[waiter] = None

        def over() -> None:
            if waiter in self._waiters:
                del self._waiters[waiter]
                waiter.callback(None)

        timer = self._timers.call_later(seconds, over)
        try:
            await waiter
        finally:
            self._waiters.pop(waiter, None)
            timer.cancel()
