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
from pimentolink.timers import Timers

# Largest datagram that no link on the way splits, in bytes.
MOST_DATAGRAM = 1400


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

    def take(self, message: Message, now: float) -> None:
        """
        Learn from another gateway.

        :param message: what it tells.
        :param now: seconds of the timer service.
        """
        if isinstance(message, InFlight):
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

    def forget(self, gateway: str) -> None:
        """Drop what a gateway told that is gone."""
        for belief in self._fleet.targets_by_id.values():
            belief.streams_by_peer.pop(gateway, None)


class PeerProtocol(DatagramProtocol):
    """Datagrams between gateways; a lost one costs a guess, never an answer."""

    def __init__(
        self,
        book: PeerBook,
        on_news: Callable[[], object],
        timers: Timers,
        log: Log,
        metrics: Metrics,
    ) -> None:
        """
        Prepare.

        :param book: takes what others tell.
        :param on_news: called after each message.
        :param timers: the timer service.
        :param log: where events go.
        :param metrics: where figures go.
        """
        self._book = book
        self._on_news = on_news
        self._timers = timers
        self._log = log
        self._metrics = metrics
        self._decoder = msgspec.msgpack.Decoder(Message)
        self.addresses_by_gateway: dict[str, str] = {}

    def tell(self, message: Message) -> None:
        """Tell all other gateways."""
        data = msgspec.msgpack.encode(message)
        transport: Any = self.transport
        if transport is None or len(data) > MOST_DATAGRAM:
            self._metrics.count("peer_messages", "not_sent")
            return
        for address in self.addresses_by_gateway.values():
            try:
                transport.write(data, split_address(address))
            except OSError:
                # The next message may go out; nothing rests on this one.
                self._metrics.count("peer_messages", "send_failed")

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:  # noqa: N802
        """Take a message; what is none is counted and dropped."""
        try:
            message = self._decoder.decode(datagram)
        except msgspec.DecodeError as error:
            self._metrics.count("peer_messages", "invalid")
            self._log.write(LogEvent.PEER_MESSAGE_INVALID, detail=str(error))
            return
        self._book.take(message, self._timers.now())
        self._on_news()
