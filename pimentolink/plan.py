"""The plan: what each target of a group should be."""

from __future__ import annotations

from typing import NamedTuple

import msgspec
from msgspec import Struct, field

from pimentolink.configuration import Configuration, Role

PLAN_PREFIX = "pimentolink/plan"
PLANNER_PREFIX = "pimentolink/planner"


class Group(NamedTuple):
    """
    The targets that are planned together.

    :ivar service: their service.
    :ivar region: where they stand.
    """

    service: str
    region: str

    @property
    def plan_key(self) -> str:
        """Key of the group's plan."""
        return f"{PLAN_PREFIX}/{self.service}/{self.region}"

    @property
    def planner_key(self) -> str:
        """Key of the lease that says who plans for the group."""
        return f"{PLANNER_PREFIX}/{self.service}/{self.region}"


class Wanted(Struct, frozen=True):
    """
    What a target should be.

    :ivar role: of an engine.
    :ivar models: versions by name of model.
    :ivar adapters: names of adapters.
    :ivar number: plan number that last changed this target.
    """

    role: Role
    models: dict[str, str]
    adapters: list[str]
    number: int

    def is_met_by(self, role: str, models: dict[str, str], adapters: list[str]) -> bool:
        """
        Compare with what an engine holds.

        :param role: its role.
        :param models: versions by name of model.
        :param adapters: names of adapters.
        """
        held = (role, models, sorted(adapters))
        return held == (self.role, self.models, sorted(self.adapters))


class Plan(Struct, frozen=True):
    """
    A group's plan as stored; replaced as a whole by compare-and-swap.

    :ivar writer: incarnation of the planner that wrote it.
    :ivar number: one more than the plan it replaced.
    :ivar configuration_version: that it was made for.
    :ivar wanted_by_target: targets by name.
    """

    writer: str
    number: int
    configuration_version: int
    wanted_by_target: dict[str, Wanted] = field(default_factory=dict)

    def changed(
        self, writer: str, version: int, wanted_by_target: dict[str, Wanted]
    ) -> Plan:
        """
        Make the plan that follows this one.

        :param writer: incarnation of the planner.
        :param version: of the configuration it is made for.
        :param wanted_by_target: whole; the numbers in it are set here.
        :returns: a plan in which each target that changes has the new number.
        """
        number = self.number + 1
        numbered = {
            name: self._numbered(name, wanted, number)
            for name, wanted in wanted_by_target.items()
        }
        return Plan(writer, number, version, numbered)

    def _numbered(self, name: str, wanted: Wanted, number: int) -> Wanted:
        before = self.wanted_by_target.get(name)
        if before is not None and before.is_met_by(
            wanted.role, wanted.models, wanted.adapters
        ):
            return before
        return msgspec.structs.replace(wanted, number=number)


NO_PLAN = Plan("", 0, 0)


def decode_plan(data: bytes | None) -> Plan:
    """
    Read a stored plan.

    :param data: as stored, or ``None`` if there is none yet.
    """
    return NO_PLAN if data is None else msgspec.json.decode(data, type=Plan)


def groups_of(configuration: Configuration) -> dict[Group, list[str]]:
    """
    Sort the engines that this system gives orders to into groups.

    :param configuration: in force.
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

    :param configuration: in force.
    :param target_id: the target's name.
    :returns: ``None`` if this system gives it no orders.
    """
    for group, targets in groups_of(configuration).items():
        if target_id in targets:
            return group
    return None


def wanted_of(configuration: Configuration, service: str, role: Role) -> Wanted:
    """
    Tell what an engine of a service should hold.

    :param configuration: in force.
    :param service: the service's name.
    :param role: of the engine.
    :returns: not numbered yet.
    """
    names = configuration.services[service].models
    models = {name: configuration.models[name].version for name in names}
    adapters = [
        adapter for name in names for adapter in configuration.models[name].adapters
    ]
    return Wanted(role, models, adapters, 0)
