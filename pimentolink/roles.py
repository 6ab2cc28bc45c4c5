"""Policies that choose which engines prefill long prompts for the others."""

from __future__ import annotations

import math
from collections import deque

from pimentolink.configuration import Role
from pimentolink.plan import Group
from pimentolink.planner import FixedRoles, RolePolicy, TargetView
from pimentolink.settings import PlannerSettings
from pimentolink.timers import Timers


class PrefillDemand:
    """
    Smoothed demand for prefilling long prompts in one group, with recent peaks.

    Computed from counters that restart at 0 with each sidecar.
    """

    def __init__(self, settings: PlannerSettings, now: float) -> None:
        """
        Start without demand.

        :param settings: smoothing and horizon.
        :param now: current monotonic time, in seconds.
        """
        self._settings = settings
        self._observed_at = now
        self._requested_tokens_by_id: dict[str, int] = {}
        self._peaks: deque[tuple[float, float]] = deque()
        self.rate = 0.0

    def observe(self, views: list[TargetView], now: float) -> None:
        """
        Update the demand from the engines' counters.

        :param views: state of the group's engines.
        :param now: current monotonic time, in seconds.
        """
        elapsed = now - self._observed_at
        if elapsed <= 0:
            return
        requested = sum(
            self._newly_requested_tokens(view) for view in views if view.is_serving
        )
        weight = 1 - math.exp(-elapsed / self._settings.smoothing)
        self.rate += weight * (requested / elapsed - self.rate)
        self._observed_at = now
        self._record_peak(now)

    def peak(self) -> float:
        """
        Return the highest smoothed demand within the horizon.

        :returns: tokens per second.
        """
        return max((rate for _, rate in self._peaks), default=0.0)

    def _newly_requested_tokens(self, view: TargetView) -> int:
        before = self._requested_tokens_by_id.get(view.target_id)
        now = view.long_prefill_asked
        self._requested_tokens_by_id[view.target_id] = now
        if before is None:
            return 0
        return now - before if now >= before else now

    def _record_peak(self, now: float) -> None:
        # Monotonic queue, decreasing from the oldest: a later rate that is as high
        # replaces earlier ones.
        while self._peaks and self._peaks[-1][1] <= self.rate:
            self._peaks.pop()
        self._peaks.append((now, self.rate))
        while now - self._peaks[0][0] > self._settings.horizon:
            self._peaks.popleft()


class MixRoles:
    """
    Assigns as many engines to prefill as the peak within the horizon needs.

    A recent peak is expected to recur, so engines that change role at the first swing
    of the demand keep it and don't change back and forth with later ones. Engines that
    have the role keep it; the least loaded one is changed next.
    """

    def __init__(self, settings: PlannerSettings, timers: Timers) -> None:
        """
        Create a policy that has not observed any demand yet.

        :param settings: rates, horizon and margin.
        :param timers: the timer service.
        """
        self._settings = settings
        self._timers = timers
        self._demand_by_group: dict[Group, PrefillDemand] = {}

    def choose(
        self,
        group: Group,
        configured: dict[str, Role],
        planned: dict[str, Role],
        views: list[TargetView],
    ) -> dict[str, Role]:
        """Choose the engines that prefill; all others get their configured role."""
        now = self._timers.now()
        demand = self._demand_by_group.setdefault(
            group, PrefillDemand(self._settings, now)
        )
        demand.observe(views, now)
        serving = [view for view in views if view.is_serving]
        wanted = self._prefill_engines_needed(demand, len(serving))
        prefill_engines = _choose_prefill_engines(serving, planned, wanted)
        return {
            name: "prefill" if name in prefill_engines else role
            for name, role in configured.items()
        }

    def _prefill_engines_needed(self, demand: PrefillDemand, engines: int) -> int:
        needed = demand.peak() / self._settings.engine_rate
        count = math.ceil(needed - self._settings.margin)
        return max(0, min(count, engines // 2))


class ThresholdRoles(MixRoles):
    """Baseline that follows the smoothed demand without hysteresis."""

    def _prefill_engines_needed(self, demand: PrefillDemand, engines: int) -> int:
        count = round(demand.rate / self._settings.engine_rate)
        return max(0, min(count, engines // 2))


def _choose_prefill_engines(
    views: list[TargetView], planned: dict[str, Role], wanted: int
) -> set[str]:
    """
    Choose engines for prefill: those already planned for it, then the least loaded.

    Uses the planned role, not the reported one: an engine that is changing to prefill
    reports its old role until the change is complete.
    """

    def sort_key(view: TargetView) -> tuple[bool, int, str]:
        load = view.running + view.waiting
        return planned.get(view.target_id) != "prefill", load, view.target_id

    return {view.target_id for view in sorted(views, key=sort_key)[:wanted]}


def make_role_policy(settings: PlannerSettings, timers: Timers) -> RolePolicy:
    """
    Create the policy that the settings name.

    :param settings: settings of the planner.
    :param timers: the timer service.
    """
    if settings.policy == "mix":
        return MixRoles(settings, timers)
    if settings.policy == "threshold":
        return ThresholdRoles(settings, timers)
    return FixedRoles()
