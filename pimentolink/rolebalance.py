"""Decides how many engines of a service read prompts and how many write answers."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import NamedTuple

from pimentolink.fleet import Fleet
from pimentolink.gatewaysettings import RoleSettings
from pimentolink.targetestimate import EngineRole, TargetEstimate

# Share of a change's price that is paid even for an engine that has been idle: its
# answers in flight, and the order itself.
MIN_PRICE = 0.2


class RoleChange(NamedTuple):
    """
    An engine that should take another role.

    :ivar streams: answers being written, on which the decision rests.
    :ivar unmet: engine seconds a second of prompts turned away, likewise.
    :ivar regret: engine seconds that the roles as they are have cost so far.
    :ivar readers: wanted of the service's engines.
    """

    estimate: TargetEstimate
    role: EngineRole
    streams: float
    unmet: float
    regret: float
    readers: int


class _Service:
    """
    What was observed of one service.

    :ivar regret: engine seconds by which writers were short beyond readers; below
        zero where readers were.
    :ivar reader_use: share of the time for which readers were busy; all of it while
        no prompt was seen there, which says nothing of them.
    """

    def __init__(self) -> None:
        self.streams = 0.0
        self.unmet = 0.0
        self.regret = 0.0
        self.has_worked = False
        self.has_read = False
        self.reader_use = 1.0
        # Engines on their way to another role, which the list tells late.
        self.changing_by_id: dict[str, EngineRole] = {}
        self.observed_at: float | None = None
        self.changed_at: float | None = None


class RoleBalancer:
    """
    Changes a role once keeping it has cost more than the change.

    Load pattern: long prompts with short answers and long answers by turns, for
    seconds each. A change takes an engine away while its answers end and while it
    switches, and the turn back does the same; a swing that is over before that is
    paid for is not followed. What readers are short of is told by prompts turned
    away, what writers are short of by answers that have no slot. A prompt that is
    read at a writer is no answer under way: counted as one, a burst of prompts made
    writers of readers, three of four within 7 s, and the rest of it was turned away.
    """

    def __init__(self, settings: RoleSettings, fleet: Fleet) -> None:
        """
        Start without knowledge of load.

        :param settings: shares, horizon and pauses.
        :param fleet: the engines.
        """
        self._settings = settings
        self._fleet = fleet
        self._services_by_name: dict[str, _Service] = {}
        # Engine seconds a second of prompts that all gateways turn away.
        self.unmet_prefill: Callable[[str], float] = lambda service: 0.0

    def observe(self, service: str, now: float) -> None:
        """Learn what writers and readers are short of; at a steady pace."""
        seen = self._services_by_name.setdefault(service, _Service())
        writers = self._of_role(service, EngineRole.DECODE)
        readers = self._of_role(service, EngineRole.PREFILL)
        seen.streams = float(sum(writer.streams() for writer in writers))
        seen.unmet = self.unmet_prefill(service)
        if seen.streams or any(engine.prefills_by_ticket for engine in readers):
            seen.has_worked = True
        passed = now - (now if seen.observed_at is None else seen.observed_at)
        seen.observed_at = now
        self._observe_readers(seen, readers, passed, now)
        if not writers:
            return
        short = max(0.0, seen.streams / self._slots(writers) - len(writers))
        seen.regret *= math.exp(-passed / self._settings.horizon)
        seen.regret += passed * (short - seen.unmet)

    def _observe_readers(
        self, seen: _Service, readers: list[TargetEstimate], passed: float, now: float
    ) -> None:
        busy = sum(engine.backlog(now) > 0 for engine in readers)
        seen.has_read = seen.has_read or busy > 0
        if seen.has_read and readers:
            weight = 1 - math.exp(-passed / self._settings.horizon)
            seen.reader_use += weight * (busy / len(readers) - seen.reader_use)

    def decide(self, service: str, now: float) -> RoleChange | None:
        """
        Find the change that is most wanted now.

        :returns: ``None`` while roles are right, or one changed a moment ago.
        """
        seen = self._services_by_name.setdefault(service, _Service())
        self._forget_settled(service, seen, now)
        if seen.changed_at is not None and now - seen.changed_at < self._settings.pause:
            return None
        return self._next_change(service, seen, seen.regret, now)

    def decide_all(self, service: str, now: float) -> list[RoleChange]:
        """
        Find all changes that are wanted now, the most wanted first.

        Load pattern: a large fleet that starts. One change a second took 11 s of its
        first load, and each was told to all gateways by the store.

        :returns: at most a share of the engines, those on their way included.
        """
        changes: list[RoleChange] = []
        change = self.decide(service, now)
        seen = self._services_by_name[service]
        regret = seen.regret
        while change is not None:
            changes.append(change)
            seen.changing_by_id[change.estimate.target.target_id] = change.role
            regret -= self._paid(service, seen, regret)
            change = self._next_change(service, seen, regret, now)
        return changes

    def _next_change(
        self, service: str, seen: _Service, regret: float, now: float
    ) -> RoleChange | None:
        readers = self._of_role(service, EngineRole.PREFILL)
        writers = self._of_role(service, EngineRole.DECODE)
        count = len(readers) + len(writers)
        most = max(1, int(count * self._settings.most_changing))
        if count < 2 or len(seen.changing_by_id) >= most:
            return None
        wanted = self._writers_wanted(service, seen, regret, readers, writers)
        free_writers = [item for item in writers if not _is_changing(item, seen)]
        free_readers = [item for item in readers if not _is_changing(item, seen)]
        if len(writers) > wanted and free_writers:
            idlest = min(free_writers, key=lambda engine: _spared(engine, writers))
            return self._change(service, seen, idlest, EngineRole.PREFILL, wanted)
        if len(writers) < wanted and free_readers:
            idlest = min(free_readers, key=lambda engine: engine.backlog(now))
            return self._change(service, seen, idlest, EngineRole.DECODE, wanted)
        return None

    def begun(self, service: str, now: float) -> None:
        """Learn that a change was ordered; what led to it is paid for."""
        seen = self._services_by_name.setdefault(service, _Service())
        seen.changed_at = now
        seen.regret -= self._paid(service, seen, seen.regret)

    def accepted(self, service: str, change: RoleChange) -> None:
        """Learn that an engine is on its way to another role."""
        seen = self._services_by_name.setdefault(service, _Service())
        seen.changing_by_id[change.estimate.target.target_id] = change.role

    def _writers_wanted(
        self,
        service: str,
        seen: _Service,
        regret: float,
        readers: list[TargetEstimate],
        writers: list[TargetEstimate],
    ) -> int:
        count = len(readers) + len(writers)
        least = self._min_decode_engines(count)
        if not seen.has_worked:
            # Nothing is under way that a change could disturb.
            return least
        if len(writers) < least:
            return len(writers) + 1
        price = self._price(service)
        if regret > self._reader_price(service, seen) and len(readers) > 1:
            return len(writers) + 1
        is_spare = seen.streams <= (len(writers) - 1) * self._slots(writers)
        if regret < -price and is_spare and len(writers) > least:
            return len(writers) - 1
        return len(writers)

    def _min_decode_engines(self, count: int) -> int:
        least = math.ceil(count * self._settings.least_share)
        if count >= self._settings.least_from:
            least = max(least, self._settings.least_count)
        return min(count - 1, max(1, least))

    def _paid(self, service: str, seen: _Service, regret: float) -> float:
        """Tell how much of a regret one change pays for."""
        return max(
            -self._price(service), min(self._reader_price(service, seen), regret)
        )

    def _reader_price(self, service: str, seen: _Service) -> float:
        """
        Tell the engine seconds of reading that are lost with a reader that writes.

        Load pattern: long answers come in a burst while readers are mostly idle. At the
        price of busy ones, 235 answers had 160 slots for 7 s before the first change.
        """
        return max(MIN_PRICE, seen.reader_use) * self._price(service)

    def _price(self, service: str) -> float:
        """Tell the engine seconds that a change and its turn back take."""
        model = self._fleet.model(service)
        return 2 * model.switch_time if model is not None else 0.0

    def _slots(self, writers: list[TargetEstimate]) -> float:
        """Tell the answers that one writer may write at once."""
        return max(1, writers[0].target.slots) * self._settings.fill

    def _forget_settled(self, service: str, seen: _Service, now: float) -> None:
        """Keep only engines that are on their way, by whoever ordered them."""
        changing: dict[str, EngineRole] = {}
        for engine in self._fleet.of_service(service):
            if now < engine.changing_until:
                name, role = engine.target.target_id, engine.target.role
                changing[name] = seen.changing_by_id.get(name, role)
        seen.changing_by_id = changing

    def _of_role(self, service: str, role: EngineRole) -> list[TargetEstimate]:
        """List engines of a role, or on their way to it."""
        changing_by_id = self._services_by_name[service].changing_by_id
        return [
            engine
            for engine in self._fleet.of_service(service)
            if changing_by_id.get(engine.target.target_id, engine.target.role) is role
            and not engine.target.is_leaving
            and engine.missing_since is None
        ]

    def _change(
        self,
        service: str,
        seen: _Service,
        estimate: TargetEstimate,
        role: EngineRole,
        wanted: int,
    ) -> RoleChange:
        readers = len(self._fleet.of_service(service)) - wanted
        return RoleChange(
            estimate, role, seen.streams, seen.unmet, seen.regret, readers
        )


def _is_changing(engine: TargetEstimate, seen: _Service) -> bool:
    return engine.target.target_id in seen.changing_by_id


def _spared(engine: TargetEstimate, writers: list[TargetEstimate]) -> tuple[int, int]:
    """
    Rank a writer that could read instead; the least is taken.

    Data centres keep writers of their own, since fetches between them cost more.
    """
    near = [
        other
        for other in writers
        if other.target.data_centre == engine.target.data_centre
    ]
    return -len(near), engine.load()
