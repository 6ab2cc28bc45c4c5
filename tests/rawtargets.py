"""Targets in virtual time that write any bytes, whatever was asked of them."""

from enum import Enum, auto
from random import Random
from typing import NamedTuple

from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionDone, ConnectionLost

from pimentolink.authentication import Authenticator
from pimentolink.configurationage import ConfigurationAge
from pimentolink.forwarder import Forwarder
from pimentolink.gatewaysettings import ConnectionSettings
from pimentolink.httptypes import HttpRequest
from pimentolink.metrics import Metrics
from pimentolink.platform.dialect import PlatformDialect
from pimentolink.retrylimiter import RetryLimiter
from pimentolink.routes import (
    Repeatability,
    RoutingTable,
    RoutingTables,
    WeightedService,
)
from pimentolink.sharedbudget import SharedBudgets
from pimentolink.targetclient import TargetClient
from pimentolink.targetestimate import EngineRole
from pimentolink.timers import ManualTimers
from tests.gatewaybuilders import (
    fleet,
    gateway_settings,
    make_event,
    route,
    target,
)
from tests.recordinglog import RecordingLog
from tests.requesthandlers import (
    IgnoringResponder,
    PermissiveWatcher,
    make_generation_handler,
    make_plain_handler,
)
from tests.scriptedengines import EngineTransport, parse_headers
from tests.soak import REFUSALS

STEP = 0.001
# Until all timers of a request and of its targets have expired.
ALL_SECONDS = 4.0
KINDS = ("once", "read", "stream")


class Named(Enum):
    """Which request a response names."""

    OWN = auto()
    PREVIOUS = auto()
    NONE = auto()


class Moment(Enum):
    """When a target writes a response that nobody waits for."""

    WITH_PREVIOUS = auto()
    IDLE = auto()
    AFTER_REQUEST = auto()


class Stray(NamedTuple):
    """
    A response to an earlier request of a connection, or to none.

    :ivar disowns: whether it states that its request was not run.
    """

    moment: Moment
    status: int = 503
    named: Named = Named.NONE
    disowns: bool = True


class Act(NamedTuple):
    """
    What a target does with one request.

    :ivar disowns: whether it states that it did not run the request, which is true.
    :ivar sent: bytes of the response that are written before the connection ends;
        ``None`` if all of them are, and the connection stays open.
    :ivar is_reset: whether the connection ends in a reset.
    :ivar stray: a response that precedes the one to this request, on a connection that
        has carried others.
    """

    status: int = 200
    named: Named = Named.OWN
    disowns: bool = False
    sent: int | None = None
    is_reset: bool = False
    stray: Stray | None = None


class Arrival(NamedTuple):
    """A request whose bytes a target received."""

    request_id: str
    act: Act
    is_new_connection: bool


class _Connection(EngineTransport):
    """
    The gateway's end of a connection to a target.

    :ivar previous_id: id of the last request that came over it; ``None`` for none.
    """

    previous_id = None


class RawTargets:
    """
    Takes the place of the reactor: each connection leads to a target.

    The n-th request gets the n-th act; requests beyond them are answered.
    """

    def __init__(self, timers, acts):
        self.arrivals = []
        self._timers = timers
        self._acts = list(acts)

    def connectTCP(self, host, port, factory, **options):  # noqa: N802
        protocol = factory.buildProtocol(None)
        protocol.makeConnection(_Connection(self, protocol, port))

    def receive(self, data, connection):
        """Answer a request, whose bytes arrive at once."""
        head = HttpRequest(b"", b"", parse_headers(data))
        request_id = head.header(b"pimentolink-request-id").decode()
        is_stream = head.header(b"pimentolink-prompt-prefix") is not None
        act = self._acts.pop(0) if self._acts else Act()
        previous, connection.previous_id = connection.previous_id, request_id
        self.arrivals.append(Arrival(request_id, act, previous is None))
        pieces = []
        if act.stray and act.stray.moment is Moment.AFTER_REQUEST and previous:
            pieces.append(_encode_stray(act.stray, previous))
        response = _encode(act, request_id, is_stream)
        # A target that breaks its response off writes nothing more.
        following = self._next_stray() if act.sent is None else None
        if following and following.moment is Moment.WITH_PREVIOUS:
            response += _encode_stray(following, request_id)
        pieces.append(response[: act.sent])
        if following and following.moment is Moment.IDLE:
            pieces.append(_encode_stray(following, request_id))
        for number, piece in enumerate(pieces, 1):
            self._timers.call_later(
                number * STEP, lambda piece=piece: connection.deliver(piece)
            )
        if act.sent is not None:
            reason = ConnectionLost() if act.is_reset else ConnectionDone()
            self._timers.call_later(
                (len(pieces) + 1) * STEP, lambda: connection.lose(reason)
            )

    def _next_stray(self):
        return self._acts[0].stray if self._acts else None


def _encode(act, request_id, is_stream):
    name = request_id if act.named is Named.OWN else None
    body = make_event(1) if is_stream else request_id.encode()
    return _encode_response(act.status, name, act.disowns, body)


def _encode_stray(stray, previous):
    name = None if stray.named is Named.NONE else previous
    return _encode_response(stray.status, name, stray.disowns, b"")


def _encode_response(status, name, disowns, body):
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    if name is not None:
        lines.append(f"Pimentolink-Request-Id: {name}")
        lines += ["Pimentolink-Response-Signature: s"] if status == 200 else []
    if disowns:
        lines.append("Pimentolink-Not-Executed: 1")
    return "\r\n".join([*lines, "", ""]).encode() + body


class RecordingResponder(IgnoringResponder):
    """Records the status that a caller receives."""

    def __init__(self):
        self.status = None
        self.body = b""
        self.is_aborted = False

    def begin(self, status, headers):
        self.has_begun = True
        self.status = status

    def write(self, data):
        self.body += data

    def answer(self, status, headers, body):
        self.begin(status, headers)
        self.body = body

    def abort(self):
        self.is_aborted = True


class Response(NamedTuple):
    """
    What a caller and the targets know of one request.

    :ivar status: ``None`` if the connection was reset without one.
    """

    request_id: str
    kind: str
    status: int | None
    body: bytes
    arrivals: list[Arrival]
    log: list

    @property
    def runs(self):
        """Arrivals that a target did not disown."""
        return [item for item in self.arrivals if not item.act.disowns]

    @property
    def is_falsely_refused(self):
        """Whether the caller is told that a request has not run which has."""
        return self.status in REFUSALS and bool(self.runs)


class GatewayRun:
    """A gateway with an ample retry budget in front of raw targets."""

    def __init__(self, acts, plain_targets=2, engine_count=2):
        self.timers = ManualTimers()
        self.log = RecordingLog()
        self.targets = RawTargets(self.timers, acts)
        names = [f"plain-{n}" for n in range(plain_targets)]
        gateway_fleet = fleet(
            *(
                target(name, service="plain", address=f"127.0.0.1:{9100 + n}")
                for n, name in enumerate(names)
            ),
            *(
                target(
                    f"engine-{n}", EngineRole.DECODE, address=f"127.0.0.1:{9200 + n}"
                )
                for n in range(engine_count)
            ),
        )
        budgets = SharedBudgets(gateway_settings(), self.timers)
        for service in ("s", "plain"):
            for _ in range(40):
                budgets.earn(service)
        self.forwarder = self._make_forwarder(gateway_fleet, budgets)
        self._last_id = 0

    def _make_forwarder(self, gateway_fleet, budgets):
        dialect = PlatformDialect()
        limiter = RetryLimiter(budgets, self.log, Metrics())
        client = TargetClient(
            self.targets,
            ConnectionSettings(),
            gateway_fleet,
            dialect,
            PermissiveWatcher(),
            self.timers,
            self.log,
            Metrics(),
        )
        tables = RoutingTables()
        tables.offer(RoutingTable(1, _routes(), [], None, None), 0.0)
        return Forwarder(
            tables,
            Authenticator(ConfigurationAge(5.0, self.timers, self.log)),
            dialect,
            make_generation_handler(client, gateway_fleet, limiter, self.timers),
            make_plain_handler(client, gateway_fleet, limiter, self.timers),
            self.timers,
            Random(1),
            self.log,
            Metrics(),
        )

    def send(self, kind="once"):
        """Send a request of a kind, and wait until it has ended."""
        self._last_id += 1
        request_id = f"r{self._last_id}"
        headers = [
            (b"Host", b"h.example"),
            (b"Pimentolink-Request-Id", request_id.encode()),
        ]
        if kind == "stream":
            headers.append((b"Pimentolink-Prompt-Prefix", b"aa:10"))
        responder = RecordingResponder()
        http = HttpRequest(b"POST", f"/{kind}/".encode(), tuple(headers))
        handling = self.forwarder.handle(http, responder)
        Deferred.fromCoroutine(handling)
        for _ in range(30):
            self.timers.advance(STEP)
        if responder.status is None and not responder.is_aborted:
            self.timers.advance(ALL_SECONDS)
        arrivals = [
            item for item in self.targets.arrivals if item.request_id == request_id
        ]
        lines = [
            line for line in self.log.lines if line[1].get("request") == request_id
        ]
        return Response(
            request_id, kind, responder.status, responder.body, arrivals, lines
        )


def _routes():
    once = {"repeatability": Repeatability.ONCE, "max_targets": 1}
    plain = (WeightedService("plain", 1.0),)
    return [
        route(name="once", prefix="/once/", services=plain, **once),
        route(name="read", prefix="/read/", services=plain),
        route(
            name="stream", prefix="/stream/", is_stream=True, is_generation=True, **once
        ),
    ]
