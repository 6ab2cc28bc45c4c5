"""Registry of the targets that a gateway knows, by name, service and role."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from pimentolink.cells import Cells
from pimentolink.dialect import PromptPart
from pimentolink.gatewaysettings import EjectionSettings, PlacementSettings
from pimentolink.prefillcost import ServiceCosts, Slowness
from pimentolink.prefixcache import PrefixCacheIndex
from pimentolink.routes import EngineModel
from pimentolink.targetestimate import EngineRole, Target, TargetEstimate

# Seconds after a stall of this process in which failures are attributed to the stall
# and not counted.
STALL_GRACE = 1.0
# Number of targets of one role compared for a placement decision. In a larger service,
# the candidates are targets that hold parts of the prompt and a random sample of the
# others, so that the time for a decision does not grow with the service.
MAX_CANDIDATES = 64
# Number of these candidates chosen because they hold parts of the prompt.
MAX_CACHE_HOLDERS = 16


class _Group:
    """The targets of one service in one role."""

    def __init__(self, is_in_own_cell: Callable[[Target], bool]) -> None:
        self.estimates_by_id: dict[str, TargetEstimate] = {}
        self._is_in_own_cell = is_in_own_cell
        self._in_own_cell: list[TargetEstimate] | None = None

    def add(self, estimate: TargetEstimate) -> None:
        self.estimates_by_id[estimate.target.target_id] = estimate
        self._in_own_cell = None

    def remove(self, estimate: TargetEstimate) -> None:
        self.estimates_by_id.pop(estimate.target.target_id, None)
        self._in_own_cell = None

    def update_cells(self) -> None:
        """Discard the cached list after a change of cells."""
        self._in_own_cell = None

    def in_own_cell(self) -> list[TargetEstimate]:
        """Return the targets in the own cell; the list is cached until a change."""
        if self._in_own_cell is None:
            estimates = self.estimates_by_id.values()
            self._in_own_cell = [
                estimate
                for estimate in estimates
                if self._is_in_own_cell(estimate.target)
            ]
        return self._in_own_cell


class Fleet:
    """The targets that a gateway knows, with their estimated load and health."""

    def __init__(
        self, placement: PlacementSettings, ejection: EjectionSettings, random: Random
    ) -> None:
        """
        Create a fleet without targets.

        :param placement: initial prefill rates.
        :param ejection: when repeated failures eject a target.
        :param random: seeded random generator, to sample large services.
        """
        self._placement = placement
        self._ejection = ejection
        self._random = random
        self.targets_by_id: dict[str, TargetEstimate] = {}
        self._estimates_by_key: dict[int, TargetEstimate] = {}
        self._groups_by_service: dict[str, dict[EngineRole, _Group]] = {}
        self._index = PrefixCacheIndex()
        self._costs_by_service: dict[str, ServiceCosts] = {}
        self._models_by_service: dict[str, EngineModel | None] = {}
        self._failures_ignored_until = 0.0
        self._prefill_work_by_gateway: dict[str, dict[str, float]] = {}
        self._cells = Cells()
        self._cell = 0

    def update_waiting(self, gateway: str, work_by_service: dict[str, float]) -> None:
        """
        Update the prefill work queued at another gateway.

        :param work_by_service: engine seconds by service; empty if nothing is queued
            or the gateway no longer sends updates.
        """
        if work_by_service:
            self._prefill_work_by_gateway[gateway] = work_by_service
        else:
            self._prefill_work_by_gateway.pop(gateway, None)

    def prefill_work_at_peers(self, service: str) -> float:
        """Return the engine seconds of prefill work queued at other gateways."""
        return sum(
            work_by_service.get(service, 0.0)
            for work_by_service in self._prefill_work_by_gateway.values()
        )

    def update_cells(self, cells: Cells, cell: int) -> None:
        """
        Set the cells, which decide the targets whose load this gateway learns.

        :param cells: cells of the deployment.
        :param cell: cell of this gateway.
        """
        self._cells, self._cell = cells, cell
        for groups in self._groups_by_service.values():
            for group in groups.values():
                group.update_cells()

    def _is_in_own_cell(self, target: Target) -> bool:
        return self._cells.of(target.target_id, target.data_centre) == self._cell

    def set_models(self, models_by_service: dict[str, EngineModel | None]) -> None:
        """Set the engine model of each service; ``None`` for those without engines."""
        self._models_by_service = models_by_service
        for estimate in self.targets_by_id.values():
            estimate.set_model(models_by_service.get(estimate.target.service))

    def model(self, service: str) -> EngineModel | None:
        """Return the engine model of a service; ``None`` if it has no engines."""
        return self._models_by_service.get(service)

    def put(self, target: Target) -> TargetEstimate:
        """
        Add a target, or update one that is listed already.

        A restarted target gets a new estimate: with that of its previous incarnation,
        prompts were placed for cached parts and KV caches that the restart had
        discarded. A late entry of a previous incarnation is ignored.
        """
        estimate = self.targets_by_id.get(target.target_id)
        if estimate is not None and target.born < estimate.target.born:
            return estimate
        replaced = None
        if estimate is not None and target.born > estimate.target.born:
            self._replace(estimate)
            replaced, estimate = estimate, None
        if estimate is None:
            estimate = TargetEstimate(target, self.costs(target.service), self._index)
            estimate.set_model(self._models_by_service.get(target.service))
            self.targets_by_id[target.target_id] = estimate
            self._estimates_by_key[target.key] = estimate
            if replaced is not None:
                replaced.successor = estimate
        else:
            self._group(estimate.target).remove(estimate)
        if target.role is not estimate.target.role:
            estimate.changing_until = 0.0
            estimate.slowness = Slowness()
        estimate.target = target
        estimate.missing_since = None
        self._group(target).add(estimate)
        return estimate

    def _replace(self, estimate: TargetEstimate) -> None:
        """Remove an ended incarnation, and mark its estimate as no longer usable."""
        self.remove(estimate.target.target_id)
        estimate.is_replaced = True
        estimate.missing_since = estimate.missing_since or 0.0

    def remove(self, target_id: str) -> TargetEstimate | None:
        """Remove a target that no longer exists; returns its estimate."""
        estimate = self.targets_by_id.pop(target_id, None)
        if estimate is not None:
            self._group(estimate.target).remove(estimate)
            estimate.parts.clear()
            if self._estimates_by_key.get(estimate.target.key) is estimate:
                del self._estimates_by_key[estimate.target.key]
        return estimate

    def find(self, key: int) -> TargetEstimate | None:
        """
        Find a target by its key in messages of other gateways.

        :param key: see :func:`~pimentolink.peermessages.target_key`.
        """
        return self._estimates_by_key.get(key)

    def _group(self, target: Target) -> _Group:
        groups = self._groups_by_service.setdefault(target.service, {})
        return groups.setdefault(target.role, _Group(self._is_in_own_cell))

    def of_service(self, service: str) -> list[TargetEstimate]:
        """Return all targets of a service."""
        groups = self._groups_by_service.get(service, {}).values()
        return [
            estimate for group in groups for estimate in group.estimates_by_id.values()
        ]

    def usable(
        self, service: str, now: float, parts: tuple[PromptPart, ...] = ()
    ) -> list[TargetEstimate]:
        """
        Return targets of a service that may receive work.

        Leaves out ejected targets as long as enough others of their role remain. In a
        large service, returns only a limited number of candidates per role. Returns
        targets of other cells only if none in the own cell is usable, since their load
        is not known here.

        :param parts: parts of a prompt; in a large service, targets that hold some of
            them come first.
        """
        found: list[TargetEstimate] = []
        for group in self._groups_by_service.get(service, {}).values():
            candidates = self._candidates(group, parts)
            usable_estimates = [
                estimate for estimate in candidates if estimate.is_usable(now)
            ]
            if not usable_estimates and len(candidates) < len(group.estimates_by_id):
                members = group.estimates_by_id.values()
                usable_estimates = [
                    estimate for estimate in members if estimate.is_usable(now)
                ]
            found += self._without_ejected(usable_estimates, now)
        return found

    def usable_count(self, service: str, now: float) -> float:
        """Return the number of usable targets; extrapolated in a large service."""
        groups = self._groups_by_service.get(service, {}).values()
        own_count = sum(len(group.in_own_cell()) for group in groups)
        candidate_count = sum(
            min(len(group.in_own_cell()), MAX_CANDIDATES) for group in groups
        )
        if not own_count:
            return float(len(self.usable(service, now)))
        return len(self.usable(service, now)) * own_count / max(1, candidate_count)

    def _candidates(
        self, group: _Group, parts: tuple[PromptPart, ...]
    ) -> list[TargetEstimate]:
        """Choose candidates: all, or holders of the prompt's parts and a sample."""
        in_own_cell = group.in_own_cell()
        if len(in_own_cell) <= MAX_CANDIDATES:
            return in_own_cell
        chosen = {
            target_id: group.estimates_by_id[target_id]
            for target_id in self._index.owners(parts, MAX_CACHE_HOLDERS)
            if target_id in group.estimates_by_id
            and self._is_in_own_cell(group.estimates_by_id[target_id].target)
        }
        for estimate in self._random.sample(in_own_cell, MAX_CANDIDATES - len(chosen)):
            chosen[estimate.target.target_id] = estimate
        return list(chosen.values())

    def _without_ejected(
        self, group: list[TargetEstimate], now: float
    ) -> list[TargetEstimate]:
        not_ejected = [estimate for estimate in group if not estimate.is_ejected(now)]
        minimum = len(group) * (1 - self._ejection.most_share)
        return not_ejected if len(not_ejected) >= minimum else group

    def clear_failures(self, now: float) -> None:
        """
        Clear all failures after a stall of this process, and ignore new ones briefly.

        During a stall its own timeouts expire and peers close its connections. Without
        this, a gateway that stalled for 7 s ejected every target it knew.
        """
        self._failures_ignored_until = now + STALL_GRACE
        for estimate in self.targets_by_id.values():
            estimate.clear_failures()

    def failed(self, estimate: TargetEstimate, now: float) -> bool:
        """
        Record a failure of a target.

        :returns: whether it is ejected.
        """
        if now < self._failures_ignored_until:
            return False
        return estimate.failed(now, self._ejection)

    def costs(self, service: str) -> ServiceCosts:
        """Return the measured costs of a service's engines; kept across restarts."""
        service_costs = self._costs_by_service.get(service)
        if service_costs is None:
            placement = self._placement
            service_costs = ServiceCosts(placement.first_rate, placement.writer_share)
            self._costs_by_service[service] = service_costs
        return service_costs
