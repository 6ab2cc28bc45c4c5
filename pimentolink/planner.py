"""Planning for groups of engines, by whichever entry holds a group's lease."""

from __future__ import annotations

import math
from random import Random
from typing import NamedTuple, Protocol

import msgspec
from twisted.internet.defer import Deferred

from pimentolink.adoption import Adoption
from pimentolink.configuration import Configuration, Role
from pimentolink.errors import KeyValueUnavailable
from pimentolink.kvstore import KeyValueStore
from pimentolink.logs import Log, LogEvent
from pimentolink.plan import (
    DesiredState,
    Group,
    Plan,
    decode_plan,
    desired_state,
    groups_of,
)
from pimentolink.settings import PlannerSettings
from pimentolink.timers import Repeater, Timers


class TargetView(NamedTuple):
    """
    What a planner knows of an engine.

    :ivar is_serving: whether its sidecar is connected and reports that the engine
        answers.
    :ivar settled_number: number of the latest plan change that the engine has reached.
    :ivar long_prefill_asked: long-prompt tokens requested since its sidecar started.
    :ivar is_ejected: whether it answers, but gets no requests because of its failures.
    """

    target_id: str
    is_serving: bool
    role: str
    settled_number: int
    running: int
    waiting: int
    long_prefill_asked: int
    is_ejected: bool = False


class FleetView(Protocol):
    """Source of the state of engines."""

    def view(self, target_ids: list[str]) -> list[TargetView]:
        """
        Return the current state of engines.

        :param target_ids: names of the engines.
        """


class RolePolicy(Protocol):
    """Chooses the roles of the engines of a group."""

    def choose(
        self,
        group: Group,
        configured: dict[str, Role],
        planned: dict[str, Role],
        views: list[TargetView],
    ) -> dict[str, Role]:
        """
        Choose the role of each engine.

        :param group: the engines' group.
        :param configured: configured roles by name of engine.
        :param planned: roles in the current plan by name of engine; an engine may not
            have reached its role yet.
        :param views: state of the engines.
        """


class FixedRoles:
    """Keeps the configured roles."""

    def choose(
        self,
        group: Group,
        configured: dict[str, Role],
        planned: dict[str, Role],
        views: list[TargetView],
    ) -> dict[str, Role]:
        """Return the configured roles."""
        return configured


class Planner:
    """
    Keeps the plans of one region's groups up to date.

    The lease on a group only avoids duplicate work by other entries; consistency of
    the plans rests on compare-and-swap alone. A plan changes few engines at a time, so
    that the others can take over the load.
    """

    def __init__(
        self,
        settings: PlannerSettings,
        incarnation: str,
        data_centre: str,
        store: KeyValueStore,
        adoption: Adoption,
        fleet: FleetView,
        policy: RolePolicy,
        timers: Timers,
        random: Random,
        log: Log,
    ) -> None:
        """
        Create a planner; :meth:`start` begins planning.

        :param settings: intervals and limits.
        :param incarnation: unique identifier of this run of the process.
        :param data_centre: data centre of this entry.
        :param store: the key-value service.
        :param adoption: the configuration in force.
        :param fleet: source of the state of engines.
        :param policy: chooses roles.
        :param timers: the timer service.
        :param random: seeded source for jitter.
        :param log: receives log events.
        """
        self._settings = settings
        self._random = random
        self._incarnation = incarnation
        self._data_centre = data_centre
        self._store = store
        self._adoption = adoption
        self._fleet = fleet
        self._policy = policy
        self._timers = timers
        self._log = log
        self._repeater: Repeater | None = None
        self._is_busy = False
        self._is_stopped = False
        self._lease_held_until_by_group: dict[Group, float] = {}
        self._next_lease_attempt_by_group: dict[Group, float] = {}
        self._plan_by_group: dict[Group, tuple[Plan, int]] = {}
        self._last_seen_by_id: dict[str, tuple[int, float]] = {}
        self._started_at = timers.now()

    def start(self) -> None:
        """Start planning at regular intervals."""
        self._repeater = Repeater(self._timers, self._settings.interval, self.look)

    def stop(self) -> None:
        """Stop planning; the leases expire."""
        self._is_stopped = True
        if self._repeater is not None:
            self._repeater.cancel()

    def look(self) -> None:
        """Plan for every group of the region, unless a pass is still running."""
        if not self._is_busy and self._adoption.accepted is not None:
            self._is_busy = True
            Deferred.fromCoroutine(
                self._plan_groups(self._adoption.accepted.configuration)
            )

    async def _plan_groups(self, configuration: Configuration) -> None:
        try:
            region = configuration.region_of(self._data_centre)
            for group, target_ids in groups_of(configuration).items():
                if group.region == region and not self._is_stopped:
                    await self._plan_group(group, target_ids, configuration)
        except KeyValueUnavailable:
            # The stored plans stay in force. What is cached here may be outdated after
            # an outage.
            self._plan_by_group.clear()
            self._lease_held_until_by_group.clear()
        finally:
            self._is_busy = False

    async def _plan_group(
        self, group: Group, target_ids: list[str], configuration: Configuration
    ) -> None:
        if not await self._renew_lease(group):
            self._plan_by_group.pop(group, None)
            return
        if group not in self._plan_by_group:
            value = await self._store.get(group.plan_key)
            self._plan_by_group[group] = (decode_plan(value.data), value.revision)
        plan, revision = self._plan_by_group[group]
        views = self._fleet.view(target_ids)
        self._record_serving(views)
        configured = {name: configuration.targets[name].role for name in target_ids}
        planned = {name: wanted.role for name, wanted in plan.wanted_by_target.items()}
        roles = self._policy.choose(group, configured, planned, views)
        wanted = {
            name: desired_state(configuration, group.service, roles[name])
            for name in target_ids
        }
        allowed = self._limit_changes(plan, wanted, views)
        version = self._adoption.version
        new_plan = plan.changed(self._incarnation, version, allowed)
        if new_plan.wanted_by_target != plan.wanted_by_target:
            await self._write(group, new_plan, revision)

    async def _renew_lease(self, group: Group) -> bool:
        now = self._timers.now()
        if now < self._lease_held_until_by_group.get(group, 0.0):
            return True
        if now < self._next_lease_attempt_by_group.get(group, 0.0):
            return False
        lease = self._settings.lease
        is_held = await self._store.hold_lease(
            group.planner_key, self._incarnation, lease
        )
        if is_held:
            self._lease_held_until_by_group[group] = now + lease / 3
        else:
            # Each attempt is a write; the many entries without the lease try seldom.
            jitter = self._random.uniform(0.5, 1.5)
            self._next_lease_attempt_by_group[group] = (
                now + jitter * self._settings.ask_again
            )
        return is_held

    def _limit_changes(
        self, plan: Plan, wanted: dict[str, DesiredState], views: list[TargetView]
    ) -> dict[str, DesiredState]:
        """
        Defer changes beyond ``most_changing`` engines at once.

        :returns: desired states for the next plan.
        """
        view_by_id = {view.target_id: view for view in views}
        before_by_id = {
            name: before
            for name, before in plan.wanted_by_target.items()
            if name in wanted
        }
        allowed = dict(before_by_id)
        changing = {
            name
            for name, before in before_by_id.items()
            if not self._is_settled(before, view_by_id[name])
        }
        for name, new in wanted.items():
            before = before_by_id.get(name)
            is_same = before is not None and _is_same(before, new)
            # An engine that does not serve takes no orders, so its state in the plan
            # is kept.
            if is_same or not view_by_id[name].is_serving:
                continue
            if name in changing or self._may_change(name, changing, view_by_id):
                allowed[name] = new
                changing.add(name)
        return allowed

    def _may_change(
        self, name: str, changing: set[str], view_by_id: dict[str, TargetView]
    ) -> bool:
        """
        Check whether an engine may be taken out of service for an order.

        It may not while it is the last one that serves, because the others are ejected
        or not serving at the moment, but do not count as lost yet.
        """
        if len(changing) >= self._settings.most_changing:
            return False
        others = [view for view in view_by_id.values() if view.target_id != name]
        available = {
            view.target_id for view in others if view.is_serving and not view.is_ejected
        }
        expected = [view for view in others if self._served_lately(view)]
        return bool(available - changing) or not expected

    def _served_lately(self, view: TargetView) -> bool:
        """Check whether an engine serves or did so within ``lost_after``."""
        _, seen_at = self._last_seen_by_id.get(view.target_id, (0, -math.inf))
        return self._timers.now() - seen_at <= self._settings.lost_after

    def _record_serving(self, views: list[TargetView]) -> None:
        now = self._timers.now()
        for view in views:
            if view.is_serving:
                self._last_seen_by_id[view.target_id] = (view.settled_number, now)

    def _is_settled(self, before: DesiredState, view: TargetView) -> bool:
        """
        Check whether an engine has reached its state in the plan.

        An engine that does not serve may be executing an order. It counts as changing
        until ``lost_after``, then as lost, so that it does not block changes of other
        engines forever.
        """
        if view.is_serving:
            return view.settled_number >= before.number
        settled_number, seen_at = self._last_seen_by_id.get(
            view.target_id, (0, self._started_at)
        )
        is_lost = self._timers.now() - seen_at > self._settings.lost_after
        return is_lost or settled_number >= before.number

    async def _write(self, group: Group, plan: Plan, revision: int) -> None:
        data = msgspec.json.encode(plan)
        written = await self._store.compare_and_swap(group.plan_key, data, revision)
        if written is None:
            # Another planner wrote first: its plan is read in the next pass.
            self._plan_by_group.pop(group, None)
            return
        self._plan_by_group[group] = (plan, written)
        self._log.write(
            LogEvent.PLAN_WRITTEN,
            service=group.service,
            region=group.region,
            plan=plan.number,
        )


def _is_same(before: DesiredState, new: DesiredState) -> bool:
    return before.matches(new.role, new.models, new.adapters)
