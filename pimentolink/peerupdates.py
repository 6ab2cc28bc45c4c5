"""Applies load messages of other gateways to this gateway's target estimates."""

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

# Seconds without an update after which a gateway's requests no longer count, since its
# process ended or the link to it is broken. Three datagrams in a row may be lost.
PEER_TIMEOUT = 3.5


class PeerUpdates:
    """Applies load messages of other gateways and expires those of silent ones."""

    def __init__(self, fleet: Fleet) -> None:
        """
        Start without knowledge of other gateways.

        :param fleet: the target estimates to update.
        """
        self._fleet = fleet
        self._last_update_at: dict[str, float] = {}
        self._life_by_gateway: dict[str, str] = {}
        self._prefills_by_life: dict[str, dict[int, TargetEstimate]] = {}

    def apply(self, life: str, message: LoadMessage, now: float) -> None:
        """
        Apply a message of another gateway.

        :param life: identifies the sender's process.
        :param message: the message.
        :param now: seconds of the timer service.
        """
        if isinstance(message, InFlight):
            self._last_update_at[message.gateway] = now
            self._update_life(message.gateway, life)
            self._apply_in_flight(message)
            return
        if isinstance(message, OpenPrefills):
            self._apply_open_prefills(life, message)
            return
        if isinstance(message, RoleChanging):
            self._apply_role_change(message, now)
            return
        # ``None`` also if the target has restarted since, or is not listed here yet.
        estimate = self._fleet.find(message.target)
        if estimate is None:
            return
        ticket = prefill_ticket(life, message.number)
        if isinstance(message, PrefillEnded):
            self._prefills_by_life.get(life, {}).pop(message.number, None)
            estimate.end_prefill(ticket, message.is_good, now)
            return
        self._prefills_by_life.setdefault(life, {})[message.number] = estimate
        estimate.start_prefill(
            ticket,
            message.tokens,
            [PromptPart(*part) for part in message.parts],
            now,
            message.copied,
            message.way_ms / 1000,
        )

    def _apply_role_change(self, message: RoleChanging, now: float) -> None:
        estimate = self._fleet.targets_by_id.get(message.target_id)
        if estimate is not None and estimate.target.born == message.born:
            estimate.changing_until = now + message.seconds

    def _update_life(self, gateway: str, life: str) -> None:
        """Drop a gateway's earlier prefills if its process has restarted."""
        previous = self._life_by_gateway.get(gateway, life)
        self._life_by_gateway[gateway] = life
        if previous != life:
            self._drop_prefills(previous, set())

    def _apply_open_prefills(self, life: str, message: OpenPrefills) -> None:
        prefills = self._prefills_by_life.get(life, {})
        later = {number for number in prefills if number >= message.next_number}
        self._drop_prefills(life, later | set(message.numbers))

    def _drop_prefills(self, life: str, open_numbers: set[int]) -> None:
        """Drop the prefills of a process, except those that are still open."""
        prefills = self._prefills_by_life.get(life, {})
        for number in prefills.keys() - open_numbers:
            prefills.pop(number).drop_prefill(prefill_ticket(life, number))
        if not prefills:
            self._prefills_by_life.pop(life, None)

    def _apply_in_flight(self, message: InFlight) -> None:
        if message.is_whole:
            self._clear_stream_counts(message.gateway)
        self._fleet.update_waiting(message.gateway, message.waiting_by_service)
        for target_id, count in message.counts_by_target.items():
            estimate = self._fleet.targets_by_id.get(target_id)
            if estimate is None:
                continue
            if count:
                estimate.streams_by_peer[message.gateway] = count
            else:
                estimate.streams_by_peer.pop(message.gateway, None)

    def _clear_stream_counts(self, gateway: str) -> None:
        for estimate in self._fleet.targets_by_id.values():
            estimate.streams_by_peer.pop(gateway, None)

    def expire(self, now: float) -> None:
        """
        Drop the requests of gateways that have sent no update in time.

        Without this, the load of a gateway that was killed would count at its targets
        for good, and other gateways would avoid them.
        """
        silent = [
            gateway
            for gateway, updated_at in self._last_update_at.items()
            if now - updated_at > PEER_TIMEOUT
        ]
        for gateway in silent:
            del self._last_update_at[gateway]
            self._drop_prefills(self._life_by_gateway.pop(gateway, ""), set())
            self._fleet.update_waiting(gateway, {})
            self._clear_stream_counts(gateway)
