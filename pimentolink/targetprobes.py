"""Decides by new connections whether a target that broke one off has ended."""

from __future__ import annotations

from enum import Enum, auto
from typing import NamedTuple

# Seconds for which a probe connection is held open. A serving target keeps it, while a
# proxy whose target has ended closes it once it has found that out.
PROBE_HOLD = 0.5
# Seconds for which the connection is held that shows whether a target can be reached;
# its response waits for them.
REACHABLE_HOLD = 0.05
# Seconds between the end of one probe and the next.
PROBE_INTERVAL = 0.15
# Probes closed in a row before a target counts as ended.
CLOSED_PROBES = 4
# Upper bound on the probes of one check.
MAX_PROBES = 8
# Seconds beyond its hold after which a probe's outcome says nothing, since this process
# did not run in the meantime.
MAX_PROBE_LATENESS = 0.25
# Age in seconds up to which a connection may have been turned away late because some
# process was busy.
MAX_TURNED_AWAY_AGE = 0.02
# Factor by which a connection must have lasted longer than each probe to have been let
# through to the target.
OUTLIVED_FACTOR = 2.0


class ProbeOutcome(Enum):
    """How a probe ended."""

    REFUSED = auto()
    CLOSED = auto()
    KEPT = auto()
    UNKNOWN = auto()


class Probe(NamedTuple):
    """
    A new connection to a target, which is opened, held for a while and closed.

    :ivar seconds: from the attempt to open it until its outcome was known.
    """

    outcome: ProbeOutcome
    seconds: float


class ProbeVerdict(Enum):
    """What the probes of a target show."""

    LISTENS = auto()
    REFUSES = auto()
    CLOSES = auto()

    @property
    def has_ended(self) -> bool:
        """Return whether the target's process has ended."""
        return self is not ProbeVerdict.LISTENS


class ProbeSeries:
    """
    The probes of a target after it broke a connection off.

    A refused connection shows that the target has ended. Behind a proxy that still
    listens, new connections are accepted and then closed; but so they are if a faulty
    proxy turns them away from a target that serves. The target has ended if several
    probes in a row were closed, a connection was lost that had got through, and none
    that got through is open any more.
    """

    def __init__(self) -> None:
        """Begin a series without probes."""
        self._probe_count = 0
        self._closed_after: list[float] = []

    def record(
        self, probe: Probe, longest_lost: float, longest_open: float
    ) -> ProbeVerdict | None:
        """
        Record a probe.

        :param longest_lost: age in seconds of the oldest of the target's connections
            that broke lately; 0 if none did.
        :param longest_open: age in seconds of the oldest that is open; 0 if none is.
        :returns: ``None`` if another probe is needed.
        """
        self._probe_count += 1
        if probe.outcome is ProbeOutcome.REFUSED:
            return ProbeVerdict.REFUSES
        if probe.outcome is ProbeOutcome.UNKNOWN:
            return ProbeVerdict.LISTENS
        if probe.seconds > PROBE_HOLD + MAX_PROBE_LATENESS:
            self._closed_after.clear()
        elif probe.outcome is ProbeOutcome.KEPT:
            return ProbeVerdict.LISTENS
        else:
            self._closed_after.append(probe.seconds)
        if len(self._closed_after) >= CLOSED_PROBES:
            turned_away = max(
                MAX_TURNED_AWAY_AGE, OUTLIVED_FACTOR * max(self._closed_after)
            )
            has_ended = longest_lost > turned_away >= longest_open
            return ProbeVerdict.CLOSES if has_ended else ProbeVerdict.LISTENS
        return ProbeVerdict.LISTENS if self._probe_count >= MAX_PROBES else None
