"""A small TCP relay that can be cut: what is sent then goes nowhere."""

from __future__ import annotations

from typing import Any

from twisted.internet.protocol import ClientFactory, Factory, Protocol

from standins.web import Routes, answer, listen, parse, reactor
from tools.fleet import call


class _Side(Protocol):
    """One side of a relayed connection."""

    transport: Any

    def __init__(self, relay: Relay) -> None:
        self._relay = relay
        self._early: list[bytes] = []
        self.other: _Side | None = None

    def connectionMade(self) -> None:  # noqa: N802
        self._relay.sides.add(self)
        if self.other is not None:
            self.other.pass_early(self)

    def pass_early(self, other: _Side) -> None:
        """Pass on what came before the other side was there."""
        self.other = other
        for data in self._early:
            other.write(data)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if self._relay.is_cut:
            self._relay.held.append((self, data))
        elif self.other is None:
            self._early.append(data)
        else:
            self.other.write(data)

    def write(self, data: bytes) -> None:
        self.transport.write(data)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        self._relay.sides.discard(self)
        if self.other is not None and not self._relay.is_cut:
            self.other.transport.loseConnection()


class _Out(ClientFactory):
    """Makes the connection that a taken one is relayed to."""

    noisy = False

    def __init__(self, relay: Relay, taken: _Side) -> None:
        self._relay = relay
        self._taken = taken

    def buildProtocol(self, addr: Any) -> _Side:  # noqa: N802
        side = _Side(self._relay)
        side.other = self._taken
        return side

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:  # noqa: N802
        self._taken.transport.loseConnection()


class Relay(Factory):
    """Takes connections and relays them to one address."""

    noisy = False

    def __init__(self, to: str) -> None:
        """Relay to ``to``."""
        host, _, port = to.rpartition(":")
        self._host, self._port = host, int(port)
        self.is_cut = False
        self.sides: set[_Side] = set()
        self.held: list[tuple[_Side, bytes]] = []

    def buildProtocol(self, addr: Any) -> _Side:  # noqa: N802
        """Take a connection."""
        side = _Side(self)
        reactor.connectTCP(self._host, self._port, _Out(self, side))
        return side

    def cut(self, request: Any) -> None:
        """Let nothing through, and keep connections open."""
        self.is_cut = True
        answer(request, {})

    def heal(self, request: Any) -> None:
        """Let everything through again; what was sent meanwhile is lost with them."""
        self.is_cut = False
        self.held.clear()
        for side in list(self.sides):
            side.transport.abortConnection()
        answer(request, {})


class RelayControl:
    """Cuts and heals a relay that runs as a process."""

    def __init__(self, address: str) -> None:
        """Control the relay whose control address this is."""
        self._url = f"http://{address}"

    def cut(self) -> None:
        """Let nothing through."""
        call(f"{self._url}/cut", "PUT")

    def heal(self) -> None:
        """Let everything through again."""
        call(f"{self._url}/heal", "PUT")


def main() -> None:
    """Relay until SIGTERM."""
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
