"""The plan: the role, models and adapters that each engine of a group should have."""

from __future__ import annotations

from typing import NamedTuple

import msgspec
from msgspec import Struct, field

from pimentolink.configuration import Configuration, Role

PLAN_PREFIX = "pimentolink/plan"
PLANNER_PREFIX = "pimentolink/planner"


class Group(NamedTuple):
    """
    The targets of one service in one region, which are planned together.

    :ivar service: name of the service.
    :ivar region: name of the region.
    """

    service: str
    region: str

    @property
    def plan_key(self) -> str:
        """Key of the group's plan."""
        return f"{PLAN_PREFIX}/{self.service}/{self.region}"

    @property
    def planner_key(self) -> str:
        """Key of the lease that the group's planner holds."""
        return f"{PLANNER_PREFIX}/{self.service}/{self.region}"


class DesiredState(Struct, frozen=True):
    """
    Desired state of a target.

    :ivar role: role of the engine.
    :ivar models: versions by name of model.
    :ivar adapters: names of adapters.
    :ivar number: number of the plan that last changed this target.
    """

    role: Role
    models: dict[str, str]
    adapters: list[str]
    number: int

    def matches(self, role: str, models: dict[str, str], adapters: list[str]) -> bool:
        """
        Check whether an engine is in the desired state.

        :param role: role that the engine has.
        :param models: versions of the models it holds, by name.
        :param adapters: names of the adapters it holds, in any order.
        """
        held = (role, models, sorted(adapters))
        return held == (self.role, self.models, sorted(self.adapters))


class Plan(Struct, frozen=True):
    """
    A group's stored plan; replaced as a whole by compare-and-swap.

    :ivar writer: incarnation of the planner that wrote it.
    :ivar number: one more than the number of the plan it replaced.
    :ivar configuration_version: version of the configuration it was made for.
    :ivar wanted_by_target: desired states by name of target.
    """

    writer: str
    number: int
    configuration_version: int
    wanted_by_target: dict[str, DesiredState] = field(default_factory=dict)

    def changed(
        self, writer: str, version: int, wanted_by_target: dict[str, DesiredState]
    ) -> Plan:
        """
        Create the plan that replaces this one.

        :param writer: incarnation of the planner.
        :param version: version of the configuration it is made for.
        :param wanted_by_target: desired states of all targets; their numbers are
            ignored and set here.
        :returns: a plan in which each target that changes has the new plan's number.
        """
        number = self.number + 1
        numbered = {
            name: self._with_number(name, wanted, number)
            for name, wanted in wanted_by_target.items()
        }
        return Plan(writer, number, version, numbered)

    def _with_number(
        self, name: str, wanted: DesiredState, number: int
    ) -> DesiredState:
        current = self.wanted_by_target.get(name)
        if current is not None and current.matches(
            wanted.role, wanted.models, wanted.adapters
        ):
            return current
        return msgspec.structs.replace(wanted, number=number)


EMPTY_PLAN = Plan("", 0, 0)


def decode_plan(data: bytes | None) -> Plan:
    """
    Decode a stored plan.

    :param data: the stored value, or ``None`` if there is no plan yet.
    """
    return EMPTY_PLAN if data is None else msgspec.json.decode(data, type=Plan)


def groups_of(configuration: Configuration) -> dict[Group, list[str]]:
    """
    Group the engines whose orders come from this system.

    :param configuration: the configuration in force.
    :returns: names of targets by group.
    """
    targets_by_group: dict[Group, list[str]] = {}
    for name, service in configuration.services.items():
        if service.kind != "model":
            continue
        for target_id in service.targets:
            target = configuration.targets[target_id]
            if target.orders_from == "pimentolink":
                region = configuration.region_of(target.data_centre)
                group = Group(name, region)
                targets_by_group.setdefault(group, []).append(target_id)
    return targets_by_group


def group_of(configuration: Configuration, target_id: str) -> Group | None:
    """
    Find the group of a target.

    :param configuration: the configuration in force.
    :param target_id: the target's name.
    :returns: ``None`` if the target gets no orders from this system.
    """
    for group, targets in groups_of(configuration).items():
        if target_id in targets:
            return group
    return None


def desired_state(
    configuration: Configuration, service: str, role: Role
) -> DesiredState:
    """
    Derive the desired state of a service's engine from the configuration.

    :param configuration: the configuration in force.
    :param service: the service's name.
    :param role: role that the engine should have.
    :returns: a desired state with number 0, which :meth:`Plan.changed` replaces.
    """
    names = configuration.services[service].models
    models = {name: configuration.models[name].version for name in names}
    adapters = [
        adapter for name in names for adapter in configuration.models[name].adapters
    ]
    return DesiredState(role, models, adapters, 0)
