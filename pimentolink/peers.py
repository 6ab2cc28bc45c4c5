"""What gateways tell each other, so that each knows the load of all on a target."""

from __future__ import annotations

from collections.abc import Callable
from typing import Annotated, Any, Protocol

import msgspec
from twisted.internet.protocol import DatagramProtocol

from pimentolink.cells import Cells
from pimentolink.dialect import PromptPart
from pimentolink.fleet import Fleet
from pimentolink.logs import Log, LogEvent
from pimentolink.metrics import Metrics
from pimentolink.registration import GatewayEntry
from pimentolink.settings import split_address
from pimentolink.timers import Repeater, Timer, Timers
from pimentolink.uplink import Uplink

# Largest datagram that no link on the way splits, in bytes.
MOST_DATAGRAM = 1400
# Bytes of a datagram around its messages.
FRAME = 5
# Bytes of the heads of IP and UDP.
UDP_HEAD = 28
# Seconds between two tellings of requests under way that have changed, and of those
# that have not, in case a datagram was lost.
TELL_INTERVAL = 0.2
REPEAT_INTERVAL = 1.0
# Shortest time, in seconds, between two tellings of requests under way that go along
# with other messages. Told along with each of 84 messages a second they made up a third
# of what 29 others were told.
TELL_LEAST = 0.05
# Seconds that bytes are queued on this instance's link from which on messages wait, and
# the longest time that they do. Over a link of 5 Mbit/s telling 29 others at once took
# 430 KB/s of 625 in a burst, for which prompts and answers waited.
LINK_BUSY = 0.004
MOST_WAIT = 0.05
# Seconds after which what a silent gateway had under way no longer counts; three
# datagrams in a row may be lost. Its process ended, or the link to it is cut.
COUNTS_LAST = 3.5
# Targets of which one message tells the counts, so that it fits into a datagram; names
# of targets have up to 24 bytes.
MOST_COUNTS = 40
# Longest time, in seconds, for which a role change that another gateway told of keeps
# an engine from work; a hundred times what the slowest known takes.
MOST_CHANGING = 600.0

# Most engine seconds that are believed to wait at one gateway; an hour of one engine.
MOST_WORK = 3600.0
# Longest time, in milliseconds, that a prompt is believed to be on its way to an
# engine; callers have left by then.
MOST_WAY_MS = 30_000
# Changes of what waits that are told, in engine seconds.
WORK_STEP = 0.02

# Bounds on what another gateway tells. A faulty one would otherwise make a target look
# idle, busy or changing for good.
_Natural = Annotated[int, msgspec.Meta(ge=0)]
_Work = Annotated[float, msgspec.Meta(ge=0, le=MOST_WORK)]
_Way = Annotated[int, msgspec.Meta(ge=0, le=MOST_WAY_MS)]
_Changing = Annotated[float, msgspec.Meta(ge=0, le=MOST_CHANGING)]


class ReadingBegan(msgspec.Struct, tag="b", array_like=True):
    """
    A prompt was sent to an engine.

    :ivar ticket: names the reading.
    :ivar parts: of the prompt, as number and tokens.
    :ivar copied: tokens that it fetches from another engine first.
    :ivar born: which life of the engine is meant.
    :ivar way_ms: milliseconds until the engine has the prompt, over the sender's own
        link.
    """

    ticket: str
    target_id: str
    tokens: _Natural
    parts: list[tuple[_Natural, _Natural]]
    copied: _Natural = 0
    born: _Natural = 0
    way_ms: _Way = 0


class ReadingEnded(msgspec.Struct, tag="e", array_like=True):
    """
    A reading came to its end; each gateway learns from it how long readings take.

    :ivar is_good: whether the prompt was read.
    """

    ticket: str
    target_id: str
    is_good: bool


class InFlight(msgspec.Struct, tag="f", array_like=True):
    """
    Requests that a gateway has under way, by target.

    :ivar is_whole: whether it has none at other targets; else only what has changed
        is told. Telling all of them with each reading took 27 ms of a link of
        5 Mbit/s, for which callers' answers waited.
    :ivar waiting_by_service: engine seconds of the prompts that wait there.
    """

    gateway: str
    counts_by_target: dict[str, _Natural]
    is_whole: bool
    waiting_by_service: dict[str, _Work] = {}


class RoleChanging(msgspec.Struct, tag="r", array_like=True):
    """
    An engine was ordered to another role.

    :ivar seconds: for which it takes no work.
    :ivar born: which life of the engine is meant.
    """

    target_id: str
    seconds: _Changing
    born: _Natural = 0


Message = ReadingBegan | ReadingEnded | InFlight | RoleChanging


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


class PeerNews(Protocol):
    """Tells other gateways."""

    def tell(self, message: Message) -> None:
        """Tell all gateways, without being sure that any learns it."""


class PeerBook:
    """Applies what other gateways tell to this one's beliefs."""

    def __init__(self, fleet: Fleet) -> None:
        """
        Prepare.

        :param fleet: the beliefs.
        """
        self._fleet = fleet
        self._counted_at: dict[str, float] = {}

    def take(self, message: Message, now: float) -> None:
        """
        Learn from another gateway.

        :param message: what it tells.
        :param now: seconds of the timer service.
        """
        if isinstance(message, InFlight):
            self._counted_at[message.gateway] = now
            self._take_in_flight(message)
            return
        belief = self._fleet.targets_by_id.get(message.target_id)
        if belief is None:
            return
        if isinstance(message, ReadingEnded):
            belief.end_reading(message.ticket, message.is_good, now)
        elif message.born != belief.target.born:
            # Told of a life that ended, or of one that is not listed here yet.
            return
        elif isinstance(message, ReadingBegan):
            parts = [PromptPart(*part) for part in message.parts]
            belief.begin_reading(
                message.ticket,
                message.tokens,
                parts,
                now,
                message.copied,
                message.way_ms / 1000,
            )
        else:
            belief.changing_until = now + message.seconds

    def _take_in_flight(self, message: InFlight) -> None:
        if message.is_whole:
            self._forget(message.gateway)
        self._fleet.told_waiting(message.gateway, message.waiting_by_service)
        for target_id, count in message.counts_by_target.items():
            belief = self._fleet.targets_by_id.get(target_id)
            if belief is None:
                continue
            if count:
                belief.streams_by_peer[message.gateway] = count
            else:
                belief.streams_by_peer.pop(message.gateway, None)

    def _forget(self, gateway: str) -> None:
        for belief in self._fleet.targets_by_id.values():
            belief.streams_by_peer.pop(gateway, None)

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
            self._fleet.told_waiting(gateway, {})
            self._forget(gateway)


class PeerOutbox:
    """
    Gathers messages into datagrams.

    A message that fits into none is dropped: nothing rests on its arrival.
    """

    def __init__(self) -> None:
        """Start empty."""
        self._waiting: list[msgspec.Raw] = []

    def add(self, message: Message) -> bool:
        """
        Let a message wait for the next datagram.

        :returns: whether it fits into one.
        """
        encoded = msgspec.msgpack.encode(message)
        if len(encoded) + FRAME > MOST_DATAGRAM:
            return False
        self._waiting.append(msgspec.Raw(encoded))
        return True

    def take(self) -> list[bytes]:
        """Take what waits, as datagrams."""
        datagrams: list[bytes] = []
        chunk: list[msgspec.Raw] = []
        size = FRAME
        for encoded in self._waiting:
            if chunk and size + len(encoded) > MOST_DATAGRAM:
                datagrams.append(msgspec.msgpack.encode(chunk))
                chunk, size = [], FRAME
            chunk.append(encoded)
            size += len(encoded)
        if chunk:
            datagrams.append(msgspec.msgpack.encode(chunk))
        self._waiting.clear()
        return datagrams


class PeerProtocol(DatagramProtocol):
    """Datagrams between gateways; a lost one costs a guess, never an answer."""

    def __init__(
        self,
        gateway: str,
        fleet: Fleet,
        on_news: Callable[[], object],
        timers: Timers,
        log: Log,
        metrics: Metrics,
        uplink: Uplink,
    ) -> None:
        """
        Prepare.

        :param gateway: this one's name.
        :param fleet: the beliefs that others' messages change, with the requests that
            this gateway has under way.
        :param on_news: called after each datagram.
        :param timers: the timer service.
        :param log: where events go.
        :param metrics: where figures go.
        :param uplink: learns what is sent.
        """
        self._gateway = gateway
        self._fleet = fleet
        self._book = PeerBook(fleet)
        self._on_news = on_news
        self._timers = timers
        self._log = log
        self._metrics = metrics
        self._uplink = uplink
        self._outbox = PeerOutbox()
        self._repeater: Repeater | None = None
        self._flushing: Timer | None = None
        self._told_counts: dict[str, int] = {}
        self._told_at = -TELL_INTERVAL
        self._told_whole_at = -REPEAT_INTERVAL
        self._is_whole_known = True
        self._decoder = msgspec.msgpack.Decoder(list[Message])
        self._told_waiting: dict[str, float] = {}
        self.addresses_by_gateway: dict[str, str] = {}
        self.waiting_work: Callable[[], dict[str, float]] = dict

    def start(self) -> None:
        """Begin to tell what is under way."""
        self._repeater = Repeater(self._timers, TELL_INTERVAL, self._turn)

    def stop(self) -> None:
        """Tell nothing more."""
        if self._repeater is not None:
            self._repeater.cancel()
        if self._flushing is not None:
            self._flushing.cancel()

    def tell(self, message: Message) -> None:
        """
        Tell all other gateways.

        It goes out at once: gathered until the end of the loop's turn, which may be
        long under load, it came too late to keep gateways from choosing one engine,
        and worth under the heaviest load fell from 0.65 to 0.57. While the link has
        other bytes to carry, it waits for them, so that more messages share a datagram.
        """
        self._add(message)
        if self._flushing is not None:
            return
        queued = self._uplink.delay(0)
        if queued <= LINK_BUSY:
            self._flush()
        else:
            wait = min(MOST_WAIT, queued)
            self._flushing = self._timers.call_later(wait, self._flush)

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
            self._counts() != self._told_counts or self._waiting() != self._told_waiting
        )
        if (is_due and is_open) or has_changed:
            self._flush()

    def _waiting(self) -> dict[str, float]:
        """Round what waits, so that small changes are not told."""
        return {
            service: min(MOST_WORK, round(work / WORK_STEP) * WORK_STEP)
            for service, work in self.waiting_work().items()
        }

    def _counts(self) -> dict[str, int]:
        return {
            target_id: belief.in_flight
            for target_id, belief in self._fleet.targets_by_id.items()
            if belief.in_flight
        }

    def _flush(self) -> None:
        if self._flushing is not None:
            self._flushing.cancel()
            self._flushing = None
        now = self._timers.now()
        if now - self._told_at >= TELL_LEAST:
            self._add_in_flight(now)
        for datagram in self._outbox.take():
            self._send(datagram)

    def _add_in_flight(self, now: float) -> None:
        counts, told = self._counts(), self._told_counts
        waiting = self._waiting()
        is_new = waiting != self._told_waiting
        self._told_counts, self._told_at = counts, now
        self._told_waiting = waiting
        if now - self._told_whole_at >= REPEAT_INTERVAL:
            self._told_whole_at = now
            self._is_whole_known = True
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
        first, rest = listed[:MOST_COUNTS], listed[MOST_COUNTS:]
        waiting = self._told_waiting
        self._add(InFlight(self._gateway, dict(first), is_whole, waiting))
        while rest:
            first, rest = rest[:MOST_COUNTS], rest[MOST_COUNTS:]
            self._add(InFlight(self._gateway, dict(first), False, waiting))

    def _add(self, message: Message) -> None:
        if not self._outbox.add(message):
            self._metrics.count("peer_messages", "too_large")

    def _send(self, datagram: bytes) -> None:
        transport: Any = self.transport
        if transport is None:
            self._metrics.count("peer_messages", "not_sent")
            return
        self._uplink.sent(len(self.addresses_by_gateway) * (len(datagram) + UDP_HEAD))
        for address in self.addresses_by_gateway.values():
            try:
                transport.write(datagram, split_address(address))
            except OSError:
                # The next message may go out; nothing rests on this one.
                self._metrics.count("peer_messages", "send_failed")

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:  # noqa: N802
        """Take messages; what is none is counted and dropped."""
        try:
            messages = self._decoder.decode(datagram)
        except msgspec.DecodeError as error:
            self._metrics.count("peer_messages", "invalid")
            self._log.write(LogEvent.PEER_MESSAGE_INVALID, detail=str(error))
            return
        for message in messages:
            self._book.take(message, self._timers.now())
        self._on_news()
