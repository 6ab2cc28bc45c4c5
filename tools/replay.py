"""Replays load patterns in virtual time against the gateways' own decisions."""

from __future__ import annotations

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
from pimentolink.errors import DEFAULT_RETRY_AFTER, Failure, Quarantined
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
from tools.enginemodel import EngineFigures, ModelEngine

LOADS = Path(__file__).parent.parent / "tests" / "loads"
SERVICE = "model"
# Seconds until the entry of an engine that crashed is taken off the list: three of its
# heartbeats.
LAPSE = 3.6
# Seconds from the begin of an answer until the engine that it crashes has ended.
CRASH_AFTER = 0.04
# Seconds that a datagram takes from one gateway to another.
NEWS_DELAY = 0.0015
# Seconds between two tellings of answers under way.
COUNTS_INTERVAL = 0.2
# Seconds after the last request until a replay ends.
AFTERMATH = 8.0
# Settings under which a prompt is sent on at once and never turned away.
UNBOUNDED = 1e6


class Kind(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """
    One kind of request.

    :ivar rate: a second, outside of bursts.
    :ivar shared: tokens of the part that requests of one topic share.
    :ivar topics: how many such parts there are.
    :ivar own: mean tokens of a request's own part.
    :ivar output: tokens of its answer.
    :ivar latency_target: seconds until its first token.
    :ivar patience: seconds that its caller waits.
    :ivar worth: of an answer on time.
    :ivar late: of a late one.
    :ivar token_bytes: that a prompt has for each of its tokens.
    :ivar alike: how many different requests there are; 0 if no two are alike.
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


class Burst(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A kind that comes several times as often for a while, in seconds."""

    kind: str
    begins: float
    ends: float
    times: float


class Fault(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """
    Trouble of engines.

    :ivar at: seconds from the start.
    :ivar engines: how many of the list.
    :ivar speed: share of their speed that is left; 0 is a crash.
    :ivar first: number of the first of them.
    :ivar returns: seconds after a crash until they start again; 0 if they do not.
    """

    at: float
    engines: int
    speed: float
    first: int = 0
    returns: float = 0.0


class Fatal(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """
    Requests that crash each engine that begins to write their answer.

    :ivar kind: that they look like.
    :ivar requests: how many different ones.
    :ivar every: seconds between two askings of one of them.
    :ivar returns: seconds after its crash until an engine starts again.
    """

    kind: str
    requests: int
    begins: float
    ends: float
    every: float
    returns: float


class Load(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """
    A load pattern over a fleet.

    :ivar why: what the pattern is meant to bring out.
    :ivar lasts: seconds in which requests come.
    :ivar news_lost: share of what gateways tell each other that does not arrive.
    :ivar resumes: whether a gateway sends what broke off to a second engine.
    :ivar links: megabits a second of the gateways' links, in turn; 0 is without bound.
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


class Request(NamedTuple):
    """
    One request of a caller, with the parts of its prompt.

    :ivar returns: seconds until an engine that it crashes starts again; ``None`` for
        one that crashes none.
    """

    kind: str
    number: int
    at: float
    parts: tuple[PromptPart, ...]
    size: float
    fingerprint: str
    returns: float | None = None


class Figures(NamedTuple):
    """
    What came of a load.

    :ivar worth: share of the worth owed that was earned.
    :ivar worth_by_kind: the same, by kind.
    :ivar large_served: share of the largest tenth that was answered.
    :ivar refused: share of requests that ended refused.
    :ivar failed: share that ended unanswered otherwise.
    :ivar reread: tokens of prompts read beyond what one engine would need.
    :ivar crashed: engines that a request crashed.
    :ivar mistaken: share of the requests that crash none and were turned away, once at
        least, as if they might.
    """

    worth: float
    worth_by_kind: dict[str, float]
    large_served: float
    refused: float
    failed: float
    reread: int
    crashed: int
    mistaken: float


def requests_of(load: Load, seed: int) -> list[Request]:
    """Draw the requests of a load, in order of time."""
    random = Random(seed)
    found: list[Request] = []
    for kind_number, (name, kind) in enumerate(load.kinds.items()):
        scale = RequestValueModel()
        at = random.expovariate(kind.rate)
        while at < load.lasts:
            topic = random.randrange(kind.topics)
            own = max(1, int(kind.own * random.lognormvariate(-0.125, 0.5)))
            number = len(found) + 1
            parts = (
                PromptPart((kind_number + 1) * 1_000_000 + topic, kind.shared),
                PromptPart(10_000_000 + number, own),
            )
            size = scale.value(name, kind.shared + own, kind.output)
            asked = random.randrange(kind.alike) if kind.alike else number
            fingerprint = f"{kind_number:016x}{asked:016x}"
            found.append(Request(name, number, at, parts, size, fingerprint))
            at += random.expovariate(kind.rate * _times(load, name, at))
    return sorted(found, key=lambda request: request.at)


def fatal_requests_of(load: Load, seed: int) -> list[Request]:
    """Draw the askings of a load's fatal requests."""
    random = Random(seed)
    found = []
    for pattern, fatal in enumerate(load.fatal):
        kind = load.kinds[fatal.kind]
        for index in range(fatal.requests):
            number = -1 - 1000 * pattern - index
            parts = (PromptPart(20_000_000 - number, kind.own),)
            fingerprint = f"{'f' * 16}{-number:016x}"
            at = fatal.begins + random.uniform(0.0, fatal.every)
            while at < fatal.ends:
                found.append(
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
    return found


def _times(load: Load, kind: str, at: float) -> float:
    times = [
        burst.times
        for burst in load.bursts
        if burst.kind == kind and burst.begins <= at < burst.ends
    ]
    return max(times, default=1.0)


class QuietLog(Log):
    """Writes nothing."""

    def write(self, event: LogEvent, **fields: object) -> None:
        """Drop the event."""


Hearer = Callable[[str, Message], None]


class Wire:
    """Carries what gateways tell each other."""

    def __init__(self, timers: ManualTimers, is_up: bool, lost: float) -> None:
        """
        Start without gateways.

        :param is_up: whether anything arrives.
        :param lost: share of the messages that does not arrive.
        """
        self._lost = lost
        self._random = Random(0)
        self._timers = timers
        self._is_up = is_up
        self.hearers_by_gateway: dict[str, Hearer] = {}

    def broadcast(self, sender: str, message: Message) -> None:
        """Carry a message to all other gateways."""
        if not self._is_up:
            return
        for name, hear in self.hearers_by_gateway.items():
            if name != sender and self._random.random() >= self._lost:
                arrive = partial(hear, sender, message)
                self._timers.call_later(NEWS_DELAY, arrive)


class Policy(NamedTuple):
    """
    How a gateway decides.

    :ivar placer: chooses engines.
    :ivar tells: whether gateways tell each other what they send.
    :ivar tells_open: whether they tell which readings have not ended.
    :ivar knows_link: whether a gateway knows how long prompts take to leave it.
    :ivar suspects: whether requests are suspected of crashing engines.
    """

    settings: PlacementSettings
    placer: type[Placer] = Placer
    tells: bool = True
    knows_link: bool = True
    tells_open: bool = True
    suspects: bool = True


class _Straight(Placer):
    """Sends each prompt to an engine without regard to parts or backlog."""

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
        """Choose one."""
        raise NotImplementedError


class RoundRobin(_Straight):
    """Baseline: engines in turn."""

    _turn = 0

    def pick(self, engines: list[TargetEstimate]) -> TargetEstimate:
        """Choose the next one."""
        self._turn += 1
        return engines[self._turn % len(engines)]


class LeastInFlight(_Straight):
    """Baseline: the engine with the fewest requests under way."""

    def pick(self, engines: list[TargetEstimate]) -> TargetEstimate:
        """Choose the idlest."""
        return min(
            engines, key=lambda engine: engine.load() + len(engine.prefills_by_ticket)
        )


_SENT_ON = PlacementSettings(depth=UNBOUNDED, late_factor=UNBOUNDED)

POLICIES = {
    "current": Policy(PlacementSettings()),
    "round robin": Policy(_SENT_ON, RoundRobin),
    "least in flight": Policy(_SENT_ON, LeastInFlight),
    "nothing waits": Policy(PlacementSettings(depth=UNBOUNDED)),
    "nothing refused": Policy(PlacementSettings(late_factor=UNBOUNDED)),
    "no price on engine time": Policy(PlacementSettings(duplicate_cost=0.0)),
    "gateways tell nothing": Policy(PlacementSettings(), tells=False),
    "open readings untold": Policy(PlacementSettings(), tells_open=False),
    "links unknown": Policy(PlacementSettings(), knows_link=False),
    "nothing suspected": Policy(PlacementSettings(), suspects=False),
}


class ModelGateway:
    """One gateway's decisions, with modelled engines behind them."""

    def __init__(
        self, name: str, policy: Policy, replay: Replay, megabits_per_second: float
    ) -> None:
        """
        Put the decisions together.

        :param megabits_per_second: a second that its link carries; 0 is without bound.
        """
        self._name = name
        self._replay = replay
        self._tells_open = policy.tells_open
        timers = replay.timers
        self.fleet = Fleet(policy.settings, EjectionSettings(), Random(name))
        figures = replay.load.engine
        model = EngineModel(figures.cache_tokens, 3.0, figures.copy_rate)
        self.fleet.set_models({SERVICE: model})
        for engine in replay.engines_by_name.values():
            self.fleet.put(_listed(engine))
        self._egress_queue = EgressQueue(megabits_per_second, timers)
        gateway_delay = GatewayDelay()
        known = self._egress_queue if policy.knows_link else EgressQueue(0.0, timers)
        self.placer = policy.placer(
            policy.settings, self.fleet, "here", known, gateway_delay
        )
        self._queue = queue = PrefillQueue(policy.settings, self.placer)
        self.prefill_scheduler = PrefillScheduler(
            queue, self, timers, QuietLog(), name, gateway_delay
        )
        self._book = PeerUpdates(self.fleet)
        self._suspects = SuspectTracker(Random(name))
        self.crashes = CrashReports(self._suspects, self, timers, QuietLog())
        self._is_suspecting = policy.suspects
        replay.wire.hearers_by_gateway[name] = self._hear
        Repeater(timers, COUNTS_INTERVAL, self._tell_counts)

    def _hear(self, sender: str, message: Message) -> None:
        if isinstance(message, SuspectMessage):
            self.crashes.receive(message, "peer")
            return
        if not isinstance(message, LoadMessage):
            return
        self._book.apply(sender, message, self._replay.timers.now())
        if isinstance(message, PrefillStarted | PrefillEnded):
            self.prefill_scheduler.dispatch_waiting()

    async def _admit(self, request: Request, request_id: str) -> None:
        if self._is_suspecting:
            asked = _asked(request, request_id, self._replay.timers.now())
            await self.crashes.admit(asked)

    def _broke(
        self, request: Request, request_id: str, estimate: TargetEstimate
    ) -> None:
        """Find out at once whether an engine that broke a request off has crashed."""
        asked = _asked(request, request_id, self._replay.timers.now())
        self.crashes.cut_off(asked, estimate)
        engine = self._replay.engine(estimate)
        if engine.is_lost:
            self.crashes.target_ended(estimate.target, "nothing listens")

    def broadcast(self, message: Message) -> None:
        """Tell all other gateways."""
        self._replay.wire.broadcast(self._name, message)

    def _tell_counts(self) -> None:
        counts = {
            name: estimate.in_flight
            for name, estimate in self.fleet.targets_by_id.items()
            if estimate.in_flight
        }
        waiting = self._queue.queued_work_by_service()
        self.broadcast(InFlight(self._name, counts, True, waiting))
        if self._tells_open:
            self.broadcast(self.prefill_scheduler.open_prefills())

    async def serve(self, request: Request, kind: Kind, due_at: float) -> float:
        """
        Have a request answered.

        :returns: when its first token was out.
        :raises Failure: if it was refused or its engine crashed.
        """
        request_id = f"{request.number}-{self._replay.timers.now()}"
        try:
            return await self._try(request, request_id, kind, due_at)
        except Failure as failure:
            if not failure.ran or not self._replay.load.resumes:
                raise
        return await self._try(request, request_id, kind, due_at)

    async def _try(
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
            reader = self._replay.engine(placement.estimate)
            source = self._replay.engine_at(placement.copy_from)
            await self._send(prompt.body_bytes)
            reading = reader.read(request.parts, source)
            await self._on(request, request_id, placement.estimate, reading)
            is_good = True
        finally:
            self.prefill_scheduler.end(ticket, is_good)
        writer = placement.estimate
        if placement.is_prefill_only:
            await self._send(prompt.body_bytes)
            writer = await self._hand_over(request, request_id, writer)
        await self._admit(request, request_id)
        engine = self._replay.engine(writer)
        if request.returns is not None:
            self._replay.crash_soon(engine, request.returns)
        await self._on(request, request_id, writer, engine.write(1))
        first_at = self._replay.timers.now()
        await self._on(request, request_id, writer, engine.write(kind.output - 1))
        self.crashes.request_succeeded(_asked(request, request_id, first_at))
        return first_at

    def _body_bytes(self, request: Request, kind: Kind) -> int:
        tokens = sum(part.tokens for part in request.parts)
        return int(tokens * kind.token_bytes)

    async def _send(self, size: int) -> None:
        """Let a prompt leave over this gateway's link."""
        delay = self._egress_queue.delay(size)
        self._egress_queue.record_sent(size)
        if delay:
            await pause(self._replay.timers, delay)

    async def _hand_over(
        self, request: Request, request_id: str, reader: TargetEstimate
    ) -> TargetEstimate:
        now = self._replay.timers.now()
        near = reader.target.data_centre
        writer = self.placer.choose_decode_engine(SERVICE, near, now)
        if writer is None:
            raise Failure("no engine writes")
        fetching = self._replay.engine(writer).fetch(request.parts)
        await self._on(request, request_id, writer, fetching)
        writer.fetched(request.parts)
        return writer

    async def _on(
        self,
        request: Request,
        request_id: str,
        estimate: TargetEstimate,
        work: Awaitable[None],
    ) -> None:
        estimate.in_flight += 1
        try:
            await work
        except Failure as failure:
            self.fleet.failed(estimate, self._replay.timers.now())
            if failure.ran:
                self._broke(request, request_id, estimate)
            raise
        finally:
            estimate.in_flight -= 1


def _listed(engine: ModelEngine) -> Target:
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


def _asked(request: Request, request_id: str, now: float) -> CallerRequest:
    """Tell of a request what suspicion needs to know."""
    http = HttpRequest(b"POST", b"/", ())
    return CallerRequest(
        request_id, http, "", "/", now, None, fingerprint=request.fingerprint
    )


class Replay:
    """One load, played once under one policy."""

    def __init__(self, load: Load, policy: Policy, seed: int) -> None:
        """
        Set the fleet up.

        :param seed: of the requests.
        """
        self.load = load
        self.timers = ManualTimers()
        self.wire = Wire(self.timers, policy.tells, load.news_lost)
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
        self._requests = requests_of(load, seed)
        self._random = Random(seed)
        self._fatal_requests = fatal_requests_of(load, seed)
        self._crashed = 0
        self._mistaken: set[int] = set()
        self._first_at: dict[int, float] = {}
        self._failures: dict[int, Failure] = {}

    def engine(self, estimate: TargetEstimate) -> ModelEngine:
        """Find the engine that a gateway believes in."""
        return self.engines_by_name[estimate.target.target_id]

    def engine_at(self, address: str) -> ModelEngine | None:
        """Find an engine by its address; ``None`` for an empty one."""
        return self.engines_by_name.get(address)

    def run(self) -> Figures:
        """Play the load to its end."""
        for request in self._requests:
            self.timers.call_later(request.at, partial(self.ask, request))
        for request in self._fatal_requests:
            self.timers.call_later(request.at, partial(self.ask, request))
        for fault in self.load.faults:
            self.timers.call_later(fault.at, partial(self.strike, fault))
        self.timers.advance(self.load.lasts + AFTERMATH)
        return self._figures()

    def strike(self, fault: Fault) -> None:
        """Let a fault begin."""
        engines = list(self.engines_by_name.values())
        for engine in engines[fault.first : fault.first + fault.engines]:
            if fault.speed == 0:
                self._crash(engine, fault.returns)
            else:
                engine.speed = fault.speed

    def crash_soon(self, engine: ModelEngine, returns: float) -> None:
        """Let an engine crash by what it has just begun to write."""

        def crash() -> None:
            if not engine.is_lost and engine.born == born:
                self._crashed += 1
                self._crash(engine, returns)

        born = engine.born
        self.timers.call_later(CRASH_AFTER, crash)

    def _crash(self, engine: ModelEngine, returns: float) -> None:
        if engine.is_lost:
            return
        engine.lose()
        self.timers.call_later(LAPSE, partial(self._lapse, engine, engine.born))
        if returns:
            self.timers.call_later(returns, partial(self._return, engine))

    def _lapse(self, engine: ModelEngine, born: int) -> None:
        if engine.born != born:
            return
        for gateway in self._gateways:
            gateway.fleet.remove(engine.name)

    def _return(self, engine: ModelEngine) -> None:
        engine.start_again()
        for gateway in self._gateways:
            gateway.fleet.put(_listed(engine))
            gateway.prefill_scheduler.dispatch_waiting()

    def ask(self, request: Request) -> None:
        """Let a caller ask."""
        asking = Deferred.fromCoroutine(self._ask(request))
        asking.addErrback(lambda failure: failure.trap(Failure, TimeoutError))

    async def _ask(self, request: Request) -> None:
        """Ask, and once more if refused: as told, within a third of the time left."""
        kind = self.load.kinds[request.kind]
        due_at = request.at + kind.patience
        for tries_left in (1, 0):
            left = due_at - self.timers.now()
            gateway = self._random.choice(self._gateways)
            serving = gateway.serve(request, kind, due_at)
            try:
                first_at = await with_timeout(self.timers, left, serving)
            except TimeoutError:
                self._failures[request.number] = Failure("its time was over")
                return
            except Failure as failure:
                self._failures[request.number] = failure
                if isinstance(failure, Quarantined) and request.returns is None:
                    self._mistaken.add(request.number)
                if tries_left:
                    told = failure.retry_after or DEFAULT_RETRY_AFTER
                    left = due_at - self.timers.now()
                    await pause(self.timers, min(told, left / 3))
            else:
                self._first_at[request.number] = first_at
                return

    def _figures(self) -> Figures:
        owed = dict.fromkeys(self.load.kinds, 0.0)
        earned = dict.fromkeys(self.load.kinds, 0.0)
        for request in self._requests:
            kind = self.load.kinds[request.kind]
            owed[request.kind] += request.size * kind.worth
            earned[request.kind] += request.size * self._worth(request, kind)
        by_size = sorted(self._requests, key=lambda request: -request.size)
        large = by_size[: max(1, len(by_size) // 10)]
        served = [request for request in large if request.number in self._first_at]
        unserved = [
            self._failures.get(request.number)
            for request in self._requests
            if request.number not in self._first_at
        ]
        refused = [item for item in unserved if item is not None and item.retry_after]
        return Figures(
            worth=sum(earned.values()) / sum(owed.values()),
            worth_by_kind={name: earned[name] / owed[name] for name in owed},
            large_served=len(served) / len(large),
            refused=len(refused) / len(self._requests),
            failed=(len(unserved) - len(refused)) / len(self._requests),
            reread=self._reread(),
            crashed=self._crashed,
            mistaken=len(self._mistaken) / len(self._requests),
        )

    def _worth(self, request: Request, kind: Kind) -> float:
        first_at = self._first_at.get(request.number)
        if first_at is None:
            return 0.0
        is_late = first_at > request.at + kind.latency_target
        return kind.late if is_late else kind.worth

    def _reread(self) -> int:
        needed: dict[int, int] = {}
        for request in self._requests:
            needed.update((part.part_id, part.tokens) for part in request.parts)
        read = sum(engine.tokens_read for engine in self.engines_by_name.values())
        return max(0, read - sum(needed.values()))


def read_load(name: str) -> Load:
    """Read a load pattern by its name."""
    return msgspec.json.decode((LOADS / f"{name}.json").read_bytes(), type=Load)


def replay(load: Load, policy: str, seed: int = 1) -> Figures:
    """Play a load under a policy of :data:`POLICIES`."""
    return Replay(load, POLICIES[policy], seed).run()


def main() -> None:
    """Play all loads under all policies and print what came of them."""
    for path in sorted(LOADS.rglob("*.json")):
        name = str(path.relative_to(LOADS).with_suffix(""))
        load = read_load(name)
        print(f"{name}: {load.why}")
        for policy in POLICIES:
            found = replay(load, policy)
            kinds = " ".join(f"{worth:.2f}" for worth in found.worth_by_kind.values())
            print(
                f"  {policy:24} worth {found.worth:.3f} ({kinds}) "
                f"largest {found.large_served:.2f} refused {found.refused:.3f} "
                f"failed {found.failed:.3f} read again {found.reread // 1000}k "
                f"crashed {found.crashed} mistaken {found.mistaken:.4f}"
            )


if __name__ == "__main__":
    main()
