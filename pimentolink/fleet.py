"""All targets that one gateway knows, by name, service and role."""

from __future__ import annotations

from pimentolink.gatewaysettings import EjectionSettings, PlacementSettings
from pimentolink.routes import EngineModel
from pimentolink.targetbelief import EngineRole, Target, TargetBelief

# Seconds after a freeze in which failures are taken for its consequences.
THAW_GRACE = 1.0


class Fleet:
    """All targets that a gateway knows, by name and by service."""

    def __init__(
        self, placement: PlacementSettings, ejection: EjectionSettings
    ) -> None:
        """
        Start without targets.

        :param placement: rates to begin with.
        :param ejection: when targets get no work for a while.
        """
        self._placement = placement
        self._ejection = ejection
        self.targets_by_id: dict[str, TargetBelief] = {}
        self._models_by_service: dict[str, EngineModel | None] = {}
        self._forgiven_until = 0.0

    def set_models(self, models_by_service: dict[str, EngineModel | None]) -> None:
        """Learn which services have engines, and of which model."""
        self._models_by_service = models_by_service

    def model(self, service: str) -> EngineModel | None:
        """Tell what is known of a service's engines; ``None`` for other services."""
        return self._models_by_service.get(service)

    def put(self, target: Target) -> TargetBelief:
        """Take a target in, or what has changed of it."""
        known = self.targets_by_id.get(target.target_id)
        if known is None:
            model = self._models_by_service.get(target.service)
            known = TargetBelief(target, model, self._placement)
            known.rate = self.usual_rate(target.service)
            self.targets_by_id[target.target_id] = known
        if target.role is not known.target.role:
            known.changing_until = 0.0
        known.target = target
        known.missing_since = None
        return known

    def remove(self, target_id: str) -> TargetBelief | None:
        """Forget a target that is gone."""
        return self.targets_by_id.pop(target_id, None)

    def of_service(self, service: str) -> list[TargetBelief]:
        """List the targets of a service."""
        return [
            belief
            for belief in self.targets_by_id.values()
            if belief.target.service == service
        ]

    def usable(self, service: str, now: float) -> list[TargetBelief]:
        """
        List the targets of a service that may get work.

        Ejected ones are left out as long as enough others of their role remain.
        """
        by_role: dict[EngineRole, list[TargetBelief]] = {}
        for belief in self.of_service(service):
            if belief.is_usable(now):
                by_role.setdefault(belief.target.role, []).append(belief)
        return [
            belief for group in by_role.values() for belief in self._healthy(group, now)
        ]

    def _healthy(self, group: list[TargetBelief], now: float) -> list[TargetBelief]:
        healthy = [belief for belief in group if not belief.is_ejected(now)]
        least = len(group) * (1 - self._ejection.most_share)
        return healthy if len(healthy) >= least else group

    def forgive(self, now: float) -> None:
        """
        Forget failures, and count none for a while: this process stood still.

        Its own timeouts ran out meanwhile and its connections were given up; without
        this a gateway that stood still for 7 s ejected every target it knew.
        """
        self._forgiven_until = now + THAW_GRACE
        for belief in self.targets_by_id.values():
            belief.forgive()

    def failed(self, belief: TargetBelief, now: float) -> bool:
        """
        Count a failure of a target.

        :returns: whether it is ejected.
        """
        if now < self._forgiven_until:
            return False
        return belief.failed(now, self._ejection)

    def usual_rate(self, service: str) -> float:
        """Tell the median rate of a service's engines, in tokens a second."""
        rates = sorted(belief.rate for belief in self.of_service(service))
        if not rates:
            return float(self._placement.first_rate)
        return rates[len(rates) // 2]
