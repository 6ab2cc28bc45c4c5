"""The duty of planning for a group of engines; any entry may hold it."""

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
from pimentolink.plan import Group, Plan, Wanted, decode_plan, groups_of, wanted_of
from pimentolink.settings import PlannerSettings
from pimentolink.timers import Repeater, Timers


class TargetView(NamedTuple):
    """
    What a planner knows of an engine.

    :ivar is_serving: whether its sidecar answers and tells that the engine does.
    :ivar settled_number: of the plan's last change to it that it meets.
    :ivar long_prefill_asked: work of long prompts since its sidecar started, tokens.
    :ivar is_ejected: whether it serves, but gets no work for its failures.
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
    """Where a planner learns of engines."""

    def view(self, target_ids: list[str]) -> list[TargetView]:
        """
        Look at engines.

        :param target_ids: their names.
        """


class RolePolicy(Protocol):
    """How the roles of a group are chosen."""

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
        :param configured: roles as operators wrote them, by name.
        :param planned: roles that the plan in force wants, by name; an engine may
            still be on its way there.
        :param views: what is known of the engines.
        """


class FixedRoles:
    """Keeps the roles that operators configured."""

    def choose(
        self,
        group: Group,
        configured: dict[str, Role],
        planned: dict[str, Role],
        views: list[TargetView],
    ) -> dict[str, Role]:
        """Choose the configured roles."""
        return configured


class Planner:
    """
    Keeps the plans of one region's groups up to date.

    The lease on a group spares other entries the work; that no plan is lost or mixed
    up rests on the compare-and-swap alone. A plan changes few engines at a time, so
    that the others can carry the work.
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
        Prepare; :meth:`start` begins.

        :param settings: intervals and bounds.
        :param incarnation: identity of this process's life.
        :param data_centre: where this entry stands.
        :param store: the key-value service.
        :param adoption: the configuration in force.
        :param fleet: what is known of engines.
        :param policy: chooses roles.
        :param timers: the timer service.
        :param random: seeded source for jitter.
        :param log: where events go.
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
        self._held_until_by_group: dict[Group, float] = {}
        self._ask_at_by_group: dict[Group, float] = {}
        self._plan_by_group: dict[Group, tuple[Plan, int]] = {}
        self._seen_by_id: dict[str, tuple[int, float]] = {}
        self._started_at = timers.now()

    def start(self) -> None:
        """Look at the groups again and again."""
        self._repeater = Repeater(self._timers, self._settings.interval, self.look)

    def stop(self) -> None:
        """Plan no more; the leases lapse."""
        self._is_stopped = True
        if self._repeater is not None:
            self._repeater.cancel()

    def look(self) -> None:
        """Look at every group of the region once."""
        if not self._is_busy and self._adoption.accepted is not None:
            self._is_busy = True
            Deferred.fromCoroutine(self._look(self._adoption.accepted.configuration))

    async def _look(self, configuration: Configuration) -> None:
        try:
            region = configuration.region_of(self._data_centre)
            for group, target_ids in groups_of(configuration).items():
                if group.region == region and not self._is_stopped:
                    await self._plan_group(group, target_ids, configuration)
        except KeyValueUnavailable:
            # The plan stands as it is; what was read may be old after an outage.
            self._plan_by_group.clear()
            self._held_until_by_group.clear()
        finally:
            self._is_busy = False

    async def _plan_group(
        self, group: Group, target_ids: list[str], configuration: Configuration
    ) -> None:
        if not await self._holds(group):
            self._plan_by_group.pop(group, None)
            return
        if group not in self._plan_by_group:
            value = await self._store.get(group.plan_key)
            self._plan_by_group[group] = (decode_plan(value.data), value.revision)
        plan, revision = self._plan_by_group[group]
        views = self._fleet.view(target_ids)
        self._remember(views)
        configured = {name: configuration.targets[name].role for name in target_ids}
        planned = {name: wanted.role for name, wanted in plan.wanted_by_target.items()}
        roles = self._policy.choose(group, configured, planned, views)
        wanted = {
            name: wanted_of(configuration, group.service, roles[name])
            for name in target_ids
        }
        allowed = self._allowed(plan, wanted, views)
        version = self._adoption.version
        changed = plan.changed(self._incarnation, version, allowed)
        if changed.wanted_by_target != plan.wanted_by_target:
            await self._write(group, changed, revision)

    async def _holds(self, group: Group) -> bool:
        now = self._timers.now()
        if now < self._held_until_by_group.get(group, 0.0):
            return True
        if now < self._ask_at_by_group.get(group, 0.0):
            return False
        lease = self._settings.lease
        is_held = await self._store.hold_lease(
            group.planner_key, self._incarnation, lease
        )
        if is_held:
            self._held_until_by_group[group] = now + lease / 3
        else:
            # Asking is a write; the many entries without the duty ask seldom.
            spread = self._random.uniform(0.5, 1.5)
            self._ask_at_by_group[group] = now + spread * self._settings.ask_again
        return is_held

    def _allowed(
        self, plan: Plan, wanted: dict[str, Wanted], views: list[TargetView]
    ) -> dict[str, Wanted]:
        """
        Hold back changes beyond ``most_changing`` engines at once.

        :returns: what the next plan may want.
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
            # An engine that does not serve takes no order: its plan stands.
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
        Tell whether an engine may be taken out of service for an order.

        While the others are ejected, or silent but not lost yet, it is the last that
        serves.
        """
        if len(changing) >= self._settings.most_changing:
            return False
        others = [view for view in view_by_id.values() if view.target_id != name]
        able = {
            view.target_id for view in others if view.is_serving and not view.is_ejected
        }
        expected = [view for view in others if self._is_expected(view)]
        return bool(able - changing) or not expected

    def _is_expected(self, view: TargetView) -> bool:
        """Tell whether an engine serves, or did until lately."""
        _, seen_at = self._seen_by_id.get(view.target_id, (0, -math.inf))
        return self._timers.now() - seen_at <= self._settings.lost_after

    def _remember(self, views: list[TargetView]) -> None:
        now = self._timers.now()
        for view in views:
            if view.is_serving:
                self._seen_by_id[view.target_id] = (view.settled_number, now)

    def _is_settled(self, before: Wanted, view: TargetView) -> bool:
        """
        Tell whether an engine has reached what the plan wants.

        One that does not serve may be under an order that others see; it counts as
        changing for a while, then as lost, so that it does not block the others.
        """
        if view.is_serving:
            return view.settled_number >= before.number
        settled_number, seen_at = self._seen_by_id.get(
            view.target_id, (0, self._started_at)
        )
        is_lost = self._timers.now() - seen_at > self._settings.lost_after
        return is_lost or settled_number >= before.number

    async def _write(self, group: Group, plan: Plan, revision: int) -> None:
        data = msgspec.json.encode(plan)
        written = await self._store.compare_and_swap(group.plan_key, data, revision)
        if written is None:
            # Another planner came first: read its plan before the next look.
            self._plan_by_group.pop(group, None)
            return
        self._plan_by_group[group] = (plan, written)
        self._log.write(
            LogEvent.PLAN_WRITTEN,
            service=group.service,
            region=group.region,
            plan=plan.number,
        )


def _is_same(before: Wanted, new: Wanted) -> bool:
    return before.is_met_by(new.role, new.models, new.adapters)
