"""Decides how many engines of a service read prompts and how many write answers."""

from __future__ import annotations

import math
from typing import NamedTuple

from pimentolink.fleet import Fleet
from pimentolink.gatewaysettings import RoleSettings
from pimentolink.targetbelief import EngineRole, TargetBelief


class RoleChange(NamedTuple):
    """
    An engine that should take another role.

    :ivar streams: predicted requests in work, on which the decision rests.
    :ivar readers: wanted of the service's engines.
    """

    belief: TargetBelief
    role: EngineRole
    streams: float
    readers: int


class RoleBalancer:
    """
    Keeps as few writers as the answers under way need.

    Load pattern: long shared prompts with short answers, so that reading binds, and
    swings between long prompts and long answers. A writer that also reads slows its
    streams several times over, and reads at half speed; few writers that read little
    serve more than many that read. A change takes an engine away for seconds, so
    swings shorter than the horizon cause none.
    """

    def __init__(self, settings: RoleSettings, fleet: Fleet) -> None:
        """
        Start without knowledge of load.

        :param settings: shares, horizon and pauses.
        :param fleet: the engines.
        """
        self._settings = settings
        self._fleet = fleet
        self._streams_by_service: dict[str, float] = {}
        self._changed_at: dict[str, float] = {}
        self._observed_at: dict[str, float] = {}

    def observe(self, service: str, now: float) -> None:
        """Learn how many answers are under way; to be called at a steady pace."""
        writers = self._of_role(service, EngineRole.WRITER)
        streams = float(sum(writer.load() for writer in writers))
        before = self._streams_by_service.get(service, 0.0)
        passed = now - self._observed_at.get(service, now)
        weight = 1 - math.exp(-passed / self._settings.horizon)
        if streams > before:
            # Answers that pile up hurt at once; that they are few must last.
            weight = min(1.0, weight * self._settings.rise)
        self._streams_by_service[service] = before + weight * (streams - before)
        self._observed_at[service] = now

    def decide(self, service: str, now: float) -> RoleChange | None:
        """
        Find the change that is most wanted now.

        :returns: ``None`` while roles are right, or one changed a moment ago.
        """
        readers = self._of_role(service, EngineRole.READER)
        writers = self._of_role(service, EngineRole.WRITER)
        if len(readers) + len(writers) < 2 or self._is_settling(service, now):
            return None
        streams = self._streams_by_service.get(service, 0.0)
        wanted = self._writers_wanted(readers + writers, streams)
        if len(writers) > wanted:
            idlest = min(writers, key=lambda engine: _spared(engine, writers))
            return self._change(service, idlest, EngineRole.READER, streams, wanted)
        if len(writers) < wanted:
            idlest = min(readers, key=lambda engine: engine.backlog(now))
            return self._change(service, idlest, EngineRole.WRITER, streams, wanted)
        return None

    def begun(self, service: str, now: float) -> None:
        """Learn that a change was ordered."""
        self._changed_at[service] = now

    def _writers_wanted(self, engines: list[TargetBelief], streams: float) -> int:
        slots = max(1, engines[0].target.slots)
        for_streams = math.ceil(streams / (slots * self._settings.fill))
        least = math.ceil(len(engines) * self._settings.least_share)
        if len(engines) >= self._settings.least_from:
            least = max(least, self._settings.least_count)
        return min(len(engines) - 1, max(1, least, for_streams))

    def _is_settling(self, service: str, now: float) -> bool:
        changed_at = self._changed_at.get(service)
        if changed_at is not None and now - changed_at < self._settings.pause:
            return True
        return any(
            now < engine.changing_until for engine in self._fleet.of_service(service)
        )

    def _of_role(self, service: str, role: EngineRole) -> list[TargetBelief]:
        return [
            engine
            for engine in self._fleet.of_service(service)
            if engine.target.role is role
            and not engine.target.is_leaving
            and engine.missing_since is None
        ]

    def _change(
        self,
        service: str,
        belief: TargetBelief,
        role: EngineRole,
        streams: float,
        wanted: int,
    ) -> RoleChange:
        readers = len(self._fleet.of_service(service)) - wanted
        return RoleChange(belief, role, streams, readers)


def _spared(engine: TargetBelief, writers: list[TargetBelief]) -> tuple[int, int]:
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
