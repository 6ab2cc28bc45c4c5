"""The targets of a service as one entry knows them."""

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
    Place a name on the ring.

    :param text: the name.
    :returns: 64 bits.
    """
    return xxhash.xxh3_64_intdigest(text.encode())


class TargetState:
    """
    What one entry knows of a target.

    Guards ejection: after failures in a row a target gets no work for a while that
    doubles each time, and one success clears it.
    """

    def __init__(self, target_id: str, data_centre: str) -> None:
        """
        Start without knowledge of load.

        :param target_id: the target's name.
        :param data_centre: where it stands.
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
        self._turns_away_until = 0.0

    def is_available(self, now: float) -> bool:
        """Tell whether it may get work now."""
        not_before = max(self._ejected_until, self._turns_away_until)
        return self.load.accepting and now >= not_before

    def is_ejected(self, now: float) -> bool:
        """Tell whether only its failures keep it from getting work."""
        return self.load.accepting and now < self._ejected_until

    def ejected_for(self, now: float) -> float:
        """Tell for how many seconds from now it gets no work for its failures."""
        return max(0.0, self._ejected_until - now)

    def planned_change_took(self, now: float) -> float | None:
        """
        Take note whether the last report tells of a planned change.

        :returns: seconds that a change took which has just ended with the target in
            service.
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
        """Take a load report, which counts all that was sent before it."""
        self.load = load
        self.prefill_since_report = 0
        self.sent_since_report = 0

    def turned_work_away(self, until: float) -> None:
        """
        Give it no work until its next report has told why it takes none.

        :param until: when that report is here at the latest.
        """
        self._turns_away_until = until

    def sent(self, prefill_tokens: int) -> None:
        """Count work that no report shows yet."""
        self.in_flight += 1
        self.sent_since_report += 1
        self.prefill_since_report += prefill_tokens

    def ended(self) -> None:
        """Count one attempt less."""
        self.in_flight -= 1

    def succeeded(self) -> None:
        """Clear the record of failures."""
        self._failures = 0
        self._ejections = 0

    def failed(self, now: float, settings: RoutingSettings) -> bool:
        """
        Count a failure.

        :returns: whether the target is ejected by it.
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
        """Count answers under way or waiting there, with those sent since."""
        return self.load.running + self.load.waiting + self.sent_since_report

    def prefill_delay(self, settings: RoutingSettings, tokens: int) -> float:
        """
        Predict when a prompt would be read.

        :param settings: rates by role.
        :param tokens: work of the prompt.
        :returns: seconds.
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
    The targets of one service that are linked, found without scanning them all.

    A ring of hashed names gives each key a stable order of targets that changes
    little when one comes or goes.
    """

    def __init__(self) -> None:
        """Start empty."""
        self.targets_by_id: dict[str, TargetState] = {}
        # Seconds that the last planned change of a target took; 0 before the first.
        self.change_time = 0.0
        self._ids_by_data_centre: dict[str, list[str]] = {}
        self._ring: list[tuple[int, str]] = []

    def add(self, target: TargetState) -> None:
        """Take a target in; does nothing if it is there."""
        if target.target_id in self.targets_by_id:
            return
        self.targets_by_id[target.target_id] = target
        self._ids_by_data_centre.setdefault(target.data_centre, []).append(
            target.target_id
        )
        bisect.insort(self._ring, (ring_hash(target.target_id), target.target_id))

    def remove(self, target_id: str) -> None:
        """Take a target out; does nothing if it is not there."""
        target = self.targets_by_id.pop(target_id, None)
        if target is None:
            return
        self._ids_by_data_centre[target.data_centre].remove(target_id)
        self._ring.remove((ring_hash(target_id), target_id))

    def replace(self, targets: list[TargetState]) -> None:
        """
        Hold exactly these targets.

        :param targets: each under its own name.
        """
        wanted_by_id = {target.target_id: target for target in targets}
        for target_id, target in list(self.targets_by_id.items()):
            if wanted_by_id.get(target_id) is not target:
                self.remove(target_id)
        for target in targets:
            self.add(target)

    def change_ends_in(self, now: float) -> float | None:
        """
        Predict when the next target comes back from a planned change.

        :returns: seconds, 0 if it cannot be known; ``None`` if no target is changing.
        """
        left = [
            max(0.0, self.change_time - (now - target.changing_since))
            for target in self.targets_by_id.values()
            if target.changing_since is not None
        ]
        return min(left, default=None)

    def available_in(self, now: float) -> float | None:
        """
        Tell when the next ejected target gets work again.

        :returns: seconds; ``None`` if none is ejected.
        """
        left = [
            target.ejected_for(now)
            for target in self.targets_by_id.values()
            if target.is_ejected(now)
        ]
        return min(left, default=None)

    def in_order(self, key: int) -> Iterator[TargetState]:
        """
        Walk the ring.

        :param key: where to begin.
        :returns: each target once, in the key's own order.
        """
        start = bisect.bisect_left(self._ring, (key, ""))
        for step in range(len(self._ring)):
            _, target_id = self._ring[(start + step) % len(self._ring)]
            yield self.targets_by_id[target_id]

    def sample(self, data_centre: str, count: int, random: Random) -> list[TargetState]:
        """
        Draw targets of one data centre.

        :param count: at most so many.
        :returns: all of them if there are no more, else a random choice.
        """
        ids = self._ids_by_data_centre.get(data_centre, [])
        if len(ids) > count:
            ids = random.sample(ids, count)
        return [self.targets_by_id[target_id] for target_id in ids]

    def sample_elsewhere(
        self, data_centre: str, count: int, random: Random
    ) -> list[TargetState]:
        """Draw targets of the other data centres, at most ``count`` of each."""
        return [
            target
            for other in self._ids_by_data_centre
            if other != data_centre
            for target in self.sample(other, count, random)
        ]
