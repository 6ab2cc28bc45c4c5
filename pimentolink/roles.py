"""Which engines read long prompts for the others: policies of roles."""

from __future__ import annotations

import math
from collections import deque

from pimentolink.configuration import Role
from pimentolink.plan import Group
from pimentolink.planner import FixedRoles, RolePolicy, TargetView
from pimentolink.settings import PlannerSettings
from pimentolink.timers import Timers


class Demand:
    """
    The demand for reading long prompts in one group, smoothed, with its late peaks.

    Works from counters that start anew with each sidecar.
    """

    def __init__(self, settings: PlannerSettings, now: float) -> None:
        """
        Start without demand.

        :param settings: smoothing and horizon.
        :param now: the time.
        """
        self._settings = settings
        self._seen_at = now
        self._asked_by_id: dict[str, int] = {}
        self._peaks: deque[tuple[float, float]] = deque()
        self.rate = 0.0

    def observe(self, views: list[TargetView], now: float) -> None:
        """
        Take the counters as of now.

        :param views: the group's engines.
        :param now: the time.
        """
        took = now - self._seen_at
        if took <= 0:
            return
        asked = sum(self._increase(view) for view in views if view.is_serving)
        weight = 1 - math.exp(-took / self._settings.smoothing)
        self.rate += weight * (asked / took - self.rate)
        self._seen_at = now
        self._keep_peak(now)

    def peak(self) -> float:
        """
        Tell the highest smoothed demand within the horizon.

        :returns: tokens a second.
        """
        return max((rate for _, rate in self._peaks), default=0.0)

    def _increase(self, view: TargetView) -> int:
        before = self._asked_by_id.get(view.target_id)
        now = view.long_prefill_asked
        self._asked_by_id[view.target_id] = now
        if before is None:
            return 0
        return now - before if now >= before else now

    def _keep_peak(self, now: float) -> None:
        # Decreasing from the oldest: a later, higher rate makes earlier ones moot.
        while self._peaks and self._peaks[-1][1] <= self.rate:
            self._peaks.pop()
        self._peaks.append((now, self.rate))
        while now - self._peaks[0][0] > self._settings.horizon:
            self._peaks.popleft()


class MixRoles:
    """
    Has as many engines read long prompts as the peak of the horizon needs.

    A peak that came lately is expected to come again, so engines are changed on the
    first swing and kept, not changed back and forth with it. Engines that have the
    role keep it; the least busy one is changed next.
    """

    def __init__(self, settings: PlannerSettings, timers: Timers) -> None:
        """
        Start without knowledge of demand.

        :param settings: rates, horizon and margin.
        :param timers: the timer service.
        """
        self._settings = settings
        self._timers = timers
        self._demand_by_group: dict[Group, Demand] = {}

    def choose(
        self,
        group: Group,
        configured: dict[str, Role],
        planned: dict[str, Role],
        views: list[TargetView],
    ) -> dict[str, Role]:
        """Choose the readers; all others have the configured role."""
        now = self._timers.now()
        demand = self._demand_by_group.setdefault(group, Demand(self._settings, now))
        demand.observe(views, now)
        serving = [view for view in views if view.is_serving]
        wanted = self._readers_for(demand, len(serving))
        readers = _keep_readers(serving, planned, wanted)
        return {
            name: "prefill" if name in readers else role
            for name, role in configured.items()
        }

    def _readers_for(self, demand: Demand, engines: int) -> int:
        needed = demand.peak() / self._settings.engine_rate
        count = math.ceil(needed - self._settings.margin)
        return max(0, min(count, engines // 2))


class ThresholdRoles(MixRoles):
    """Follows the demand of the moment without hysteresis; a baseline."""

    def _readers_for(self, demand: Demand, engines: int) -> int:
        count = round(demand.rate / self._settings.engine_rate)
        return max(0, min(count, engines // 2))


def _keep_readers(
    views: list[TargetView], planned: dict[str, Role], wanted: int
) -> set[str]:
    """
    Choose readers, first those that the plan has already, then the least busy.

    The plan counts, not the role told: an engine on its way to be a reader tells its
    old role until it is there.
    """

    def order(view: TargetView) -> tuple[bool, int, str]:
        busy = view.running + view.waiting
        return planned.get(view.target_id) != "prefill", busy, view.target_id

    return {view.target_id for view in sorted(views, key=order)[:wanted]}


def make_role_policy(settings: PlannerSettings, timers: Timers) -> RolePolicy:
    """
    Make the policy that the settings name.

    :param settings: of the planner.
    :param timers: the timer service.
    """
    if settings.policy == "mix":
        return MixRoles(settings, timers)
    if settings.policy == "threshold":
        return ThresholdRoles(settings, timers)
    return FixedRoles()
