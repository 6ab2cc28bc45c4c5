"""Exchanges load between gateways by datagrams, so that each knows a target's total."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from typing import Any

import msgspec
from twisted.internet.protocol import DatagramProtocol

from pimentolink.cells import Cells
from pimentolink.egressqueue import EgressQueue
from pimentolink.fleet import Fleet
from pimentolink.logs import Log, LogEvent
from pimentolink.metrics import Metrics
from pimentolink.peermessages import (
    MAX_QUEUED_WORK,
    QUEUED_WORK_STEP,
    Datagram,
    InFlight,
    Message,
    OpenPrefills,
    SuspectMessage,
    UsageMessage,
    VerificationMessage,
)
from pimentolink.peerupdates import PeerUpdates
from pimentolink.registration import GatewayEntry
from pimentolink.settings import split_address
from pimentolink.timers import Repeater, Timer, Timers

# Largest datagram, in bytes, that is not fragmented on the way.
MAX_DATAGRAM_SIZE = 1400
# Bytes that a datagram takes beside its messages and the sender's process ID.
DATAGRAM_OVERHEAD = 10
# Size of the IP and UDP headers, in bytes.
IP_UDP_HEADER_SIZE = 28
# Seconds between updates of changed load, and between full updates, which are sent
# without a change too, in case a datagram was lost.
UPDATE_INTERVAL = 0.2
FULL_UPDATE_INTERVAL = 1.0
# Minimum time, in seconds, between load updates that are sent along with other
# messages, so that updates stay a small part of the traffic.
MIN_UPDATE_INTERVAL = 0.05
# Messages are delayed while the bytes queued on this instance's link take longer than
# this to send, in seconds, so that prompts and responses do not wait for them; and the
# longest such delay.
BUSY_LINK_DELAY = 0.004
MAX_SEND_DELAY = 0.05
# Number of targets per InFlight message, so that it fits into a datagram; names of
# targets have up to 24 bytes.
MAX_COUNTS_PER_MESSAGE = 40


# Sends a message to the address that another message came from.
SendReply = Callable[[Message], None]


def choose_peers(
    gateway: str, cell: int, cells: Cells, entries_by_name: dict[str, GatewayEntry]
) -> dict[str, str]:
    """
    Choose the gateways to send load updates to: those that share this one's targets.

    :param gateway: name of the sending gateway.
    :param cell: the cell that it belongs to.
    :param cells: all cells of the deployment.
    :param entries_by_name: all registered gateways.
    :returns: addresses by name.
    """
    return {
        name: entry.address
        for name, entry in entries_by_name.items()
        if name != gateway and cells.of(name, entry.data_centre) == cell
    }


class PeerOutbox:
    """
    Batches messages into datagrams.

    A message too large for a datagram is dropped, since no message needs to arrive.
    """

    def __init__(self, life: str) -> None:
        """
        Create an empty outbox.

        :param life: identifies this process.
        """
        self._life = life
        self._overhead = DATAGRAM_OVERHEAD + len(life.encode())
        self._pending: list[msgspec.Raw] = []

    def add(self, message: Message) -> bool:
        """
        Queue a message for the next datagram.

        :returns: whether it fits into a datagram.
        """
        encoded = msgspec.msgpack.encode(message)
        if len(encoded) + self._overhead > MAX_DATAGRAM_SIZE:
            return False
        self._pending.append(msgspec.Raw(encoded))
        return True

    def take(self) -> list[bytes]:
        """Remove the queued messages and return them as datagrams."""
        datagrams: list[bytes] = []
        chunk: list[msgspec.Raw] = []
        size = self._overhead
        for encoded in self._pending:
            if chunk and size + len(encoded) > MAX_DATAGRAM_SIZE:
                datagrams.append(msgspec.msgpack.encode((self._life, chunk)))
                chunk, size = [], self._overhead
            chunk.append(encoded)
            size += len(encoded)
        if chunk:
            datagrams.append(msgspec.msgpack.encode((self._life, chunk)))
        self._pending.clear()
        return datagrams


class PeerProtocol(DatagramProtocol):
    """
    Sends and receives datagrams between gateways.

    A lost datagram makes estimates less accurate, but fails no request.
    """

    def __init__(
        self,
        gateway: str,
        life: str,
        fleet: Fleet,
        on_datagram: Callable[[], object],
        timers: Timers,
        log: Log,
        metrics: Metrics,
        egress_queue: EgressQueue,
    ) -> None:
        """
        Create the protocol; :meth:`start` begins periodic updates.

        :param gateway: name of this gateway.
        :param life: identifies this process.
        :param fleet: the target estimates, which messages of other gateways update and
            which hold this gateway's own requests in flight.
        :param on_datagram: called after each valid datagram.
        :param timers: the timer service.
        :param log: receives events.
        :param metrics: receives counters.
        :param egress_queue: counts the bytes sent.
        """
        self._gateway = gateway
        self._fleet = fleet
        self._updates = PeerUpdates(fleet)
        self._on_datagram = on_datagram
        self._timers = timers
        self._log = log
        self._metrics = metrics
        self._egress_queue = egress_queue
        self._life = life
        self._outbox = PeerOutbox(life)
        self._repeater: Repeater | None = None
        self._flush_timer: Timer | None = None
        self._sent_counts: dict[str, int] = {}
        self._sent_at = -UPDATE_INTERVAL
        self._full_update_sent_at = -FULL_UPDATE_INTERVAL
        self._is_full_update_current = True
        self._decoder = msgspec.msgpack.Decoder(Datagram)
        self._sent_queued_work: dict[str, float] = {}
        self._sent_open_prefills = OpenPrefills(0, [])
        self.open_prefills: Callable[[], OpenPrefills] = lambda: OpenPrefills(0, [])
        self._addresses: list[tuple[str, int]] = []
        self.queued_work_by_service: Callable[[], dict[str, float]] = dict
        self.on_verification_message: Callable[
            [VerificationMessage, SendReply], None
        ] = lambda message, reply: None
        self.on_usage: Callable[[str, UsageMessage], None] = lambda life, message: None
        self.find_address: Callable[[str], str | None] = lambda gateway: None
        self.on_suspects: Callable[[SuspectMessage, str], None] = (
            lambda message, source: None
        )

    def set_peer_addresses(self, addresses: Iterable[str]) -> None:
        """Set the addresses that broadcast messages are sent to."""
        self._addresses = [split_address(address) for address in addresses]

    def start(self) -> None:
        """Start sending periodic load updates."""
        self._repeater = Repeater(self._timers, UPDATE_INTERVAL, self._tick)

    def stop(self) -> None:
        """Stop sending load updates and delayed messages."""
        if self._repeater is not None:
            self._repeater.cancel()
        if self._flush_timer is not None:
            self._flush_timer.cancel()

    def broadcast(self, message: Message) -> None:
        """
        Send a message to all other gateways of the cell.

        It is sent at once. Batched until the end of the event loop's iteration, which
        may be long under load, it would arrive too late to keep gateways from choosing
        the same engine. While other bytes are queued on the link, it waits for them, so
        that more messages share a datagram.
        """
        self._add(message)
        if self._flush_timer is not None:
            return
        queued = self._egress_queue.delay(0)
        if queued <= BUSY_LINK_DELAY:
            self._flush()
        else:
            wait = min(MAX_SEND_DELAY, queued)
            self._flush_timer = self._timers.call_later(wait, self._flush)

    def broadcast_separately(self, messages: Sequence[Message]) -> None:
        """
        Send messages to all other gateways of the cell in datagrams of their own.

        A gateway of an older version discards a datagram with a message that it does
        not know; no other message is lost with it.
        """
        self._send_messages(self._addresses, messages)

    def send_to(self, gateways: Iterable[str], messages: list[Message]) -> None:
        """
        Send messages to some gateways, of any cell.

        :param gateways: their names; those that are not registered are skipped.
        """
        addresses = [self.find_address(name) for name in gateways]
        known = [split_address(address) for address in addresses if address]
        self._send_messages(known, messages)

    def _send_messages(
        self, addresses: list[tuple[str, int]], messages: Sequence[Message]
    ) -> None:
        outbox = PeerOutbox(self._life)
        for message in messages:
            if not outbox.add(message):
                self._metrics.count("peer_messages", "too_large")
        for datagram in outbox.take():
            self._send(datagram, addresses)

    def _tick(self) -> None:
        now = self._timers.now()
        self._updates.expire(now)
        self._update_if_due(now)

    def _update_if_due(self, now: float) -> None:
        """Send a load update, unless one was just sent along with other messages."""
        if now - self._sent_at < UPDATE_INTERVAL:
            return
        is_due = now - self._full_update_sent_at >= FULL_UPDATE_INTERVAL
        needs_full_update = bool(self._sent_counts) or not self._is_full_update_current
        has_changed = (
            self._in_flight_counts() != self._sent_counts
            or self._rounded_queued_work() != self._sent_queued_work
            or self.open_prefills() != self._sent_open_prefills
        )
        if (is_due and needs_full_update) or has_changed:
            self._flush()

    def _rounded_queued_work(self) -> dict[str, float]:
        """Round the queued work, so that small changes are not sent."""
        return {
            service: min(
                MAX_QUEUED_WORK, round(work / QUEUED_WORK_STEP) * QUEUED_WORK_STEP
            )
            for service, work in self.queued_work_by_service().items()
        }

    def _in_flight_counts(self) -> dict[str, int]:
        return {
            target_id: estimate.in_flight
            for target_id, estimate in self._fleet.targets_by_id.items()
            if estimate.in_flight
        }

    def _flush(self) -> None:
        if self._flush_timer is not None:
            self._flush_timer.cancel()
            self._flush_timer = None
        now = self._timers.now()
        if now - self._sent_at >= MIN_UPDATE_INTERVAL:
            self._add_load(now)
        for datagram in self._outbox.take():
            self._send(datagram, self._addresses)

    def _add_open_prefills(self) -> None:
        open_prefills = self.open_prefills()
        if open_prefills != self._sent_open_prefills:
            self._sent_open_prefills = open_prefills
            self._is_full_update_current = False
            self._add(open_prefills)

    def _add_load(self, now: float) -> None:
        self._add_open_prefills()
        counts, sent_counts = self._in_flight_counts(), self._sent_counts
        queued_work = self._rounded_queued_work()
        has_queue_changed = queued_work != self._sent_queued_work
        self._sent_counts, self._sent_at = counts, now
        self._sent_queued_work = queued_work
        if now - self._full_update_sent_at >= FULL_UPDATE_INTERVAL:
            self._full_update_sent_at = now
            self._is_full_update_current = True
            self._add(self._sent_open_prefills)
            self._add_counts(counts, is_whole=True)
            return
        changed = {
            target_id: counts.get(target_id, 0)
            for target_id in counts.keys() | sent_counts.keys()
            if counts.get(target_id) != sent_counts.get(target_id)
        }
        if changed or has_queue_changed:
            self._is_full_update_current = False
            self._add_counts(changed, is_whole=False)

    def _add_counts(self, counts: dict[str, int], is_whole: bool) -> None:
        items = list(counts.items())
        first, rest = items[:MAX_COUNTS_PER_MESSAGE], items[MAX_COUNTS_PER_MESSAGE:]
        queued_work = self._sent_queued_work
        self._add(InFlight(self._gateway, dict(first), is_whole, queued_work))
        while rest:
            first, rest = rest[:MAX_COUNTS_PER_MESSAGE], rest[MAX_COUNTS_PER_MESSAGE:]
            self._add(InFlight(self._gateway, dict(first), False, queued_work))

    def _add(self, message: Message) -> None:
        if not self._outbox.add(message):
            self._metrics.count("peer_messages", "too_large")

    def _send(self, datagram: bytes, addresses: list[tuple[str, int]]) -> None:
        transport: Any = self.transport
        if transport is None:
            self._metrics.count("peer_messages", "not_sent")
            return
        self._egress_queue.record_sent(
            len(addresses) * (len(datagram) + IP_UDP_HEADER_SIZE)
        )
        for address in addresses:
            try:
                transport.write(datagram, address)
            except OSError:
                # Messages may be lost; sending the next one may succeed.
                self._metrics.count("peer_messages", "send_failed")

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:  # noqa: N802
        """Handle the messages of a datagram; an invalid one is counted and dropped."""
        try:
            decoded = self._decoder.decode(datagram)
        except msgspec.DecodeError as error:
            self._metrics.count("peer_messages", "invalid")
            self._log.write(LogEvent.PEER_MESSAGE_INVALID, detail=str(error))
            return
        for message in decoded.messages:
            if isinstance(message, SuspectMessage):
                self.on_suspects(message, "peer")
            elif isinstance(message, VerificationMessage):
                self.on_verification_message(
                    message, lambda reply: self._send_messages([addr], [reply])
                )
            elif isinstance(message, UsageMessage):
                self.on_usage(decoded.life, message)
            else:
                self._updates.apply(decoded.life, message, self._timers.now())
        self._on_datagram()
