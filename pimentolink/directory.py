"""The targets that one entry is linked to."""

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
    Knows each linked target by name and by link, and keeps the router's pools.

    Guards that a name leads to the link that came up last, so that a lost link of a
    replaced sidecar does not take its successor out of routing.
    """

    def __init__(self, adoption: Adoption, router: Router, timers: Timers) -> None:
        """
        Start empty.

        :param adoption: the configuration in force; sorts targets into services.
        :param router: whose pools are kept.
        :param timers: the timer service.
        """
        self._adoption = adoption
        self._router = router
        self._timers = timers
        self._link_by_id: dict[str, EntryLink] = {}
        self._target_by_link: dict[EntryLink, TargetState] = {}
        adoption.subscribe(self.arrange_pools)

    def add(self, link: EntryLink, target_id: str, data_centre: str) -> None:
        """
        Take a target in.

        :param link: how it is reached.
        :param target_id: its name.
        :param data_centre: where it stands.
        """
        self._link_by_id[target_id] = link
        self._target_by_link[link] = TargetState(target_id, data_centre)
        self.arrange_pools()

    def remove(self, link: EntryLink) -> str | None:
        """
        Take a target out.

        :param link: the link that ended.
        :returns: the target's name, or ``None`` if another link leads to it now.
        """
        target = self._target_by_link.pop(link, None)
        if target is None or self._link_by_id.get(target.target_id) is not link:
            return None
        del self._link_by_id[target.target_id]
        self.arrange_pools()
        return target.target_id

    def link(self, target_id: str) -> EntryLink | None:
        """Find the link to a target."""
        return self._link_by_id.get(target_id)

    def target(self, target_id: str) -> TargetState | None:
        """Find what is known of a target."""
        link = self._link_by_id.get(target_id)
        return self._target_by_link.get(link) if link is not None else None

    def reported(self, link: EntryLink, load: link_pb2.Load) -> bool:
        """
        Take a target's load report.

        :returns: whether it tells the end of a planned change.
        """
        target = self._target_by_link.get(link)
        if target is None:
            return False
        target.reported(load)
        took = target.planned_change_took(self._timers.now())
        if took is None:
            return False
        for pool in self._router.pool_by_service.values():
            if target.target_id in pool.targets_by_id:
                pool.change_time = took
        return True

    def arrange_pools(self) -> None:
        """Sort linked targets into services as the configuration says now."""
        accepted = self._adoption.accepted
        if accepted is None:
            return
        configuration = accepted.configuration
        pools = self._router.pool_by_service
        for name, service in configuration.services.items():
            found = [
                self.target(target_id)
                for target_id in service.targets
                if not configuration.targets[target_id].drained
            ]
            linked = [target for target in found if target is not None]
            pools.setdefault(name, TargetPool()).replace(linked)
        for name in pools.keys() - configuration.services:
            del pools[name]

    def view(self, target_ids: list[str]) -> list[TargetView]:
        """
        Look at engines for a planner.

        :param target_ids: their names.
        """
        return [self._view(target_id) for target_id in target_ids]

    def describe(self) -> Iterator[dict[str, object]]:
        """Tell operators what this entry knows of each linked target."""
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
