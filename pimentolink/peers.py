"""What gateways tell each other, so that each knows the load of all on a target."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

import msgspec
from twisted.internet.protocol import DatagramProtocol

from pimentolink.dialect import PromptPart
from pimentolink.fleet import Fleet
from pimentolink.logs import Log, LogEvent
from pimentolink.metrics import Metrics
from pimentolink.settings import split_address
from pimentolink.timers import Repeater, Timer, Timers

# Largest datagram that no link on the way splits, in bytes.
MOST_DATAGRAM = 1400
# Bytes of a datagram around its messages.
FRAME = 5
# Seconds for which messages are gathered into one datagram. Most come in pairs, as the
# end of one reading lets the next begin.
GATHER = 0.02
# Seconds between two tellings of requests under way that have changed, and of those
# that have not, in case a datagram was lost.
TELL_INTERVAL = 0.2
REPEAT_INTERVAL = 1.0
# Seconds after which what a silent gateway had under way no longer counts; three
# datagrams in a row may be lost. Its process ended, or the link to it is cut.
COUNTS_LAST = 3.5


class ReadingBegan(msgspec.Struct, tag="b", array_like=True):
    """
    A prompt was sent to an engine.

    :ivar ticket: names the reading.
    :ivar parts: of the prompt, as number and tokens.
    """

    ticket: str
    target_id: str
    tokens: int
    parts: list[tuple[int, int]]


class ReadingEnded(msgspec.Struct, tag="e", array_like=True):
    """
    A reading came to its end.

    :ivar is_good: whether the prompt was read.
    :ivar rate: of the engine as its sender learned it, in tokens a second.
    """

    ticket: str
    target_id: str
    is_good: bool
    rate: float


class InFlight(msgspec.Struct, tag="f", array_like=True):
    """Requests that a gateway has under way, by target."""

    gateway: str
    counts_by_target: dict[str, int]


class RoleChanging(msgspec.Struct, tag="r", array_like=True):
    """
    An engine was ordered to another role.

    :ivar seconds: for which it takes no work.
    """

    target_id: str
    seconds: float


Message = ReadingBegan | ReadingEnded | InFlight | RoleChanging


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
        if isinstance(message, ReadingBegan):
            parts = [PromptPart(*part) for part in message.parts]
            belief.begin_reading(message.ticket, message.tokens, parts, now)
        elif isinstance(message, RoleChanging):
            belief.changing_until = now + message.seconds
        else:
            belief.end_reading(message.ticket, message.is_good)
            belief.rate += (message.rate - belief.rate) / 2

    def _take_in_flight(self, message: InFlight) -> None:
        for target_id, belief in self._fleet.targets_by_id.items():
            count = message.counts_by_target.get(target_id, 0)
            if count:
                belief.streams_by_peer[message.gateway] = count
            else:
                belief.streams_by_peer.pop(message.gateway, None)

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
            for belief in self._fleet.targets_by_id.values():
                belief.streams_by_peer.pop(gateway, None)


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
        """
        self._gateway = gateway
        self._fleet = fleet
        self._book = PeerBook(fleet)
        self._on_news = on_news
        self._timers = timers
        self._log = log
        self._metrics = metrics
        self._outbox = PeerOutbox()
        self._flushing: Timer | None = None
        self._repeater: Repeater | None = None
        self._told_counts: dict[str, int] = {}
        self._told_at = 0.0
        self._decoder = msgspec.msgpack.Decoder(list[Message])
        self.addresses_by_gateway: dict[str, str] = {}

    def start(self) -> None:
        """Begin to tell what is under way."""
        self._repeater = Repeater(self._timers, TELL_INTERVAL, self._turn)

    def stop(self) -> None:
        """Tell nothing more."""
        if self._repeater is not None:
            self._repeater.cancel()

    def tell(self, message: Message) -> None:
        """Tell all other gateways, soon."""
        self._add(message)
        if self._flushing is None:
            self._flushing = self._timers.call_later(GATHER, self._flush)

    def _turn(self) -> None:
        now = self._timers.now()
        self._book.expire(now)
        self._tell_in_flight(now)

    def _tell_in_flight(self, now: float) -> None:
        """Tell what is under way, unless other messages took it along."""
        if now - self._told_at < TELL_INTERVAL:
            return
        is_due = bool(self._told_counts) and now - self._told_at >= REPEAT_INTERVAL
        if is_due or self._counts() != self._told_counts:
            self._flush()

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
        self._told_counts = self._counts()
        self._told_at = self._timers.now()
        self._add(InFlight(self._gateway, self._told_counts))
        for datagram in self._outbox.take():
            self._send(datagram)

    def _add(self, message: Message) -> None:
        if not self._outbox.add(message):
            self._metrics.count("peer_messages", "too_large")

    def _send(self, datagram: bytes) -> None:
        transport: Any = self.transport
        if transport is None:
            self._metrics.count("peer_messages", "not_sent")
            return
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
