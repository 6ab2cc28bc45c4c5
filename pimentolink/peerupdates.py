"""Applies what other gateways tell to what this one believes of targets."""

from __future__ import annotations

from pimentolink.dialect import PromptPart
from pimentolink.fleet import Fleet
from pimentolink.peermessages import (
    InFlight,
    LoadMessage,
    OpenPrefills,
    PrefillEnded,
    RoleChanging,
)
from pimentolink.targetestimate import TargetEstimate, prefill_ticket

# Seconds after which what a silent gateway had under way no longer counts; three
# datagrams in a row may be lost. Its process ended, or the link to it is cut.
COUNTS_LAST = 3.5


class PeerUpdates:
    """Applies what other gateways tell to this one's beliefs."""

    def __init__(self, fleet: Fleet) -> None:
        """
        Prepare.

        :param fleet: the beliefs.
        """
        self._fleet = fleet
        self._counted_at: dict[str, float] = {}
        self._life_by_gateway: dict[str, str] = {}
        self._readings_by_life: dict[str, dict[int, TargetEstimate]] = {}

    def take(self, life: str, message: LoadMessage, now: float) -> None:
        """
        Learn from another gateway.

        :param life: of its process.
        :param message: what it tells.
        :param now: seconds of the timer service.
        """
        if isinstance(message, InFlight):
            self._counted_at[message.gateway] = now
            self._learn_life(message.gateway, life)
            self._take_in_flight(message)
            return
        if isinstance(message, OpenPrefills):
            self._take_open(life, message)
            return
        if isinstance(message, RoleChanging):
            self._take_role(message, now)
            return
        # ``None`` also for a life that ended, or one that is not listed here yet.
        estimate = self._fleet.find(message.target)
        if estimate is None:
            return
        ticket = prefill_ticket(life, message.number)
        if isinstance(message, PrefillEnded):
            self._readings_by_life.get(life, {}).pop(message.number, None)
            estimate.end_prefill(ticket, message.is_good, now)
            return
        self._readings_by_life.setdefault(life, {})[message.number] = estimate
        estimate.start_prefill(
            ticket,
            message.tokens,
            [PromptPart(*part) for part in message.parts],
            now,
            message.copied,
            message.way_ms / 1000,
        )

    def _take_role(self, message: RoleChanging, now: float) -> None:
        estimate = self._fleet.targets_by_id.get(message.target_id)
        if estimate is not None and estimate.target.born == message.born:
            estimate.changing_until = now + message.seconds

    def _learn_life(self, gateway: str, life: str) -> None:
        """Drop what a gateway was reading before it started again."""
        before = self._life_by_gateway.get(gateway, life)
        self._life_by_gateway[gateway] = life
        if before != life:
            self._drop_readings(before, set())

    def _take_open(self, life: str, message: OpenPrefills) -> None:
        readings = self._readings_by_life.get(life, {})
        later = {number for number in readings if number >= message.next_number}
        self._drop_readings(life, later | set(message.numbers))

    def _drop_readings(self, life: str, open_numbers: set[int]) -> None:
        """Count readings no more of which no end was told."""
        readings = self._readings_by_life.get(life, {})
        for number in readings.keys() - open_numbers:
            readings.pop(number).drop_prefill(prefill_ticket(life, number))
        if not readings:
            self._readings_by_life.pop(life, None)

    def _take_in_flight(self, message: InFlight) -> None:
        if message.is_whole:
            self._forget(message.gateway)
        self._fleet.update_waiting(message.gateway, message.waiting_by_service)
        for target_id, count in message.counts_by_target.items():
            estimate = self._fleet.targets_by_id.get(target_id)
            if estimate is None:
                continue
            if count:
                estimate.streams_by_peer[message.gateway] = count
            else:
                estimate.streams_by_peer.pop(message.gateway, None)

    def _forget(self, gateway: str) -> None:
        for estimate in self._fleet.targets_by_id.values():
            estimate.streams_by_peer.pop(gateway, None)

    def expire(self, now: float) -> None:
        """
        Drop what silent gateways had under way.

        Without this the load of a gateway that was killed stays on its targets for
        good, and others avoid them.
        """
        silent = [
            gateway
            for gateway, counted_at in self._counted_at.items()
            if now - counted_at > COUNTS_LAST
        ]
        for gateway in silent:
            del self._counted_at[gateway]
            self._drop_readings(self._life_by_gateway.pop(gateway, ""), set())
            self._fleet.update_waiting(gateway, {})
            self._forget(gateway)
