"""The entry's end of links: connects, authenticates and reconnects."""

from __future__ import annotations

import hmac
import secrets
from typing import Any

from twisted.internet.protocol import ClientFactory, connectionDone
from twisted.python.failure import Failure as TwistedFailure

from pimentolink import link_pb2
from pimentolink.directwrite import connect
from pimentolink.links import (
    NONCE_BYTES,
    EntryLinkListener,
    LinkConnection,
    compute_proof,
)
from pimentolink.logs import Log, LogEvent
from pimentolink.settings import LinkSettings, split_address
from pimentolink.timers import Repeater, Timer, Timers


class _EntryConnection(LinkConnection[link_pb2.SidecarMessage]):
    """The entry's end of one connection."""

    received_type = link_pb2.SidecarMessage

    def __init__(self, client: LinkClient) -> None:
        super().__init__(client.settings, client.timers, client.log)
        self._client = client
        self._nonce = secrets.token_bytes(NONCE_BYTES)
        self._expected_proof = b""

    def handshake_received(self, message: link_pb2.SidecarMessage) -> None:
        kind = message.WhichOneof("body")
        if kind == "challenge":
            self._answer_challenge(message.challenge.nonce)
        elif kind == "hello" and self._is_valid_proof(message.hello.proof):
            self.accept_peer()
            self._client.connection_up(self, message.hello)
        else:
            self._client.refused()
            self.abort()

    def message_received(self, message: link_pb2.SidecarMessage) -> None:
        self._client.listener.link_message(self._client, message)

    def connectionLost(  # noqa: N802
        self, reason: TwistedFailure = connectionDone
    ) -> None:
        self.clean_up()
        self._client.connection_down(self)

    def _answer_challenge(self, nonce: bytes) -> None:
        key = self._client.shared_key
        hello = self._client.listener.make_hello()
        hello.nonce = self._nonce
        hello.proof = compute_proof(key, "entry", nonce, self._nonce)
        self._expected_proof = compute_proof(key, "sidecar", nonce, self._nonce)
        self.write(link_pb2.EntryMessage(hello=hello))

    def _is_valid_proof(self, proof: bytes) -> bool:
        return bool(self._expected_proof) and hmac.compare_digest(
            proof, self._expected_proof
        )


class LinkClient(ClientFactory):
    """The entry's end of one link; reconnects whenever the connection is lost."""

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
        Start connecting.

        :param reactor: the Twisted reactor.
        :param address: the sidecar's address.
        :param shared_key: authenticates processes of the system to each other.
        :param settings: heartbeat interval, limits and timeouts.
        :param listener: receives the events of the link.
        :param timers: the timer service.
        :param log: receives log events.
        """
        self._reactor = reactor
        self.address = address
        self.shared_key = shared_key
        self.settings = settings
        self.listener = listener
        self.timers = timers
        self.log = log
        self._connection: _EntryConnection | None = None
        self._connector: Any = None
        self._reconnect_timer: Timer | None = None
        self._is_closed = False
        self._heartbeat = Repeater(timers, settings.heartbeat, self._send_heartbeat)
        self._connect()

    def send(self, message: link_pb2.EntryMessage) -> None:
        """Send a message; it is dropped if the link is down (see ``link_down``)."""
        if self._connection is not None:
            self._connection.write(message)

    def close(self) -> None:
        """End the link and do not reconnect."""
        self._is_closed = True
        self._heartbeat.cancel()
        if self._reconnect_timer is not None:
            self._reconnect_timer.cancel()
        self._connector.disconnect()

    def buildProtocol(self, addr: object) -> _EntryConnection:  # noqa: N802
        """Create the protocol of a new connection."""
        return _EntryConnection(self)

    def clientConnectionFailed(  # noqa: N802
        self, connector: Any, reason: TwistedFailure
    ) -> None:
        """Reconnect after a delay."""
        self._schedule_reconnect()

    def connection_up(
        self, connection: _EntryConnection, hello: link_pb2.SidecarHello
    ) -> None:
        """Handle the authentication of the sidecar."""
        self._connection = connection
        self.listener.link_up(self, hello)

    def connection_down(self, connection: _EntryConnection) -> None:
        """Handle the end of a connection; reconnect after a delay."""
        if connection is self._connection:
            self._connection = None
            self.listener.link_down(self)
        self._schedule_reconnect()

    def refused(self) -> None:
        """Log that the peer failed to authenticate."""
        self.log.write(LogEvent.LINK_REFUSED, address=self.address)

    def _connect(self) -> None:
        host, port = split_address(self.address)
        timeout = self.settings.silence
        self._connector = connect(self._reactor, host, port, self, timeout)

    def _schedule_reconnect(self) -> None:
        if not self._is_closed:
            delay = self.settings.reconnect
            self._reconnect_timer = self.timers.call_later(delay, self._connect)

    def _send_heartbeat(self) -> None:
        self.send(link_pb2.EntryMessage(heartbeat=link_pb2.Heartbeat()))
