"""Decides at which engine a prompt is read, and which one writes its answer."""

from __future__ import annotations

from typing import NamedTuple

from pimentolink.dialect import PromptPart
from pimentolink.egressqueue import EgressQueue
from pimentolink.fleet import Fleet
from pimentolink.gatewaydelay import GatewayDelay
from pimentolink.gatewaysettings import PlacementSettings
from pimentolink.targetestimate import EngineRole, TargetEstimate

# Worth of a generation by its size against the mean of its route: a fixed part and
# one that grows with the size, up to a bound.
FIXED_WORTH = 0.3
SIZED_WORTH = 0.7
MAX_SIZE = 4.0
# An output token counts as this many prompt tokens in a request's size.
OUTPUT_SIZE = 10
# Tokens below which parts are read again rather than fetched.
MIN_COPY = 512
# Weight of one request in a route's mean size.
SIZE_SMOOTHING = 0.05


class WaitingPrompt(NamedTuple):
    """
    A prompt that waits to be read.

    :ivar size: worth of the request, by its size, as a multiple of its route's.
    :ivar arrived_at: when the caller asked, or, of a request that is tried again after
        an engine failed it, when that was.
    :ivar latency_target: seconds that it may take from then on.
    :ivar on_time_until: when its first event should be with the caller.
    :ivar due_at: when the caller or the operator gives it up.
    :ivar body_bytes: that an engine is sent with it.
    """

    request_id: str
    service: str
    parts: tuple[PromptPart, ...]
    prompt_tokens: int
    size: float
    arrived_at: float
    latency_target: float
    on_time_until: float
    due_at: float
    body_bytes: int = 0


class Placement(NamedTuple):
    """
    Where a prompt is read.

    :ivar tokens: that have to be read there.
    :ivar held_tokens: that the engine probably holds.
    :ivar done_at: predicted end of the reading, as this gateway will see it.
    :ivar engine_done_at: the same, without what this gateway adds itself.
    :ivar way: predicted seconds until the engine has the prompt.
    :ivar hand_over: predicted seconds from the end of the reading until the engine that
        writes the answer has the prompt.
    :ivar copy_from: address of an engine that holds more of the prompt.
    :ivar is_prefill_only: whether another engine writes the answer.
    """

    estimate: TargetEstimate
    tokens: int
    held_tokens: int
    done_at: float
    copy_from: str
    copied_tokens: int
    is_prefill_only: bool
    engine_done_at: float
    way: float
    hand_over: float

    @property
    def written_from(self) -> float:
        """Predicted moment from which the answer can be written."""
        return self.done_at + self.hand_over


class _Reach(NamedTuple):
    """
    What is alike for all engines that a prompt may go to.

    :ivar way: seconds until an engine has the prompt.
    :ivar source: engine from which most of it can be fetched.
    :ivar fetchable: tokens that can be fetched there.
    """

    way: float
    source: TargetEstimate
    fetchable: int


class _Option(NamedTuple):
    """
    One engine that a prompt may go to.

    :ivar cost: seconds by which engines are compared.
    :ivar held: tokens that it probably holds.
    :ivar ends_in: seconds until the prompt is read there.
    """

    cost: float
    engine: TargetEstimate
    tokens: int
    held: int
    copied: int
    ends_in: float


def _cost_of(option: _Option) -> float:
    return option.cost


class SizeScale:
    """Tells a request's worth by its size, against the mean of its route."""

    def __init__(self) -> None:
        """Start without means."""
        self._mean_by_route: dict[str, float] = {}

    def worth(self, route: str, prompt_tokens: int, output_tokens: int) -> float:
        """
        Learn a request's size and tell its worth.

        :returns: a multiple of the worth of the route's mean request.
        """
        size = float(prompt_tokens + OUTPUT_SIZE * output_tokens) or 1.0
        mean = self._mean_by_route.get(route, size)
        mean += SIZE_SMOOTHING * (size - mean)
        self._mean_by_route[route] = mean
        return min(MAX_SIZE, FIXED_WORTH + SIZED_WORTH * size / mean)


class Placer:
    """
    Chooses engines for prompts.

    Load pattern: bursts of prompts, of which most share long parts, over few engines
    whose reading is what binds. A prompt goes where it is done soonest, with a price
    on the engine time that it takes, so that shared parts are read once and stay
    with one engine until that one falls behind.
    """

    def __init__(
        self,
        settings: PlacementSettings,
        fleet: Fleet,
        data_centre: str,
        egress_queue: EgressQueue,
        own_delay: GatewayDelay,
    ) -> None:
        """
        Prepare.

        :param settings: weights.
        :param fleet: the targets.
        :param data_centre: where this gateway stands.
        :param egress_queue: predicts how long a prompt takes to leave this gateway.
        :param own_delay: what readings take beyond that and their engine's time.
        """
        self._settings = settings
        self._fleet = fleet
        self._data_centre = data_centre
        self._egress_queue = egress_queue
        self._own_delay = own_delay

    def best(self, prompt: WaitingPrompt, now: float) -> Placement | None:
        """
        Find the engine at which a prompt is best read.

        :returns: ``None`` if no engine of the service takes work.
        """
        engines = self._fleet.usable(prompt.service, now, prompt.parts)
        has_writer = any(
            engine.target.role is not EngineRole.PREFILL for engine in engines
        )
        if not has_writer:
            return None
        most = prompt.prompt_tokens - 1
        source = max(engines, key=lambda item: item.fetchable.held_tokens(prompt.parts))
        reach = _Reach(
            way=self._egress_queue.delay(prompt.body_bytes),
            source=source,
            fetchable=min(most, source.fetchable.held_tokens(prompt.parts)),
        )
        options = [self._option(prompt, engine, reach, now) for engine in engines]
        return self._placement(min(options, key=_cost_of), reach, now)

    def _option(
        self, prompt: WaitingPrompt, engine: TargetEstimate, reach: _Reach, now: float
    ) -> _Option:
        """Predict what reading a prompt at one engine takes and costs."""
        settings = self._settings
        most = prompt.prompt_tokens - 1
        held = min(most, engine.parts.held_tokens(prompt.parts))
        copied = reach.fetchable - held
        if copied < MIN_COPY:
            copied = 0
        tokens = max(1, prompt.prompt_tokens - held - copied)
        work = engine.work_time(tokens)
        if copied:
            work += engine.copy_time(copied)
        ends_in = max(reach.way, engine.backlog(now)) + work
        cost = ends_in + settings.duplicate_cost * work + engine.failure_share
        role = engine.target.role
        if role is EngineRole.PREFILL:
            cost += reach.way
        elif role is EngineRole.DECODE:
            cost += settings.interference * engine.load() * work
        if engine.target.data_centre != self._data_centre:
            cost += settings.remote_cost
        return _Option(cost, engine, tokens, held, copied, ends_in)

    def _placement(self, option: _Option, reach: _Reach, now: float) -> Placement:
        is_prefill_engine = option.engine.target.role is EngineRole.PREFILL
        return Placement(
            estimate=option.engine,
            tokens=option.tokens,
            held_tokens=option.held,
            done_at=now + option.ends_in + self._own_delay.seconds(now),
            engine_done_at=now + option.ends_in,
            copy_from=reach.source.target.address if option.copied else "",
            copied_tokens=option.copied,
            is_prefill_only=is_prefill_engine,
            way=reach.way,
            hand_over=reach.way if is_prefill_engine else 0.0,
        )

    def engines(self, service: str, now: float) -> list[TargetEstimate]:
        """List the engines of a service that take work."""
        return self._fleet.usable(service, now)

    def wait_behind(
        self, service: str, work_here: float, share: float, now: float
    ) -> float:
        """
        Predict how long a service's engines are busy with what waits.

        :param work_here: engine seconds that go first of what waits here.
        :param share: of what waits at other gateways that goes first.
        :returns: seconds.
        """
        work = work_here + share * self._fleet.waiting_elsewhere(service)
        return work / max(1.0, self._fleet.usable_count(service, now))

    def writer(self, service: str, near: str, now: float) -> TargetEstimate | None:
        """
        Choose the engine that writes an answer whose prompt was read elsewhere.

        :param near: data centre of the engine that read it.
        :returns: ``None`` if there is none.
        """
        writers = [
            engine
            for engine in self._fleet.usable(service, now)
            if engine.target.role is not EngineRole.PREFILL
        ]
        return min(
            writers,
            key=lambda engine: self._writer_cost(engine, near, now),
            default=None,
        )

    def _writer_cost(self, engine: TargetEstimate, near: str, now: float) -> float:
        cost = engine.load() / max(1, engine.target.slots)
        cost += engine.backlog(now) + engine.failure_share
        if engine.target.data_centre != near:
            cost += self._settings.remote_fetch
        return cost
