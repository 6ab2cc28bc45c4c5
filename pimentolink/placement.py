"""Chooses the engine that prefills a prompt and the one that decodes the response."""

from __future__ import annotations

from typing import NamedTuple

from pimentolink.dialect import PromptPart
from pimentolink.egressqueue import EgressQueue
from pimentolink.fleet import Fleet
from pimentolink.gatewaydelay import GatewayDelay
from pimentolink.gatewaysettings import PlacementSettings
from pimentolink.targetestimate import EngineRole, TargetEstimate

# Value of a request: a fixed part plus a part proportional to its size relative to the
# mean of its route, up to a limit.
FIXED_VALUE = 0.3
SIZE_VALUE_WEIGHT = 0.7
MAX_SIZE = 4.0
# Number of prompt tokens that one output token counts for in the size of a request.
OUTPUT_TOKEN_WEIGHT = 10
# Below this number of tokens, prefix parts are recomputed instead of being fetched from
# another engine.
MIN_COPY_TOKENS = 512
# Weight of a new request in the moving average of its route's request size.
SIZE_SMOOTHING = 0.05


class WaitingPrompt(NamedTuple):
    """
    A prompt that waits for prefill.

    :ivar size: value of the request, derived from its size, relative to the mean
        request of its route.
    :ivar arrived_at: arrival time of the request, or, if it is retried after an engine
        failed, the time of that failure.
    :ivar latency_target: seconds allowed from then until the first event.
    :ivar latency_deadline: time by which the first event should reach the caller.
    :ivar due_at: time at which the request expires, as set by caller or operator.
    :ivar body_bytes: size of the request body sent to the engine.
    """

    request_id: str
    service: str
    parts: tuple[PromptPart, ...]
    prompt_tokens: int
    size: float
    arrived_at: float
    latency_target: float
    latency_deadline: float
    due_at: float
    body_bytes: int = 0


class Placement(NamedTuple):
    """
    The engine chosen for a prefill, with the predicted times.

    :ivar tokens: tokens that the engine must compute.
    :ivar cached_tokens: tokens that are probably in the engine's prefix cache.
    :ivar done_at: predicted end of the prefill as observed by this gateway.
    :ivar engine_done_at: predicted end without the delay added by this gateway.
    :ivar transmission_delay: predicted seconds until the engine has received the
        prompt.
    :ivar handover_time: predicted seconds from the end of the prefill until the decode
        engine has received the prompt.
    :ivar copy_from: address of an engine that has more of the prompt cached; empty if
        nothing is fetched.
    :ivar copied_tokens: tokens fetched from there.
    :ivar is_prefill_only: whether another engine decodes the response.
    """

    estimate: TargetEstimate
    tokens: int
    cached_tokens: int
    done_at: float
    copy_from: str
    copied_tokens: int
    is_prefill_only: bool
    engine_done_at: float
    transmission_delay: float
    handover_time: float

    @property
    def decode_ready_at(self) -> float:
        """Predicted time at which decoding can start."""
        return self.done_at + self.handover_time


class _TransferPlan(NamedTuple):
    """
    Values of a prompt that are the same for all candidate engines.

    :ivar transmission_delay: seconds until an engine has received the prompt.
    :ivar source: engine from which the longest prefix can be fetched.
    :ivar fetchable: tokens that can be fetched from it.
    """

    transmission_delay: float
    source: TargetEstimate
    fetchable: int


class _Candidate(NamedTuple):
    """
    A candidate engine for a prefill.

    :ivar cost: placement cost in seconds; the candidate with the lowest cost is chosen.
    :ivar tokens: tokens that the engine must compute.
    :ivar cached: tokens that are probably in its prefix cache.
    :ivar copied: tokens that it fetches from another engine.
    :ivar ends_in: seconds until the prefill ends.
    """

    cost: float
    engine: TargetEstimate
    tokens: int
    cached: int
    copied: int
    ends_in: float


def _candidate_cost(candidate: _Candidate) -> float:
    return candidate.cost


class RequestValueModel:
    """Rates the value of requests by their size relative to the mean of their route."""

    def __init__(self) -> None:
        """Create a scale without any observed requests."""
        self._mean_by_route: dict[str, float] = {}

    def value(self, route: str, prompt_tokens: int, output_tokens: int) -> float:
        """
        Update the route's mean size with a request and return the request's value.

        :returns: multiple of the value of the route's mean request.
        """
        size = float(prompt_tokens + OUTPUT_TOKEN_WEIGHT * output_tokens) or 1.0
        mean = self._mean_by_route.get(route, size)
        mean += SIZE_SMOOTHING * (size - mean)
        self._mean_by_route[route] = mean
        return min(MAX_SIZE, FIXED_VALUE + SIZE_VALUE_WEIGHT * size / mean)


class Placer:
    """
    Chooses engines for prompts.

    Load pattern: bursts of prompts, most of which share long prefixes, on a few engines
    whose prefill throughput is the bottleneck. A prompt goes to the engine that
    finishes it first, with a penalty on the engine time used. Shared prefixes are
    therefore computed once and stay on one engine until that engine falls behind.
    """

    def __init__(
        self,
        settings: PlacementSettings,
        fleet: Fleet,
        data_centre: str,
        egress_queue: EgressQueue,
        gateway_delay: GatewayDelay,
    ) -> None:
        """
        Create a placer.

        :param settings: cost weights.
        :param fleet: the targets.
        :param data_centre: data centre of this gateway.
        :param egress_queue: predicts how long a prompt takes to leave this gateway.
        :param gateway_delay: delay that this gateway adds beyond that and the engine
            time.
        """
        self._settings = settings
        self._fleet = fleet
        self._data_centre = data_centre
        self._egress_queue = egress_queue
        self._gateway_delay = gateway_delay

    def choose_placement(self, prompt: WaitingPrompt, now: float) -> Placement | None:
        """
        Choose the engine with the lowest cost for a prompt.

        :returns: ``None`` if no decode engine of the service is available, since the
            response could not be generated then.
        """
        engines = self._fleet.usable(prompt.service, now, prompt.parts)
        has_decode_engine = any(
            engine.target.role is not EngineRole.PREFILL for engine in engines
        )
        if not has_decode_engine:
            return None
        max_reusable = prompt.prompt_tokens - 1
        source = max(
            engines, key=lambda item: item.fetchable.cached_tokens(prompt.parts)
        )
        transfer = _TransferPlan(
            transmission_delay=self._egress_queue.delay(prompt.body_bytes),
            source=source,
            fetchable=min(max_reusable, source.fetchable.cached_tokens(prompt.parts)),
        )
        candidates = [
            self._evaluate(prompt, engine, transfer, now) for engine in engines
        ]
        return self._build_placement(
            min(candidates, key=_candidate_cost), transfer, now
        )

    def _evaluate(
        self,
        prompt: WaitingPrompt,
        engine: TargetEstimate,
        transfer: _TransferPlan,
        now: float,
    ) -> _Candidate:
        """Predict the duration and the cost of a prefill on one engine."""
        settings = self._settings
        max_reusable = prompt.prompt_tokens - 1
        cached = min(max_reusable, engine.parts.cached_tokens(prompt.parts))
        copied = transfer.fetchable - cached
        if copied < MIN_COPY_TOKENS:
            copied = 0
        tokens = max(1, prompt.prompt_tokens - cached - copied)
        work = engine.prefill_time(tokens)
        if copied:
            work += engine.copy_time(copied)
        ends_in = max(transfer.transmission_delay, engine.backlog(now)) + work
        cost = ends_in + settings.duplicate_cost * work + engine.failure_share
        role = engine.target.role
        if role is EngineRole.PREFILL:
            cost += transfer.transmission_delay
        elif role is EngineRole.DECODE:
            cost += settings.interference * engine.load() * work
        if engine.target.data_centre != self._data_centre:
            cost += settings.remote_cost
        return _Candidate(cost, engine, tokens, cached, copied, ends_in)

    def _build_placement(
        self, candidate: _Candidate, transfer: _TransferPlan, now: float
    ) -> Placement:
        is_prefill_engine = candidate.engine.target.role is EngineRole.PREFILL
        return Placement(
            estimate=candidate.engine,
            tokens=candidate.tokens,
            cached_tokens=candidate.cached,
            done_at=now + candidate.ends_in + self._gateway_delay.seconds(now),
            engine_done_at=now + candidate.ends_in,
            copy_from=transfer.source.target.address if candidate.copied else "",
            copied_tokens=candidate.copied,
            is_prefill_only=is_prefill_engine,
            transmission_delay=transfer.transmission_delay,
            handover_time=transfer.transmission_delay if is_prefill_engine else 0.0,
        )

    def engines(self, service: str, now: float) -> list[TargetEstimate]:
        """Return the engines of a service that accept work."""
        return self._fleet.usable(service, now)

    def expected_wait(
        self, service: str, queued_work: float, share: float, now: float
    ) -> float:
        """
        Predict how long the engines of a service are busy with queued work.

        :param queued_work: engine seconds queued at this gateway that run first.
        :param share: fraction of the work queued at other gateways that runs first.
        :returns: seconds.
        """
        work = queued_work + share * self._fleet.prefill_work_at_peers(service)
        return work / max(1.0, self._fleet.usable_count(service, now))

    def choose_decode_engine(
        self, service: str, prefill_data_centre: str, now: float
    ) -> TargetEstimate | None:
        """
        Choose the decode engine for a prompt whose prefill ran on another engine.

        :param prefill_data_centre: data centre of the engine that ran the prefill.
        :returns: ``None`` if no decode engine is available.
        """
        decode_engines = [
            engine
            for engine in self._fleet.usable(service, now)
            if engine.target.role is not EngineRole.PREFILL
        ]
        return min(
            decode_engines,
            key=lambda engine: self._decode_cost(engine, prefill_data_centre, now),
            default=None,
        )

    def _decode_cost(
        self, engine: TargetEstimate, prefill_data_centre: str, now: float
    ) -> float:
        cost = engine.load() / max(1, engine.target.slots)
        cost += engine.backlog(now) + engine.failure_share
        if engine.target.data_centre != prefill_data_centre:
            cost += self._settings.remote_fetch
        return cost
