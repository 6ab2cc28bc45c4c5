"""The sidecar's end of links: authenticates entries and batches events."""

from __future__ import annotations

import hmac
import secrets
from typing import Any

from twisted.internet.error import CannotListenError
from twisted.internet.protocol import Factory, connectionDone
from twisted.python.failure import Failure as TwistedFailure

from pimentolink import link_pb2
from pimentolink.directwrite import listen
from pimentolink.links import (
    NONCE_BYTES,
    LinkConnection,
    SidecarLinkListener,
    compute_proof,
)
from pimentolink.logs import Log, LogEvent
from pimentolink.settings import LinkSettings, split_address
from pimentolink.timers import Timers

LISTEN_BACKLOG = 1024


class _SidecarConnection(LinkConnection[link_pb2.EntryMessage]):
    """The sidecar's end of one connection."""

    received_type = link_pb2.EntryMessage

    def __init__(self, server: LinkServer) -> None:
        super().__init__(server.settings, server.timers, server.log)
        self._server = server
        self._nonce = secrets.token_bytes(NONCE_BYTES)
        self._events: list[link_pb2.Event] = []

    def connectionMade(self) -> None:  # noqa: N802
        super().connectionMade()
        self._server.connections.add(self)
        challenge = link_pb2.Challenge(nonce=self._nonce)
        self.write(link_pb2.SidecarMessage(challenge=challenge))

    def send(self, message: link_pb2.SidecarMessage) -> None:
        # A control message must not overtake events queued before it.
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
        load = self._server.listener.take_due_load(self)
        step = link_pb2.Step(events=events, load=load)
        self.write(link_pb2.SidecarMessage(step=step))

    def handshake_received(self, message: link_pb2.EntryMessage) -> None:
        hello = message.hello
        key = self._server.shared_key
        expected = compute_proof(key, "entry", self._nonce, hello.nonce)
        if not hmac.compare_digest(hello.proof, expected):
            self._server.refused(self)
            self.abort()
            return
        reply = self._server.listener.make_hello()
        reply.proof = compute_proof(key, "sidecar", self._nonce, hello.nonce)
        self.write(link_pb2.SidecarMessage(hello=reply))
        self.accept_peer()
        self._server.listener.link_up(self, hello)

    def message_received(self, message: link_pb2.EntryMessage) -> None:
        if message.WhichOneof("body") != "heartbeat":
            self._server.listener.link_message(self, message)

    def connectionLost(  # noqa: N802
        self, reason: TwistedFailure = connectionDone
    ) -> None:
        self.clean_up()
        self._server.connections.discard(self)
        if self.is_up:
            self._server.listener.link_down(self)


class LinkServer(Factory):
    """Accepts the links of all entries."""

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
        Create a server that does not listen yet.

        :param reactor: the Twisted reactor.
        :param shared_key: authenticates processes of the system to each other.
        :param settings: limits and timeouts.
        :param listener: receives the events of all links.
        :param timers: the timer service.
        :param log: receives log events.
        """
        self._reactor = reactor
        self.shared_key = shared_key
        self.settings = settings
        self.listener = listener
        self.timers = timers
        self.log = log
        self._port: Any = None
        self.connections: set[_SidecarConnection] = set()

    def start(self, address: str) -> bool:
        """
        Start listening.

        The port serves as a lock: only one sidecar at a time can serve its target.

        :param address: host and port.
        :returns: whether the port was free.
        """
        host, port = split_address(address)
        try:
            self._port = listen(self._reactor, host, port, self, LISTEN_BACKLOG)
        except CannotListenError:
            return False
        return True

    @property
    def open_links(self) -> int:
        """Number of connections that have not ended."""
        return len(self.connections)

    def stop(self) -> None:
        """Stop listening and close each link after its queued data was sent."""
        self._port.stopListening()
        for connection in list(self.connections):
            connection.flush()
            connection.transport.unregisterProducer()
            connection.transport.loseConnection()

    def buildProtocol(self, addr: object) -> _SidecarConnection:  # noqa: N802
        """Create the protocol of a new connection."""
        return _SidecarConnection(self)

    def refused(self, connection: _SidecarConnection) -> None:
        """Log that a peer failed to authenticate."""
        peer = connection.transport.getPeer()
        self.log.write(LogEvent.LINK_REFUSED, peer=str(peer))
