"""State of the targets of a service as seen by one entry."""

from __future__ import annotations

import bisect
from collections.abc import Iterator
from random import Random

import xxhash

from pimentolink import link_pb2
from pimentolink.settings import RoutingSettings

PREFILL = "prefill"
DECODE = "decode"


def ring_hash(text: str) -> int:
    """
    Hash a name to its position on the ring.

    :param text: the name.
    :returns: 64-bit hash.
    """
    return xxhash.xxh3_64_intdigest(text.encode())


class TargetState:
    """
    State of one target as seen by one entry.

    Decides on ejection: after a number of consecutive failures a target gets no work
    for a time that doubles with each ejection; one success resets the counts.
    """

    def __init__(self, target_id: str, data_centre: str) -> None:
        """
        Start without a load report.

        :param target_id: the target's name.
        :param data_centre: the target's data centre.
        """
        self.target_id = target_id
        self.data_centre = data_centre
        self.load = link_pb2.Load(accepting=True)
        self.prefill_since_report = 0
        self.sent_since_report = 0
        self.in_flight = 0
        self.changing_since: float | None = None
        self._failures = 0
        self._ejections = 0
        self._ejected_until = 0.0
        self._suspended_until = 0.0

    def is_available(self, now: float) -> bool:
        """Return whether the target may get work now."""
        not_before = max(self._ejected_until, self._suspended_until)
        return self.load.accepting and now >= not_before

    def is_ejected(self, now: float) -> bool:
        """Return whether the target gets no work only because of its failures."""
        return self.load.accepting and now < self._ejected_until

    def ejected_for(self, now: float) -> float:
        """Return the seconds until its ejection ends."""
        return max(0.0, self._ejected_until - now)

    def track_planned_change(self, now: float) -> float | None:
        """
        Update the state of a planned change from the last load report.

        :returns: duration in seconds of a change that has just ended with the target
            in service; ``None`` otherwise.
        """
        began_at = self.changing_since
        if self.load.held:
            self.changing_since = now if began_at is None else began_at
            return None
        self.changing_since = None
        if began_at is None or not self.load.accepting:
            return None
        return now - began_at

    def reported(self, load: link_pb2.Load) -> None:
        """Take a load report, which includes all work sent before it."""
        self.load = load
        self.prefill_since_report = 0
        self.sent_since_report = 0

    def suspend_until(self, until: float) -> None:
        """
        Send no work until the next load report shows why the target refused it.

        :param until: time by which that report is expected at the latest.
        """
        self._suspended_until = until

    def sent(self, prefill_tokens: int) -> None:
        """Count an attempt that no load report includes yet."""
        self.in_flight += 1
        self.sent_since_report += 1
        self.prefill_since_report += prefill_tokens

    def ended(self) -> None:
        """Count the end of an attempt."""
        self.in_flight -= 1

    def succeeded(self) -> None:
        """Reset the counts of failures and ejections."""
        self._failures = 0
        self._ejections = 0

    def failed(self, now: float, settings: RoutingSettings) -> bool:
        """
        Count a failure.

        :returns: whether this failure ejects the target.
        """
        self._failures += 1
        if self._failures < settings.ejection_failures:
            return False
        pause = settings.ejection_time * 2**self._ejections
        self._ejected_until = now + min(pause, settings.ejection_most)
        self._ejections = min(self._ejections + 1, 16)
        self._failures = 0
        return True

    def streams(self) -> int:
        """Count running and waiting streams, including those sent since the report."""
        return self.load.running + self.load.waiting + self.sent_since_report

    def prefill_delay(self, settings: RoutingSettings, tokens: int) -> float:
        """
        Predict how long it takes until a prompt has been prefilled.

        :param settings: prefill rates by role.
        :param tokens: prompt tokens to prefill.
        :returns: seconds, including the prompts queued before.
        """
        rate = settings.prefill_rate
        if self.load.role == PREFILL:
            rate = settings.prefill_role_rate
        elif self.load.role == DECODE:
            rate = settings.decode_role_rate
        backlog = self.load.prefill_tokens + self.prefill_since_report
        return (backlog + tokens) / rate


class TargetPool:
    """
    The targets of one service that have a link to this entry.

    Lookups by name, data centre and key need no scan of all targets. Consistent
    hashing gives each key a stable order of targets, which changes little when a
    target is added or removed.
    """

    def __init__(self) -> None:
        """Start empty."""
        self.targets_by_id: dict[str, TargetState] = {}
        # Seconds that the last planned change of a target took; 0 before the first.
        self.last_change_duration = 0.0
        self._ids_by_data_centre: dict[str, list[str]] = {}
        self._ring: list[tuple[int, str]] = []

    def add(self, target: TargetState) -> None:
        """Add a target; does nothing if it is already in the pool."""
        if target.target_id in self.targets_by_id:
            return
        self.targets_by_id[target.target_id] = target
        self._ids_by_data_centre.setdefault(target.data_centre, []).append(
            target.target_id
        )
        bisect.insort(self._ring, (ring_hash(target.target_id), target.target_id))

    def remove(self, target_id: str) -> None:
        """Remove a target; does nothing if it is not in the pool."""
        target = self.targets_by_id.pop(target_id, None)
        if target is None:
            return
        self._ids_by_data_centre[target.data_centre].remove(target_id)
        self._ring.remove((ring_hash(target_id), target_id))

    def replace(self, targets: list[TargetState]) -> None:
        """
        Replace the targets of the pool by these.

        :param targets: the new targets, with distinct names.
        """
        wanted_by_id = {target.target_id: target for target in targets}
        for target_id, target in list(self.targets_by_id.items()):
            if wanted_by_id.get(target_id) is not target:
                self.remove(target_id)
        for target in targets:
            self.add(target)

    def change_ends_in(self, now: float) -> float | None:
        """
        Predict when a planned change of one of the targets ends next.

        :returns: seconds, 0 if unknown; ``None`` if no target is under a change.
        """
        left = [
            max(0.0, self.last_change_duration - (now - target.changing_since))
            for target in self.targets_by_id.values()
            if target.changing_since is not None
        ]
        return min(left, default=None)

    def ejection_ends_in(self, now: float) -> float | None:
        """
        Return the time until the next ejection ends.

        :returns: seconds; ``None`` if no target is ejected.
        """
        left = [
            target.ejected_for(now)
            for target in self.targets_by_id.values()
            if target.is_ejected(now)
        ]
        return min(left, default=None)

    def ring_order(self, key: int) -> Iterator[TargetState]:
        """
        Iterate over the targets in the order of the ring.

        :param key: position on the ring to start from.
        :returns: each target once.
        """
        start = bisect.bisect_left(self._ring, (key, ""))
        for step in range(len(self._ring)):
            _, target_id = self._ring[(start + step) % len(self._ring)]
            yield self.targets_by_id[target_id]

    def sample(self, data_centre: str, count: int, random: Random) -> list[TargetState]:
        """
        Sample targets of one data centre.

        :param data_centre: the data centre.
        :param count: maximum number of targets.
        :param random: source of randomness.
        :returns: all targets there if there are no more than ``count``, else a random
            sample.
        """
        ids = self._ids_by_data_centre.get(data_centre, [])
        if len(ids) > count:
            ids = random.sample(ids, count)
        return [self.targets_by_id[target_id] for target_id in ids]

    def sample_elsewhere(
        self, data_centre: str, count: int, random: Random
    ) -> list[TargetState]:
        """Sample at most ``count`` targets of each other data centre."""
        return [
            target
            for other in self._ids_by_data_centre
            if other != data_centre
            for target in self.sample(other, count, random)
        ]
