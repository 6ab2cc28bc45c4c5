"""A TCP proxy on loopback that delays, blocks, refuses or resets connections."""

from collections import deque
from typing import Any

from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import ClientFactory, Factory, Protocol
from twisted.web.server import Request

from standins.web import Routes, answer, body_of, listen, parse, reactor

NO_FAULT = "good"
DELAY = "delay"
SILENT = "silent"
NO_REQUESTS = "no_requests"
NO_RESPONSES = "no_answers"
REFUSE = "refuse"
MODES = (DELAY, SILENT, NO_REQUESTS, NO_RESPONSES, REFUSE)
DELAY_SECONDS = 0.15
# Seconds between two attempts to forward what is not due or blocked.
RETRY_SECONDS = 0.01


class FaultState:
    """The active fault and the open connections that it applies to."""

    def __init__(self) -> None:
        self.mode = NO_FAULT
        self.connections: set[ProxiedConnection] = set()

    def is_forwarding(self, is_client_side: bool) -> bool:
        """Check whether data received on one side is forwarded to the other."""
        if self.mode == SILENT:
            return False
        return self.mode != (NO_REQUESTS if is_client_side else NO_RESPONSES)

    def reset(self) -> None:
        """Reset all open connections."""
        for connection in list(self.connections):
            connection.transport.abortConnection()


class ProxiedConnection(Protocol):
    """The client side or the target side of a proxied connection."""

    def __init__(self, state: FaultState, is_client_side: bool) -> None:
        self.state = state
        self.is_client_side = is_client_side
        self.peer: Any = None
        # Data received and when to forward it; ``None`` for the end of the connection.
        self.received: deque[tuple[float, bytes | None]] = deque()
        self.is_scheduled = False

    def connectionMade(self) -> None:  # noqa: N802
        self.state.connections.add(self)
        self.transport.setTcpNoDelay(True)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self._receive(data)

    def connectionLost(self, reason: Any) -> None:  # noqa: N802
        self.state.connections.discard(self)
        if reason.check(ConnectionDone):
            self._receive(None)
            return
        self.received.clear()
        if self.peer is not None and self.peer.transport is not None:
            self.peer.transport.abortConnection()

    def _receive(self, data: bytes | None) -> None:
        delay = DELAY_SECONDS if self.state.mode == DELAY else 0.0
        self.received.append((reactor.seconds() + delay, data))
        self.forward()

    def forward(self) -> None:
        """
        Forward what is due.

        What a fault blocks follows in order once it is removed.
        """
        while self.received and self._may_forward(self.received[0][0]):
            _, data = self.received.popleft()
            if data is None:
                self.peer.transport.loseConnection()
            else:
                self.peer.transport.write(data)
        if self.received and not self.is_scheduled:
            self.is_scheduled = True
            reactor.callLater(RETRY_SECONDS, self._forward_again)

    def _forward_again(self) -> None:
        self.is_scheduled = False
        self.forward()

    def _may_forward(self, due: float) -> bool:
        if self.peer is None or self.peer.transport is None:
            return False
        is_due = due <= reactor.seconds()
        return is_due and self.state.is_forwarding(self.is_client_side)


class FrontendFactory(Factory):
    """Accepts client connections and opens a connection to the target for each."""

    def __init__(self, state: FaultState, target: str) -> None:
        self.state = state
        self.host, _, self.port = target.rpartition(":")

    def buildProtocol(self, addr: Any) -> ProxiedConnection:  # noqa: N802
        connection = ProxiedConnection(self.state, is_client_side=True)
        if self.state.mode == REFUSE:
            reactor.callLater(0, lambda: connection.transport.abortConnection())
        else:
            reactor.connectTCP(
                self.host, int(self.port), BackendFactory(self.state, connection)
            )
        return connection


class BackendFactory(ClientFactory):
    """Opens the connection to the target that belongs to one client connection."""

    def __init__(self, state: FaultState, front: ProxiedConnection) -> None:
        self.state = state
        self.front = front

    def buildProtocol(self, addr: Any) -> ProxiedConnection:  # noqa: N802
        connection = ProxiedConnection(self.state, is_client_side=False)
        connection.peer, self.front.peer = self.front, connection
        reactor.callLater(0, self.front.forward)
        return connection

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:  # noqa: N802
        self.front.received.clear()
        if self.front.transport is not None:
            self.front.transport.abortConnection()


def main() -> None:
    """Run the proxy until SIGTERM; ``--listen`` is the address of its control API."""
    options = parse(__doc__, front="127.0.0.1:0", target="127.0.0.1:0")
    state = FaultState()
    host, _, port = options.front.rpartition(":")
    reactor.listenTCP(int(port), FrontendFactory(state, options.target), interface=host)

    def set_mode(request: Request) -> None:
        mode = body_of(request)
        if mode == "reset":
            state.reset()
        else:
            state.mode = mode
        answer(request, mode)

    routes = Routes()
    routes.add("PUT", "/mode", set_mode)
    listen(routes, options.listen)


if __name__ == "__main__":
    main()
