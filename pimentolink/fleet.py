"""All targets that one gateway knows, by name, service and role."""

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

# Seconds after a freeze in which failures are taken for its consequences.
THAW_GRACE = 1.0
# Targets of one role that are compared for one decision. With more, those that hold
# parts of the prompt and a random sample are, so that a decision's time does not grow
# with the service.
MAX_COMPARED = 64
# Of these, targets that hold parts of the prompt.
MAX_HOLDERS = 16


class _Group:
    """The targets of one service in one role."""

    def __init__(self, is_own: Callable[[Target], bool]) -> None:
        self.estimates_by_id: dict[str, TargetEstimate] = {}
        self._is_own = is_own
        self._own: list[TargetEstimate] | None = None

    def add(self, estimate: TargetEstimate) -> None:
        self.estimates_by_id[estimate.target.target_id] = estimate
        self._own = None

    def remove(self, estimate: TargetEstimate) -> None:
        self.estimates_by_id.pop(estimate.target.target_id, None)
        self._own = None

    def divide(self) -> None:
        """Learn that cells have changed."""
        self._own = None

    def own(self) -> list[TargetEstimate]:
        """List those of the own cell; the list is kept until the next change."""
        if self._own is None:
            beliefs = self.estimates_by_id.values()
            self._own = [
                estimate for estimate in beliefs if self._is_own(estimate.target)
            ]
        return self._own


class Fleet:
    """All targets that a gateway knows, by name and by service."""

    def __init__(
        self, placement: PlacementSettings, ejection: EjectionSettings, random: Random
    ) -> None:
        """
        Start without targets.

        :param placement: rates to begin with.
        :param ejection: when targets get no work for a while.
        :param random: seeded source, for samples of large services.
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
        self._forgiven_until = 0.0
        self._waiting_by_gateway: dict[str, dict[str, float]] = {}
        self._cells = Cells()
        self._cell = 0

    def update_waiting(self, gateway: str, work_by_service: dict[str, float]) -> None:
        """
        Learn what waits at another gateway.

        :param work_by_service: seconds that reading it takes one engine; empty if
            nothing waits or the gateway is silent.
        """
        if work_by_service:
            self._waiting_by_gateway[gateway] = work_by_service
        else:
            self._waiting_by_gateway.pop(gateway, None)

    def waiting_elsewhere(self, service: str) -> float:
        """Tell how many engine seconds of reading wait at other gateways."""
        return sum(
            work_by_service.get(service, 0.0)
            for work_by_service in self._waiting_by_gateway.values()
        )

    def divide(self, cells: Cells, cell: int) -> None:
        """
        Learn which targets this gateway shares with gateways that tell it their load.

        :param cells: of the deployment.
        :param cell: that this gateway belongs to.
        """
        self._cells, self._cell = cells, cell
        for groups in self._groups_by_service.values():
            for group in groups.values():
                group.divide()

    def _is_own(self, target: Target) -> bool:
        return self._cells.of(target.target_id, target.data_centre) == self._cell

    def set_models(self, models_by_service: dict[str, EngineModel | None]) -> None:
        """Learn which services have engines, and of which model."""
        self._models_by_service = models_by_service
        for estimate in self.targets_by_id.values():
            estimate.set_model(models_by_service.get(estimate.target.service))

    def model(self, service: str) -> EngineModel | None:
        """Tell what is known of a service's engines; ``None`` for other services."""
        return self._models_by_service.get(service)

    def put(self, target: Target) -> TargetEstimate:
        """
        Take a target in, or what has changed of it.

        A target that started again is believed anew from nothing: with the belief of
        its earlier life, prompts were sent after parts and KV caches that were gone.
        What an earlier life told late changes nothing.
        """
        known = self.targets_by_id.get(target.target_id)
        if known is not None and target.born < known.target.born:
            return known
        if known is not None and target.born > known.target.born:
            self._replace(known)
            known = None
        if known is None:
            known = TargetEstimate(target, self.costs(target.service), self._index)
            known.set_model(self._models_by_service.get(target.service))
            self.targets_by_id[target.target_id] = known
            self._estimates_by_key[target.key] = known
        else:
            self._group(known.target).remove(known)
        if target.role is not known.target.role:
            known.changing_until = 0.0
            known.slowness = Slowness()
        known.target = target
        known.missing_since = None
        self._group(target).add(known)
        return known

    def _replace(self, estimate: TargetEstimate) -> None:
        """Keep work that refers to a life that ended from using it."""
        self.remove(estimate.target.target_id)
        estimate.is_replaced = True
        estimate.missing_since = estimate.missing_since or 0.0

    def remove(self, target_id: str) -> TargetEstimate | None:
        """Forget a target that is gone."""
        estimate = self.targets_by_id.pop(target_id, None)
        if estimate is not None:
            self._group(estimate.target).remove(estimate)
            estimate.parts.forget()
            if self._estimates_by_key.get(estimate.target.key) is estimate:
                del self._estimates_by_key[estimate.target.key]
        return estimate

    def find(self, key: int) -> TargetEstimate | None:
        """
        Find a target as other gateways name it.

        :param key: see :func:`~pimentolink.peermessages.target_key`.
        """
        return self._estimates_by_key.get(key)

    def _group(self, target: Target) -> _Group:
        groups = self._groups_by_service.setdefault(target.service, {})
        return groups.setdefault(target.role, _Group(self._is_own))

    def of_service(self, service: str) -> list[TargetEstimate]:
        """List the targets of a service."""
        groups = self._groups_by_service.get(service, {}).values()
        return [
            estimate for group in groups for estimate in group.estimates_by_id.values()
        ]

    def usable(
        self, service: str, now: float, parts: tuple[PromptPart, ...] = ()
    ) -> list[TargetEstimate]:
        """
        List targets of a service that may get work.

        Ejected ones are left out as long as enough others of their role remain. Of a
        large service, some of each role are listed. Targets of other cells are listed
        if none of the own cell takes work, since their load is not known here.

        :param parts: of a prompt; those that hold some of it are listed first.
        """
        found: list[TargetEstimate] = []
        for group in self._groups_by_service.get(service, {}).values():
            compared = self._compared(group, parts)
            able = [estimate for estimate in compared if estimate.is_usable(now)]
            if not able and len(compared) < len(group.estimates_by_id):
                every = group.estimates_by_id.values()
                able = [estimate for estimate in every if estimate.is_usable(now)]
            found += self._healthy(able, now)
        return found

    def usable_count(self, service: str, now: float) -> float:
        """Estimate how many targets of a service take work, of a large one by some."""
        groups = self._groups_by_service.get(service, {}).values()
        listed = sum(len(group.own()) for group in groups)
        seen = sum(min(len(group.own()), MAX_COMPARED) for group in groups)
        if not listed:
            return float(len(self.usable(service, now)))
        return len(self.usable(service, now)) * listed / max(1, seen)

    def _compared(
        self, group: _Group, parts: tuple[PromptPart, ...]
    ) -> list[TargetEstimate]:
        """Choose whom to compare: all, or who holds the prompt and a sample."""
        own = group.own()
        if len(own) <= MAX_COMPARED:
            return own
        chosen = {
            target_id: group.estimates_by_id[target_id]
            for target_id in self._index.owners(parts, MAX_HOLDERS)
            if target_id in group.estimates_by_id
            and self._is_own(group.estimates_by_id[target_id].target)
        }
        for estimate in self._random.sample(own, MAX_COMPARED - len(chosen)):
            chosen[estimate.target.target_id] = estimate
        return list(chosen.values())

    def _healthy(self, group: list[TargetEstimate], now: float) -> list[TargetEstimate]:
        healthy = [estimate for estimate in group if not estimate.is_ejected(now)]
        least = len(group) * (1 - self._ejection.most_share)
        return healthy if len(healthy) >= least else group

    def forgive(self, now: float) -> None:
        """
        Forget failures, and count none for a while: this process stood still.

        Its own timeouts ran out meanwhile and its connections were given up; without
        this a gateway that stood still for 7 s ejected every target it knew.
        """
        self._forgiven_until = now + THAW_GRACE
        for estimate in self.targets_by_id.values():
            estimate.forgive()

    def failed(self, estimate: TargetEstimate, now: float) -> bool:
        """
        Count a failure of a target.

        :returns: whether it is ejected.
        """
        if now < self._forgiven_until:
            return False
        return estimate.failed(now, self._ejection)

    def costs(self, service: str) -> ServiceCosts:
        """Tell what was learned of a service's engines, over lives of each."""
        known = self._costs_by_service.get(service)
        if known is None:
            placement = self._placement
            known = ServiceCosts(placement.first_rate, placement.writer_share)
            self._costs_by_service[service] = known
        return known
