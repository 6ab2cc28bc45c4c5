"""TCP connections that write at once instead of waiting for the loop's next turn."""

from __future__ import annotations

import socket
from collections.abc import Iterable
from typing import Any

from twisted.internet import tcp

from pimentolink.egressqueue import EgressQueue


class _DirectWrites:
    """
    Makes writes of a connection go to the socket straight away.

    Twisted buffers each write and has the loop watch the socket until it is written:
    two changes to the poller for each token of a stream. Here the socket is tried
    first, and only what it does not take is buffered as usual.

    :cvar egress_queue: learns what is written; ``None`` if nobody asks.
    """

    egress_queue: EgressQueue | None = None

    def write(self: Any, data: bytes) -> None:
        """Write now what the socket takes, buffer the rest."""
        if self.egress_queue is not None:
            self.egress_queue.sent(len(data))
        if self._may_write_now():
            written = self.writeSomeData(data)
            # An exception in place of a count is a lost connection, which the
            # buffered way tells the protocol.
            if isinstance(written, int):
                data = data[written:]
        if data:
            super().write(data)  # type: ignore[misc]

    def writeSequence(self: Any, iovec: Iterable[bytes]) -> None:  # noqa: N802
        """Write the pieces as one."""
        self.write(b"".join(iovec))

    def _may_write_now(self: Any) -> bool:
        is_open = self.connected and not self.disconnecting and not self.disconnected
        is_plain = not getattr(self, "TLS", False)
        is_empty = not self.dataBuffer and not self._tempDataBuffer
        return bool(is_open and is_plain and is_empty)


class DirectServer(_DirectWrites, tcp.Server):
    """
    An accepted connection whose writes go to the socket straight away.

    :cvar send_buffer: bytes that the system may keep for a slow peer; 0 leaves it to
        the system, which may keep megabytes.
    """

    send_buffer = 0

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        """Bound the system's buffer."""
        super().__init__(*args, **kwargs)
        if self.send_buffer:
            option = (socket.SOL_SOCKET, socket.SO_SNDBUF, self.send_buffer)
            self.socket.setsockopt(*option)


class DirectClient(_DirectWrites, tcp.Client):
    """An outgoing connection whose writes go to the socket straight away."""


class _DirectConnector(tcp.Connector):
    """Makes outgoing connections that write at once."""

    egress_queue: EgressQueue | None = None

    def _makeTransport(self) -> DirectClient:  # noqa: N802
        client = DirectClient(
            self.host, self.port, self.bindAddress, self, self.reactor
        )
        client.egress_queue = self.egress_queue
        return client


class DirectPort(tcp.Port):
    """A listening port whose connections write at once."""

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
    Listen for connections that write at once.

    :param reactor: the loop.
    :param host: IP number.
    :param port: TCP port.
    :param factory: makes a protocol for each connection.
    :param backlog: connections that may wait to be accepted.
    :param send_buffer: bytes that the system may keep for a slow peer.
    :param egress_queue: learns what is written.
    :returns: the listening port.
    """
    listening = DirectPort(port, factory, backlog, host, reactor)

    class BoundedServer(DirectServer):
        """A connection with this port's bound."""

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
    Connect, with writes that go out at once.

    :param reactor: the loop.
    :param host: IP number.
    :param port: TCP port.
    :param factory: makes the protocol of the connection.
    :param timeout: seconds until the attempt counts as failed.
    :param egress_queue: learns what is written.
    :returns: the connector.
    """
    connector = _DirectConnector(host, port, factory, timeout, None, reactor)
    connector.egress_queue = egress_queue
    connector.connect()
    return connector


class DirectEndpointReactor:
    """
    What an endpoint needs of a loop, for connections that write at once.

    :source: ``IReactorTCP.connectTCP`` of Twisted.
    """

    def __init__(self, reactor: Any, egress_queue: EgressQueue | None = None) -> None:
        """
        Wrap a loop.

        :param reactor: the loop.
        :param egress_queue: learns what is written.
        """
        self._reactor = reactor
        self._egress_queue = egress_queue

    def connectTCP(  # noqa: N802
        self, host: str, port: int, factory: Any, timeout: float, **unused: Any
    ) -> Any:
        """Connect as the loop would; endpoints of this product bind no address."""
        return connect(self._reactor, host, port, factory, timeout, self._egress_queue)
