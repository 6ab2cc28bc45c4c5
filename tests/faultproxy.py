"""A TCP proxy on loopback whose connections can be delayed, cut, silenced or reset."""

from typing import Any

from twisted.internet.protocol import ClientFactory, Factory, Protocol
from twisted.web.server import Request

from standins.web import Routes, answer, body_of, listen, parse, reactor

GOOD = "good"
DELAY = "delay"
SILENT = "silent"
NO_REQUESTS = "no_requests"
NO_ANSWERS = "no_answers"
REFUSE = "refuse"
MODES = (DELAY, SILENT, NO_REQUESTS, NO_ANSWERS, REFUSE)
SECONDS_OF_DELAY = 0.15


class Switch:
    """The fault in force, and the connections it applies to."""

    def __init__(self) -> None:
        self.mode = GOOD
        self.sides: set[Side] = set()

    def passes(self, is_request: bool) -> bool:
        if self.mode == SILENT:
            return False
        return self.mode != (NO_REQUESTS if is_request else NO_ANSWERS)

    def reset(self) -> None:
        for side in list(self.sides):
            side.transport.abortConnection()


class Side(Protocol):
    """One end of a proxied connection."""

    def __init__(self, switch: Switch, is_request: bool) -> None:
        self.switch = switch
        self.is_request = is_request
        self.peer: Any = None
        self.waiting: list[bytes] = []

    def connectionMade(self) -> None:  # noqa: N802
        self.switch.sides.add(self)
        self.transport.setTcpNoDelay(True)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        delay = SECONDS_OF_DELAY if self.switch.mode == DELAY else 0.0
        if delay:
            reactor.callLater(delay, self.forward, data)
        else:
            self.forward(data)

    def forward(self, data: bytes) -> None:
        # What a partition holds up is delivered once it heals, in order.
        self.waiting.append(data)
        if not self.switch.passes(self.is_request):
            reactor.callLater(0.05, self.forward, b"")
            return
        if self.peer is not None and self.peer.transport is not None:
            self.peer.transport.write(b"".join(self.waiting))
            self.waiting.clear()

    def connectionLost(self, reason: Any) -> None:  # noqa: N802
        self.switch.sides.discard(self)
        if self.peer is not None and self.peer.transport is not None:
            if reason.check(ConnectionResetError):
                self.peer.transport.abortConnection()
            else:
                self.peer.transport.loseConnection()


class Front(Factory):
    """Accepts connections and opens the other half of each."""

    def __init__(self, switch: Switch, target: str) -> None:
        self.switch = switch
        self.host, _, self.port = target.rpartition(":")

    def buildProtocol(self, addr: Any) -> Side:  # noqa: N802
        side = Side(self.switch, is_request=True)
        if self.switch.mode == REFUSE:
            reactor.callLater(0, lambda: side.transport.abortConnection())
        else:
            reactor.connectTCP(self.host, int(self.port), Back(self.switch, side))
        return side


class Back(ClientFactory):
    """The other half of one connection."""

    def __init__(self, switch: Switch, front: Side) -> None:
        self.switch = switch
        self.front = front

    def buildProtocol(self, addr: Any) -> Side:  # noqa: N802
        side = Side(self.switch, is_request=False)
        side.peer, self.front.peer = self.front, side
        reactor.callLater(0, self.front.forward, b"")
        return side

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:  # noqa: N802
        if self.front.transport is not None:
            self.front.transport.abortConnection()


def main() -> None:
    """Proxy until SIGTERM; ``--listen`` is the address that sets faults."""
    options = parse(__doc__, front="127.0.0.1:0", target="127.0.0.1:0")
    switch = Switch()
    host, _, port = options.front.rpartition(":")
    reactor.listenTCP(int(port), Front(switch, options.target), interface=host)

    def set_mode(request: Request) -> None:
        mode = body_of(request)
        if mode == "reset":
            switch.reset()
        else:
            switch.mode = mode
        answer(request, mode)

    routes = Routes()
    routes.add("PUT", "/mode", set_mode)
    listen(routes, options.listen)


if __name__ == "__main__":
    main()
