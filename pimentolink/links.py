"""Links between entries and sidecars: one connection for each pair."""

from __future__ import annotations

import hashlib
import hmac
import secrets
from typing import Any, Generic, Protocol, TypeVar

from google.protobuf.message import DecodeError
from twisted.internet.error import CannotListenError
from twisted.internet.interfaces import IPushProducer
from twisted.internet.protocol import ClientFactory, Factory, connectionDone
from twisted.protocols.basic import Int32StringReceiver
from twisted.python.failure import Failure as TwistedFailure
from zope.interface import implementer

from pimentolink import link_pb2
from pimentolink.directwrite import connect, listen
from pimentolink.logs import Log, LogEvent
from pimentolink.settings import LinkSettings, split_address
from pimentolink.timers import Repeater, Timer, Timers

NONCE_BYTES = 16
LONGEST_GREETING = 4_096
LONGEST_MESSAGE = 16_000_000
LISTEN_BACKLOG = 1024
CHECKS_IN_SILENCE = 4


class EntryLink(Protocol):
    """A link as the entry holds it."""

    def send(self, message: link_pb2.EntryMessage) -> None:
        """Send a message to the sidecar."""


class EntryLinkListener(Protocol):
    """What an entry does about its links."""

    def greeting(self) -> link_pb2.EntryHello:
        """Make the first message of a link."""

    def link_up(self, link: EntryLink, hello: link_pb2.SidecarHello) -> None:
        """Take note that a sidecar answers."""

    def link_message(self, link: EntryLink, message: link_pb2.SidecarMessage) -> None:
        """Handle a message of a sidecar that is up."""

    def link_down(self, link: EntryLink) -> None:
        """Take note that a link that was up has ended."""


class SidecarLink(Protocol):
    """A link as the sidecar holds it."""

    def send(self, message: link_pb2.SidecarMessage) -> None:
        """Send a message to the entry."""

    def send_event(self, event: link_pb2.Event) -> None:
        """Queue an event; those of one turn of the loop share a message."""


class SidecarLinkListener(Protocol):
    """What a sidecar does about its links."""

    def greeting(self) -> link_pb2.SidecarHello:
        """Make the first message of a link."""

    def load_due(self, link: SidecarLink) -> link_pb2.Load | None:
        """Tell the load if a report to this entry is due."""

    def link_up(self, link: SidecarLink, hello: link_pb2.EntryHello) -> None:
        """Take note that an entry has attached."""

    def link_message(self, link: SidecarLink, message: link_pb2.EntryMessage) -> None:
        """Handle a message of an entry."""

    def link_down(self, link: SidecarLink) -> None:
        """Take note that a link that was up has ended."""


def prove(shared_key: str, role: str, *nonces: bytes) -> bytes:
    """
    Show knowledge of the shared key without sending it.

    :param shared_key: known to all processes of the system.
    :param role: of the process that proves; keeps a proof from being sent back.
    :param nonces: fresh, one of each side.
    :returns: 32 bytes.
    :source: RFC 2104, HMAC.
    """
    text = role.encode() + b"".join(nonces)
    return hmac.new(shared_key.encode(), text, hashlib.sha256).digest()


Received = TypeVar("Received", link_pb2.EntryMessage, link_pb2.SidecarMessage)


@implementer(IPushProducer)
class _Connection(Int32StringReceiver, Generic[Received]):
    """What both ends of a link share: frames, bounds and the check for silence."""

    MAX_LENGTH = LONGEST_GREETING
    transport: Any
    received_type: type[Received]

    def __init__(self, settings: LinkSettings, timers: Timers) -> None:
        self._settings = settings
        self._timers = timers
        self._last_heard = timers.now()
        self._pending = 0
        self._is_held_back = False
        self._check: Repeater | None = None
        self.is_up = False

    def connectionMade(self) -> None:  # noqa: N802
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        interval = self._settings.silence / CHECKS_IN_SILENCE
        self._check = Repeater(self._timers, interval, self._check_silence)

    def stringReceived(self, string: bytes) -> None:  # noqa: N802
        self._last_heard = self._timers.now()
        try:
            message = self.received_type.FromString(string)
        except DecodeError:
            self.abort()
            return
        if self.is_up:
            self.message_received(message)
        else:
            self.greeting_received(message)

    def message_received(self, message: Received) -> None:
        raise NotImplementedError

    def greeting_received(self, message: Received) -> None:
        raise NotImplementedError

    def lengthLimitExceeded(self, length: int) -> None:  # noqa: N802
        self.abort()

    def write(self, message: link_pb2.EntryMessage | link_pb2.SidecarMessage) -> None:
        data = message.SerializeToString()
        if self._is_held_back:
            self._pending += len(data)
            if self._pending > self._settings.most_pending:
                self.abort()
                return
        self.sendString(data)

    def rise(self) -> None:
        self.MAX_LENGTH = LONGEST_MESSAGE
        self.is_up = True

    def abort(self) -> None:
        self.transport.abortConnection()

    def end(self) -> None:
        if self._check is not None:
            self._check.cancel()

    def pauseProducing(self) -> None:  # noqa: N802
        self._is_held_back = True
        self._pending = 0

    def resumeProducing(self) -> None:  # noqa: N802
        self._is_held_back = False

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing: the lost connection is told separately."""

    def _check_silence(self) -> None:
        if self._timers.now() - self._last_heard > self._settings.silence:
            self.abort()


class _EntryConnection(_Connection[link_pb2.SidecarMessage]):
    """The entry's end of a connection."""

    received_type = link_pb2.SidecarMessage

    def __init__(self, client: LinkClient) -> None:
        super().__init__(client.settings, client.timers)
        self._client = client
        self._nonce = secrets.token_bytes(NONCE_BYTES)
        self._expected = b""

    def greeting_received(self, message: link_pb2.SidecarMessage) -> None:
        kind = message.WhichOneof("body")
        if kind == "challenge":
            self._answer(message.challenge.nonce)
        elif kind == "hello" and self._is_proved(message.hello.proof):
            self.rise()
            self._client.connection_up(self, message.hello)
        else:
            self._client.refused()
            self.abort()

    def message_received(self, message: link_pb2.SidecarMessage) -> None:
        self._client.listener.link_message(self._client, message)

    def connectionLost(  # noqa: N802
        self, reason: TwistedFailure = connectionDone
    ) -> None:
        self.end()
        self._client.connection_down(self)

    def _answer(self, nonce: bytes) -> None:
        key = self._client.shared_key
        hello = self._client.listener.greeting()
        hello.nonce = self._nonce
        hello.proof = prove(key, "entry", nonce, self._nonce)
        self._expected = prove(key, "sidecar", nonce, self._nonce)
        self.write(link_pb2.EntryMessage(hello=hello))

    def _is_proved(self, proof: bytes) -> bool:
        return bool(self._expected) and hmac.compare_digest(proof, self._expected)


class LinkClient(ClientFactory):
    """The entry's end of one link; attaches again whenever it is lost."""

    noisy = False

    def __init__(
        self,
        reactor: Any,
        address: str,
        shared_key: str,
        settings: LinkSettings,
        listener: EntryLinkListener,
        timers: Timers,
        log: Log,
    ) -> None:
        """
        Start attaching.

        :param reactor: the loop.
        :param address: the sidecar's address.
        :param shared_key: proof that this process belongs to the system.
        :param settings: heartbeats and patience.
        :param listener: told of all that happens.
        :param timers: the timer service.
        :param log: where events go.
        """
        self._reactor = reactor
        self.address = address
        self.shared_key = shared_key
        self.settings = settings
        self.listener = listener
        self.timers = timers
        self._log = log
        self._connection: _EntryConnection | None = None
        self._connector: Any = None
        self._again: Timer | None = None
        self._is_closed = False
        self._heartbeat = Repeater(timers, settings.heartbeat, self._beat)
        self._connect()

    def send(self, message: link_pb2.EntryMessage) -> None:
        """Send a message; dropped if the link is down, which is told separately."""
        if self._connection is not None:
            self._connection.write(message)

    def close(self) -> None:
        """End the link for good."""
        self._is_closed = True
        self._heartbeat.cancel()
        if self._again is not None:
            self._again.cancel()
        self._connector.disconnect()

    def buildProtocol(self, addr: object) -> _EntryConnection:  # noqa: N802
        """Make the protocol of a new connection."""
        return _EntryConnection(self)

    def clientConnectionFailed(  # noqa: N802
        self, connector: Any, reason: TwistedFailure
    ) -> None:
        """Try again later."""
        self._connect_later()

    def connection_up(
        self, connection: _EntryConnection, hello: link_pb2.SidecarHello
    ) -> None:
        """Take note that the sidecar has proved itself."""
        self._connection = connection
        self.listener.link_up(self, hello)

    def connection_down(self, connection: _EntryConnection) -> None:
        """Take note that a connection ended; try again later."""
        if connection is self._connection:
            self._connection = None
            self.listener.link_down(self)
        self._connect_later()

    def refused(self) -> None:
        """Tell that the peer could not prove itself."""
        self._log.write(LogEvent.LINK_REFUSED, address=self.address)

    def _connect(self) -> None:
        host, port = split_address(self.address)
        timeout = self.settings.silence
        self._connector = connect(self._reactor, host, port, self, timeout)

    def _connect_later(self) -> None:
        if not self._is_closed:
            pause = self.settings.reconnect
            self._again = self.timers.call_later(pause, self._connect)

    def _beat(self) -> None:
        self.send(link_pb2.EntryMessage(heartbeat=link_pb2.Heartbeat()))


class _SidecarConnection(_Connection[link_pb2.EntryMessage]):
    """The sidecar's end of a connection."""

    received_type = link_pb2.EntryMessage

    def __init__(self, server: LinkServer) -> None:
        super().__init__(server.settings, server.timers)
        self._server = server
        self._nonce = secrets.token_bytes(NONCE_BYTES)
        self._events: list[link_pb2.Event] = []

    def connectionMade(self) -> None:  # noqa: N802
        super().connectionMade()
        self._server.connections.add(self)
        challenge = link_pb2.Challenge(nonce=self._nonce)
        self.write(link_pb2.SidecarMessage(challenge=challenge))

    def send(self, message: link_pb2.SidecarMessage) -> None:
        # A control message must not overtake an earlier answer.
        self.flush()
        self.write(message)

    def send_event(self, event: link_pb2.Event) -> None:
        if not self._events:
            self._server.timers.call_later(0, self.flush)
        self._events.append(event)

    def flush(self) -> None:
        if not self._events:
            return
        events, self._events = self._events, []
        load = self._server.listener.load_due(self)
        step = link_pb2.Step(events=events, load=load)
        self.write(link_pb2.SidecarMessage(step=step))

    def greeting_received(self, message: link_pb2.EntryMessage) -> None:
        hello = message.hello
        key = self._server.shared_key
        expected = prove(key, "entry", self._nonce, hello.nonce)
        if not hmac.compare_digest(hello.proof, expected):
            self._server.refused(self)
            self.abort()
            return
        answer = self._server.listener.greeting()
        answer.proof = prove(key, "sidecar", self._nonce, hello.nonce)
        self.write(link_pb2.SidecarMessage(hello=answer))
        self.rise()
        self._server.listener.link_up(self, hello)

    def message_received(self, message: link_pb2.EntryMessage) -> None:
        if message.WhichOneof("body") != "heartbeat":
            self._server.listener.link_message(self, message)

    def connectionLost(  # noqa: N802
        self, reason: TwistedFailure = connectionDone
    ) -> None:
        self.end()
        self._server.connections.discard(self)
        if self.is_up:
            self._server.listener.link_down(self)


class LinkServer(Factory):
    """Takes the links of all entries."""

    noisy = False

    def __init__(
        self,
        reactor: Any,
        shared_key: str,
        settings: LinkSettings,
        listener: SidecarLinkListener,
        timers: Timers,
        log: Log,
    ) -> None:
        """
        Prepare; nothing listens yet.

        :param reactor: the loop.
        :param shared_key: what entries prove themselves with.
        :param settings: bounds and patience.
        :param listener: told of all that happens.
        :param timers: the timer service.
        :param log: where events go.
        """
        self._reactor = reactor
        self.shared_key = shared_key
        self.settings = settings
        self.listener = listener
        self.timers = timers
        self._log = log
        self._port: Any = None
        self.connections: set[_SidecarConnection] = set()

    def start(self, address: str) -> bool:
        """
        Listen; holding the port holds the target's one slot.

        :param address: where.
        :returns: whether the slot was free.
        """
        host, port = split_address(address)
        try:
            self._port = listen(self._reactor, host, port, self, LISTEN_BACKLOG)
        except CannotListenError:
            return False
        return True

    def stop(self) -> None:
        """End every link once what is queued for it has gone out."""
        self._port.stopListening()
        for connection in list(self.connections):
            connection.flush()
            connection.transport.unregisterProducer()
            connection.transport.loseConnection()

    def buildProtocol(self, addr: object) -> _SidecarConnection:  # noqa: N802
        """Make the protocol of a new connection."""
        return _SidecarConnection(self)

    def refused(self, connection: _SidecarConnection) -> None:
        """Tell that a peer could not prove itself."""
        peer = connection.transport.getPeer()
        self._log.write(LogEvent.LINK_REFUSED, peer=str(peer))
