"""The entry's end of links: attaches, proves itself, attaches again."""

from __future__ import annotations

import hmac
import secrets
from typing import Any

from twisted.internet.protocol import ClientFactory, connectionDone
from twisted.python.failure import Failure as TwistedFailure

from pimentolink import link_pb2
from pimentolink.directwrite import connect
from pimentolink.links import NONCE_BYTES, EntryLinkListener, LinkConnection, prove
from pimentolink.logs import Log, LogEvent
from pimentolink.settings import LinkSettings, split_address
from pimentolink.timers import Repeater, Timer, Timers


class _EntryConnection(LinkConnection[link_pb2.SidecarMessage]):
    """The entry's end of a connection."""

    received_type = link_pb2.SidecarMessage

    def __init__(self, client: LinkClient) -> None:
        super().__init__(client.settings, client.timers, client.log)
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
        self.log = log
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
        self.log.write(LogEvent.LINK_REFUSED, address=self.address)

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
