"""Engines in virtual time that write a scripted response on each connection."""

from typing import NamedTuple

from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.error import (
    ConnectionDone,
    ConnectionLost,
    ConnectionRefusedError,
    TCPTimedOutError,
)
from twisted.python.failure import Failure as TwistedFailure

from pimentolink.errors import Failure
from pimentolink.forwarder import PendingRequest
from pimentolink.gatewaysettings import ConnectionSettings
from pimentolink.httptypes import BodyFraming, HttpRequest
from pimentolink.logs import Log
from pimentolink.metrics import Metrics
from pimentolink.platform.dialect import PlatformDialect
from pimentolink.retrylimiter import RetryLimiter
from pimentolink.routes import Repeatability
from pimentolink.sharedbudget import SharedBudgets
from pimentolink.targetclient import TargetClient
from pimentolink.timers import ManualTimers, with_timeout
from tests.gatewaybuilders import (
    SocketTransport,
    engines,
    fleet,
    gateway_settings,
    make_event,
    route,
    split_at,
)
from tests.requesthandlers import (
    PREFILLED,
    IgnoringResponder,
    PermissiveWatcher,
    advance_until_ended,
    make_generation_handler,
    make_request,
)

STEP = 0.001
EVENT_COUNT = 4
REQUEST_ID = "r"
HEAD = (
    f"HTTP/1.1 200 OK\r\nPimentolink-Request-Id: {REQUEST_ID}\r\n"
    "Pimentolink-Response-Signature: s\r\nContent-Type: text/event-stream\r\n"
).encode()


class Response(NamedTuple):
    """
    The response of an engine to one call.

    :ivar sent: bytes of the body that are sent; ``None`` for all of them.
    :ivar is_framed_whole: whether the framing declares what is sent as the whole body.
    :ivar is_reset: whether the connection ends in a reset.
    :ivar cuts: offsets at which what is sent is split into reads.
    :ivar line_end: ends the lines of events.
    :ivar is_crash: whether the engine ends with its connection.
    """

    framing: BodyFraming
    sent: int | None = None
    is_framed_whole: bool = False
    is_reset: bool = False
    cuts: tuple[int, ...] = ()
    line_end: bytes = b"\n"
    is_crash: bool = False


class Call(NamedTuple):
    """
    A call that an engine received.

    :ivar last_event: id of the last event that the caller has; 0 for none.
    """

    last_event: int
    response: Response
    events: list[bytes]

    @property
    def body(self) -> bytes:
        """The part of the stream that the engine sends."""
        return b"".join(self.events)[: self.response.sent]

    @property
    def complete_events(self) -> list[bytes]:
        """The events that the engine sends completely."""
        found, offset = [], 0
        for event in self.events:
            offset += len(event)
            if offset <= len(self.body):
                found.append(event)
        return found

    @property
    def ends_within_event(self) -> bool:
        """Whether the last event is sent in part."""
        return b"".join(self.complete_events) != self.body

    @property
    def is_framed_to_its_end(self) -> bool:
        """Whether a length or the last chunk declares the end of what is sent."""
        return self.response.is_framed_whole or self.body == b"".join(self.events)

    @property
    def looks_whole(self) -> bool:
        """Whether nothing shows that a part of the stream is missing."""
        if self.ends_within_event:
            return False
        if self.response.framing is BodyFraming.CLOSE:
            is_broken = self.response.is_reset or self.response.is_crash
            return bool(self.complete_events) and not is_broken
        return self.is_framed_to_its_end


def encode(call: Call) -> bytes:
    """Encode what an engine sends, with the head of its response."""
    body, framing = call.body, call.response.framing
    if framing is BodyFraming.LENGTH:
        declared = body if call.is_framed_to_its_end else b"".join(call.events)
        return HEAD + b"Content-Length: %d\r\n\r\n%s" % (len(declared), body)
    if framing is BodyFraming.CLOSE:
        return HEAD + b"\r\n" + body
    head = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
    chunk = b"%x\r\n%s\r\n" % (len(body), body) if body else b""
    return head + chunk + (b"0\r\n\r\n" if call.is_framed_to_its_end else b"")


class EngineTransport(SocketTransport):
    """The gateway's end of a connection to an engine."""

    def __init__(self, engines, protocol, port):
        super().__init__()
        self.port = port
        self._engines = engines
        self._protocol = protocol
        self._is_lost = False

    def write(self, data):
        self._engines.receive(data, self)

    def deliver(self, data):
        if not self._is_lost:
            self._protocol.dataReceived(data)

    def lose(self, reason):
        if not self._is_lost:
            self._is_lost = True
            self._protocol.connectionLost(TwistedFailure(reason))

    def abortConnection(self):  # noqa: N802
        self.lose(ConnectionLost())


class _SilentConnector:
    """An attempt to connect that gets no reply."""

    def getDestination(self):  # noqa: N802
        return None

    def stopConnecting(self):  # noqa: N802
        pass


class ScriptedEngines:
    """
    Takes the place of the reactor: each connection leads to an engine.

    The n-th call gets the n-th response; calls beyond them get a whole stream. The n-th
    prefill gets the n-th reply, which ends with its connection; those beyond them
    succeed. The attempt to connect whose number is ``silent_connect`` gets no reply.
    """

    def __init__(self, timers, responses, prefill_replies, silent_connect):
        self.connect_count = 0
        self.calls = []
        self.prefill_count = 0
        self._timers = timers
        self._crashed_ports = set()
        self._responses = iter(responses)
        self._prefill_replies = iter(prefill_replies)
        self._silent_connect = silent_connect

    def connectTCP(self, host, port, factory, **options):  # noqa: N802
        self.connect_count += 1
        if self.connect_count == self._silent_connect:
            connector = _SilentConnector()
            factory.startedConnecting(connector)
            failure = TwistedFailure(TCPTimedOutError())
            self._timers.call_later(
                options["timeout"],
                lambda: factory.clientConnectionFailed(connector, failure),
            )
            return
        if port in self._crashed_ports:
            factory.clientConnectionFailed(
                None, TwistedFailure(ConnectionRefusedError())
            )
            return
        protocol = factory.buildProtocol(None)
        protocol.makeConnection(EngineTransport(self, protocol, port))

    def receive(self, data, transport):
        """Answer a request, whose bytes arrive at once."""
        head = HttpRequest(b"", b"", parse_headers(data))
        if head.header(b"pimentolink-stage") == b"prefill":
            self.prefill_count += 1
            reply = next(self._prefill_replies, PREFILLED)
            self._send(transport, [HEAD + b"\r\n" + reply], ConnectionDone())
            return
        last_event = int(head.header(b"last-event-id") or 0)
        response = next(self._responses, Response(BodyFraming.CHUNKED))
        events = [
            make_event(event_id, response.line_end)
            for event_id in range(last_event + 1, EVENT_COUNT + 1)
        ]
        call = Call(last_event, response, events)
        self.calls.append(call)
        pieces = split_at(encode(call), response.cuts)
        reason = ConnectionLost() if response.is_reset else ConnectionDone()
        self._send(transport, pieces, reason, response.is_crash)

    def _send(self, transport, pieces, reason, is_crash=False):
        for number, piece in enumerate(pieces, 1):
            self._timers.call_later(
                number * STEP, lambda piece=piece: transport.deliver(piece)
            )

        def end():
            if is_crash:
                self._crashed_ports.add(transport.port)
            transport.lose(reason)

        self._timers.call_later((len(pieces) + 1) * STEP, end)


def parse_headers(data):
    """Parse the headers of a request."""
    lines = data.partition(b"\r\n\r\n")[0].split(b"\r\n")[1:]
    pairs = (line.partition(b":") for line in lines)
    return tuple((name, value.strip()) for name, _, value in pairs)


class RecordingResponder(IgnoringResponder):
    """Records the response that a caller receives."""

    def __init__(self):
        self.body = b""
        self.is_complete = False

    def write(self, data):
        assert not self.is_complete
        self.body += data

    def finish(self):
        assert not self.is_complete
        self.is_complete = True

    def answer(self, status, headers, body):
        raise AssertionError("a stream has no response of a known length")


class StreamRun:
    """
    One stream, relayed by the handler of a gateway from scripted engines.

    :ivar calls: the calls that engines received, in order, without prefills.
    :ivar failure: why the response is incomplete; ``None`` if it is complete.
    """

    def __init__(
        self,
        responses,
        is_resumable=True,
        prefill_replies=None,
        silent_connect=None,
        leaves_after=None,
    ):
        """
        Relay a stream of ``EVENT_COUNT`` events.

        :param prefill_replies: bodies of replies to prefills; ``None`` if the engines
            that run the decode do them.
        :param silent_connect: number of the attempt to connect that gets no reply.
        :param leaves_after: seconds after which the caller leaves; ``None`` if it
            stays.
        """
        timers = ManualTimers()
        scripted = ScriptedEngines(
            timers, responses, prefill_replies or (), silent_connect
        )
        self.engines = scripted
        self.calls = scripted.calls
        self.responder = RecordingResponder()
        self.watcher = PermissiveWatcher()
        self.failure = None
        targets = engines(0 if prefill_replies is None else 2, 3)
        gateway_fleet = fleet(
            *(
                target._replace(address=f"127.0.0.1:{9100 + number}")
                for number, target in enumerate(targets)
            )
        )
        budgets = SharedBudgets(gateway_settings(), timers)
        for _ in range(40):
            budgets.earn("s")
        client = TargetClient(
            scripted,
            ConnectionSettings(),
            gateway_fleet,
            PlatformDialect(),
            self.watcher,
            timers,
            Log(),
            Metrics(),
        )
        limiter = RetryLimiter(budgets, Log(), Metrics())
        handler = make_generation_handler(client, gateway_fleet, limiter, timers)
        work = self._make_work(is_resumable)
        serving = Deferred.fromCoroutine(with_timeout(timers, 2.0, handler.serve(work)))
        serving.addErrback(self._failed)
        if leaves_after is not None:
            timers.call_later(leaves_after, serving.cancel)
        advance_until_ended(timers, serving, STEP)

    def _make_work(self, is_resumable):
        repeatability = Repeatability.IDEMPOTENT if is_resumable else Repeatability.ONCE
        stream_route = route(
            is_stream=True,
            is_resumable=is_resumable,
            repeatability=repeatability,
            max_targets=3 if is_resumable else 1,
        )
        request = make_request(REQUEST_ID, arrived_at=0.0)
        return PendingRequest(request, stream_route, "s", None, self.responder)

    def _failed(self, failure):
        failure.trap(Failure, CancelledError)
        self.failure = failure.value
