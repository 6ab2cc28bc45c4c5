"""What gateways tell each other, so that each knows the load of all on a target."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

import msgspec
from twisted.internet.protocol import DatagramProtocol

from pimentolink.cells import Cells
from pimentolink.egressqueue import EgressQueue
from pimentolink.fleet import Fleet
from pimentolink.logs import Log, LogEvent
from pimentolink.metrics import Metrics
from pimentolink.peermessages import (
    MAX_WORK,
    WORK_STEP,
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

# Largest datagram that no link on the way splits, in bytes.
MAX_DATAGRAM = 1400
# Bytes of a datagram around its messages.
FRAME = 10
# Bytes of the heads of IP and UDP.
UDP_HEAD = 28
# Seconds between two tellings of requests under way that have changed, and of those
# that have not, in case a datagram was lost.
TELL_INTERVAL = 0.2
REPEAT_INTERVAL = 1.0
# Shortest time, in seconds, between two tellings of requests under way that go along
# with other messages, so that they stay a small part of them.
TELL_LEAST = 0.05
# Seconds that bytes are queued on this instance's link from which on messages wait, and
# the longest time that they do, so that prompts and answers do not wait for them.
LINK_BUSY = 0.004
MAX_WAIT = 0.05
# Targets of which one message tells the counts, so that it fits into a datagram; names
# of targets have up to 24 bytes.
MAX_COUNTS = 40


# Sends a message back to where another one came from.
Answer = Callable[[Message], None]


def choose_peers(
    gateway: str, cell: int, cells: Cells, entries_by_name: dict[str, GatewayEntry]
) -> dict[str, str]:
    """
    Choose which gateways to tell: those that share this one's targets.

    :param gateway: the one that tells.
    :param cell: that it belongs to.
    :param cells: of the deployment.
    :param entries_by_name: all gateways that are listed.
    :returns: addresses by name.
    """
    return {
        name: entry.address
        for name, entry in entries_by_name.items()
        if name != gateway and cells.of(name, entry.data_centre) == cell
    }


class PeerOutbox:
    """
    Gathers messages into datagrams.

    A message that fits into none is dropped: nothing rests on its arrival.
    """

    def __init__(self, life: str) -> None:
        """
        Start empty.

        :param life: of this process.
        """
        self._life = life
        self._frame = FRAME + len(life.encode())
        self._waiting: list[msgspec.Raw] = []

    def add(self, message: Message) -> bool:
        """
        Let a message wait for the next datagram.

        :returns: whether it fits into one.
        """
        encoded = msgspec.msgpack.encode(message)
        if len(encoded) + self._frame > MAX_DATAGRAM:
            return False
        self._waiting.append(msgspec.Raw(encoded))
        return True

    def take(self) -> list[bytes]:
        """Take what waits, as datagrams."""
        datagrams: list[bytes] = []
        chunk: list[msgspec.Raw] = []
        size = self._frame
        for encoded in self._waiting:
            if chunk and size + len(encoded) > MAX_DATAGRAM:
                datagrams.append(msgspec.msgpack.encode((self._life, chunk)))
                chunk, size = [], self._frame
            chunk.append(encoded)
            size += len(encoded)
        if chunk:
            datagrams.append(msgspec.msgpack.encode((self._life, chunk)))
        self._waiting.clear()
        return datagrams


class PeerProtocol(DatagramProtocol):
    """Datagrams between gateways; a lost one costs a guess, never an answer."""

    def __init__(
        self,
        gateway: str,
        life: str,
        fleet: Fleet,
        on_news: Callable[[], object],
        timers: Timers,
        log: Log,
        metrics: Metrics,
        egress_queue: EgressQueue,
    ) -> None:
        """
        Prepare.

        :param gateway: this one's name.
        :param life: of this process.
        :param fleet: the beliefs that others' messages change, with the requests that
            this gateway has under way.
        :param on_news: called after each datagram.
        :param timers: the timer service.
        :param log: where events go.
        :param metrics: where figures go.
        :param egress_queue: learns what is sent.
        """
        self._gateway = gateway
        self._fleet = fleet
        self._book = PeerUpdates(fleet)
        self._on_news = on_news
        self._timers = timers
        self._log = log
        self._metrics = metrics
        self._egress_queue = egress_queue
        self._life = life
        self._outbox = PeerOutbox(life)
        self._repeater: Repeater | None = None
        self._flushing: Timer | None = None
        self._told_counts: dict[str, int] = {}
        self._told_at = -TELL_INTERVAL
        self._told_whole_at = -REPEAT_INTERVAL
        self._is_whole_known = True
        self._decoder = msgspec.msgpack.Decoder(Datagram)
        self._update_waiting: dict[str, float] = {}
        self._told_open = OpenPrefills(0, [])
        self.open_prefills: Callable[[], OpenPrefills] = lambda: OpenPrefills(0, [])
        self._addresses: list[tuple[str, int]] = []
        self.waiting_work: Callable[[], dict[str, float]] = dict
        self.on_proof: Callable[[VerificationMessage, Answer], None] = (
            lambda news, answer: None
        )
        self.on_usage: Callable[[str, UsageMessage], None] = lambda life, news: None
        self.address_of: Callable[[str], str | None] = lambda gateway: None
        self.on_suspects: Callable[[SuspectMessage, str], None] = lambda news, source: (
            None
        )

    def tell_to(self, addresses: Iterable[str]) -> None:
        """Learn the addresses of the gateways that are told from now on."""
        self._addresses = [split_address(address) for address in addresses]

    def start(self) -> None:
        """Begin to tell what is under way."""
        self._repeater = Repeater(self._timers, TELL_INTERVAL, self._turn)

    def stop(self) -> None:
        """Tell nothing more."""
        if self._repeater is not None:
            self._repeater.cancel()
        if self._flushing is not None:
            self._flushing.cancel()

    def broadcast(self, message: Message) -> None:
        """
        Tell all other gateways.

        It goes out at once: gathered until the end of the loop's turn, which may be
        long under load, it would come too late to keep gateways from choosing one
        engine. While the link has other bytes to carry, it waits for them, so that more
        messages share a datagram.
        """
        self._add(message)
        if self._flushing is not None:
            return
        queued = self._egress_queue.delay(0)
        if queued <= LINK_BUSY:
            self._flush()
        else:
            wait = min(MAX_WAIT, queued)
            self._flushing = self._timers.call_later(wait, self._flush)

    def send_to(self, gateways: Iterable[str], messages: list[Message]) -> None:
        """
        Tell some gateways, of any cell.

        :param gateways: their names; those that are not listed are left out.
        """
        addresses = [self.address_of(name) for name in gateways]
        listed = [split_address(address) for address in addresses if address]
        self._tell_at(listed, messages)

    def _tell_at(
        self, addresses: list[tuple[str, int]], messages: list[Message]
    ) -> None:
        outbox = PeerOutbox(self._life)
        for message in messages:
            if not outbox.add(message):
                self._metrics.count("peer_messages", "too_large")
        for datagram in outbox.take():
            self._send(datagram, addresses)

    def _turn(self) -> None:
        now = self._timers.now()
        self._book.expire(now)
        self._tell_in_flight(now)

    def _tell_in_flight(self, now: float) -> None:
        """Tell what is under way, unless other messages took it along."""
        if now - self._told_at < TELL_INTERVAL:
            return
        is_due = now - self._told_whole_at >= REPEAT_INTERVAL
        is_open = bool(self._told_counts) or not self._is_whole_known
        has_changed = (
            self._counts() != self._told_counts
            or self._waiting() != self._update_waiting
            or self.open_prefills() != self._told_open
        )
        if (is_due and is_open) or has_changed:
            self._flush()

    def _waiting(self) -> dict[str, float]:
        """Round what waits, so that small changes are not told."""
        return {
            service: min(MAX_WORK, round(work / WORK_STEP) * WORK_STEP)
            for service, work in self.waiting_work().items()
        }

    def _counts(self) -> dict[str, int]:
        return {
            target_id: estimate.in_flight
            for target_id, estimate in self._fleet.targets_by_id.items()
            if estimate.in_flight
        }

    def _flush(self) -> None:
        if self._flushing is not None:
            self._flushing.cancel()
            self._flushing = None
        now = self._timers.now()
        if now - self._told_at >= TELL_LEAST:
            self._add_in_flight(now)
        for datagram in self._outbox.take():
            self._send(datagram, self._addresses)

    def _add_open(self) -> None:
        found = self.open_prefills()
        if found != self._told_open:
            self._told_open = found
            self._is_whole_known = False
            self._add(found)

    def _add_in_flight(self, now: float) -> None:
        self._add_open()
        counts, told = self._counts(), self._told_counts
        waiting = self._waiting()
        is_new = waiting != self._update_waiting
        self._told_counts, self._told_at = counts, now
        self._update_waiting = waiting
        if now - self._told_whole_at >= REPEAT_INTERVAL:
            self._told_whole_at = now
            self._is_whole_known = True
            self._add(self._told_open)
            self._add_counts(counts, is_whole=True)
            return
        changed = {
            target_id: counts.get(target_id, 0)
            for target_id in counts.keys() | told.keys()
            if counts.get(target_id) != told.get(target_id)
        }
        if changed or is_new:
            self._is_whole_known = False
            self._add_counts(changed, is_whole=False)

    def _add_counts(self, counts: dict[str, int], is_whole: bool) -> None:
        listed = list(counts.items())
        first, rest = listed[:MAX_COUNTS], listed[MAX_COUNTS:]
        waiting = self._update_waiting
        self._add(InFlight(self._gateway, dict(first), is_whole, waiting))
        while rest:
            first, rest = rest[:MAX_COUNTS], rest[MAX_COUNTS:]
            self._add(InFlight(self._gateway, dict(first), False, waiting))

    def _add(self, message: Message) -> None:
        if not self._outbox.add(message):
            self._metrics.count("peer_messages", "too_large")

    def _send(self, datagram: bytes, addresses: list[tuple[str, int]]) -> None:
        transport: Any = self.transport
        if transport is None:
            self._metrics.count("peer_messages", "not_sent")
            return
        self._egress_queue.sent(len(addresses) * (len(datagram) + UDP_HEAD))
        for address in addresses:
            try:
                transport.write(datagram, address)
            except OSError:
                # The next message may go out; nothing rests on this one.
                self._metrics.count("peer_messages", "send_failed")

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:  # noqa: N802
        """Take messages; what is none is counted and dropped."""
        try:
            found = self._decoder.decode(datagram)
        except msgspec.DecodeError as error:
            self._metrics.count("peer_messages", "invalid")
            self._log.write(LogEvent.PEER_MESSAGE_INVALID, detail=str(error))
            return
        for message in found.messages:
            if isinstance(message, SuspectMessage):
                self.on_suspects(message, "peer")
            elif isinstance(message, VerificationMessage):
                self.on_proof(message, lambda told: self._tell_at([addr], [told]))
            elif isinstance(message, UsageMessage):
                self.on_usage(found.life, message)
            else:
                self._book.take(found.life, message, self._timers.now())
        self._on_news()
