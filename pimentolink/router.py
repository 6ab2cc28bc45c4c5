"""Chooses the target of an attempt."""

from __future__ import annotations

from random import Random
from typing import Protocol

from result import Err, Ok, Result

from pimentolink.claimtable import call_digest, partition_of
from pimentolink.completions import PREFIX_TOKENS
from pimentolink.errors import NoTarget
from pimentolink.prefixes import PrefixMemory
from pimentolink.request import Request
from pimentolink.settings import RoutingSettings
from pimentolink.targetpool import PREFILL, TargetPool, TargetState, ring_hash

REMOTE_SAMPLE = 2
# Seconds after which a caller is asked to return, if it is not known when a target is.
NO_TARGET_PAUSE = 1.0


class RoutingPolicy(Protocol):
    """How one of several targets is preferred."""

    def choose(
        self, request: Request, pool: TargetPool, avoid: list[str], now: float
    ) -> TargetState | None:
        """
        Choose a target.

        :param request: what is to be done.
        :param pool: the targets of its service.
        :param avoid: names of targets that failed this request already.
        :param now: the time.
        :returns: the target, or ``None`` if none is available.
        """


class PredictedWork:
    """
    Prefers the target whose first token is predicted soonest.

    Counts the prompts before the request, what the target's cache probably holds of
    this one, the answers under way, the distance, and whether the target's role suits
    the work.
    """

    def __init__(
        self,
        settings: RoutingSettings,
        data_centre: str,
        memory: PrefixMemory,
        random: Random,
    ) -> None:
        """
        Prepare.

        :param settings: rates and weights.
        :param data_centre: where this entry stands.
        :param memory: which prompts were read where.
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
        fresh = [target for target in candidates if target.target_id not in avoid]
        has_readers = any(target.load.role == PREFILL for target in fresh)
        return min(
            fresh or candidates,
            key=lambda target: self._delay(request, target, has_readers),
            default=None,
        )

    def _candidates(
        self, request: Request, pool: TargetPool, now: float
    ) -> list[TargetState]:
        """Draw a bounded number of targets, with those that know the prompt."""
        count = self._settings.sample
        drawn = pool.sample(self._data_centre, count, self._random)
        drawn += pool.sample_elsewhere(self._data_centre, REMOTE_SAMPLE, self._random)
        drawn_ids = {target.target_id for target in drawn}
        holders = self._memory.holders(request) - drawn_ids
        drawn += [
            pool.targets_by_id[target_id]
            for target_id in sorted(holders)[:count]
            if target_id in pool.targets_by_id
        ]
        available = [target for target in drawn if target.is_available(now)]
        if available:
            return available
        everyone = pool.targets_by_id.values()
        return [target for target in everyone if target.is_available(now)]

    def _delay(self, request: Request, target: TargetState, has_readers: bool) -> float:
        settings = self._settings
        held = self._memory.expected_tokens(request, target.target_id)
        work = max(1, request.prefill_tokens - held)
        delay = target.prefill_delay(settings, work)
        delay += settings.stream_cost * target.streams()
        if target.data_centre != self._data_centre:
            delay += settings.remote_penalty
        is_long = work >= settings.split_from
        is_prefill_engine = target.load.role == PREFILL
        if is_prefill_engine and not (is_long and settings.split):
            delay += settings.misplaced_cost
        elif is_long and not is_prefill_engine:
            # It slows the answers under way there.
            delay += settings.interference * target.streams()
            delay += settings.reader_preference * has_readers
        elif not is_long:
            # What is read there would slow this answer's tokens.
            delay += target.prefill_delay(settings, 0)
        return delay


class LeastInFlight:
    """Prefers the target with the fewest attempts of this entry; a baseline."""

    def choose(
        self, request: Request, pool: TargetPool, avoid: list[str], now: float
    ) -> TargetState | None:
        """Choose the target with the fewest attempts in flight."""
        available = _suited(request, _available(pool, avoid, now))
        return min(available, key=lambda target: target.in_flight, default=None)


class RoundRobin:
    """Takes targets in turn; a baseline."""

    def __init__(self) -> None:
        """Start at the first target."""
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
    settings: RoutingSettings, data_centre: str, memory: PrefixMemory, random: Random
) -> RoutingPolicy:
    """
    Make the policy that the settings name.

    :param settings: of routing.
    :param data_centre: where the entry stands.
    :param memory: which prompts were read where.
    :param random: seeded source for sampling.
    """
    if settings.policy == "round_robin":
        return RoundRobin()
    if settings.policy == "least_in_flight":
        return LeastInFlight()
    return PredictedWork(settings, data_centre, memory, random)


class Router:
    """Finds a target for each attempt."""

    def __init__(self, policy: RoutingPolicy) -> None:
        """
        Start without targets.

        :param policy: preference among targets.
        """
        self._policy = policy
        self.pool_by_service: dict[str, TargetPool] = {}

    def choose(
        self, request: Request, partitions: int, avoid: list[str], now: float
    ) -> Result[TargetState, NoTarget]:
        """
        Choose the target of one attempt.

        :param request: what is to be done.
        :param partitions: claim partitions of its service.
        :param avoid: targets that failed this request already.
        :param now: the time.
        """
        pool = self.pool_by_service.get(request.service, TargetPool())
        if request.idempotency_key:
            target = _claim_home(request, pool, partitions, avoid, now)
        else:
            target = self._policy.choose(request, pool, avoid, now)
        if target is None:
            return Err(
                NoTarget(
                    f"no target of {request.service} is available",
                    pool.available_in(now) or NO_TARGET_PAUSE,
                )
            )
        return Ok(target)

    def change_ends_in(self, service: str, now: float) -> float | None:
        """
        Predict when the next target of a service comes back from a planned change.

        :returns: seconds, 0 if it cannot be known; ``None`` if no target is changing.
        """
        pool = self.pool_by_service.get(service)
        return pool.change_ends_in(now) if pool is not None else None


def _claim_home(
    request: Request, pool: TargetPool, partitions: int, avoid: list[str], now: float
) -> TargetState | None:
    """
    Find the target whose sidecar commits the claim.

    All entries agree on it as far as they agree on what is available; where they do
    not, the claim itself decides.
    """
    key = call_digest(request.caller, request.service, request.idempotency_key)
    partition = partition_of(key, partitions)
    order = list(pool.in_order(ring_hash(f"{request.service}/{partition}")))
    available = [target for target in order if target.is_available(now)]
    fresh = [target for target in available if target.target_id not in avoid]
    return next(iter(fresh or available), None)


def _available(pool: TargetPool, avoid: list[str], now: float) -> list[TargetState]:
    everyone = pool.targets_by_id.values()
    available = [target for target in everyone if target.is_available(now)]
    fresh = [target for target in available if target.target_id not in avoid]
    return fresh or available


def _suited(request: Request, targets: list[TargetState]) -> list[TargetState]:
    """Keep engines in the role ``prefill`` for long prompts, and these for them."""
    is_long = request.prefill_tokens >= PREFIX_TOKENS[2]
    fits = [target for target in targets if (target.load.role == PREFILL) == is_long]
    return fits or targets
