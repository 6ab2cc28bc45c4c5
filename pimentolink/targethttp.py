"""HTTP/1.1 connections to targets, and pools of them."""

from __future__ import annotations

import socket
from collections import deque
from collections.abc import Callable
from typing import Any

import h11
from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.error import ConnectionDone, ConnectionRefusedError
from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.python.failure import Failure as TwistedFailure

from pimentolink.errors import (
    ConnectionBroken,
    ConnectionsExhausted,
    NotConnected,
    NotListening,
    ReplyInvalid,
)
from pimentolink.gatewaysettings import ConnectionSettings
from pimentolink.httptypes import HttpReply, HttpRequest, ReplyHead
from pimentolink.settings import split_address
from pimentolink.timers import Timer, Timers

Accepts = Callable[[ReplyHead], bool]
# Share of the time that a target grants idle connections for which they are used; the
# rest covers the way there and a loop that runs late.
IDLE_SHARE = 0.8


def set_keep_alive(transport: Any, settings: ConnectionSettings) -> None:
    """
    Have the system notice a peer that fell silent.

    :param transport: of a TCP connection.
    :param settings: when probes go out and how many may be missed.
    """
    transport.setTcpNoDelay(True)
    handle = transport.getHandle()
    handle.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, int(settings.probe_after)),
        (socket.TCP_KEEPINTVL, int(settings.probe_interval)),
        (socket.TCP_KEEPCNT, settings.probes),
        (socket.TCP_USER_TIMEOUT, int(settings.unacknowledged * 1000)),
    ):
        handle.setsockopt(socket.IPPROTO_TCP, option, value)


class TargetConnection(Protocol):
    """
    One connection, which carries one exchange at a time.

    Guards that an answer is only given to the request it belongs to: bytes that come
    while nothing is asked end the connection, and answers that name another request
    are read over.
    """

    def __init__(self, settings: ConnectionSettings, timers: Timers) -> None:
        """
        Wait for the connection to be made.

        :param settings: keep-alive probes.
        :param timers: the timer service.
        """
        self._settings = settings
        self._timers = timers
        self._parser: h11.Connection | None = None
        self._accepts: Accepts = lambda head: True
        self._request: HttpRequest | None = None
        self._is_skipping = False
        self._head: Deferred[ReplyHead] | None = None
        self._chunks: deque[bytes] = deque()
        self._reader: Deferred[bytes | None] | None = None
        self._failure: ConnectionBroken | ReplyInvalid | None = None
        self._has_ended = False
        self.is_open = False
        self.is_reusable = False
        self.idle_limit = settings.idle
        self.idle_since = timers.now()
        self.on_closed: Callable[[TargetConnection], None] = lambda connection: None

    def connectionMade(self) -> None:  # noqa: N802
        """Set the socket up."""
        self.is_open = True
        set_keep_alive(self.transport, self._settings)

    def send(self, request: HttpRequest, accepts: Accepts) -> Deferred[ReplyHead]:
        """
        Begin an exchange.

        :param request: is written whole.
        :param accepts: tells whether an answer belongs to this request.
        :returns: the head of the answer.
        :raises ConnectionBroken: if it breaks; the request may have been taken.
        :raises ReplyInvalid: if what comes is no HTTP.
        """
        self.is_reusable = False
        self._has_ended = False
        self._request = request
        self._accepts = accepts
        self._chunks.clear()
        self._head = Deferred()
        data = self._start_parser(request)
        self._write(data)
        return self._head

    def _start_parser(self, request: HttpRequest) -> bytes:
        self._is_skipping = False
        self._parser = h11.Connection(h11.CLIENT)
        headers = [*request.headers]
        if request.body or request.method not in (b"GET", b"HEAD", b"DELETE"):
            headers.append((b"Content-Length", str(len(request.body)).encode()))
        head = h11.Request(method=request.method, target=request.path, headers=headers)
        pieces = [self._parser.send(head)]
        if request.body:
            pieces.append(self._parser.send(h11.Data(data=request.body)))
        pieces.append(self._parser.send(h11.EndOfMessage()))
        return b"".join(piece for piece in pieces if piece)

    def read(self) -> Deferred[bytes | None]:
        """
        Read on in the answer.

        :returns: its next bytes, or ``None`` at its end.
        :raises ConnectionBroken: if it ended early.
        """
        self._reader = Deferred()
        reader = self._reader
        self._feed_reader()
        return reader

    async def read_all(self, max_bytes: int) -> bytes:
        """
        Read the rest of the answer.

        :raises ReplyInvalid: if it is longer than ``max_bytes``.
        """
        pieces: list[bytes] = []
        size = 0
        while (piece := await self.read()) is not None:
            size += len(piece)
            if size > max_bytes:
                self.abort()
                raise ReplyInvalid(f"an answer over {max_bytes} bytes")
            pieces.append(piece)
        return b"".join(pieces)

    def abort(self) -> None:
        """Close at once, so that the target drops what it works on."""
        self.is_open = False
        if self.transport is not None:
            self.transport.abortConnection()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Take bytes of the target."""
        if self._parser is None:
            self.abort()
            return
        self._parser.receive_data(data)
        self._pump()

    def connectionLost(self, reason: TwistedFailure = connectionDone) -> None:  # noqa: N802
        """Learn that the connection is gone."""
        self.is_open = False
        if self._parser is not None and reason.check(ConnectionDone):
            self._parser.receive_data(b"")
            self._pump()
        if not self._has_ended:
            self._fail(ConnectionBroken(reason.getErrorMessage()))
        self.on_closed(self)

    def _write(self, data: bytes) -> None:
        transport: Any = self.transport
        transport.write(data)

    def _pump(self) -> None:
        while self._parser is not None:
            try:
                event = self._parser.next_event()
            except h11.RemoteProtocolError as error:
                self._fail(ReplyInvalid(str(error)))
                self.abort()
                return
            if event is h11.NEED_DATA or event is h11.PAUSED:
                break
            self._take(event)
        self._feed_reader()

    def _take(self, event: Any) -> None:
        if isinstance(event, h11.Response):
            head = ReplyHead(event.status_code, tuple(event.headers.raw_items()))
            self._is_skipping = not self._accepts(head)
            if not self._is_skipping:
                self._take_head(head)
        elif isinstance(event, h11.Data):
            if not self._is_skipping:
                self._chunks.append(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            self._take_end()
        elif isinstance(event, h11.ConnectionClosed):
            self._parser = None

    def _take_head(self, head: ReplyHead) -> None:
        pending, self._head = self._head, None
        self._set_idle_limit(head)
        if pending is not None:
            pending.callback(head)

    def _take_end(self) -> None:
        assert self._parser is not None
        assert self._request is not None
        rest, _ = self._parser.trailing_data
        may_go_on = self._parser.their_state is h11.DONE
        if self._is_skipping and may_go_on:
            self._start_parser(self._request)
            if rest:  # no bytes would tell the parser that the connection ended
                self._parser.receive_data(rest)
            return
        self._parser = None
        if self._is_skipping:
            self._fail(ReplyInvalid("an answer to another request, then the end"))
            return
        self._has_ended = True
        self.is_reusable = may_go_on and not rest and self.is_open
        self.idle_since = self._timers.now()
        if not self.is_reusable and self.is_open:
            self.abort()

    def _set_idle_limit(self, head: ReplyHead) -> None:
        """Stay well inside the time after which the target closes idle connections."""
        told = head.header(b"keep-alive") or b""
        for part in told.split(b","):
            name, _, value = part.strip().partition(b"=")
            if name.lower() == b"timeout" and value.isdigit():
                self.idle_limit = min(self._settings.idle, int(value) * IDLE_SHARE)

    def _fail(self, failure: ConnectionBroken | ReplyInvalid) -> None:
        if self._has_ended:
            return
        self._failure = self._failure or failure
        self._parser = None
        pending, self._head = self._head, None
        if pending is not None and not pending.called:
            pending.errback(self._failure)
        self._feed_reader()

    def _feed_reader(self) -> None:
        reader = self._reader
        if reader is None or reader.called:
            return
        if self._chunks:
            self._reader = None
            joined = b"".join(self._chunks)
            self._chunks.clear()
            reader.callback(joined)
        elif self._has_ended:
            self._reader = None
            reader.callback(None)
        elif self._failure is not None:
            self._reader = None
            reader.errback(self._failure)


class _ConnectionFactory(Factory):
    """Makes the protocol of one connection."""

    def __init__(self, settings: ConnectionSettings, timers: Timers) -> None:
        self._settings = settings
        self._timers = timers

    def buildProtocol(self, addr: Any) -> Any:  # noqa: N802
        return TargetConnection(self._settings, self._timers)


class ConnectionPool:
    """Connections to one address, bounded, kept for the next exchange."""

    def __init__(
        self, reactor: Any, address: str, settings: ConnectionSettings, timers: Timers
    ) -> None:
        """
        Start without connections.

        :param reactor: the loop.
        :param address: of the target.
        :param settings: patience and bounds.
        :param timers: the timer service.
        """
        self._settings = settings
        self._timers = timers
        host, port = split_address(address)
        self._endpoint: Any = TCP4ClientEndpoint(
            reactor, host, port, timeout=settings.connect
        )
        self._idle: list[TargetConnection] = []
        self._timer: Timer | None = None
        self.is_closed = False
        self.most = settings.most
        self.count = 0

    async def acquire(self, max_idle: float | None = None) -> TargetConnection:
        """
        Take an idle connection or open one.

        :param max_idle: seconds that it may have been idle; a request that may not
            be repeated should not meet a connection that is about to be closed.
        :raises NotConnected: if none can be opened; nothing was sent.
        :raises ConnectionsExhausted: at the bound.
        """
        connection = self._take_idle(max_idle)
        if connection is not None:
            return connection
        if self.count >= self.most:
            raise ConnectionsExhausted(f"{self.count} connections are open")
        return await self.open()

    def _take_idle(self, max_idle: float | None) -> TargetConnection | None:
        """
        Take the connection that was used last.

        One that is too old for this request is kept for others, which saves opening
        connections in quiet times.
        """
        while self._idle:
            connection = self._idle[-1]
            idle = self._timers.now() - connection.idle_since
            if connection.is_open and idle < connection.idle_limit:
                is_too_old = max_idle is not None and idle >= max_idle
                if is_too_old and self.count < self.most:
                    return None
                return self._idle.pop()
            self._idle.pop()
            connection.abort()
        return None

    async def open(self) -> TargetConnection:
        """
        Open a connection.

        :raises NotListening: if the target refuses it.
        :raises NotConnected: if it cannot be made otherwise.
        """
        self.count += 1
        factory = _ConnectionFactory(self._settings, self._timers)
        try:
            connection: TargetConnection = await self._endpoint.connect(factory)
        except ConnectionRefusedError as error:
            self.count -= 1
            raise NotListening(str(error)) from error
        except Exception as error:
            self.count -= 1
            raise NotConnected(f"{type(error).__name__}: {error}") from error
        except BaseException:
            self.count -= 1
            raise
        connection.on_closed = self._closed
        return connection

    def release(self, connection: TargetConnection) -> None:
        """Give a connection back after its exchange."""
        if not connection.is_open or not connection.is_reusable or self.is_closed:
            connection.abort()
            return
        self._idle.append(connection)
        if self._timer is None:
            self._timer = self._timers.call_later(1.0, self._close_stale)

    def close(self) -> None:
        """Close idle connections; those in use close when given back."""
        self.is_closed = True
        for connection in self._idle:
            connection.abort()
        self._idle.clear()

    def _close_stale(self) -> None:
        self._timer = None
        now = self._timers.now()
        for connection in list(self._idle):
            if now - connection.idle_since > connection.idle_limit:
                self._idle.remove(connection)
                connection.abort()
        if self._idle:
            self._timer = self._timers.call_later(1.0, self._close_stale)

    def _closed(self, connection: TargetConnection) -> None:
        self.count -= 1
        if connection in self._idle:
            self._idle.remove(connection)


async def exchange(
    pool: ConnectionPool, request: HttpRequest, accepts: Accepts, max_bytes: int
) -> HttpReply:
    """
    Make one whole exchange.

    :raises NotConnected: if nothing was sent.
    :raises ConnectionBroken: if it ended early.
    :raises ReplyInvalid: if the answer is none, or longer than ``max_bytes``.
    """
    connection = await pool.acquire()
    try:
        head = await connection.send(request, accepts)
        body = await connection.read_all(max_bytes)
    except BaseException:
        connection.abort()
        raise
    pool.release(connection)
    return HttpReply(head, body)
