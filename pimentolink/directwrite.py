"""TCP connections that write to the socket without waiting for the reactor."""

from __future__ import annotations

import socket
from collections.abc import Iterable
from typing import Any

from twisted.internet import tcp

from pimentolink.egressqueue import EgressQueue


class _DirectWriteMixin:
    """
    Makes a connection write directly to its socket.

    Twisted buffers each write and has the reactor watch the socket until it is written,
    which costs two changes to the poller for each token of a stream. This class tries
    the socket first and buffers only what it does not accept.

    :cvar egress_queue: is told the size of each write; ``None`` if not needed.
    """

    egress_queue: EgressQueue | None = None

    def write(self: Any, data: bytes) -> None:
        """Write what the socket accepts now and buffer the rest."""
        if self.egress_queue is not None:
            self.egress_queue.record_sent(len(data))
        if self._can_write_now():
            written = self.writeSomeData(data)
            # Twisted returns an exception instead of a count if the connection was
            # lost. The buffered write below then reports the loss to the protocol.
            if isinstance(written, int):
                data = data[written:]
        if data:
            super().write(data)  # type: ignore[misc]

    def writeSequence(self: Any, iovec: Iterable[bytes]) -> None:  # noqa: N802
        """Join the pieces and write them at once."""
        self.write(b"".join(iovec))

    def _can_write_now(self: Any) -> bool:
        is_open = self.connected and not self.disconnecting and not self.disconnected
        is_plain = not getattr(self, "TLS", False)
        is_empty = not self.dataBuffer and not self._tempDataBuffer
        return bool(is_open and is_plain and is_empty)


class DirectServer(_DirectWriteMixin, tcp.Server):
    """
    An accepted connection that writes directly to its socket.

    :cvar send_buffer: size in bytes of the kernel's send buffer (``SO_SNDBUF``), which
        holds data for a slow peer. With 0, the kernel chooses the size, which may be
        megabytes.
    """

    send_buffer = 0

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        """Set the size of the kernel's send buffer."""
        super().__init__(*args, **kwargs)
        if self.send_buffer:
            option = (socket.SOL_SOCKET, socket.SO_SNDBUF, self.send_buffer)
            self.socket.setsockopt(*option)


class DirectClient(_DirectWriteMixin, tcp.Client):
    """An outgoing connection that writes directly to its socket."""


class _DirectConnector(tcp.Connector):
    """Creates outgoing connections that write directly to their sockets."""

    egress_queue: EgressQueue | None = None

    def _makeTransport(self) -> DirectClient:  # noqa: N802
        client = DirectClient(
            self.host, self.port, self.bindAddress, self, self.reactor
        )
        client.egress_queue = self.egress_queue
        return client


class DirectPort(tcp.Port):
    """A listening port whose connections write directly to their sockets."""

    transport = DirectServer


def listen(
    reactor: Any,
    host: str,
    port: int,
    factory: Any,
    backlog: int,
    send_buffer: int = 0,
    egress_queue: EgressQueue | None = None,
) -> Any:
    """
    Listen for connections that write directly to their sockets.

    :param reactor: the Twisted reactor.
    :param host: IP address.
    :param port: TCP port.
    :param factory: creates a protocol for each connection.
    :param backlog: maximum number of connections that wait to be accepted.
    :param send_buffer: size in bytes of the kernel's send buffer of each connection; 0
        for the kernel's default.
    :param egress_queue: is told the size of each write.
    :returns: the listening port.
    """
    listening = DirectPort(port, factory, backlog, host, reactor)

    class BoundedServer(DirectServer):
        """A connection with the send buffer size of this port."""

    BoundedServer.send_buffer = send_buffer
    BoundedServer.egress_queue = egress_queue
    listening.transport = BoundedServer
    listening.startListening()
    return listening


def connect(
    reactor: Any,
    host: str,
    port: int,
    factory: Any,
    timeout: float,
    egress_queue: EgressQueue | None = None,
) -> Any:
    """
    Open a connection that writes directly to its socket.

    :param reactor: the Twisted reactor.
    :param host: IP address.
    :param port: TCP port.
    :param factory: creates the protocol of the connection.
    :param timeout: seconds until the attempt fails.
    :param egress_queue: is told the size of each write.
    :returns: the connector.
    """
    connector = _DirectConnector(host, port, factory, timeout, None, reactor)
    connector.egress_queue = egress_queue
    connector.connect()
    return connector


class DirectEndpointReactor:
    """
    Makes Twisted's endpoints open connections that write directly to their sockets.

    Implements only the part of a reactor that a TCP client endpoint uses.

    :source: ``IReactorTCP.connectTCP`` of Twisted.
    """

    def __init__(self, reactor: Any, egress_queue: EgressQueue | None = None) -> None:
        """
        Wrap a reactor.

        :param reactor: the Twisted reactor.
        :param egress_queue: is told the size of each write.
        """
        self._reactor = reactor
        self._egress_queue = egress_queue

    def connectTCP(  # noqa: N802
        self, host: str, port: int, factory: Any, timeout: float, **unused: Any
    ) -> Any:
        """Open a connection; ignores ``bindAddress``, which no endpoint here sets."""
        return connect(self._reactor, host, port, factory, timeout, self._egress_queue)
