"""Decides which waiting prompt is read next, where, and which are turned away."""

from __future__ import annotations

from collections import OrderedDict
from heapq import nsmallest
from typing import NamedTuple

from pimentolink.decayingrate import DecayingRate
from pimentolink.dialect import PromptPart
from pimentolink.errors import CannotBeInTime, Failure, NoTarget
from pimentolink.fleet import Fleet
from pimentolink.gatewaysettings import PlacementSettings
from pimentolink.owndelay import OwnDelay
from pimentolink.targetbelief import EngineRole, TargetBelief
from pimentolink.uplink import Uplink

# Worth of a generation by its size against the mean of its route: a fixed part and
# one that grows with the size, up to a bound.
FIXED_WORTH = 0.3
SIZED_WORTH = 0.7
MOST_SIZE = 4.0
# Share of an answer's worth that remains once it is later than its latency target.
LATE_WORTH = 0.35
# An output token counts as this many prompt tokens in a request's size.
OUTPUT_SIZE = 10
# Multiple of its own reading time that a large prompt is given before it is late.
LARGE_FACTOR = 1.2
# Tokens below which parts are read again rather than fetched.
LEAST_COPY = 512
# Weight of one request in a route's mean size.
SIZE_SMOOTHING = 0.05
# Waiting prompts whose place is predicted anew to choose the next one; those beyond
# are worth less.
MOST_LOOKED_AT = 16
# Waiting prompts whose place is predicted anew to find hopeless ones, in one look.
MOST_CHECKED = 8
# Share of the prompts that wait elsewhere that is taken to go before a new one while
# nothing waits here that could tell.
USUAL_SHARE = 0.5
# Seconds over which work that is turned away is averaged; two looks of whoever decides
# on roles, so that a single refusal is no shortage.
UNMET_HORIZON = 2.0
# Shortest and longest pause, in seconds, after which a caller is asked to return.
LEAST_PAUSE = 0.1
MOST_PAUSE = 2.0


class WaitingPrompt(NamedTuple):
    """
    A prompt that waits to be read.

    :ivar size: worth of the request, by its size, as a multiple of its route's.
    :ivar arrived_at: when the caller asked, or, of a request that is tried again after
        an engine failed it, when that was.
    :ivar latency_target: seconds that it may take from then on.
    :ivar on_time_until: when its first event should be with the caller.
    :ivar due_at: when the caller or the operator gives it up.
    :ivar body_bytes: that an engine is sent with it.
    """

    request_id: str
    service: str
    parts: tuple[PromptPart, ...]
    prompt_tokens: int
    size: float
    arrived_at: float
    latency_target: float
    on_time_until: float
    due_at: float
    body_bytes: int = 0


class Placement(NamedTuple):
    """
    Where a prompt is read.

    :ivar tokens: that have to be read there.
    :ivar held_tokens: that the engine probably holds.
    :ivar done_at: predicted end of the reading, as this gateway will see it.
    :ivar engine_done_at: the same, without what this gateway adds itself.
    :ivar way: predicted seconds until the engine has the prompt.
    :ivar hand_over: predicted seconds from the end of the reading until the engine that
        writes the answer has the prompt.
    :ivar copy_from: address of an engine that holds more of the prompt.
    :ivar is_reading_only: whether another engine writes the answer.
    """

    belief: TargetBelief
    tokens: int
    held_tokens: int
    done_at: float
    copy_from: str
    copied_tokens: int
    is_reading_only: bool
    engine_done_at: float = 0.0
    way: float = 0.0
    hand_over: float = 0.0

    @property
    def written_from(self) -> float:
        """Predicted moment from which the answer can be written."""
        return self.done_at + self.hand_over


class _Reach(NamedTuple):
    """
    What is alike for all engines that a prompt may go to.

    :ivar way: seconds until an engine has the prompt.
    :ivar source: engine from which most of it can be fetched.
    :ivar fetchable: tokens that can be fetched there.
    """

    way: float
    source: TargetBelief
    fetchable: int


class _Option(NamedTuple):
    """
    One engine that a prompt may go to.

    :ivar cost: seconds by which engines are compared.
    :ivar held: tokens that it probably holds.
    :ivar ends_in: seconds until the prompt is read there.
    """

    cost: float
    engine: TargetBelief
    tokens: int
    held: int
    copied: int
    ends_in: float


def _cost_of(option: _Option) -> float:
    return option.cost


class SizeScale:
    """Tells a request's worth by its size, against the mean of its route."""

    def __init__(self) -> None:
        """Start without means."""
        self._mean_by_route: dict[str, float] = {}

    def worth(self, route: str, prompt_tokens: int, output_tokens: int) -> float:
        """
        Learn a request's size and tell its worth.

        :returns: a multiple of the worth of the route's mean request.
        """
        size = float(prompt_tokens + OUTPUT_SIZE * output_tokens) or 1.0
        mean = self._mean_by_route.get(route, size)
        mean += SIZE_SMOOTHING * (size - mean)
        self._mean_by_route[route] = mean
        return min(MOST_SIZE, FIXED_WORTH + SIZED_WORTH * size / mean)


class Placer:
    """
    Chooses engines for prompts.

    Load pattern: bursts of prompts, of which most share long parts, over few engines
    whose reading is what binds. A prompt goes where it is done soonest, with a price
    on the engine time that it takes, so that shared parts are read once and stay
    with one engine until that one falls behind.
    """

    def __init__(
        self,
        settings: PlacementSettings,
        fleet: Fleet,
        data_centre: str,
        uplink: Uplink,
        own_delay: OwnDelay,
    ) -> None:
        """
        Prepare.

        :param settings: weights.
        :param fleet: the targets.
        :param data_centre: where this gateway stands.
        :param uplink: predicts how long a prompt takes to leave this gateway.
        :param own_delay: what readings take beyond that and their engine's time.
        """
        self._settings = settings
        self._fleet = fleet
        self._data_centre = data_centre
        self._uplink = uplink
        self._own_delay = own_delay

    def best(self, prompt: WaitingPrompt, now: float) -> Placement | None:
        """
        Find the engine at which a prompt is best read.

        :returns: ``None`` if no engine of the service takes work.
        """
        engines = self._fleet.usable(prompt.service, now, prompt.parts)
        has_writer = any(
            engine.target.role is not EngineRole.READER for engine in engines
        )
        if not has_writer:
            return None
        most = prompt.prompt_tokens - 1
        source = max(engines, key=lambda item: item.fetchable.held_tokens(prompt.parts))
        reach = _Reach(
            way=self._uplink.delay(prompt.body_bytes),
            source=source,
            fetchable=min(most, source.fetchable.held_tokens(prompt.parts)),
        )
        options = [self._option(prompt, engine, reach, now) for engine in engines]
        return self._placement(min(options, key=_cost_of), reach, now)

    def _option(
        self, prompt: WaitingPrompt, engine: TargetBelief, reach: _Reach, now: float
    ) -> _Option:
        """Predict what reading a prompt at one engine takes and costs."""
        settings = self._settings
        most = prompt.prompt_tokens - 1
        held = min(most, engine.parts.held_tokens(prompt.parts))
        copied = reach.fetchable - held
        if copied < LEAST_COPY:
            copied = 0
        tokens = max(1, prompt.prompt_tokens - held - copied)
        work = engine.work_time(tokens)
        if copied:
            work += engine.copy_time(copied)
        ends_in = max(reach.way, engine.backlog(now)) + work
        cost = ends_in + settings.duplicate_cost * work + engine.failure_share
        role = engine.target.role
        if role is EngineRole.READER:
            cost += reach.way
        elif role is EngineRole.WRITER:
            cost += settings.interference * engine.load() * work
        if engine.target.data_centre != self._data_centre:
            cost += settings.remote_cost
        return _Option(cost, engine, tokens, held, copied, ends_in)

    def _placement(self, option: _Option, reach: _Reach, now: float) -> Placement:
        is_reader = option.engine.target.role is EngineRole.READER
        return Placement(
            belief=option.engine,
            tokens=option.tokens,
            held_tokens=option.held,
            done_at=now + option.ends_in + self._own_delay.seconds(now),
            engine_done_at=now + option.ends_in,
            copy_from=reach.source.target.address if option.copied else "",
            copied_tokens=option.copied,
            is_reading_only=is_reader,
            way=reach.way,
            hand_over=reach.way if is_reader else 0.0,
        )

    def engines(self, service: str, now: float) -> list[TargetBelief]:
        """List the engines of a service that take work."""
        return self._fleet.usable(service, now)

    def wait_behind(
        self, service: str, work_here: float, share: float, now: float
    ) -> float:
        """
        Predict how long a service's engines are busy with what waits.

        :param work_here: engine seconds that go first of what waits here.
        :param share: of what waits at other gateways that goes first.
        :returns: seconds.
        """
        work = work_here + share * self._fleet.waiting_elsewhere(service)
        return work / max(1.0, self._fleet.usable_count(service, now))

    def writer(self, service: str, near: str, now: float) -> TargetBelief | None:
        """
        Choose the engine that writes an answer whose prompt was read elsewhere.

        :param near: data centre of the engine that read it.
        :returns: ``None`` if there is none.
        """
        writers = [
            engine
            for engine in self._fleet.usable(service, now)
            if engine.target.role is not EngineRole.READER
        ]
        return min(
            writers,
            key=lambda engine: self._writer_cost(engine, near, now),
            default=None,
        )

    def _writer_cost(self, engine: TargetBelief, near: str, now: float) -> float:
        cost = engine.load() / max(1, engine.target.slots)
        cost += engine.backlog(now) + engine.failure_share
        if engine.target.data_centre != near:
            cost += self._settings.remote_fetch
        return cost


class _Waiting:
    """
    A waiting prompt with what was last predicted of it.

    :ivar rank: its place in the order; the least goes first.
    :ivar work: seconds of an engine that its reading takes.
    :ivar rests_on: what the prediction rests on; it holds until that changes.
    """

    def __init__(
        self, prompt: WaitingPrompt, placement: Placement, rests_on: tuple[float, int]
    ) -> None:
        self.prompt = prompt
        self.predict(placement, rests_on)

    def predict(self, placement: Placement, rests_on: tuple[float, int]) -> None:
        """Take a newer prediction."""
        self.placement = placement
        self.rests_on = rests_on
        self.work = placement.belief.work_time(placement.tokens)
        worth = self.prompt.size
        if placement.written_from > self.prompt.on_time_until:
            worth *= LATE_WORTH
        self.rank = (-worth / self.work, self.prompt.arrived_at)


class ReadingQueue:
    """
    Prompts that wait at this gateway.

    Load pattern: more prompts than the engines read in time. Engines are sent little
    ahead of need, so that what waits can be reordered; what brings the most worth for
    its engine time goes first, what can still be on time before what is late.

    Predictions are kept and made anew for a few prompts a look: at four times the
    usual load, with all of them made anew, a gateway's loop ran over a second late and
    sent requests whose callers had left.
    """

    def __init__(self, settings: PlacementSettings, placer: Placer) -> None:
        """
        Start empty.

        :param settings: depth and bounds.
        :param placer: chooses engines.
        """
        self._settings = settings
        self._placer = placer
        self._waiting_by_id: OrderedDict[str, _Waiting] = OrderedDict()
        # Prompts taken out so far; each changes what is predicted of the others.
        self._taken = 0
        self._unmet_by_service: dict[str, DecayingRate] = {}

    def __len__(self) -> int:
        """Count the prompts that wait."""
        return len(self._waiting_by_id)

    def add(self, prompt: WaitingPrompt, now: float) -> Failure | None:
        """
        Take a prompt in, or turn it away at once.

        :returns: why it is turned away.
        """
        placement = self._placer.best(prompt, now)
        if placement is None:
            return NoTarget(f"no engine of {prompt.service} takes work", 1.0)
        waiting = _Waiting(prompt, placement, (now, self._taken))
        begins_at = placement.written_from + self._work_ahead(waiting, now)
        failure = self._refusal(prompt, placement, begins_at, now)
        if failure is None:
            self._waiting_by_id[prompt.request_id] = waiting
        else:
            self._unmet(prompt.service).add(waiting.work, now)
        return failure

    def _unmet(self, service: str) -> DecayingRate:
        return self._unmet_by_service.setdefault(service, DecayingRate(UNMET_HORIZON))

    def unmet(self, service: str, now: float) -> float:
        """Tell the engine seconds of reading turned away here, a second."""
        return self._unmet(service).value(now)

    def _work_ahead(self, waiting: _Waiting, now: float) -> float:
        """
        Predict how long the prompts that go first keep the engines busy.

        Of what waits at other gateways the same share goes first as of what waits
        here. Without it each gateway saw its own queue only and turned away too late:
        over four gateways, four seeds each, worth was 0.804 instead of 0.821 in bursts
        and 0.576 instead of 0.599 in lasting overload (make replay).
        """
        service = waiting.prompt.service
        here = ahead = 0.0
        for other in self._waiting_by_id.values():
            if other.prompt.service == service:
                here += other.work
                ahead += other.work if other.rank <= waiting.rank else 0.0
        share = (ahead + USUAL_SHARE * waiting.work) / (here + waiting.work)
        return self._placer.wait_behind(service, ahead, share, now)

    def waiting_work(self) -> dict[str, float]:
        """Tell how many engine seconds of reading wait here, by service."""
        work_by_service: dict[str, float] = {}
        for waiting in self._waiting_by_id.values():
            service = waiting.prompt.service
            work = work_by_service.get(service, 0.0) + waiting.work
            work_by_service[service] = work
        return work_by_service

    def _refusal(
        self, prompt: WaitingPrompt, placement: Placement, begins_at: float, now: float
    ) -> Failure | None:
        """
        Turn a prompt away that would be read too late, once readings were timed.

        A prompt whose own reading takes longer than the latency target is given that
        time too, so that large ones are not turned away for their size alone.
        """
        if not placement.belief.is_timed:
            return None
        own_work = placement.belief.work_time(placement.tokens)
        allowed = self._settings.late_factor * prompt.latency_target
        allowed = max(allowed, LARGE_FACTOR * own_work)
        latest = min(prompt.arrived_at + allowed, prompt.due_at)
        if begins_at <= latest:
            return None
        pause = min(MOST_PAUSE, max(LEAST_PAUSE, begins_at - prompt.on_time_until))
        return CannotBeInTime(
            f"would be read in {begins_at - now:.2f} s, {latest - now:.2f} s are left",
            pause,
        )

    def next(self, now: float) -> tuple[WaitingPrompt, Placement] | None:
        """
        Take the next prompt that an engine has room for.

        :returns: the prompt, which waits no more, and its place.
        """
        if not self._waiting_by_id or not self._has_room(now):
            return None
        first = nsmallest(
            MOST_LOOKED_AT, self._waiting_by_id.values(), key=lambda item: item.rank
        )
        found = [waiting for waiting in first if self._predict(waiting, now)]
        for waiting in sorted(found, key=lambda item: item.rank):
            if waiting.placement.belief.backlog(now) <= self._settings.depth:
                del self._waiting_by_id[waiting.prompt.request_id]
                self._taken += 1
                return waiting.prompt, waiting.placement
        return None

    def _predict(self, waiting: _Waiting, now: float) -> bool:
        """
        Predict a prompt's place anew, unless that was done at this very moment.

        Half of the predictions of a gateway were made twice, as a prompt came and as
        it was sent on; one takes 0.3 ms.

        :returns: whether there is a place.
        """
        rests_on = (now, self._taken)
        if waiting.rests_on == rests_on:
            return True
        placement = self._placer.best(waiting.prompt, now)
        if placement is not None:
            waiting.predict(placement, rests_on)
        return placement is not None

    def _has_room(self, now: float) -> bool:
        services = {item.prompt.service for item in self._waiting_by_id.values()}
        return any(
            engine.backlog(now) <= self._settings.depth
            for service in services
            for engine in self._placer.engines(service, now)
        )

    def hopeless(self, now: float) -> list[WaitingPrompt]:
        """
        Take out prompts that cannot be read before they are due.

        Those whose own reading takes too long by now are all found, and all of a
        service without engines; how long they wait for their engine is predicted
        anew for a few, in turn.
        """
        hopeless = {
            request_id
            for request_id, waiting in self._waiting_by_id.items()
            if now + waiting.work > waiting.prompt.due_at
        }
        for request_id in list(self._waiting_by_id)[:MOST_CHECKED]:
            self._waiting_by_id.move_to_end(request_id)
            waiting = self._waiting_by_id[request_id]
            placement = self._placer.best(waiting.prompt, now)
            if placement is None:
                hopeless |= self._of_service(waiting.prompt.service)
            elif placement.done_at > waiting.prompt.due_at:
                hopeless.add(request_id)
            else:
                waiting.predict(placement, (now, self._taken))
        found = [name for name in self._waiting_by_id if name in hopeless]
        return [self._waiting_by_id.pop(name).prompt for name in found]

    def _of_service(self, service: str) -> set[str]:
        return {
            request_id
            for request_id, waiting in self._waiting_by_id.items()
            if waiting.prompt.service == service
        }

    def drop(self, request_id: str) -> None:
        """Let a prompt wait no more."""
        self._waiting_by_id.pop(request_id, None)
