"""
TCP relay for fault injection: while it is cut, it forwards nothing.

Connections stay open during a cut, as they do when a network drops packets.
"""

from __future__ import annotations

from typing import Any

from twisted.internet.protocol import ClientFactory, Factory, Protocol

from standins.web import Routes, answer, listen, parse, reactor
from tools.fleet import call


class _RelayedConnection(Protocol):
    """One of the two connections of a relayed pair."""

    transport: Any

    def __init__(self, relay: Relay) -> None:
        self._relay = relay
        self._buffered: list[bytes] = []
        self.peer: _RelayedConnection | None = None

    def connectionMade(self) -> None:  # noqa: N802
        self._relay.connections.add(self)
        if self.peer is not None:
            self.peer.attach_peer(self)

    def attach_peer(self, peer: _RelayedConnection) -> None:
        """Set the peer and send it the data received before it was connected."""
        self.peer = peer
        for data in self._buffered:
            peer.write(data)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if self._relay.is_cut:
            self._relay.withheld.append((self, data))
        elif self.peer is None:
            self._buffered.append(data)
        else:
            self.peer.write(data)

    def write(self, data: bytes) -> None:
        self.transport.write(data)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        self._relay.connections.discard(self)
        if self.peer is not None and not self._relay.is_cut:
            self.peer.transport.loseConnection()


class _UpstreamFactory(ClientFactory):
    """Creates the connection to the destination for an accepted connection."""

    noisy = False

    def __init__(self, relay: Relay, accepted: _RelayedConnection) -> None:
        self._relay = relay
        self._accepted = accepted

    def buildProtocol(self, addr: Any) -> _RelayedConnection:  # noqa: N802
        connection = _RelayedConnection(self._relay)
        connection.peer = self._accepted
        return connection

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:  # noqa: N802
        self._accepted.transport.loseConnection()


class Relay(Factory):
    """Accepts connections and relays them to one address."""

    noisy = False

    def __init__(self, destination: str) -> None:
        """
        Create a relay that is not cut.

        :param destination: address to relay to, as ``host:port``.
        """
        host, _, port = destination.rpartition(":")
        self._host, self._port = host, int(port)
        self.is_cut = False
        self.connections: set[_RelayedConnection] = set()
        self.withheld: list[tuple[_RelayedConnection, bytes]] = []

    def buildProtocol(self, addr: Any) -> _RelayedConnection:  # noqa: N802
        """Accept a connection and connect to the destination."""
        connection = _RelayedConnection(self)
        reactor.connectTCP(self._host, self._port, _UpstreamFactory(self, connection))
        return connection

    def cut(self, request: Any) -> None:
        """Stop forwarding data, but keep connections open."""
        self.is_cut = True
        answer(request, {})

    def heal(self, request: Any) -> None:
        """
        Resume forwarding.

        Aborts all connections, since the data sent during the cut is lost.
        """
        self.is_cut = False
        self.withheld.clear()
        for connection in list(self.connections):
            connection.transport.abortConnection()
        answer(request, {})


class RelayControl:
    """Cuts and heals a relay that runs as a separate process."""

    def __init__(self, address: str) -> None:
        """
        Control a relay.

        :param address: control address of the relay, as ``host:port``.
        """
        self._url = f"http://{address}"

    def cut(self) -> None:
        """Stop forwarding data."""
        call(f"{self._url}/cut", "PUT")

    def heal(self) -> None:
        """Resume forwarding."""
        call(f"{self._url}/heal", "PUT")


def main() -> None:
    """Run a relay until SIGTERM."""
    options = parse(__doc__ or "", to="", control="")
    relay = Relay(options.to)
    host, _, port = options.listen.rpartition(":")
    routes = Routes()
    routes.add("PUT", "/cut", relay.cut)
    routes.add("PUT", "/heal", relay.heal)
    reactor.listenTCP(int(port), relay, interface=host)
    listen(routes, options.control)


if __name__ == "__main__":
    main()
