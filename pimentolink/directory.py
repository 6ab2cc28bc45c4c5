"""The targets with a link to one entry."""

from __future__ import annotations

from collections.abc import Iterator

from pimentolink import link_pb2
from pimentolink.adoption import Adoption
from pimentolink.links import EntryLink
from pimentolink.planner import TargetView
from pimentolink.router import Router
from pimentolink.targetpool import TargetPool, TargetState
from pimentolink.timers import Timers


class TargetDirectory:
    """
    Finds linked targets by name and by link, and maintains the router's pools.

    A name always refers to the link that was established last, so that the loss of a
    replaced sidecar's link does not remove its successor from routing.
    """

    def __init__(self, adoption: Adoption, router: Router, timers: Timers) -> None:
        """
        Start empty.

        :param adoption: the configuration in force; assigns targets to services.
        :param router: the router whose pools are maintained.
        :param timers: the timer service.
        """
        self._adoption = adoption
        self._router = router
        self._timers = timers
        self._link_by_id: dict[str, EntryLink] = {}
        self._target_by_link: dict[EntryLink, TargetState] = {}
        adoption.subscribe(self.update_pools)

    def add(self, link: EntryLink, target_id: str, data_centre: str) -> None:
        """
        Add a target.

        :param link: link to the target's sidecar.
        :param target_id: the target's name.
        :param data_centre: the target's data centre.
        """
        self._link_by_id[target_id] = link
        self._target_by_link[link] = TargetState(target_id, data_centre)
        self.update_pools()

    def remove(self, link: EntryLink) -> str | None:
        """
        Remove the target of a link that ended.

        :param link: the link that ended.
        :returns: the target's name, or ``None`` if it has a newer link.
        """
        target = self._target_by_link.pop(link, None)
        if target is None or self._link_by_id.get(target.target_id) is not link:
            return None
        del self._link_by_id[target.target_id]
        self.update_pools()
        return target.target_id

    def link(self, target_id: str) -> EntryLink | None:
        """Return the current link to a target."""
        return self._link_by_id.get(target_id)

    def target(self, target_id: str) -> TargetState | None:
        """Return the state of a linked target."""
        link = self._link_by_id.get(target_id)
        return self._target_by_link.get(link) if link is not None else None

    def reported(self, link: EntryLink, load: link_pb2.Load) -> bool:
        """
        Take a target's load report.

        :returns: whether it shows the end of a planned change.
        """
        target = self._target_by_link.get(link)
        if target is None:
            return False
        target.reported(load)
        change_duration = target.track_planned_change(self._timers.now())
        if change_duration is None:
            return False
        for pool in self._router.pool_by_service.values():
            if target.target_id in pool.targets_by_id:
                pool.last_change_duration = change_duration
        return True

    def update_pools(self) -> None:
        """Assign linked targets to the services' pools as now configured."""
        accepted = self._adoption.accepted
        if accepted is None:
            return
        configuration = accepted.configuration
        pools = self._router.pool_by_service
        for name, service in configuration.services.items():
            targets = [
                self.target(target_id)
                for target_id in service.targets
                if not configuration.targets[target_id].drained
            ]
            linked = [target for target in targets if target is not None]
            pools.setdefault(name, TargetPool()).replace(linked)
        for name in pools.keys() - configuration.services:
            del pools[name]

    def view(self, target_ids: list[str]) -> list[TargetView]:
        """
        Return the state of engines for a planner.

        :param target_ids: names of the engines, linked or not.
        """
        return [self._view(target_id) for target_id in target_ids]

    def describe(self) -> Iterator[dict[str, object]]:
        """Describe the state of each linked target for operators."""
        now = self._timers.now()
        for target in self._target_by_link.values():
            yield {
                "target": target.target_id,
                "data_centre": target.data_centre,
                "available": target.is_available(now),
                "role": target.load.role,
                "running": target.load.running,
                "waiting": target.load.waiting,
                "in_flight_here": target.in_flight,
            }

    def _view(self, target_id: str) -> TargetView:
        target = self.target(target_id)
        load = target.load if target is not None else link_pb2.Load()
        return TargetView(
            target_id=target_id,
            is_serving=load.accepting or load.held,
            role=load.role,
            settled_number=load.settled_number,
            running=load.running,
            waiting=load.waiting,
            long_prefill_asked=load.long_prefill_asked,
            is_ejected=target is not None and target.is_ejected(self._timers.now()),
        )
