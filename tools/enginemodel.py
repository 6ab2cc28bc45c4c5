"""Simulates an inference engine with serial prefill and concurrent decodes."""

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
    Performance parameters of simulated engines.

    :ivar read_rate: prefill rate of an engine, in prompt tokens per second.
    :ivar writer_share: prefill rate of a decode engine, as a fraction of ``read_rate``.
    :ivar overhead: fixed time per prefill, in seconds.
    :ivar step: time per output token on an idle engine, in seconds.
    :ivar slots: nominal number of concurrent decodes; at this number a step takes
        twice as long.
    :ivar cache_tokens: capacity of the prefix cache, in tokens.
    :ivar copy_rate: rate of KV cache transfers between engines, in tokens per second.
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
    A simulated engine with a prefix cache that evicts the least recently used parts.

    It runs in virtual time. Later prompts on this engine can reuse a prompt as soon as
    its prefill is queued; other engines can fetch it once the prefill is complete.
    """

    def __init__(
        self, name: str, role: EngineRole, figures: EngineFigures, timers: Timers
    ) -> None:
        """
        Create an idle engine with an empty cache.

        :param name: name of the engine.
        :param role: role of the engine; a decode engine prefills more slowly.
        :param figures: performance parameters.
        :param timers: the virtual clock.
        """
        self.name = name
        self.role = role
        self.figures = figures
        self._timers = timers
        self._active_decodes = 0
        # A dict keeps insertion order, which makes replays deterministic.
        self._pending_waits: dict[Deferred[None], None] = {}
        self.speed = 1.0
        self.tokens_read = 0
        self.born = 0
        self.start_again()

    def start_again(self) -> None:
        """Restart with an empty cache, as a new incarnation of the engine."""
        self.born += 1
        self.is_lost = False
        self._cache = PrefixCacheEstimate(self.name)
        self._cache.capacity_tokens = self.figures.cache_tokens
        # Expected contents of the cache when all queued prefills are complete.
        self._planned_cache = PrefixCacheEstimate(self.name)
        self._planned_cache.capacity_tokens = self.figures.cache_tokens
        self._prefill_busy_until = 0.0

    def lose(self) -> None:
        """Crash: fail all work in progress and refuse new work until the restart."""
        self.is_lost = True
        interrupted_waits, self._pending_waits = self._pending_waits, {}
        for waiter in interrupted_waits:
            waiter.errback(ConnectionBroken(f"{self.name} crashed"))

    async def read(
        self, parts: tuple[PromptPart, ...], source: ModelEngine | None
    ) -> None:
        """
        Prefill a prompt, after the prefills that are already queued.

        :param source: engine to fetch the KV cache from, as far as it has cached the
            prompt.
        :raises ConnectionBroken: if the engine crashes meanwhile.
        """
        now = self._timers.now()
        prefill_start = max(now, self._prefill_busy_until)
        cached_tokens = self._planned_cache.cached_tokens(parts)
        source_tokens = source._cache.cached_tokens(parts) if source is not None else 0
        copied = max(0, source_tokens - cached_tokens)
        tokens = max(1, sum(part.tokens for part in parts) - cached_tokens - copied)
        prefill_time = self.figures.overhead + tokens / self._effective_prefill_rate()
        prefill_time += copied / self.figures.copy_rate
        self._prefill_busy_until = prefill_start + prefill_time
        self.tokens_read += tokens
        self._planned_cache.record_use(parts)
        await self._wait(prefill_start + prefill_time - now)
        self._cache.record_use(parts)

    def _effective_prefill_rate(self) -> float:
        share = self.figures.writer_share if self.role is EngineRole.DECODE else 1.0
        return self.figures.read_rate * share * self.speed

    async def fetch(self, parts: tuple[PromptPart, ...]) -> None:
        """
        Fetch the KV cache of a prompt that another engine has prefilled.

        :raises ConnectionBroken: if this engine crashes meanwhile.
        """
        missing = sum(part.tokens for part in parts) - self._cache.cached_tokens(parts)
        await self._wait(missing / self.figures.copy_rate)
        self._planned_cache.record_use(parts)
        self._cache.record_use(parts)

    async def write(self, tokens: int) -> None:
        """
        Decode an answer.

        :raises ConnectionBroken: if the engine crashes meanwhile.
        """
        self._active_decodes += 1
        try:
            batch_slowdown = 1 + self._active_decodes / self.figures.slots
            await self._wait(tokens * self.figures.step * batch_slowdown / self.speed)
        finally:
            self._active_decodes -= 1

    async def _wait(self, seconds: float) -> None:
        if self.is_lost:
            raise NotListening(f"{self.name} has ended")
        waiter: Deferred[None] = Deferred()
        self._pending_waits[waiter] = None

        def complete_wait() -> None:
            if waiter in self._pending_waits:
                del self._pending_waits[waiter]
                waiter.callback(None)

        timer = self._timers.call_later(seconds, complete_wait)
        try:
            await waiter
        finally:
            self._pending_waits.pop(waiter, None)
            timer.cancel()
