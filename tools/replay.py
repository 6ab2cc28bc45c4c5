"""
Simulates load patterns in virtual time with the real scheduling code of the gateways.

The engines, the links and the network between gateways are modelled.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Awaitable, Callable
from functools import partial
from pathlib import Path
from random import Random
from typing import NamedTuple

import msgspec
from twisted.internet.defer import Deferred

from pimentolink.crashreports import CrashReports
from pimentolink.dialect import CallerRequest, PromptPart
from pimentolink.egressqueue import EgressQueue
from pimentolink.errors import (
    DEFAULT_RETRY_AFTER,
    Failure,
    NotListening,
    Quarantined,
)
from pimentolink.fleet import Fleet
from pimentolink.gatewaydelay import GatewayDelay
from pimentolink.gatewaysettings import EjectionSettings, PlacementSettings
from pimentolink.httptypes import HttpRequest
from pimentolink.logs import Log, LogEvent
from pimentolink.peermessages import (
    InFlight,
    LoadMessage,
    Message,
    PrefillEnded,
    PrefillStarted,
    SuspectMessage,
)
from pimentolink.peerupdates import PeerUpdates
from pimentolink.placement import Placement, Placer, RequestValueModel, WaitingPrompt
from pimentolink.prefillqueue import PrefillQueue
from pimentolink.prefillscheduler import PrefillScheduler
from pimentolink.routes import EngineModel
from pimentolink.suspects import SuspectTracker
from pimentolink.targetestimate import EngineRole, Target, TargetEstimate
from pimentolink.timers import ManualTimers, Repeater, pause, with_timeout
from pimentolink.traits import traits_of
from tools.enginemodel import EngineFigures, ModelEngine

LOADS = Path(__file__).parent.parent / "tests" / "loads"
SERVICE = "model"
# Seconds after a crash until the gateways remove the engine from their fleet: three of
# its heartbeats.
TARGET_EXPIRY = 3.6
# Seconds from the start of a fatal answer until its engine crashes.
CRASH_DELAY = 0.04
# Network delay in seconds of a datagram between two gateways.
DATAGRAM_DELAY = 0.0015
# Seconds between two broadcasts of the requests in flight.
IN_FLIGHT_INTERVAL = 0.2
# Seconds that a replay continues after requests have stopped arriving.
DRAIN_TIME = 8.0
# A value for placement settings that dispatches prompts at once and refuses none.
UNBOUNDED = 1e6


class Kind(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """
    One kind of request.

    :ivar rate: requests a second, outside of bursts.
    :ivar shared: tokens of the prompt part that all requests of one topic share.
    :ivar topics: number of topics, each with its own shared part.
    :ivar own: mean tokens of the prompt part that is unique to a request.
    :ivar output: tokens of the answer.
    :ivar latency_target: seconds until the first token is due.
    :ivar patience: seconds after which the caller gives up.
    :ivar worth: value of an answer on time, per unit of request size.
    :ivar late: value of a late answer, per unit of request size.
    :ivar token_bytes: bytes of a prompt per token.
    :ivar alike: number of distinct requests; 0 if all differ.
    :ivar unique: tokens of a further part, before the last one, that no other request
        has; 0 if there is none.
    """

    rate: float
    shared: int
    topics: int
    own: int
    output: int
    latency_target: float
    patience: float
    worth: float
    late: float
    token_bytes: float = 0.0
    alike: int = 0
    unique: int = 0


class Burst(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """
    A period with a higher rate of one kind of request.

    :ivar begins: seconds from the start.
    :ivar ends: seconds from the start.
    :ivar times: factor by which the rate is multiplied.
    """

    kind: str
    begins: float
    ends: float
    times: float


class Fault(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """
    A crash or a slowdown of several engines.

    :ivar at: seconds from the start.
    :ivar engines: number of affected engines.
    :ivar speed: remaining share of their speed; 0 is a crash.
    :ivar first: index of the first affected engine.
    :ivar returns: seconds after a crash until they restart; 0 if they do not.
    """

    at: float
    engines: int
    speed: float
    first: int = 0
    returns: float = 0.0


class Fatal(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """
    Requests that crash each engine that starts to decode their answer.

    :ivar kind: kind of request that they resemble.
    :ivar requests: number of distinct fatal requests.
    :ivar begins: seconds from the start.
    :ivar ends: seconds from the start.
    :ivar every: mean seconds between two attempts of the same request.
    :ivar returns: seconds after its crash until an engine restarts.
    :ivar part: id of a part that crashes engines. Each attempt then is a request of its
        own, below a first part that harmless requests have as well.
    :ivar unique: tokens of a part, before the last one, that no other attempt has; 0 if
        there is none.
    """

    kind: str
    requests: int
    begins: float
    ends: float
    every: float
    returns: float
    part: int = 0
    unique: int = 0


class Crowd(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """
    A time in which all new connections go to one gateway.

    :ivar begins: seconds from the start.
    :ivar ends: seconds from the start.
    """

    begins: float
    ends: float


class Load(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """
    A load pattern over a fleet.

    :ivar why: behaviour that the pattern is meant to show.
    :ivar gateways: number of gateways.
    :ivar readers: number of prefill engines.
    :ivar writers: number of decode engines.
    :ivar lasts: seconds during which requests arrive.
    :ivar resumes: whether a gateway retries an interrupted request once.
    :ivar links: megabits a second of the gateways' links, assigned round robin; 0 is
        unlimited.
    :ivar news_lost: share of the messages between gateways that are lost.
    :ivar crowds: times in which the first attempts of all callers go to one gateway.
    """

    why: str
    gateways: int
    readers: int
    writers: int
    lasts: float
    engine: EngineFigures
    kinds: dict[str, Kind]
    bursts: list[Burst] = []
    faults: list[Fault] = []
    fatal: list[Fatal] = []
    resumes: bool = False
    links: tuple[float, ...] = (0.0,)
    news_lost: float = 0.0
    crowds: list[Crowd] = []

    def is_crowded(self, at: float) -> bool:
        """Tell whether all new connections go to one gateway."""
        return any(crowd.begins <= at < crowd.ends for crowd in self.crowds)


class Request(NamedTuple):
    """
    One request of a caller.

    :ivar number: identifies the request; negative for a fatal request.
    :ivar at: arrival in seconds from the start.
    :ivar parts: the parts of its prompt.
    :ivar size: value of the request under the request value model.
    :ivar fingerprint: equal for requests with the same content.
    :ivar returns: seconds until an engine that it crashes restarts; ``None`` for a
        request that crashes none.
    """

    kind: str
    number: int
    at: float
    parts: tuple[PromptPart, ...]
    size: float
    fingerprint: str
    returns: float | None = None


class CausedCrash(NamedTuple):
    """
    A crash of an engine that a request caused.

    :ivar at: seconds from the start.
    :ivar parts: of the request's prompt.
    """

    at: float
    parts: tuple[PromptPart, ...]


class Figures(NamedTuple):
    """
    The results of a replay.

    :ivar worth: value of the answers as a share of the greatest possible value.
    :ivar worth_by_kind: the same, by kind of request.
    :ivar large_served: share of the largest tenth of requests that was answered.
    :ivar refused: share of requests that were refused in the end.
    :ivar failed: share of requests that went unanswered for another reason.
    :ivar reread: prompt tokens prefilled beyond what a single engine would need.
    :ivar crashes: engine crashes caused by requests, in order.
    :ivar mistaken: share of requests that crash no engine but were quarantined at
        least once.
    :ivar at_once: share of the requests that were answered at the first attempt, by
        the second in which they came.
    """

    worth: float
    worth_by_kind: dict[str, float]
    large_served: float
    refused: float
    failed: float
    reread: int
    crashes: list[CausedCrash]
    mistaken: float
    at_once: dict[int, float]

    @property
    def crashed(self) -> int:
        """Return the number of engine crashes caused by requests."""
        return len(self.crashes)


def generate_requests(load: Load, seed: int) -> list[Request]:
    """Generate the ordinary requests of a load, ordered by arrival."""
    random = Random(seed)
    requests: list[Request] = []
    for kind_number, (name, kind) in enumerate(load.kinds.items()):
        scale = RequestValueModel()
        at = random.expovariate(kind.rate)
        while at < load.lasts:
            topic = random.randrange(kind.topics)
            own = max(1, int(kind.own * random.lognormvariate(-0.125, 0.5)))
            number = len(requests) + 1
            parts = (
                PromptPart(_topic_part_id(load, name, topic), kind.shared),
                *_unique_part(40_000_000 + number, kind.unique),
                PromptPart(10_000_000 + number, own),
            )
            size = scale.value(name, kind.shared + own, kind.output)
            content = random.randrange(kind.alike) if kind.alike else number
            fingerprint = f"{kind_number:016x}{content:016x}"
            requests.append(Request(name, number, at, parts, size, fingerprint))
            at += random.expovariate(kind.rate * _rate_multiplier(load, name, at))
    return sorted(requests, key=lambda request: request.at)


def generate_fatal_requests(load: Load, seed: int) -> list[Request]:
    """Generate all attempts of the fatal requests of a load."""
    random = Random(seed)
    requests = []
    for pattern, fatal in enumerate(load.fatal):
        kind = load.kinds[fatal.kind]
        for index in range(fatal.requests):
            number = -1 - 1000 * pattern - index
            parts: tuple[PromptPart, ...] = (PromptPart(20_000_000 - number, kind.own),)
            fingerprint = f"{'f' * 16}{-number:016x}"
            at = fatal.begins + random.uniform(0.0, fatal.every)
            while at < fatal.ends:
                if fatal.part:
                    number -= 1
                    fingerprint = f"{'f' * 16}{-number:016x}"
                    parts = (
                        PromptPart(_topic_part_id(load, fatal.kind, 0), kind.shared),
                        PromptPart(fatal.part, kind.own // 2),
                        *_unique_part(50_000_000 - number, fatal.unique),
                        PromptPart(20_000_000 - number, kind.own),
                    )
                requests.append(
                    Request(
                        fatal.kind,
                        number,
                        at,
                        parts,
                        1.0,
                        fingerprint,
                        fatal.returns,
                    )
                )
                at += random.uniform(0.5, 1.5) * fatal.every
    return requests


def _unique_part(part_id: int, tokens: int) -> tuple[PromptPart, ...]:
    return (PromptPart(part_id, tokens),) if tokens else ()


def _topic_part_id(load: Load, kind: str, topic: int) -> int:
    """Return the id of the first part of the prompts on a topic."""
    return (list(load.kinds).index(kind) + 1) * 1_000_000 + topic


def _rate_multiplier(load: Load, kind: str, at: float) -> float:
    multipliers = [
        burst.times
        for burst in load.bursts
        if burst.kind == kind and burst.begins <= at < burst.ends
    ]
    return max(multipliers, default=1.0)


class QuietLog(Log):
    """A log that discards all events."""

    def write(self, event: LogEvent, **fields: object) -> None:
        """Discard the event."""


MessageHandler = Callable[[str, Message], None]


class PeerNetwork:
    """Models the network that carries messages between gateways."""

    def __init__(self, timers: ManualTimers, is_up: bool, loss_rate: float) -> None:
        """
        Create a network without gateways.

        :param is_up: whether messages are delivered at all.
        :param loss_rate: share of the messages that are lost.
        """
        self._loss_rate = loss_rate
        self._random = Random(0)
        self._timers = timers
        self._is_up = is_up
        self.handlers_by_gateway: dict[str, MessageHandler] = {}

    def broadcast(self, sender: str, message: Message) -> None:
        """Deliver a message to all other gateways, except where it is lost."""
        if not self._is_up:
            return
        for name, handler in self.handlers_by_gateway.items():
            if name != sender and self._random.random() >= self._loss_rate:
                deliver = partial(handler, sender, message)
                self._timers.call_later(DATAGRAM_DELAY, deliver)


class Policy(NamedTuple):
    """
    How a gateway schedules requests.

    :ivar placer: class that chooses engines.
    :ivar peers_connected: whether gateways receive each other's messages.
    :ivar knows_egress_delay: whether placement accounts for the time that a prompt
        takes to leave over the gateway's link.
    :ivar shares_open_prefills: whether gateways broadcast their unfinished prefills.
    :ivar suspects: whether requests suspected of crashing engines are held back.
    """

    settings: PlacementSettings
    placer: type[Placer] = Placer
    peers_connected: bool = True
    knows_egress_delay: bool = True
    shares_open_prefills: bool = True
    suspects: bool = True


class _BaselinePlacer(Placer):
    """Dispatches each prompt without regard to cached parts or backlog."""

    def choose_placement(self, prompt: WaitingPrompt, now: float) -> Placement | None:
        engines = self._fleet.usable(prompt.service, now)
        if not engines:
            return None
        engine = self.pick(engines)
        is_prefill_engine = engine.target.role is EngineRole.PREFILL
        return Placement(
            estimate=engine,
            tokens=prompt.prompt_tokens,
            cached_tokens=0,
            done_at=now,
            copy_from="",
            copied_tokens=0,
            is_prefill_only=is_prefill_engine,
            engine_done_at=now,
            transmission_delay=0.0,
            handover_time=0.0,
        )

    def pick(self, engines: list[TargetEstimate]) -> TargetEstimate:
        """Choose one of the usable engines."""
        raise NotImplementedError


class RoundRobin(_BaselinePlacer):
    """Baseline that cycles through the engines."""

    _turn = 0

    def pick(self, engines: list[TargetEstimate]) -> TargetEstimate:
        """Choose the next engine."""
        self._turn += 1
        return engines[self._turn % len(engines)]


class LeastInFlight(_BaselinePlacer):
    """Baseline that prefers the engine with the fewest requests in flight."""

    def pick(self, engines: list[TargetEstimate]) -> TargetEstimate:
        """Choose the least loaded engine."""
        return min(
            engines, key=lambda engine: engine.load() + len(engine.prefills_by_ticket)
        )


_IMMEDIATE_DISPATCH = PlacementSettings(depth=UNBOUNDED, late_factor=UNBOUNDED)

POLICIES = {
    "current": Policy(PlacementSettings()),
    "round robin": Policy(_IMMEDIATE_DISPATCH, RoundRobin),
    "least in flight": Policy(_IMMEDIATE_DISPATCH, LeastInFlight),
    "nothing waits": Policy(PlacementSettings(depth=UNBOUNDED)),
    "nothing refused": Policy(PlacementSettings(late_factor=UNBOUNDED)),
    "no price on engine time": Policy(PlacementSettings(duplicate_cost=0.0)),
    "gateways tell nothing": Policy(PlacementSettings(), peers_connected=False),
    "open readings untold": Policy(PlacementSettings(), shares_open_prefills=False),
    "links unknown": Policy(PlacementSettings(), knows_egress_delay=False),
    "nothing suspected": Policy(PlacementSettings(), suspects=False),
}


class ModelGateway:
    """The scheduling code of one gateway in front of modelled engines."""

    def __init__(
        self, name: str, policy: Policy, replay: Replay, megabits_per_second: float
    ) -> None:
        """
        Set up the gateway and connect it to the network.

        :param megabits_per_second: bandwidth of its link; 0 is unlimited.
        """
        self._name = name
        self._replay = replay
        self._shares_open_prefills = policy.shares_open_prefills
        timers = replay.timers
        self.fleet = Fleet(policy.settings, EjectionSettings(), Random(name))
        figures = replay.load.engine
        model = EngineModel(figures.cache_tokens, 3.0, figures.copy_rate)
        self.fleet.set_models({SERVICE: model})
        for engine in replay.engines_by_name.values():
            self.fleet.put(_make_target(engine))
        self._egress_queue = EgressQueue(megabits_per_second, timers)
        gateway_delay = GatewayDelay()
        placement_egress_queue = (
            self._egress_queue
            if policy.knows_egress_delay
            else EgressQueue(0.0, timers)
        )
        self.placer = policy.placer(
            policy.settings, self.fleet, "here", placement_egress_queue, gateway_delay
        )
        self._queue = queue = PrefillQueue(policy.settings, self.placer)
        self.prefill_scheduler = PrefillScheduler(
            queue, self, timers, QuietLog(), name, gateway_delay
        )
        self._peer_updates = PeerUpdates(self.fleet)
        self._suspects = SuspectTracker(Random(name))
        self.crashes = CrashReports(self._suspects, self, timers, QuietLog())
        self._holds_back_suspects = policy.suspects
        replay.peer_network.handlers_by_gateway[name] = self._receive
        Repeater(timers, IN_FLIGHT_INTERVAL, self._broadcast_in_flight)

    def _receive(self, sender: str, message: Message) -> None:
        if isinstance(message, SuspectMessage):
            self.crashes.receive(message, "peer")
            return
        if not isinstance(message, LoadMessage):
            return
        self._peer_updates.apply(sender, message, self._replay.timers.now())
        if isinstance(message, PrefillStarted | PrefillEnded):
            self.prefill_scheduler.dispatch_waiting()

    async def _admit(self, request: Request, request_id: str) -> None:
        if self._holds_back_suspects:
            caller_request = _make_caller_request(
                request, request_id, self._replay.timers.now()
            )
            await self.crashes.admit(caller_request)

    def _report_interruption(
        self,
        request: Request,
        request_id: str,
        estimate: TargetEstimate,
        began_at: float,
    ) -> None:
        """Report an interrupted request, and a crash if its engine has crashed."""
        caller_request = _make_caller_request(
            request, request_id, self._replay.timers.now()
        )
        self.crashes.cut_off(caller_request, estimate, began_at=began_at)
        engine = self._replay.engine(estimate)
        if engine.is_lost:
            self.crashes.target_ended(estimate.target, "nothing listens")

    def broadcast(self, message: Message) -> None:
        """Send a message to all other gateways."""
        self._replay.peer_network.broadcast(self._name, message)

    def _broadcast_in_flight(self) -> None:
        counts = {
            name: estimate.in_flight
            for name, estimate in self.fleet.targets_by_id.items()
            if estimate.in_flight
        }
        waiting = self._queue.queued_work_by_service()
        self.broadcast(InFlight(self._name, counts, True, waiting))
        if self._shares_open_prefills:
            self.broadcast(self.prefill_scheduler.open_prefills())

    async def serve(self, request: Request, kind: Kind, due_at: float) -> float:
        """
        Serve a request, with a second attempt if the load allows it.

        :returns: virtual time of the first token, in seconds.
        :raises Failure: if the request was refused or its engine crashed.
        """
        request_id = f"{request.number}-{self._replay.timers.now()}"
        try:
            return await self._serve_once(request, request_id, kind, due_at)
        except Failure as failure:
            if not failure.ran or not self._replay.load.resumes:
                raise
            return await self._serve_once(request, request_id, kind, due_at)
        finally:
            now = self._replay.timers.now()
            self.crashes.request_ended(_make_caller_request(request, request_id, now))

    async def _serve_once(
        self, request: Request, request_id: str, kind: Kind, due_at: float
    ) -> float:
        now = self._replay.timers.now()
        await self._admit(request, request_id)
        prompt = WaitingPrompt(
            request_id=request_id,
            service=SERVICE,
            parts=request.parts,
            prompt_tokens=sum(part.tokens for part in request.parts),
            size=request.size,
            arrived_at=now,
            latency_target=kind.latency_target,
            latency_deadline=request.at + kind.latency_target,
            due_at=due_at,
            body_bytes=self._body_bytes(request, kind),
        )
        ticket = await self.prefill_scheduler.wait(prompt)
        placement = ticket.placement
        is_good = False
        try:
            prefill_engine = self._replay.engine(placement.estimate)
            source = self._replay.engine_at(placement.copy_from)
            await self._send(prompt.body_bytes)
            prefill = prefill_engine.read(request.parts, source)
            await self._run_on_engine(request, request_id, placement.estimate, prefill)
            is_good = True
        finally:
            self.prefill_scheduler.end(ticket, is_good)
        decode_engine = placement.estimate
        if placement.is_prefill_only:
            await self._send(prompt.body_bytes)
            decode_engine = await self._hand_over(request, request_id, decode_engine)
        await self._admit(request, request_id)
        engine = self._replay.engine(decode_engine)
        if request.returns is not None:
            self._replay.schedule_crash(engine, request)
        await self._run_on_engine(request, request_id, decode_engine, engine.write(1))
        first_token_at = self._replay.timers.now()
        await self._run_on_engine(
            request, request_id, decode_engine, engine.write(kind.output - 1)
        )
        self.crashes.request_succeeded(
            _make_caller_request(request, request_id, first_token_at), decode_engine
        )
        return first_token_at

    def _body_bytes(self, request: Request, kind: Kind) -> int:
        tokens = sum(part.tokens for part in request.parts)
        return int(tokens * kind.token_bytes)

    async def _send(self, size: int) -> None:
        """Wait while a prompt leaves over this gateway's link."""
        delay = self._egress_queue.delay(size)
        self._egress_queue.record_sent(size)
        if delay:
            await pause(self._replay.timers, delay)

    async def _hand_over(
        self, request: Request, request_id: str, prefill_engine: TargetEstimate
    ) -> TargetEstimate:
        near = prefill_engine.target.data_centre
        while True:
            now = self._replay.timers.now()
            decode_engine = self.placer.choose_decode_engine(SERVICE, near, now)
            if decode_engine is None:
                raise Failure("no engine writes")
            fetching = self._replay.engine(decode_engine).fetch(request.parts)
            try:
                await self._run_on_engine(request, request_id, decode_engine, fetching)
            except NotListening:
                # The KV cache is still there for the next engine.
                continue
            decode_engine.fetched(request.parts)
            return decode_engine

    async def _run_on_engine(
        self,
        request: Request,
        request_id: str,
        estimate: TargetEstimate,
        work: Awaitable[None],
    ) -> None:
        estimate.in_flight += 1
        began_at = self._replay.timers.now()
        try:
            await work
        except Failure as failure:
            now = self._replay.timers.now()
            self.fleet.failed(estimate, now)
            if isinstance(failure, NotListening):
                estimate.record_refused_connection(now)
            if failure.ran:
                self._report_interruption(request, request_id, estimate, began_at)
            raise
        finally:
            estimate.in_flight -= 1


def _make_target(engine: ModelEngine) -> Target:
    return Target(
        target_id=engine.name,
        service=SERVICE,
        address=engine.name,
        data_centre="here",
        slots=engine.figures.slots,
        is_leaving=False,
        role=engine.role,
        born=engine.born,
    )


def _make_caller_request(
    request: Request, request_id: str, now: float
) -> CallerRequest:
    """Build the part of a caller's request that crash tracking needs."""
    http = HttpRequest(b"POST", b"/", ())
    return CallerRequest(
        request_id,
        http,
        "",
        "/",
        now,
        None,
        fingerprint=request.fingerprint,
        traits=traits_of(SERVICE, request.parts),
    )


class Replay:
    """One run of a load under one policy."""

    def __init__(self, load: Load, policy: Policy, seed: int) -> None:
        """
        Set up the engines, the gateways and the requests.

        :param seed: for the requests and the choice of gateways.
        """
        self.load = load
        self.timers = ManualTimers()
        self.peer_network = PeerNetwork(
            self.timers, policy.peers_connected, load.news_lost
        )
        roles = [EngineRole.PREFILL] * load.readers + [EngineRole.DECODE] * load.writers
        self.engines_by_name = {
            f"e{number}": ModelEngine(f"e{number}", role, load.engine, self.timers)
            for number, role in enumerate(roles)
        }
        self._gateways = [
            ModelGateway(
                f"g{number}", policy, self, load.links[number % len(load.links)]
            )
            for number in range(load.gateways)
        ]
        self._requests = generate_requests(load, seed)
        self._random = Random(seed)
        self._fatal_requests = generate_fatal_requests(load, seed)
        self._crashes: list[CausedCrash] = []
        self._wrongly_quarantined: set[int] = set()
        self._first_token_at: dict[int, float] = {}
        self._failures: dict[int, Failure] = {}
        self._answered_at_once: set[int] = set()

    def engine(self, estimate: TargetEstimate) -> ModelEngine:
        """Return the engine that a gateway's estimate refers to."""
        return self.engines_by_name[estimate.target.target_id]

    def engine_at(self, address: str) -> ModelEngine | None:
        """Return the engine at an address, or ``None`` if there is none."""
        return self.engines_by_name.get(address)

    def run(self) -> Figures:
        """Run the load to its end."""
        for request in self._requests:
            self.timers.call_later(request.at, partial(self.submit, request))
        for request in self._fatal_requests:
            self.timers.call_later(request.at, partial(self.submit, request))
        for fault in self.load.faults:
            self.timers.call_later(fault.at, partial(self.apply_fault, fault))
        self.timers.advance(self.load.lasts + DRAIN_TIME)
        return self._figures()

    def apply_fault(self, fault: Fault) -> None:
        """Crash or slow down the engines of a fault."""
        engines = list(self.engines_by_name.values())
        for engine in engines[fault.first : fault.first + fault.engines]:
            if fault.speed == 0:
                self._crash(engine, fault.returns)
            else:
                engine.speed = fault.speed

    def schedule_crash(self, engine: ModelEngine, request: Request) -> None:
        """Schedule the crash of an engine that has started a fatal answer."""

        def crash() -> None:
            if not engine.is_lost and engine.born == born:
                self._crashes.append(CausedCrash(self.timers.now(), request.parts))
                self._crash(engine, request.returns)

        born = engine.born
        self.timers.call_later(CRASH_DELAY, crash)

    def _crash(self, engine: ModelEngine, returns: float | None) -> None:
        if engine.is_lost:
            return
        engine.lose()
        self.timers.call_later(
            TARGET_EXPIRY, partial(self._remove_target, engine, engine.born)
        )
        if returns:
            self.timers.call_later(returns, partial(self._restart_engine, engine))

    def _remove_target(self, engine: ModelEngine, born: int) -> None:
        if engine.born != born:
            return
        for gateway in self._gateways:
            gateway.fleet.remove(engine.name)

    def _restart_engine(self, engine: ModelEngine) -> None:
        engine.start_again()
        for gateway in self._gateways:
            gateway.fleet.put(_make_target(engine))
            gateway.prefill_scheduler.dispatch_waiting()

    def submit(self, request: Request) -> None:
        """Submit a request as its caller would."""
        submission = Deferred.fromCoroutine(self._submit(request))
        submission.addErrback(lambda failure: failure.trap(Failure, TimeoutError))

    async def _submit(self, request: Request) -> None:
        """
        Submit a request, and retry it once if it fails.

        The retry waits as long as the gateway asked for, but at most a third of the
        time left.
        """
        kind = self.load.kinds[request.kind]
        due_at = request.at + kind.patience
        for tries_left in (1, 0):
            time_left = due_at - self.timers.now()
            gateway = self._random.choice(self._gateways)
            if tries_left and self.load.is_crowded(request.at):
                gateway = self._gateways[0]
            serving = gateway.serve(request, kind, due_at)
            try:
                first_token_at = await with_timeout(self.timers, time_left, serving)
            except TimeoutError:
                self._failures[request.number] = Failure("its time was over")
                return
            except Failure as failure:
                self._failures[request.number] = failure
                if isinstance(failure, Quarantined) and request.returns is None:
                    self._wrongly_quarantined.add(request.number)
                if tries_left:
                    retry_delay = failure.retry_after or DEFAULT_RETRY_AFTER
                    time_left = due_at - self.timers.now()
                    await pause(self.timers, min(retry_delay, time_left / 3))
            else:
                self._first_token_at[request.number] = first_token_at
                if tries_left:
                    self._answered_at_once.add(request.number)
                return

    def _figures(self) -> Figures:
        owed = dict.fromkeys(self.load.kinds, 0.0)
        earned = dict.fromkeys(self.load.kinds, 0.0)
        for request in self._requests:
            kind = self.load.kinds[request.kind]
            owed[request.kind] += request.size * kind.worth
            earned[request.kind] += request.size * self._earned_value(request, kind)
        by_size = sorted(self._requests, key=lambda request: -request.size)
        large = by_size[: max(1, len(by_size) // 10)]
        served = [
            request for request in large if request.number in self._first_token_at
        ]
        unserved = [
            self._failures.get(request.number)
            for request in self._requests
            if request.number not in self._first_token_at
        ]
        refused = [item for item in unserved if item is not None and item.retry_after]
        return Figures(
            worth=sum(earned.values()) / sum(owed.values()),
            worth_by_kind={name: earned[name] / owed[name] for name in owed},
            large_served=len(served) / len(large),
            refused=len(refused) / len(self._requests),
            failed=(len(unserved) - len(refused)) / len(self._requests),
            reread=self._repeated_prefill_tokens(),
            crashes=self._crashes,
            mistaken=len(self._wrongly_quarantined) / len(self._requests),
            at_once=self._share_at_once(),
        )

    def _share_at_once(self) -> dict[int, float]:
        counts = Counter(int(request.at) for request in self._requests)
        answered = Counter(
            int(request.at)
            for request in self._requests
            if request.number in self._answered_at_once
        )
        return {second: answered[second] / count for second, count in counts.items()}

    def _earned_value(self, request: Request, kind: Kind) -> float:
        first_token_at = self._first_token_at.get(request.number)
        if first_token_at is None:
            return 0.0
        is_late = first_token_at > request.at + kind.latency_target
        return kind.late if is_late else kind.worth

    def _repeated_prefill_tokens(self) -> int:
        needed: dict[int, int] = {}
        for request in self._requests:
            needed.update((part.part_id, part.tokens) for part in request.parts)
        read = sum(engine.tokens_read for engine in self.engines_by_name.values())
        return max(0, read - sum(needed.values()))


def read_load(name: str) -> Load:
    """Read a load pattern from its file."""
    return msgspec.json.decode((LOADS / f"{name}.json").read_bytes(), type=Load)


def replay(load: Load, policy: str, seed: int = 1) -> Figures:
    """Run a load under a policy of :data:`POLICIES`."""
    return Replay(load, POLICIES[policy], seed).run()


def main() -> None:
    """Run all loads under all policies and print the results."""
    for path in sorted(LOADS.rglob("*.json")):
        name = str(path.relative_to(LOADS).with_suffix(""))
        load = read_load(name)
        print(f"{name}: {load.why}")
        for policy in POLICIES:
            figures = replay(load, policy)
            kinds = " ".join(f"{worth:.2f}" for worth in figures.worth_by_kind.values())
            print(
                f"  {policy:24} worth {figures.worth:.3f} ({kinds}) "
                f"largest {figures.large_served:.2f} refused {figures.refused:.3f} "
                f"failed {figures.failed:.3f} read again {figures.reread // 1000}k "
                f"crashed {figures.crashed} mistaken {figures.mistaken:.4f}"
            )


if __name__ == "__main__":
    main()
