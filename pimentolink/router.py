"""Chooses the target of an attempt."""

from __future__ import annotations

import bisect
from collections import OrderedDict
from collections.abc import Iterator
from random import Random
from typing import Protocol

import xxhash
from result import Err, Ok, Result

from pimentolink import link_pb2
from pimentolink.claims import call_digest, partition_of
from pimentolink.completions import PREFIX_TOKENS
from pimentolink.errors import NoTarget
from pimentolink.request import Request
from pimentolink.settings import RoutingSettings

PREFILL = "prefill"
DECODE = "decode"
REMOTE_SAMPLE = 2


class TargetState:
    """
    What one entry knows of a target.

    Guards ejection: after failures in a row a target gets no work for a while that
    doubles each time, and one success clears it.
    """

    def __init__(self, target_id: str, data_centre: str) -> None:
        """
        Start without knowledge of load.

        :param target_id: the target's name.
        :param data_centre: where it stands.
        """
        self.target_id = target_id
        self.data_centre = data_centre
        self.load = link_pb2.Load(accepting=True)
        self.prefill_since_report = 0
        self.sent_since_report = 0
        self.in_flight = 0
        self._failures = 0
        self._ejections = 0
        self._ejected_until = 0.0

    def is_available(self, now: float) -> bool:
        """Tell whether it may get work now."""
        return self.load.accepting and now >= self._ejected_until

    def reported(self, load: link_pb2.Load) -> None:
        """Take a load report, which counts all that was sent before it."""
        self.load = load
        self.prefill_since_report = 0
        self.sent_since_report = 0

    def sent(self, prefill_tokens: int) -> None:
        """Count work that no report shows yet."""
        self.in_flight += 1
        self.sent_since_report += 1
        self.prefill_since_report += prefill_tokens

    def ended(self) -> None:
        """Count one attempt less."""
        self.in_flight -= 1

    def succeeded(self) -> None:
        """Clear the record of failures."""
        self._failures = 0
        self._ejections = 0

    def failed(self, now: float, settings: RoutingSettings) -> bool:
        """
        Count a failure.

        :returns: whether the target is ejected by it.
        """
        self._failures += 1
        if self._failures < settings.ejection_failures:
            return False
        pause = settings.ejection_time * 2**self._ejections
        self._ejected_until = now + min(pause, settings.ejection_most)
        self._ejections = min(self._ejections + 1, 16)
        self._failures = 0
        return True

    def streams(self) -> int:
        """Count answers under way or waiting there, with those sent since."""
        return self.load.running + self.load.waiting + self.sent_since_report

    def prefill_delay(self, settings: RoutingSettings, tokens: int) -> float:
        """
        Predict when a prompt would be read.

        :param settings: rates by role.
        :param tokens: work of the prompt.
        :returns: seconds.
        """
        rate = settings.prefill_rate
        if self.load.role == PREFILL:
            rate = settings.prefill_role_rate
        elif self.load.role == DECODE:
            rate = settings.decode_role_rate
        backlog = self.load.prefill_tokens + self.prefill_since_report
        return (backlog + tokens) / rate


class PrefixMemory:
    """
    Remembers which targets read which beginnings of prompts, bounded.

    What an engine's cache still holds is only guessed from it.
    """

    def __init__(self, most: int) -> None:
        """
        Start empty.

        :param most: beginnings kept.
        """
        self._most = most
        self._targets_by_prefix: OrderedDict[int, set[str]] = OrderedDict()

    def note(self, request: Request, target_id: str) -> None:
        """Remember that a target read a request's prompt."""
        for prefix in request.prefixes:
            targets = self._targets_by_prefix.setdefault(prefix, set())
            targets.add(target_id)
            self._targets_by_prefix.move_to_end(prefix)
        while len(self._targets_by_prefix) > self._most:
            self._targets_by_prefix.popitem(last=False)

    def forget(self, target_id: str) -> None:
        """Take note that a target's cache is gone."""
        for targets in self._targets_by_prefix.values():
            targets.discard(target_id)

    def expected_tokens(self, request: Request, target_id: str) -> int:
        """
        Guess how much of a prompt a target holds.

        :returns: tokens.
        """
        held = 0
        for prefix, tokens in zip(request.prefixes, PREFIX_TOKENS, strict=False):
            if target_id not in self._targets_by_prefix.get(prefix, ()):
                break
            held = tokens
        return held

    def holders(self, request: Request) -> set[str]:
        """Name the targets that read the longest known beginning of a prompt."""
        for prefix in reversed(request.prefixes):
            targets = self._targets_by_prefix.get(prefix)
            if targets:
                return targets
        return set()


class TargetPool:
    """
    The targets of one service that are linked, found without scanning them all.

    A ring of hashed names gives each key a stable order of targets that changes
    little when one comes or goes.
    """

    def __init__(self) -> None:
        """Start empty."""
        self.targets_by_id: dict[str, TargetState] = {}
        self._ids_by_data_centre: dict[str, list[str]] = {}
        self._ring: list[tuple[int, str]] = []

    def add(self, target: TargetState) -> None:
        """Take a target in; does nothing if it is there."""
        if target.target_id in self.targets_by_id:
            return
        self.targets_by_id[target.target_id] = target
        self._ids_by_data_centre.setdefault(target.data_centre, []).append(
            target.target_id
        )
        bisect.insort(self._ring, (_hash(target.target_id), target.target_id))

    def remove(self, target_id: str) -> None:
        """Take a target out; does nothing if it is not there."""
        target = self.targets_by_id.pop(target_id, None)
        if target is None:
            return
        self._ids_by_data_centre[target.data_centre].remove(target_id)
        self._ring.remove((_hash(target_id), target_id))

    def replace(self, targets: list[TargetState]) -> None:
        """
        Hold exactly these targets.

        :param targets: each under its own name.
        """
        wanted_by_id = {target.target_id: target for target in targets}
        for target_id, target in list(self.targets_by_id.items()):
            if wanted_by_id.get(target_id) is not target:
                self.remove(target_id)
        for target in targets:
            self.add(target)

    def in_order(self, key: int) -> Iterator[TargetState]:
        """
        Walk the ring.

        :param key: where to begin.
        :returns: each target once, in the key's own order.
        """
        start = bisect.bisect_left(self._ring, (key, ""))
        for step in range(len(self._ring)):
            _, target_id = self._ring[(start + step) % len(self._ring)]
            yield self.targets_by_id[target_id]

    def sample(self, data_centre: str, count: int, random: Random) -> list[TargetState]:
        """
        Draw targets of one data centre.

        :param count: at most so many.
        :returns: all of them if there are no more, else a random choice.
        """
        ids = self._ids_by_data_centre.get(data_centre, [])
        if len(ids) > count:
            ids = random.sample(ids, count)
        return [self.targets_by_id[target_id] for target_id in ids]

    def sample_elsewhere(
        self, data_centre: str, count: int, random: Random
    ) -> list[TargetState]:
        """Draw targets of the other data centres, at most ``count`` of each."""
        return [
            target
            for other in self._ids_by_data_centre
            if other != data_centre
            for target in self.sample(other, count, random)
        ]


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
        is_reader = target.load.role == PREFILL
        if is_reader and not (is_long and settings.split):
            delay += settings.misplaced_cost
        elif is_long and not is_reader:
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
            return Err(NoTarget(f"no target of {request.service} is available", 1.0))
        return Ok(target)


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
    order = list(pool.in_order(_hash(f"{request.service}/{partition}")))
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


def _hash(text: str) -> int:
    return xxhash.xxh3_64_intdigest(text.encode())
