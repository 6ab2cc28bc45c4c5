"""HTTP/1.1 connections of callers."""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from typing import Any, Protocol

import h11
from result import Err
from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.interfaces import IPushProducer
from twisted.internet.protocol import Factory, connectionDone
from twisted.internet.protocol import Protocol as TwistedProtocol
from twisted.python.failure import Failure as TwistedFailure
from zope.interface import implementer

from pimentolink.errors import BodyTooLarge, Failure, InvalidRequest, RequestTooSlow
from pimentolink.httphead import check_head, split_head
from pimentolink.httptypes import Headers, HttpRequest, header_value
from pimentolink.logs import Log, LogEvent
from pimentolink.metrics import Metrics
from pimentolink.routes import CallerBounds
from pimentolink.timers import Timer, Timers

# Bytes of pipelined requests buffered while one is being served; beyond them, reading
# from the connection is paused.
MAX_PIPELINED_BYTES = 65_536
# Seconds that a connection stays open beyond the documented idle timeout, so that it
# does not close just as its caller sends the next request.
IDLE_TIMEOUT_MARGIN = 2.0


class Handler(Protocol):
    """Serves requests."""

    def handle(
        self, http: HttpRequest, responder: CallerConnection
    ) -> Coroutine[Any, Any, None]:
        """Serve one request; ``responder`` sends the response."""


@implementer(IPushProducer)
class CallerConnection(TwistedProtocol):
    """
    An HTTP/1.1 connection of a caller, which serves one request at a time.

    Guarantees that no part of a malformed request reaches the handler, that each
    request gets one response, and that a request is cancelled if its caller
    disconnects.
    """

    factory: CallerFactory

    def __init__(self, factory: CallerFactory) -> None:
        """
        Create a connection.

        :param factory: holds what all connections share.
        """
        self.factory = factory
        self._received = bytearray()
        self._parser: h11.Connection | None = None
        self._request: h11.Request | None = None
        self._body: list[bytes] = []
        self._body_size = 0
        self._handling: Deferred[None] | None = None
        self._timer: Timer | None = None
        self.is_closing = False
        self._is_disconnected = False
        self._is_reading_paused = False
        self._on_pause: Callable[[bool], None] | None = None
        self.has_begun = False

    def connectionMade(self) -> None:  # noqa: N802
        """Configure the socket and start to wait for a request."""
        transport: Any = self.transport
        transport.setTcpNoDelay(True)
        transport.registerProducer(self, True)
        self.factory.connections.add(self)
        self._start_idle_timer()

    def connectionLost(self, reason: TwistedFailure = connectionDone) -> None:  # noqa: N802
        """Cancel the request of a caller that disconnected."""
        self._is_disconnected = True
        self._stop_timer()
        self.factory.connections.discard(self)
        if self._handling is not None:
            self.factory.caller_left(self._request_id())
            self._handling.cancel()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Receive bytes from the caller."""
        if self._handling is not None:
            self._received += data
            if len(self._received) > MAX_PIPELINED_BYTES:
                self._is_reading_paused = True
                self._transport().pauseProducing()
            return
        if self._parser is not None:
            self._parser.receive_data(data)
            self._parse_body()
            return
        if not self._received:
            self._start_head_timer()
        self._received += data
        self._parse_head()

    def close_if_idle(self) -> None:
        """Close the connection now if it has no request, or else after its response."""
        self.is_closing = True
        if self._handling is None and self._parser is None and not self._received:
            self._transport().loseConnection()

    def _transport(self) -> Any:
        return self.transport

    def _parse_head(self) -> None:
        bounds = self.factory.bounds()
        found = split_head(bytes(self._received), bounds.head_bytes)
        if isinstance(found, Err):
            self._reject(found.err_value)
            return
        length = found.ok_value
        if length == 0:
            return
        problem = check_head(bytes(self._received[:length]))
        if problem is not None:
            self._reject(problem)
            return
        self._parser = h11.Connection(
            h11.SERVER, max_incomplete_event_size=bounds.head_bytes + 4
        )
        self._parser.receive_data(bytes(self._received))
        self._received.clear()
        self._body.clear()
        self._body_size = 0
        self._parse_body()

    def _parse_body(self) -> None:
        parser = self._parser
        assert parser is not None
        while True:
            try:
                event = parser.next_event()
            except h11.RemoteProtocolError as error:
                self._reject(InvalidRequest(str(error)))
                return
            if event is h11.NEED_DATA:
                self._start_body_timer()
                return
            if isinstance(event, h11.Request):
                self._request = event
                if self._declared_length(event) > self.factory.bounds().body_bytes:
                    self._reject(BodyTooLarge("the body is over the limit"))
                    return
                if parser.they_are_waiting_for_100_continue:
                    self._write_event(
                        h11.InformationalResponse(status_code=100, headers=[])
                    )
            elif isinstance(event, h11.Data):
                self._body.append(bytes(event.data))
                self._body_size += len(event.data)
                if self._body_size > self.factory.bounds().body_bytes:
                    self._reject(BodyTooLarge("the body is over the limit"))
                    return
            elif isinstance(event, h11.EndOfMessage):
                self._handle_request()
                return
            else:
                return

    def _declared_length(self, request: h11.Request) -> int:
        headers = tuple(request.headers.raw_items())
        return int(header_value(headers, b"content-length") or 0)

    def _handle_request(self) -> None:
        parser, request = self._parser, self._request
        assert parser is not None
        assert request is not None
        self._stop_timer()
        rest, _ = parser.trailing_data
        self._received += rest
        self.has_begun = False
        message = HttpRequest(
            bytes(request.method),
            bytes(request.target),
            tuple(request.headers.raw_items()),
            b"".join(self._body),
        )
        self._body.clear()
        handling = Deferred.fromCoroutine(self.factory.handler.handle(message, self))
        self._handling = handling
        handling.addErrback(self._handler_failed)
        handling.addBoth(lambda _: self._request_done())

    def _handler_failed(self, failure: TwistedFailure) -> None:
        if failure.check(CancelledError) and self._is_disconnected:
            return
        self.factory.log.write(
            LogEvent.UNHANDLED_ERROR, traceback=failure.getTraceback()
        )
        self.abort()

    def _request_done(self) -> None:
        self._handling = None
        parser, self._parser = self._parser, None
        if self._is_disconnected or parser is None:
            return
        if parser.our_state is not h11.DONE and parser.our_state is not h11.MUST_CLOSE:
            self.abort()
            return
        if parser.our_state is h11.MUST_CLOSE or self.is_closing:
            self._transport().loseConnection()
            return
        self._next_request()

    def _next_request(self) -> None:
        if self._is_reading_paused:
            self._is_reading_paused = False
            self._transport().resumeProducing()
        if self._received:
            self._start_head_timer()
            # Yielding to the event loop between requests keeps a caller that pipelines
            # from starving the others.
            self.factory.timers.call_later(0, self._parse_pipelined)
        else:
            self._start_idle_timer()

    def _parse_pipelined(self) -> None:
        if not self._is_disconnected and self._parser is None and self._received:
            self._parse_head()

    def begin(self, status: int, headers: Headers) -> None:
        """Write the head of a response of unknown length."""
        self.has_begun = True
        self._write_head(status, [*headers])

    def write(self, data: bytes) -> None:
        """Write the next bytes of the body."""
        self._write_event(h11.Data(data=data))

    def finish(self) -> None:
        """End the body, which completes the response."""
        self._write_event(h11.EndOfMessage())

    def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Write a complete response."""
        self.has_begun = True
        length = (b"Content-Length", str(len(body)).encode())
        self._write_head(status, [*headers, length])
        if body and not self._is_head():
            self.write(body)
        self.finish()

    def abort(self) -> None:
        """Close the connection, so that the response does not look complete."""
        if not self._is_disconnected:
            self._transport().abortConnection()

    def on_pause(self, callback: Callable[[bool], None]) -> None:
        """Set the callback for when the caller stops or resumes reading."""
        self._on_pause = callback

    def pauseProducing(self) -> None:  # noqa: N802
        """Pause reading from the target: the caller does not read."""
        if self._on_pause is not None:
            self._on_pause(True)

    def resumeProducing(self) -> None:  # noqa: N802
        """Resume reading from the target: the caller reads again."""
        if self._on_pause is not None:
            self._on_pause(False)

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing: :meth:`connectionLost` handles the disconnect."""

    def _write_head(self, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        if self.is_closing:
            headers.append((b"Connection", b"close"))
        self._write_event(h11.Response(status_code=status, headers=headers))

    def _write_event(self, event: h11.Event) -> None:
        if self._is_disconnected or self._parser is None:
            return
        data = self._parser.send(event)
        if data:
            self._transport().write(data)

    def _is_head(self) -> bool:
        return self._request is not None and self._request.method == b"HEAD"

    def _request_id(self) -> str:
        if self._request is None:
            return ""
        return self.factory.request_id(tuple(self._request.headers.raw_items()))

    def _reject(self, failure: Failure) -> None:
        """Send an error response to an invalid request and close the connection."""
        self._stop_timer()
        self.factory.rejected(failure)
        body = f"{failure}\n".encode()
        response = h11.Response(
            status_code=failure.status,
            headers=[
                (b"Content-Type", b"text/plain"),
                (b"Content-Length", str(len(body)).encode()),
                (b"Connection", b"close"),
            ],
        )
        encoder = h11.Connection(h11.SERVER)
        data = [encoder.send(response), encoder.send(h11.Data(data=body))]
        self._parser = None
        self._received.clear()
        self._transport().write(b"".join(chunk for chunk in data if chunk))
        self._transport().loseConnection()

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _start_idle_timer(self) -> None:
        seconds = self.factory.bounds().idle_time + IDLE_TIMEOUT_MARGIN
        self._set_timer(seconds, lambda: self._transport().loseConnection())

    def _start_head_timer(self) -> None:
        bounds = self.factory.bounds()
        self._set_timer(bounds.head_time + IDLE_TIMEOUT_MARGIN, self._request_timed_out)

    def _start_body_timer(self) -> None:
        bounds = self.factory.bounds()
        self._set_timer(bounds.idle_time, self._request_timed_out)

    def _request_timed_out(self) -> None:
        self._reject(RequestTooSlow("the request did not come in time"))

    def _set_timer(self, seconds: float, callback: Callable[[], object]) -> None:
        self._stop_timer()
        self._timer = self.factory.timers.call_later(seconds, callback)


class CallerFactory(Factory):
    """Creates connections and holds what they share."""

    def __init__(
        self,
        handler: Handler,
        bounds: Callable[[], CallerBounds],
        request_id: Callable[[Headers], str],
        timers: Timers,
        log: Log,
        metrics: Metrics,
    ) -> None:
        """
        Create a factory.

        :param handler: serves requests.
        :param bounds: returns the current size limits and timeouts.
        :param request_id: reads a request's id from its headers.
        :param timers: the timer service.
        :param log: records disconnects, invalid requests and unhandled errors.
        :param metrics: counts disconnects and invalid requests.
        """
        self.handler = handler
        self.bounds = bounds
        self.request_id = request_id
        self.timers = timers
        self.log = log
        self._metrics = metrics
        self.is_closing = False
        self.connections: set[CallerConnection] = set()

    def buildProtocol(self, addr: Any) -> Any:  # noqa: N802
        """Create the protocol instance of a new connection."""
        connection = CallerConnection(self)
        connection.is_closing = self.is_closing
        return connection

    def close_idle(self) -> None:
        """Close idle connections now, and the others after their response."""
        self.is_closing = True
        for connection in list(self.connections):
            connection.close_if_idle()

    def announce_close(self) -> None:
        """Send ``Connection: close`` with the next response on each connection."""
        self.is_closing = True
        for connection in self.connections:
            connection.is_closing = True

    def caller_left(self, request_id: str) -> None:
        """Record a caller that disconnected before its response was complete."""
        self._metrics.count("callers_left")
        self.log.write(LogEvent.CALLER_LEFT, request=request_id)

    def rejected(self, failure: Failure) -> None:
        """Record an invalid request."""
        self._metrics.count("rejected", failure.code)
        self.log.write(LogEvent.BAD_REQUEST, code=failure.code, detail=failure.detail)
