"""Balances the prefill and decode roles among the engines of a service."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import NamedTuple

from pimentolink.fleet import Fleet
from pimentolink.gatewaysettings import RoleSettings
from pimentolink.targetestimate import EngineRole, TargetEstimate

# Smallest share of the cost of a change that is charged for an idle engine, since its
# responses in flight must end and the order itself takes time.
MIN_CHANGE_COST_SHARE = 0.2


class RoleChange(NamedTuple):
    """
    A decision to change the role of one engine.

    :ivar streams: responses being generated when the decision was taken.
    :ivar unmet: prefill work of rejected prompts at that time, in engine seconds per
        second.
    :ivar regret: engine seconds that the current roles have cost so far.
    :ivar readers: number of prefill engines that the service should have.
    """

    estimate: TargetEstimate
    role: EngineRole
    streams: float
    unmet: float
    regret: float
    readers: int


class _ServiceState:
    """
    Observed load of one service.

    :ivar regret: decayed sum of the engine seconds that decode engines lacked, minus
        those that prefill engines lacked.
    :ivar prefill_utilization: share of the time for which prefill engines were busy;
        stays at 1 until they get their first prompt, as it is unknown before.
    """

    def __init__(self) -> None:
        self.streams = 0.0
        self.unmet = 0.0
        self.regret = 0.0
        self.has_had_load = False
        self.has_had_prefills = False
        self.prefill_utilization = 1.0
        # Engines that are changing their role; the list of instances shows it late.
        self.changing_by_id: dict[str, EngineRole] = {}
        self.observed_at: float | None = None
        self.changed_at: float | None = None


class RoleBalancer:
    """
    Changes an engine's role once keeping it has cost more than the change.

    Load pattern: phases of a few seconds each, alternating between long prompts with
    short responses and long responses. A change makes an engine unavailable while its
    responses end and while it switches, and changing it back does so again, so a phase
    that is too short to recover this cost causes no change. Rejected prompts measure
    the shortage of prefill engines, responses without a slot that of decode engines.
    A prefill at a decode engine is not counted as a response: with such counting, a
    burst of prompts turned three of four prefill engines into decode engines within
    7 s, and the rest of the burst was rejected.
    """

    def __init__(self, settings: RoleSettings, fleet: Fleet) -> None:
        """
        Create a balancer without observations.

        :param settings: shares, horizon and pauses.
        :param fleet: the known engines.
        """
        self._settings = settings
        self._fleet = fleet
        self._services_by_name: dict[str, _ServiceState] = {}
        # Returns the prefill work rejected by all gateways (engine seconds per second).
        self.unmet_prefill: Callable[[str], float] = lambda service: 0.0

    def observe(self, service: str, now: float) -> None:
        """Record the shortage of decode and prefill engines; called periodically."""
        state = self._services_by_name.setdefault(service, _ServiceState())
        decode_engines = self._of_role(service, EngineRole.DECODE)
        prefill_engines = self._of_role(service, EngineRole.PREFILL)
        state.streams = float(
            sum(decode_engine.streams() for decode_engine in decode_engines)
        )
        state.unmet = self.unmet_prefill(service)
        if state.streams or any(
            engine.prefills_by_ticket for engine in prefill_engines
        ):
            state.has_had_load = True
        elapsed = now - (now if state.observed_at is None else state.observed_at)
        state.observed_at = now
        self._observe_prefill_engines(state, prefill_engines, elapsed, now)
        if not decode_engines:
            return
        shortage = max(
            0.0, state.streams / self._slots(decode_engines) - len(decode_engines)
        )
        state.regret *= math.exp(-elapsed / self._settings.horizon)
        state.regret += elapsed * (shortage - state.unmet)

    def _observe_prefill_engines(
        self,
        state: _ServiceState,
        prefill_engines: list[TargetEstimate],
        elapsed: float,
        now: float,
    ) -> None:
        busy = sum(engine.backlog(now) > 0 for engine in prefill_engines)
        state.has_had_prefills = state.has_had_prefills or busy > 0
        if state.has_had_prefills and prefill_engines:
            weight = 1 - math.exp(-elapsed / self._settings.horizon)
            state.prefill_utilization += weight * (
                busy / len(prefill_engines) - state.prefill_utilization
            )

    def decide(self, service: str, now: float) -> RoleChange | None:
        """
        Return the most urgent role change.

        :returns: ``None`` if the roles fit the load, or during the pause after a
            change.
        """
        state = self._services_by_name.setdefault(service, _ServiceState())
        self._update_changing(service, state, now)
        if (
            state.changed_at is not None
            and now - state.changed_at < self._settings.pause
        ):
            return None
        return self._next_change(service, state, state.regret, now)

    def decide_all(self, service: str, now: float) -> list[RoleChange]:
        """
        Return all role changes that are due, the most urgent first.

        Load pattern: a large fleet that starts. With one change per second, the
        changes lasted for the first 11 s of load, and the store notified all gateways
        of each one.

        :returns: so many that at most the configured share of the engines is changing
            at a time, earlier changes included.
        """
        changes: list[RoleChange] = []
        change = self.decide(service, now)
        state = self._services_by_name[service]
        regret = state.regret
        while change is not None:
            changes.append(change)
            state.changing_by_id[change.estimate.target.target_id] = change.role
            regret -= self._regret_covered(service, state, regret)
            change = self._next_change(service, state, regret, now)
        return changes

    def _next_change(
        self, service: str, state: _ServiceState, regret: float, now: float
    ) -> RoleChange | None:
        prefill_engines = self._of_role(service, EngineRole.PREFILL)
        decode_engines = self._of_role(service, EngineRole.DECODE)
        count = len(prefill_engines) + len(decode_engines)
        limit = max(1, int(count * self._settings.most_changing))
        if not count or len(state.changing_by_id) >= limit:
            return None
        decode_engines_wanted = self._decode_engines_wanted(
            service, state, regret, prefill_engines, decode_engines
        )
        free_decode_engines = [
            item for item in decode_engines if not _is_changing(item, state)
        ]
        free_prefill_engines = [
            item for item in prefill_engines if not _is_changing(item, state)
        ]
        if len(decode_engines) > decode_engines_wanted and free_decode_engines:
            idlest = min(
                free_decode_engines,
                key=lambda engine: _reassignment_rank(engine, decode_engines),
            )
            return self._role_change(
                service, state, idlest, EngineRole.PREFILL, decode_engines_wanted
            )
        if len(decode_engines) < decode_engines_wanted and free_prefill_engines:
            idlest = min(free_prefill_engines, key=lambda engine: engine.backlog(now))
            return self._role_change(
                service, state, idlest, EngineRole.DECODE, decode_engines_wanted
            )
        return None

    def record_order(self, service: str, now: float) -> None:
        """Record that a change was ordered, and subtract its cost from the regret."""
        state = self._services_by_name.setdefault(service, _ServiceState())
        state.changed_at = now
        state.regret -= self._regret_covered(service, state, state.regret)

    def record_accepted(self, service: str, change: RoleChange) -> None:
        """Record that an engine accepted an order and is changing its role."""
        state = self._services_by_name.setdefault(service, _ServiceState())
        state.changing_by_id[change.estimate.target.target_id] = change.role

    def _decode_engines_wanted(
        self,
        service: str,
        state: _ServiceState,
        regret: float,
        prefill_engines: list[TargetEstimate],
        decode_engines: list[TargetEstimate],
    ) -> int:
        count = len(prefill_engines) + len(decode_engines)
        minimum = self._min_decode_engines(count)
        if not state.has_had_load:
            # No request is in progress that a change could disturb.
            return minimum
        if len(decode_engines) < minimum:
            return len(decode_engines) + 1
        change_cost = self._change_cost(service)
        if (
            regret > self._prefill_engine_change_cost(service, state)
            and len(prefill_engines) > 1
        ):
            return len(decode_engines) + 1
        has_surplus = state.streams <= (len(decode_engines) - 1) * self._slots(
            decode_engines
        )
        if regret < -change_cost and has_surplus and len(decode_engines) > minimum:
            return len(decode_engines) - 1
        return len(decode_engines)

    def _min_decode_engines(self, count: int) -> int:
        minimum = math.ceil(count * self._settings.least_share)
        if count >= self._settings.least_from:
            minimum = max(minimum, self._settings.least_count)
        # Without a decode engine there are no responses, so a lone engine must be one.
        return max(1, min(count - 1, minimum))

    def _regret_covered(
        self, service: str, state: _ServiceState, regret: float
    ) -> float:
        """Return the part of a regret that one change compensates."""
        return max(
            -self._change_cost(service),
            min(self._prefill_engine_change_cost(service, state), regret),
        )

    def _prefill_engine_change_cost(self, service: str, state: _ServiceState) -> float:
        """
        Return the engine seconds of prefill lost by turning a prefill engine to decode.

        Load pattern: a burst of long responses while prefill engines are mostly idle.
        With the cost of busy engines, 235 responses shared 160 slots for 7 s before the
        first change.
        """
        return max(
            MIN_CHANGE_COST_SHARE, state.prefill_utilization
        ) * self._change_cost(service)

    def _change_cost(self, service: str) -> float:
        """Return the engine seconds lost by changing a role and changing it back."""
        model = self._fleet.model(service)
        return 2 * model.switch_time if model is not None else 0.0

    def _slots(self, decode_engines: list[TargetEstimate]) -> float:
        """Return how many concurrent responses one decode engine should have."""
        return max(1, decode_engines[0].target.slots) * self._settings.fill

    def _update_changing(self, service: str, state: _ServiceState, now: float) -> None:
        """Update the set of changing engines, whichever gateway ordered the change."""
        changing: dict[str, EngineRole] = {}
        for engine in self._fleet.of_service(service):
            if now < engine.changing_until:
                name, role = engine.target.target_id, engine.target.role
                changing[name] = state.changing_by_id.get(name, role)
        state.changing_by_id = changing

    def _of_role(self, service: str, role: EngineRole) -> list[TargetEstimate]:
        """Return the engines that have a role or are changing to it."""
        changing_by_id = self._services_by_name[service].changing_by_id
        return [
            engine
            for engine in self._fleet.of_service(service)
            if changing_by_id.get(engine.target.target_id, engine.target.role) is role
            and not engine.target.is_leaving
            and engine.missing_since is None
        ]

    def _role_change(
        self,
        service: str,
        state: _ServiceState,
        estimate: TargetEstimate,
        role: EngineRole,
        decode_engines_wanted: int,
    ) -> RoleChange:
        prefill_engine_count = (
            len(self._fleet.of_service(service)) - decode_engines_wanted
        )
        return RoleChange(
            estimate,
            role,
            state.streams,
            state.unmet,
            state.regret,
            prefill_engine_count,
        )


def _is_changing(engine: TargetEstimate, state: _ServiceState) -> bool:
    return engine.target.target_id in state.changing_by_id


def _reassignment_rank(
    engine: TargetEstimate, decode_engines: list[TargetEstimate]
) -> tuple[int, int]:
    """
    Return the sort key of a decode engine for a change to prefill, lowest first.

    Takes engines from the data centre with the most decode engines, so that each keeps
    some: fetching KV cache from another data centre costs more.
    """
    same_data_centre = [
        other
        for other in decode_engines
        if other.target.data_centre == engine.target.data_centre
    ]
    return -len(same_data_centre), engine.load()
