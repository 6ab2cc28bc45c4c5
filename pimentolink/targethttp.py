"""HTTP/1.1 connections to targets, and pools of them."""

from __future__ import annotations

import errno
import socket
from collections import deque
from collections.abc import Callable
from typing import Any, NamedTuple

import h11
from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.error import (
    ConnectError,
    ConnectingCancelledError,
    ConnectionDone,
    ConnectionRefusedError,
)
from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.python.failure import Failure as TwistedFailure

from pimentolink.errors import (
    ConnectionBroken,
    ConnectionsExhausted,
    ConnectReset,
    NotConnected,
    NotListening,
    ReplyInvalid,
)
from pimentolink.gatewaysettings import ConnectionSettings
from pimentolink.httptypes import HttpReply, HttpRequest, ReplyHead
from pimentolink.settings import split_address
from pimentolink.timers import Timer, Timers

ReplyMatcher = Callable[[ReplyHead], bool]
# Share of a target's announced idle timeout during which an idle connection is still
# used; the rest covers network latency and an event loop that runs late.
IDLE_TIMEOUT_SHARE = 0.8
# Largest number of informational responses (100 to 199), and of responses to other
# requests, before the response to a request.
MAX_PRECEDING_RESPONSES = 16
# Largest number of bytes in the bodies of responses to other requests.
MAX_DISCARDED_BYTES = 1_000_000
# Seconds for which the loss of an old connection is remembered rather than that of a
# newer one.
LOST_CONNECTION_TTL = 2.0


def set_keep_alive(transport: Any, settings: ConnectionSettings) -> None:
    """
    Enable TCP keep-alive, by which the kernel detects a peer that stopped responding.

    :param transport: the transport of a TCP connection.
    :param settings: interval of the probes and how many may be missed.
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
    An HTTP/1.1 connection to a target, which carries one exchange at a time.

    Guarantees that a response is only returned for the request it belongs to: bytes
    received while no request is pending close the connection, and responses to another
    request are discarded.
    """

    def __init__(self, settings: ConnectionSettings, timers: Timers) -> None:
        """
        Create a connection that is not open yet.

        :param settings: idle timeout and keep-alive probes.
        :param timers: the timer service.
        """
        self._settings = settings
        self._timers = timers
        self._parser: h11.Connection | None = None
        self._accepts: ReplyMatcher = lambda head: True
        self._request: HttpRequest | None = None
        self._is_discarding = False
        self._head: Deferred[ReplyHead] | None = None
        self._chunks: deque[bytes] = deque()
        self._reader: Deferred[bytes | None] | None = None
        self._failure: ConnectionBroken | ReplyInvalid | None = None
        self._has_ended = False
        self._preceding_responses = 0
        self._discarded_bytes = 0
        self.is_open = False
        self.is_reusable = False
        self.is_lost = False
        self.exchange_count = 0
        self.last_request_id = ""
        self.opened_at = timers.now()
        self.idle_limit = settings.idle
        self.idle_since = timers.now()
        self.on_closed: Callable[[TargetConnection], None] = lambda connection: None

    def connectionMade(self) -> None:  # noqa: N802
        """Configure the socket."""
        self.is_open = True
        set_keep_alive(self.transport, self._settings)

    def send(
        self, request: HttpRequest, accepts: ReplyMatcher, request_id: str = ""
    ) -> Deferred[ReplyHead]:
        """
        Send a request.

        :param request: the complete request.
        :param accepts: returns whether a response belongs to this request.
        :param request_id: the id that the response must name; empty for none.
        :returns: the head of the response.
        :raises ConnectionBroken: if the connection breaks; the target may have
            received the request.
        :raises ReplyInvalid: if the response is not valid HTTP.
        """
        self.is_reusable = False
        self.exchange_count += 1
        self.last_request_id = request_id
        self._has_ended = False
        self._preceding_responses = 0
        self._discarded_bytes = 0
        self._request = request
        self._accepts = accepts
        self._chunks.clear()
        self._head = Deferred()
        data = self._start_parser(request)
        self._write(data)
        return self._head

    def _start_parser(self, request: HttpRequest) -> bytes:
        self._is_discarding = False
        self._parser = h11.Connection(h11.CLIENT)
        headers = [*request.headers]
        if request.body or request.method not in (b"GET", b"HEAD", b"DELETE"):
            headers.append((b"Content-Length", str(len(request.body)).encode()))
        head = h11.Request(method=request.method, target=request.path, headers=headers)
        chunks = [self._parser.send(head)]
        if request.body:
            chunks.append(self._parser.send(h11.Data(data=request.body)))
        chunks.append(self._parser.send(h11.EndOfMessage()))
        return b"".join(chunk for chunk in chunks if chunk)

    def read(self) -> Deferred[bytes | None]:
        """
        Read the next bytes of the response body.

        :returns: the bytes, or ``None`` at the end of the body.
        :raises ConnectionBroken: if the connection breaks before the end.
        """
        self._reader = Deferred()
        reader = self._reader
        self._feed_reader()
        return reader

    async def read_all(
        self, max_bytes: int, on_data: Callable[[], None] = lambda: None
    ) -> bytes:
        """
        Read the rest of the response body.

        :param on_data: called whenever a part of it arrives.
        :raises ReplyInvalid: if it is longer than ``max_bytes``.
        """
        chunks: list[bytes] = []
        size = 0
        while (chunk := await self.read()) is not None:
            on_data()
            size += len(chunk)
            if size > max_bytes:
                self.abort()
                raise ReplyInvalid(f"an answer over {max_bytes} bytes")
            chunks.append(chunk)
        return b"".join(chunks)

    def abort(self) -> None:
        """Close at once, so that the target stops processing the request."""
        self.is_open = False
        if self.transport is not None:
            self.transport.abortConnection()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Receive bytes from the target."""
        if self._parser is None:
            self.abort()
            return
        self._parser.receive_data(data)
        self._process_events()

    def connectionLost(self, reason: TwistedFailure = connectionDone) -> None:  # noqa: N802
        """Handle the loss of the connection."""
        self.is_lost = self.is_open
        self.is_open = False
        if self._parser is not None and reason.check(ConnectionDone):
            self._parser.receive_data(b"")
            self._process_events()
        if not self._has_ended:
            self._fail(ConnectionBroken(reason.getErrorMessage()))
        self.on_closed(self)

    def _write(self, data: bytes) -> None:
        transport: Any = self.transport
        transport.write(data)

    def _process_events(self) -> None:
        while self._parser is not None:
            try:
                event = self._parser.next_event()
            except h11.RemoteProtocolError as error:
                self._fail(ReplyInvalid(str(error)))
                self.abort()
                return
            if event is h11.NEED_DATA or event is h11.PAUSED:
                break
            self._handle_event(event)
        self._feed_reader()

    def _handle_event(self, event: Any) -> None:
        if isinstance(event, h11.InformationalResponse):
            self._count_preceding()
        elif isinstance(event, h11.Response):
            head = ReplyHead(event.status_code, tuple(event.headers.raw_items()))
            self._is_discarding = not self._accepts(head)
            if self._is_discarding:
                self._count_preceding()
            else:
                self._handle_head(head)
        elif isinstance(event, h11.Data):
            if self._is_discarding:
                self._count_discarded(len(event.data))
            else:
                self._chunks.append(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            self._handle_end()
        elif isinstance(event, h11.ConnectionClosed):
            self._parser = None

    def _count_preceding(self) -> None:
        """Count a response before the awaited one; close the connection at too many."""
        self._preceding_responses += 1
        if self._preceding_responses > MAX_PRECEDING_RESPONSES:
            self._fail(ReplyInvalid(f"{self._preceding_responses} other responses"))
            self.abort()

    def _count_discarded(self, size: int) -> None:
        """Count bytes of other responses; close the connection at too many."""
        self._discarded_bytes += size
        if self._discarded_bytes > MAX_DISCARDED_BYTES:
            self._fail(ReplyInvalid(f"{self._discarded_bytes} bytes of others"))
            self.abort()

    def _handle_head(self, head: ReplyHead) -> None:
        pending, self._head = self._head, None
        self._set_idle_limit(head)
        if pending is not None:
            pending.callback(head)

    def _handle_end(self) -> None:
        assert self._parser is not None
        assert self._request is not None
        rest, _ = self._parser.trailing_data
        can_continue = self._parser.their_state is h11.DONE
        if self._is_discarding and can_continue:
            self._start_parser(self._request)
            if rest:  # h11 takes empty data as the end of the connection
                self._parser.receive_data(rest)
            return
        self._parser = None
        if self._is_discarding:
            self._fail(ReplyInvalid("an answer to another request, then the end"))
            return
        self._has_ended = True
        self.is_reusable = can_continue and not rest and self.is_open
        self.idle_since = self._timers.now()
        if not self.is_reusable and self.is_open:
            self.abort()

    def _set_idle_limit(self, head: ReplyHead) -> None:
        """Apply the idle timeout that the target announced in ``Keep-Alive``."""
        keep_alive = head.header(b"keep-alive") or b""
        for part in keep_alive.split(b","):
            name, _, value = part.strip().partition(b"=")
            if name.lower() == b"timeout" and value.isdigit():
                self.idle_limit = min(
                    self._settings.idle, int(value) * IDLE_TIMEOUT_SHARE
                )

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
    """Creates the protocol instance of each connection."""

    def __init__(self, settings: ConnectionSettings, timers: Timers) -> None:
        self._settings = settings
        self._timers = timers

    def buildProtocol(self, addr: Any) -> Any:  # noqa: N802
        return TargetConnection(self._settings, self._timers)


class _LostConnection(NamedTuple):
    """When a connection was lost, and its age in seconds at that time."""

    at: float
    age: float


class ConnectionPool:
    """A bounded pool of reusable connections to one address."""

    def __init__(
        self, reactor: Any, address: str, settings: ConnectionSettings, timers: Timers
    ) -> None:
        """
        Create an empty pool.

        :param reactor: the event loop.
        :param address: host and port of the target.
        :param settings: timeouts and limits.
        :param timers: the timer service.
        """
        self._settings = settings
        self._timers = timers
        host, port = split_address(address)
        self._endpoint: Any = TCP4ClientEndpoint(
            reactor, host, port, timeout=settings.connect
        )
        self._idle: list[TargetConnection] = []
        self._open: set[TargetConnection] = set()
        self._lost = _LostConnection(0.0, 0.0)
        self._timer: Timer | None = None
        self.is_closed = False
        self.max_connections = settings.most
        self.count = 0

    async def acquire(
        self, max_idle: float | None = None, request_id: str = ""
    ) -> TargetConnection:
        """
        Return an idle connection, or open one.

        :param max_idle: seconds that the connection may have been idle, for a request
            that must not be repeated: the target may be about to close an older one.
        :param request_id: id of the request. A connection whose last exchange was for
            the same request is not used, since a late copy of its response would pass
            for the response to this one.
        :raises NotConnected: if no connection can be opened; nothing was sent.
        :raises ConnectionsExhausted: if the maximum number of connections is open.
        """
        connection = self._pop_idle(max_idle, request_id)
        if connection is not None:
            return connection
        if self.count >= self.max_connections:
            raise ConnectionsExhausted(f"{self.count} connections are open")
        return await self.open()

    def _pop_idle(
        self, max_idle: float | None, request_id: str
    ) -> TargetConnection | None:
        """
        Take the most recently used idle connection.

        A connection that was idle too long for this request stays in the pool for
        others, so that fewer connections are opened under low load. It is used all the
        same if no other connection may be opened.
        """
        for index in reversed(range(len(self._idle))):
            connection = self._idle[index]
            idle = self._timers.now() - connection.idle_since
            if not connection.is_open or idle >= connection.idle_limit:
                del self._idle[index]
                connection.abort()
                continue
            if request_id and connection.last_request_id == request_id:
                continue
            is_too_old = max_idle is not None and idle >= max_idle
            if is_too_old and self.count < self.max_connections:
                return None
            del self._idle[index]
            return connection
        return None

    async def open(self) -> TargetConnection:
        """
        Open a connection.

        :raises NotListening: if the target refuses the connection.
        :raises ConnectReset: if it is reset before it is known to be open.
        :raises CancelledError: if the caller of this method was cancelled.
        :raises NotConnected: if the connection fails for another reason.
        """
        self.count += 1
        begin = self._timers.now()
        factory = _ConnectionFactory(self._settings, self._timers)
        try:
            connection: TargetConnection = await self._endpoint.connect(factory)
        except ConnectionRefusedError as error:
            self.count -= 1
            raise NotListening(str(error)) from error
        except ConnectingCancelledError as error:
            self.count -= 1
            raise CancelledError from error
        except ConnectError as error:
            self.count -= 1
            detail = f"{type(error).__name__}: {error}"
            if error.osError == errno.ECONNRESET:
                raise ConnectReset(detail) from error
            raise NotConnected(detail) from error
        except Exception as error:
            self.count -= 1
            raise NotConnected(f"{type(error).__name__}: {error}") from error
        except BaseException:
            self.count -= 1
            raise
        connection.on_closed = self._on_connection_closed
        # The target may accept it long before this process handles that.
        connection.opened_at = begin
        self._open.add(connection)
        return connection

    def release(self, connection: TargetConnection) -> None:
        """Return a connection to the pool after its exchange."""
        if not connection.is_open or not connection.is_reusable or self.is_closed:
            connection.abort()
            return
        self._idle.append(connection)
        if self._timer is None:
            self._timer = self._timers.call_later(1.0, self._close_expired)

    def close(self) -> None:
        """Close idle connections now, and those in use once they are released."""
        self.is_closed = True
        for connection in self._idle:
            connection.abort()
        self._idle.clear()

    def _close_expired(self) -> None:
        self._timer = None
        now = self._timers.now()
        for connection in list(self._idle):
            if now - connection.idle_since > connection.idle_limit:
                self._idle.remove(connection)
                connection.abort()
        if self._idle:
            self._timer = self._timers.call_later(1.0, self._close_expired)

    def longest_open(self) -> float:
        """
        Find the oldest connection that is open.

        :returns: its age in seconds; 0 if none is open.
        """
        now = self._timers.now()
        return max(
            (now - item.opened_at for item in self._open if item.is_open), default=0.0
        )

    def longest_lost(self, since: float) -> float:
        """
        Find the oldest connection that was lost lately.

        :param since: seconds of the timer service.
        :returns: the age in seconds that it had; 0 if none was lost since.
        """
        return self._lost.age if self._lost.at >= since else 0.0

    def _record_lost(self, connection: TargetConnection) -> None:
        now = self._timers.now()
        age = now - connection.opened_at
        if age >= self._lost.age or now - self._lost.at > LOST_CONNECTION_TTL:
            self._lost = _LostConnection(now, age)

    def _on_connection_closed(self, connection: TargetConnection) -> None:
        self.count -= 1
        self._open.discard(connection)
        if connection.is_lost:
            self._record_lost(connection)
        if connection in self._idle:
            self._idle.remove(connection)


async def exchange(
    pool: ConnectionPool,
    request: HttpRequest,
    accepts: ReplyMatcher,
    max_bytes: int,
    on_data: Callable[[], None] = lambda: None,
) -> HttpReply:
    """
    Send a request and read the complete response.

    :param on_data: called whenever a part of the body arrives.
    :raises NotConnected: if no connection could be opened; nothing was sent.
    :raises ConnectionBroken: if the connection breaks before the end.
    :raises ReplyInvalid: if the response is not valid HTTP, or longer than
        ``max_bytes``.
    """
    connection = await pool.acquire()
    try:
        head = await connection.send(request, accepts)
        body = await connection.read_all(max_bytes, on_data)
    except BaseException:
        connection.abort()
        raise
    pool.release(connection)
    return HttpReply(head, body)
