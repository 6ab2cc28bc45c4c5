"""Request handlers of a gateway in virtual time, in front of engines that fail."""

import json
from enum import Enum, auto

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure as TwistedFailure

from pimentolink.dialect import CallerRequest
from pimentolink.errors import (
    ConnectionBroken,
    Failure,
    NotConnected,
    NotListening,
    OtherInstance,
    Quarantined,
    RejectedUnrun,
)
from pimentolink.eventstream import EventSplitter
from pimentolink.forwarder import PendingRequest
from pimentolink.gatewaydelay import GatewayDelay
from pimentolink.gatewaysettings import PlacementSettings
from pimentolink.generation import GenerationHandler
from pimentolink.httptypes import BodyFraming, HttpReply, HttpRequest, ReplyHead
from pimentolink.logs import Log
from pimentolink.metrics import Metrics
from pimentolink.plaincalls import PlainCallHandler
from pimentolink.platform.dialect import PlatformDialect
from pimentolink.prefillscheduler import PrefillScheduler
from pimentolink.retrylimiter import RetryLimiter
from pimentolink.sharedbudget import SharedBudgets
from pimentolink.targetestimate import EngineRole
from pimentolink.timers import ManualTimers, pause, with_timeout
from tests.gatewaybuilders import (
    fleet,
    gateway_settings,
    make_placer,
    make_prefill_queue,
    prompt,
    route,
    target,
)

SIGNED = ((b"pimentolink-response-signature", b"s"),)
CALL_SECONDS = 0.01
EVENT = b"id: 1\ndata: {}\n\n"
PREFILLED = json.dumps({"kvHandle": "h", "tokens": 10, "version": 1}).encode()


class Outcome(Enum):
    """What becomes of a call to a target."""

    ANSWERED = auto()
    REJECTED = auto()
    OTHER_INSTANCE = auto()
    FAILED = auto()
    RESET = auto()
    CUT_OFF = auto()
    GARBLED = auto()
    SILENT = auto()
    REFUSED = auto()
    NOT_CONNECTED = auto()
    HELD_BACK = auto()


NEVER_ARRIVES = {
    Outcome.REFUSED: NotListening,
    Outcome.NOT_CONNECTED: NotConnected,
    Outcome.HELD_BACK: Quarantined,
}
FAILS_ON_ARRIVAL = {
    Outcome.REJECTED: RejectedUnrun,
    Outcome.OTHER_INSTANCE: OtherInstance,
    Outcome.RESET: ConnectionBroken,
}
PREFILL_ACCEPTED = (Outcome.ANSWERED, Outcome.CUT_OFF, Outcome.GARBLED)


class Arrival:
    """A call that reached an engine."""

    def __init__(self, at, is_prefill):
        self.at = at
        self.is_prefill = is_prefill
        self.is_accepted = False


class EngineCall:
    """The response to a call that was not rejected."""

    def __init__(self, engines, estimate, outcome, is_prefill):
        self.estimate = estimate
        self.framing = BodyFraming.CHUNKED
        self.sent_at = engines.timers.now()
        self._timers = engines.timers
        self._outcome = outcome
        status = 500 if outcome is Outcome.FAILED else 200
        self.head = ReplyHead(status, SIGNED)
        self._chunks = [PREFILLED if is_prefill else EVENT]
        if outcome is Outcome.GARBLED:
            self._chunks = [b"{"]

    async def read(self):
        await pause(self._timers, CALL_SECONDS)
        if self._chunks:
            return self._chunks.pop()
        if self._outcome is Outcome.CUT_OFF:
            raise ConnectionBroken("cut off")
        return None

    async def read_events(self):
        data = await self.read()
        return None if data is None else EventSplitter().feed(data)

    async def read_all(self, confirms_end=True):
        body = b""
        while (chunk := await self.read()) is not None:
            body += chunk
        return HttpReply(self.head, body)

    def pause(self, is_paused):
        pass

    def close(self):
        pass


class Engines:
    """
    Replaces the client of targets.

    The n-th call meets the n-th outcome, and may change its target's role; calls beyond
    the sequence are answered.
    """

    def __init__(self, timers, outcomes, fleet):
        self.timers = timers
        self.arrivals_by_request_id = {}
        self.on_arrival = lambda: None
        self._outcomes = iter(outcomes)
        self._fleet = fleet

    async def admit(self, request):
        pass

    async def begin(self, request, estimate, options, is_once=False):
        outcome, changes_role = next(self._outcomes, (Outcome.ANSWERED, False))
        try:
            return await self._call(request, estimate, options, outcome)
        except Failure as failure:
            self.record_failure(request, estimate, failure)
            raise
        finally:
            if changes_role:
                self._change_role(estimate.target)

    async def _call(self, request, estimate, options, outcome):
        if outcome in NEVER_ARRIVES:
            raise NEVER_ARRIVES[outcome]("not sent")
        arrival = Arrival(self.timers.now(), options.is_prefill)
        arrivals = self.arrivals_by_request_id.setdefault(request.request_id, [])
        arrivals.append(arrival)
        self.on_arrival()
        await pause(self.timers, CALL_SECONDS)
        if outcome in FAILS_ON_ARRIVAL:
            raise FAILS_ON_ARRIVAL[outcome]("failed")
        arrival.is_accepted = outcome in PREFILL_ACCEPTED
        if outcome is Outcome.SILENT:
            await Deferred()
        return EngineCall(self, estimate, outcome, options.is_prefill)

    def _change_role(self, changed):
        roles = {EngineRole.PREFILL, EngineRole.DECODE} - {changed.role}
        if changed.role is not EngineRole.NONE:
            self._fleet.put(changed._replace(role=roles.pop()))

    async def send(self, request, estimate, message, is_once=False):
        return EngineCall(self, estimate, Outcome.ANSWERED, is_prefill=False)

    def record_failure(self, request, estimate, failure, sent_at=None, call=None):
        estimate.outcome(is_good=False)
        if isinstance(failure, NotListening):
            estimate.record_refused_connection(self.timers.now())

    def failed(self, request, call, status):
        call.estimate.outcome(is_good=False)

    def ended(self, request):
        pass

    def succeeded(self, request, estimate):
        estimate.outcome(is_good=True)


class IgnoringResponder:
    """A caller that takes everything."""

    has_begun = False

    def begin(self, status, headers):
        self.has_begun = True

    def write(self, data):
        pass

    def finish(self):
        pass

    def answer(self, status, headers, body):
        pass

    def abort(self):
        pass

    def on_pause(self, callback):
        pass


class IgnoringPublisher:
    def broadcast(self, message):
        pass


class PermissiveWatcher:
    """
    Admits every request, and counts how exchanges end.

    :ivar opened_at: when the connections of those began to be opened that ended before
        the response was complete.
    """

    def __init__(self):
        self.opened_at = []
        self.success_count = 0

    @property
    def cut_off_count(self):
        return len(self.opened_at)

    async def admit(self, request):
        pass

    def cut_off(self, request, estimate, opened_at, began_at):
        self.opened_at.append(opened_at)

    def connection_lost(self, estimate):
        pass

    def request_succeeded(self, request, estimate):
        self.success_count += 1

    def request_ended(self, request):
        pass


def make_generation_handler(target_client, gateway_fleet, retry_limiter, timers):
    scheduler = PrefillScheduler(
        make_prefill_queue(gateway_fleet),
        IgnoringPublisher(),
        timers,
        Log(),
        "gateway",
        GatewayDelay(),
    )
    return GenerationHandler(
        target_client,
        PlatformDialect(),
        scheduler,
        make_placer(gateway_fleet, PlacementSettings()),
        retry_limiter,
        timers,
        Log(),
    )


def make_plain_handler(target_client, gateway_fleet, retry_limiter, timers):
    return PlainCallHandler(
        target_client,
        PlatformDialect(),
        gateway_fleet,
        retry_limiter,
        PlacementSettings(),
        "north",
        timers,
    )


def make_request(name, arrived_at, is_generation=True):
    parts = prompt(name).parts if is_generation else ()
    return CallerRequest(
        request_id=name,
        http=HttpRequest(b"POST", b"/p/", ((b"Host", b"h.example"),)),
        host="h.example",
        path="/p/",
        arrived_at=arrived_at,
        caller_timeout=None,
        parts=parts,
        prompt_tokens=sum(part.tokens for part in parts),
    )


def advance_until_ended(timers, serving, step):
    """Let time pass until a request has ended; raise what is no failure of it."""
    while not serving.called:
        timers.advance(step)
    if isinstance(serving.result, TwistedFailure):
        error, serving.result = serving.result, None
        error.raiseException()


class Gateway:
    """The request handlers of a gateway in front of engines, in virtual time."""

    def __init__(self, outcomes=(), budgets=None, engines_per_role=2):
        self.timers = ManualTimers()
        self.calls_by_request_id = {}
        self.budgets = budgets or SharedBudgets(gateway_settings(), self.timers)
        self.fleet = fleet(
            *(
                target(f"prefill-{n}", EngineRole.PREFILL)
                for n in range(engines_per_role)
            ),
            *(
                target(f"decode-{n}", EngineRole.DECODE)
                for n in range(engines_per_role)
            ),
            *(target(f"plain-{n}", service="plain") for n in range(4)),
        )
        self.engines = Engines(self.timers, outcomes, self.fleet)
        limiter = RetryLimiter(self.budgets, Log(), Metrics())
        self._generations = make_generation_handler(
            self.engines, self.fleet, limiter, self.timers
        )
        self._calls = make_plain_handler(self.engines, self.fleet, limiter, self.timers)

    def start(self, name, is_generation=True):
        """Begin to serve a request; the Deferred fires when it ends."""
        request = make_request(name, self.timers.now(), is_generation)
        work = PendingRequest(
            request,
            route(is_stream=is_generation, is_resumable=True, max_targets=3),
            "s" if is_generation else "plain",
            None,
            IgnoringResponder(),
        )
        self.calls_by_request_id[name] = work.calls
        handler = self._generations if is_generation else self._calls
        serving = with_timeout(self.timers, 2.0, handler.serve(work))
        ended = Deferred.fromCoroutine(serving)
        ended.addErrback(lambda failure: failure.trap(Failure, TimeoutError))
        return ended

    def serve(self, name, is_generation=True):
        """Serve a request until it ends, or until its timeout."""
        self.advance_until(self.start(name, is_generation))

    def advance_until(self, serving):
        """Let time pass until a request has ended; raise what is no failure of it."""
        advance_until_ended(self.timers, serving, CALL_SECONDS)
