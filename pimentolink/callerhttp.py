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

# Bytes of further requests kept while one is answered; then reading stops.
MAX_AHEAD = 65_536
# Seconds that a connection is kept open beyond the bound that callers are told, so
# that none closes just as its caller sends.
IDLE_GRACE = 2.0


class Handler(Protocol):
    """Answers requests."""

    def handle(
        self, http: HttpRequest, responder: CallerConnection
    ) -> Coroutine[Any, Any, None]:
        """Answer one request through its connection."""


@implementer(IPushProducer)
class CallerConnection(TwistedProtocol):
    """
    One caller's connection: requests one after the other.

    Guards that nothing of a malformed request is handed on, that each request gets
    one answer, and that a caller's leaving ends the work for it.
    """

    factory: CallerFactory

    def __init__(self, factory: CallerFactory) -> None:
        """
        Wait for a request.

        :param factory: holds what connections share.
        """
        self.factory = factory
        self._received = bytearray()
        self._parser: h11.Connection | None = None
        self._request: h11.Request | None = None
        self._body: list[bytes] = []
        self._body_size = 0
        self._answering: Deferred[None] | None = None
        self._timer: Timer | None = None
        self.is_closing = False
        self._is_lost = False
        self._is_reading_paused = False
        self._on_pause: Callable[[bool], None] | None = None
        self.has_begun = False

    def connectionMade(self) -> None:  # noqa: N802
        """Register with the factory."""
        transport: Any = self.transport
        transport.setTcpNoDelay(True)
        transport.registerProducer(self, True)
        self.factory.connections.add(self)
        self._wait_idle()

    def connectionLost(self, reason: TwistedFailure = connectionDone) -> None:  # noqa: N802
        """End the work for a caller that left."""
        self._is_lost = True
        self._stop_timer()
        self.factory.connections.discard(self)
        if self._answering is not None:
            self.factory.caller_left(self._request_id())
            self._answering.cancel()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Take bytes of the caller."""
        if self._answering is not None:
            self._received += data
            if len(self._received) > MAX_AHEAD:
                self._is_reading_paused = True
                self._transport().pauseProducing()
            return
        if self._parser is not None:
            self._parser.receive_data(data)
            self._take_body()
            return
        if not self._received:
            self._wait_head()
        self._received += data
        self._take_head()

    def close_if_idle(self) -> None:
        """Close the connection unless a request is under way on it."""
        self.is_closing = True
        if self._answering is None and self._parser is None and not self._received:
            self._transport().loseConnection()

    def _transport(self) -> Any:
        return self.transport

    def _take_head(self) -> None:
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
        self._take_body()

    def _take_body(self) -> None:
        parser = self._parser
        assert parser is not None
        while True:
            try:
                event = parser.next_event()
            except h11.RemoteProtocolError as error:
                self._reject(InvalidRequest(str(error)))
                return
            if event is h11.NEED_DATA:
                self._wait_body()
                return
            if isinstance(event, h11.Request):
                self._request = event
                if self._told_length(event) > self.factory.bounds().body_bytes:
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
                self._whole()
                return
            else:
                return

    def _told_length(self, request: h11.Request) -> int:
        headers = tuple(request.headers.raw_items())
        return int(header_value(headers, b"content-length") or 0)

    def _whole(self) -> None:
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
        answering = Deferred.fromCoroutine(self.factory.handler.handle(message, self))
        self._answering = answering
        answering.addErrback(self._broke)
        answering.addBoth(lambda _: self._answered())

    def _broke(self, failure: TwistedFailure) -> None:
        if failure.check(CancelledError) and self._is_lost:
            return
        self.factory.log.write(
            LogEvent.UNHANDLED_ERROR, traceback=failure.getTraceback()
        )
        self.abort()

    def _answered(self) -> None:
        self._answering = None
        parser, self._parser = self._parser, None
        if self._is_lost or parser is None:
            return
        if parser.our_state is not h11.DONE and parser.our_state is not h11.MUST_CLOSE:
            self.abort()
            return
        if parser.our_state is h11.MUST_CLOSE or self.is_closing:
            self._transport().loseConnection()
            return
        self._go_on()

    def _go_on(self) -> None:
        if self._is_reading_paused:
            self._is_reading_paused = False
            self._transport().resumeProducing()
        if self._received:
            self._wait_head()
            # A turn of the loop between requests keeps a pipelining caller from
            # taking the process for itself.
            self.factory.timers.call_later(0, self._take_waiting)
        else:
            self._wait_idle()

    def _take_waiting(self) -> None:
        if not self._is_lost and self._parser is None and self._received:
            self._take_head()

    def begin(self, status: int, headers: Headers) -> None:
        """Write the head of an answer of unknown length."""
        self.has_begun = True
        self._write_head(status, [*headers])

    def write(self, data: bytes) -> None:
        """Write on."""
        self._write_event(h11.Data(data=data))

    def finish(self) -> None:
        """End the answer as complete."""
        self._write_event(h11.EndOfMessage())

    def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Write a whole answer."""
        self.has_begun = True
        length = (b"Content-Length", str(len(body)).encode())
        self._write_head(status, [*headers, length])
        if body and not self._is_head():
            self.write(body)
        self.finish()

    def abort(self) -> None:
        """Cut the answer off."""
        if not self._is_lost:
            self._transport().abortConnection()

    def on_pause(self, callback: Callable[[bool], None]) -> None:
        """Ask to be told when the caller stops reading and when it goes on."""
        self._on_pause = callback

    def pauseProducing(self) -> None:  # noqa: N802
        """Hold the target back: the caller does not read."""
        if self._on_pause is not None:
            self._on_pause(True)

    def resumeProducing(self) -> None:  # noqa: N802
        """Let the target go on: the caller reads again."""
        if self._on_pause is not None:
            self._on_pause(False)

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing: the caller's leaving is told by the connection."""

    def _write_head(self, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        if self.is_closing:
            headers.append((b"Connection", b"close"))
        self._write_event(h11.Response(status_code=status, headers=headers))

    def _write_event(self, event: h11.Event) -> None:
        if self._is_lost or self._parser is None:
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
        """Answer what is no proper request, and close."""
        self._stop_timer()
        self.factory.rejected(failure)
        body = f"{failure}\n".encode()
        reason = h11.Response(
            status_code=failure.status,
            headers=[
                (b"Content-Type", b"text/plain"),
                (b"Content-Length", str(len(body)).encode()),
                (b"Connection", b"close"),
            ],
        )
        writer = h11.Connection(h11.SERVER)
        data = [writer.send(reason), writer.send(h11.Data(data=body))]
        self._parser = None
        self._received.clear()
        self._transport().write(b"".join(piece for piece in data if piece))
        self._transport().loseConnection()

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _wait_idle(self) -> None:
        seconds = self.factory.bounds().idle_time + IDLE_GRACE
        self._set_timer(seconds, lambda: self._transport().loseConnection())

    def _wait_head(self) -> None:
        bounds = self.factory.bounds()
        self._set_timer(bounds.head_time + IDLE_GRACE, self._too_slow)

    def _wait_body(self) -> None:
        bounds = self.factory.bounds()
        self._set_timer(bounds.idle_time, self._too_slow)

    def _too_slow(self) -> None:
        self._reject(RequestTooSlow("the request did not come in time"))

    def _set_timer(self, seconds: float, callback: Callable[[], object]) -> None:
        self._stop_timer()
        self._timer = self.factory.timers.call_later(seconds, callback)


class CallerFactory(Factory):
    """Makes connections and holds what they share."""

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
        Start without connections.

        :param handler: answers requests.
        :param bounds: reads the bounds in force.
        :param request_id: reads a request's id from its headers.
        :param timers: the timer service.
        :param log: where events go.
        :param metrics: where figures go.
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
        """Make the protocol of a new connection."""
        connection = CallerConnection(self)
        connection.is_closing = self.is_closing
        return connection

    def close_idle(self) -> None:
        """Close connections as they fall idle."""
        self.is_closing = True
        for connection in list(self.connections):
            connection.close_if_idle()

    def announce_close(self) -> None:
        """Tell callers with their next answer that the connection closes."""
        self.is_closing = True
        for connection in self.connections:
            connection.is_closing = True

    def caller_left(self, request_id: str) -> None:
        """Count a caller that closed before its answer was whole."""
        self._metrics.count("callers_left")
        self.log.write(LogEvent.CALLER_LEFT, request=request_id)

    def rejected(self, failure: Failure) -> None:
        """Count what was no proper request."""
        self._metrics.count("rejected", failure.code)
        self.log.write(LogEvent.BAD_REQUEST, code=failure.code, detail=failure.detail)
