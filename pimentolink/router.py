"""Chooses the target of an attempt."""

from __future__ import annotations

from random import Random
from typing import Protocol

from result import Err, Ok, Result

from pimentolink.claimtable import call_digest, partition_of
from pimentolink.completions import PREFIX_TOKENS
from pimentolink.errors import NoTarget
from pimentolink.prefixes import PrefixIndex
from pimentolink.request import Request
from pimentolink.settings import RoutingSettings
from pimentolink.targetpool import PREFILL, TargetPool, TargetState, ring_hash

REMOTE_SAMPLE_SIZE = 2  # candidates from each other data centre
# Seconds that a caller is told to wait if no target is available and none is ejected.
NO_TARGET_RETRY_AFTER = 1.0


class RoutingPolicy(Protocol):
    """Strategy that chooses one of the targets of a service."""

    def choose(
        self, request: Request, pool: TargetPool, avoid: list[str], now: float
    ) -> TargetState | None:
        """
        Choose a target.

        :param request: the request, or what remains of it.
        :param pool: the targets of its service.
        :param avoid: names of targets to choose only if no other is available.
        :param now: time of the timer service in seconds.
        :returns: the target, or ``None`` if none is available.
        """


class PredictedWork:
    """
    Prefers the target with the earliest predicted first token.

    Considers the prompts queued ahead of the request, how much of its prompt the
    target probably has in its cache, the streams there, whether it is in another data
    centre, and whether its role suits the request.
    """

    def __init__(
        self,
        settings: RoutingSettings,
        data_centre: str,
        memory: PrefixIndex,
        random: Random,
    ) -> None:
        """
        Set the parts of the prediction.

        :param settings: rates and weights.
        :param data_centre: the entry's data centre.
        :param memory: which targets have prefilled which prompts.
        :param random: seeded source for sampling.
        """
        self._settings = settings
        self._data_centre = data_centre
        self._memory = memory
        self._random = random

    def choose(
        self, request: Request, pool: TargetPool, avoid: list[str], now: float
    ) -> TargetState | None:
        """Choose the target with the least predicted delay."""
        candidates = self._candidates(request, pool, now)
        untried = [target for target in candidates if target.target_id not in avoid]
        has_prefill_engine = any(target.load.role == PREFILL for target in untried)
        return min(
            untried or candidates,
            key=lambda target: self._delay(request, target, has_prefill_engine),
            default=None,
        )

    def _candidates(
        self, request: Request, pool: TargetPool, now: float
    ) -> list[TargetState]:
        """
        List the available targets to compare, a bounded number.

        They are a random sample and the targets that prefilled the longest known
        prefix of the prompt. All available targets are listed if none of these is.
        """
        count = self._settings.sample
        sampled = pool.sample(self._data_centre, count, self._random)
        sampled += pool.sample_elsewhere(
            self._data_centre, REMOTE_SAMPLE_SIZE, self._random
        )
        sampled_ids = {target.target_id for target in sampled}
        holders = self._memory.holders(request) - sampled_ids
        sampled += [
            pool.targets_by_id[target_id]
            for target_id in sorted(holders)[:count]
            if target_id in pool.targets_by_id
        ]
        available = [target for target in sampled if target.is_available(now)]
        if available:
            return available
        all_targets = pool.targets_by_id.values()
        return [target for target in all_targets if target.is_available(now)]

    def _delay(
        self, request: Request, target: TargetState, has_prefill_engine: bool
    ) -> float:
        settings = self._settings
        cached_tokens = self._memory.expected_cached_tokens(request, target.target_id)
        uncached_tokens = max(1, request.prefill_tokens - cached_tokens)
        delay = target.prefill_delay(settings, uncached_tokens)
        delay += settings.stream_cost * target.streams()
        if target.data_centre != self._data_centre:
            delay += settings.remote_penalty
        is_long = uncached_tokens >= settings.split_from
        is_prefill_engine = target.load.role == PREFILL
        if is_prefill_engine and not (is_long and settings.split):
            delay += settings.misplaced_cost
        elif is_long and not is_prefill_engine:
            # A long prefill slows the streams of the same engine.
            delay += settings.interference * target.streams()
            delay += settings.reader_preference * has_prefill_engine
        elif not is_long:
            # Prefills queued there would slow the tokens of this response.
            delay += target.prefill_delay(settings, 0)
        return delay


class LeastInFlight:
    """Prefers the target with the fewest attempts in flight from here; a baseline."""

    def choose(
        self, request: Request, pool: TargetPool, avoid: list[str], now: float
    ) -> TargetState | None:
        """Choose the target with the fewest attempts in flight."""
        available = _filter_by_role(request, _available(pool, avoid, now))
        return min(available, key=lambda target: target.in_flight, default=None)


class RoundRobin:
    """Chooses targets in turn; a baseline."""

    def __init__(self) -> None:
        """Start before the first choice."""
        self._turn = 0

    def choose(
        self, request: Request, pool: TargetPool, avoid: list[str], now: float
    ) -> TargetState | None:
        """Choose the next target in turn."""
        available = _available(pool, avoid, now)
        if not available:
            return None
        self._turn += 1
        return available[self._turn % len(available)]


def make_policy(
    settings: RoutingSettings, data_centre: str, memory: PrefixIndex, random: Random
) -> RoutingPolicy:
    """
    Create the policy that the settings name.

    :param settings: routing settings.
    :param data_centre: the entry's data centre.
    :param memory: which targets have prefilled which prompts.
    :param random: seeded source for sampling.
    """
    if settings.policy == "round_robin":
        return RoundRobin()
    if settings.policy == "least_in_flight":
        return LeastInFlight()
    return PredictedWork(settings, data_centre, memory, random)


class Router:
    """Chooses the target of each attempt."""

    def __init__(self, policy: RoutingPolicy) -> None:
        """
        Start without targets.

        :param policy: chooses for requests without an idempotency key.
        """
        self._policy = policy
        self.pool_by_service: dict[str, TargetPool] = {}

    def choose(
        self, request: Request, partitions: int, avoid: list[str], now: float
    ) -> Result[TargetState, NoTarget]:
        """
        Choose the target of one attempt.

        :param request: the request, or what remains of it.
        :param partitions: number of claim partitions of its service.
        :param avoid: names of targets to choose only if no other is available.
        :param now: time of the timer service in seconds.
        """
        pool = self.pool_by_service.get(request.service, TargetPool())
        if request.idempotency_key:
            target = _choose_claim_owner(request, pool, partitions, avoid, now)
        else:
            target = self._policy.choose(request, pool, avoid, now)
        if target is None:
            return Err(
                NoTarget(
                    f"no target of {request.service} is available",
                    pool.ejection_ends_in(now) or NO_TARGET_RETRY_AFTER,
                )
            )
        return Ok(target)

    def change_ends_in(self, service: str, now: float) -> float | None:
        """
        Predict when a planned change of one of a service's targets ends next.

        :returns: seconds, 0 if unknown; ``None`` if no target is under a change.
        """
        pool = self.pool_by_service.get(service)
        return pool.change_ends_in(now) if pool is not None else None


def _choose_claim_owner(
    request: Request, pool: TargetPool, partitions: int, avoid: list[str], now: float
) -> TargetState | None:
    """
    Choose the target whose sidecar claims the request's idempotency key.

    All entries choose the same target as long as they see the same targets available;
    where they differ, the claim prevents a second run.
    """
    key = call_digest(request.caller, request.service, request.idempotency_key)
    partition = partition_of(key, partitions)
    order = list(pool.ring_order(ring_hash(f"{request.service}/{partition}")))
    available = [target for target in order if target.is_available(now)]
    untried = [target for target in available if target.target_id not in avoid]
    return next(iter(untried or available), None)


def _available(pool: TargetPool, avoid: list[str], now: float) -> list[TargetState]:
    all_targets = pool.targets_by_id.values()
    available = [target for target in all_targets if target.is_available(now)]
    untried = [target for target in available if target.target_id not in avoid]
    return untried or available


def _filter_by_role(request: Request, targets: list[TargetState]) -> list[TargetState]:
    """Prefer engines in the role ``prefill`` for long prompts, others for the rest."""
    is_long = request.prefill_tokens >= PREFIX_TOKENS[2]
    matching = [
        target for target in targets if (target.load.role == PREFILL) == is_long
    ]
    return matching or targets
