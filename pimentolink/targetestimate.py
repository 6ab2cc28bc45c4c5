"""One gateway's estimate of a target: state, work in progress, speed and health."""

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

# Weight of the latest outcome in the moving average of failures. Roughly the last ten
# outcomes determine it.
OUTCOME_SMOOTHING = 0.1
# Seconds beyond three times its predicted time to completion after which a prefill no
# longer counts. Without a limit, a prefill started by another gateway whose end message
# was lost would count forever.
PREFILL_EXPIRY_MARGIN = 2.0
# Seconds for which a target that refused a connection gets no work. The next request
# after that tries it again, so that a restarted target is soon back in use.
CONNECTION_REFUSED_PAUSE = 0.25
# Copy rate, in tokens per second, of a target without an engine model. Nothing is ever
# fetched from such a target.
DEFAULT_COPY_RATE = 1e9


class EngineRole(enum.Enum):
    """Role of an inference engine; other targets have none."""

    NONE = "none"
    PREFILL = "reader"
    DECODE = "writer"


class Target(NamedTuple):
    """
    A target as it stands in the list of instances.

    :ivar target_id: its name, which a restart may keep.
    :ivar born: start time of this incarnation in Unix milliseconds; 0 if unknown. A
        restarted target keeps no state of its previous incarnation.
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
        """Key of this incarnation in messages between gateways."""
        return target_key(self.target_id, self.born)


class EngineReport(NamedTuple):
    """
    An engine's report of its own state.

    :ivar is_busy: whether it is executing an order.
    :ivar orders_accepted: number of orders accepted since its start.
    :ivar born: start time of the engine in Unix milliseconds; 0 if unknown.
    """

    role: EngineRole
    is_busy: bool
    orders_accepted: int
    born: int = 0

    def is_from(self, target: Target) -> bool:
        """
        Return whether the listed incarnation of a target sent this report.

        An unknown start time on either side counts as a match.
        """
        return not self.born or not target.born or self.born == target.born


def prefill_ticket(incarnation: str, number: int) -> str:
    """
    Return an identifier of a prefill that is unique across gateways.

    :param incarnation: identity of this incarnation of the gateway's process.
    :param number: sequence number of the prefill within that incarnation.
    """
    return f"{incarnation}-{number}"


class Prefill(NamedTuple):
    """
    A prefill that is running or queued at an engine.

    :ivar tokens: tokens to compute.
    :ivar copied: tokens whose KV cache the engine first fetches from another engine.
    :ivar arrives_at: when the prompt reaches the engine; work on it starts no earlier.
    :ivar expires_at: when it no longer counts, even if its end was never reported.
    """

    tokens: int
    copied: int
    parts: tuple[PromptPart, ...]
    arrives_at: float
    expires_at: float


class TargetEstimate:
    """Estimated state of one target, from the list of instances and from outcomes."""

    def __init__(
        self, target: Target, costs: ServiceCosts, index: PrefixCacheIndex
    ) -> None:
        """
        Create an estimate without any load.

        :param target: as listed.
        :param costs: measured prefill and copy costs of the service's engines.
        :param index: index of cached prompt parts, updated for this target.
        """
        self.target = target
        self._costs = costs
        # Prefill time at this engine relative to predictions for its role.
        self.slowness = Slowness()
        self._last_prefill_end = 0.0
        self._copy_rate = DEFAULT_COPY_RATE
        # `parts` is what the prefix cache will hold once all prefills sent there are
        # done; `fetchable` is what it holds already and other engines can fetch.
        self.parts = PrefixCacheEstimate(target.target_id, index)
        self.fetchable = PrefixCacheEstimate(target.target_id)
        self.prefills_by_ticket: dict[str, Prefill] = {}
        self.in_flight = 0
        self.streams_by_peer: dict[str, int] = {}
        self.missing_since: float | None = None
        # Whether the target has restarted since, so that the cache contents of this
        # incarnation are lost.
        self.is_replaced = False
        # The next listed incarnation, for requests that still refer to this one.
        self.successor: TargetEstimate | None = None
        self.changing_until = 0.0
        self.refusing_until = 0.0
        self.failure_share = 0.0
        self._consecutive_failures = 0
        self._consecutive_ejections = 0
        self.ejected_until = 0.0

    def set_model(self, model: EngineModel | None) -> None:
        """
        Set the properties of the engines of its service.

        :param model: ``None`` if the service has no model engines.
        """
        self._copy_rate = model.copy_rate if model else DEFAULT_COPY_RATE
        for cache in (self.parts, self.fetchable):
            cache.capacity_tokens = model.cache_tokens if model else 0

    def load(self) -> int:
        """Return the number of requests in progress here, from all gateways."""
        return self.in_flight + sum(self.streams_by_peer.values())

    def streams(self) -> int:
        """Return the number of responses being generated; prefills do not count."""
        return max(0, self.load() - len(self.prefills_by_ticket))

    def is_usable(self, now: float) -> bool:
        """Return whether it may receive new work."""
        return (
            not self.target.is_leaving
            and self.missing_since is None
            and now >= self.changing_until
            and now >= self.refusing_until
        )

    def is_ejected(self, now: float) -> bool:
        """Return whether repeated failures currently keep it from new work."""
        return now < self.ejected_until

    @property
    def is_decode_engine(self) -> bool:
        """Whether it generates responses, besides prefills."""
        return self.target.role is EngineRole.DECODE

    @property
    def has_measured_costs(self) -> bool:
        """Whether predictions for it are based on measured prefills."""
        return self._costs.is_known(self.is_decode_engine)

    def prefill_time(self, tokens: int) -> float:
        """
        Predict the duration of a prefill, without its time in the queue.

        :param tokens: tokens to compute.
        :returns: seconds.
        """
        is_decode_engine = self.is_decode_engine
        slowness = (
            self.slowness.factor / self._costs.typical_slowness(is_decode_engine).factor
        )
        return slowness * self._costs.seconds(tokens, is_decode_engine)

    def copy_time(self, tokens: int) -> float:
        """
        Predict how long fetching KV cache from another engine takes.

        :param tokens: tokens to fetch.
        :returns: seconds.
        """
        if not tokens:
            return 0.0
        return self._costs.copy_overhead + tokens / self._copy_rate

    def backlog(self, now: float) -> float:
        """
        Predict when all prefills running or queued there are done.

        :returns: seconds from now.
        """
        if not self.prefills_by_ticket:
            return 0.0
        self._drop_expired(now)
        prefills = self.prefills_by_ticket.values()
        total = sum(self._prefill_time(prefill) for prefill in prefills)
        # Only the first prefill is running; the others are queued behind it.
        first = next(iter(prefills), None)
        if first is None:
            return 0.0
        started_at = max(first.arrives_at, self._last_prefill_end)
        elapsed = min(max(0.0, now - started_at), 0.9 * self._prefill_time(first))
        return max(0.0, total - elapsed)

    def _prefill_time(self, prefill: Prefill) -> float:
        return self.prefill_time(prefill.tokens) + self.copy_time(prefill.copied)

    def _drop_expired(self, now: float) -> None:
        expired_tickets = [
            ticket
            for ticket, prefill in self.prefills_by_ticket.items()
            if now > prefill.expires_at
        ]
        for ticket in expired_tickets:
            del self.prefills_by_ticket[ticket]

    def start_prefill(
        self,
        ticket: str,
        tokens: int,
        parts: Iterable[PromptPart],
        now: float,
        copied: int = 0,
        transmission_delay: float = 0.0,
    ) -> None:
        """
        Add a prefill that this or another gateway sent there.

        :param copied: tokens whose KV cache it first fetches from another engine.
        :param transmission_delay: seconds until the prompt reaches the engine.
        """
        expected = transmission_delay + self.backlog(now) + self.prefill_time(tokens)
        expires_at = now + 3 * expected + PREFILL_EXPIRY_MARGIN
        prefill = Prefill(
            tokens, copied, tuple(parts), now + transmission_delay, expires_at
        )
        self.prefills_by_ticket[ticket] = prefill
        self.parts.record_use(prefill.parts)

    def end_prefill(self, ticket: str, is_good: bool, now: float) -> float | None:
        """
        Remove a prefill that ended, and update cache contents and costs from it.

        Engines process prompts one at a time, so the prefill occupied the engine from
        its arrival, or from the end of the previous prefill if that was later.

        :param is_good: whether it succeeded, so that its parts are in the cache.
        :returns: seconds for which it occupied the engine; ``None`` if the ticket is
            unknown or the prefill failed.
        """
        prefill = self.prefills_by_ticket.pop(ticket, None)
        if prefill is None:
            return None
        busy_since = max(prefill.arrives_at, self._last_prefill_end)
        self._last_prefill_end = now
        if not is_good:
            return None
        self.fetchable.record_use(prefill.parts)
        took = max(0.0, now - busy_since)
        self._update_costs(prefill, took)
        return took

    def drop_prefill(self, ticket: str) -> None:
        """Remove a prefill whose end was not observed, without updating any cost."""
        self.prefills_by_ticket.pop(ticket, None)

    def _update_costs(self, prefill: Prefill, took: float) -> None:
        if prefill.copied:
            transfer_time = prefill.copied / self._copy_rate
            work = self.prefill_time(prefill.tokens)
            self._costs.learn_copy(took - work - transfer_time)
            return
        usual = self._costs.seconds(prefill.tokens, self.is_decode_engine)
        if self.has_measured_costs:
            self.slowness.learn(usual, took)
            self._costs.typical_slowness(self.is_decode_engine).learn(usual, took)
        self._costs.cost_model(self.is_decode_engine).learn(prefill.tokens, took)

    def fetched(self, parts: tuple[PromptPart, ...]) -> None:
        """Record that it fetched a prompt, which it caches like one of its own."""
        self.parts.record_use(parts)
        self.fetchable.record_use(parts)

    def outcome(self, is_good: bool) -> None:
        """Record the outcome of an attempt; a success ends a series of failures."""
        sample = 0.0 if is_good else 1.0
        self.failure_share += OUTCOME_SMOOTHING * (sample - self.failure_share)
        if is_good:
            self._consecutive_failures = 0
            self._consecutive_ejections = 0

    def record_refused_connection(self, now: float) -> None:
        """
        Record that the target refused a connection, so that nothing listens there.

        Unlike an ejection, this applies even to the last target of a service.
        """
        self.refusing_until = now + CONNECTION_REFUSED_PAUSE

    def clear_failures(self) -> None:
        """Clear the failure counts and end an ejection."""
        self.failure_share = 0.0
        self._consecutive_failures = 0
        self._consecutive_ejections = 0
        self.ejected_until = 0.0

    def failed(self, now: float, settings: EjectionSettings) -> bool:
        """
        Record a failed attempt.

        :returns: whether it ejects the target.
        """
        self._consecutive_failures += 1
        if (
            self._consecutive_failures < settings.failures
            and self._consecutive_ejections == 0
        ):
            return False
        pause = min(settings.most, settings.first * 2**self._consecutive_ejections)
        self.ejected_until = now + pause
        self._consecutive_ejections = min(self._consecutive_ejections + 1, 16)
        self._consecutive_failures = 0
        return True
