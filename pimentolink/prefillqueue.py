"""Decides which waiting prompt is read next, and which are turned away."""

from __future__ import annotations

from collections import OrderedDict
from heapq import nsmallest

from pimentolink.decayingrate import DecayingRate
from pimentolink.errors import CannotBeInTime, Failure, NoTarget
from pimentolink.gatewaysettings import PlacementSettings
from pimentolink.placement import Placement, Placer, WaitingPrompt

# Share of an answer's worth that remains once it is later than its latency target.
LATE_WORTH = 0.35
# Multiple of its own reading time that a large prompt is given before it is late.
LARGE_FACTOR = 1.2
# Waiting prompts whose place is predicted anew to choose the next one; those beyond
# are worth less.
MAX_CANDIDATES = 16
# Waiting prompts whose place is predicted anew to find hopeless ones, in one look.
MAX_CHECKED = 8
# Share of the prompts that wait elsewhere that is taken to go before a new one while
# nothing waits here that could tell.
USUAL_SHARE = 0.5
# Seconds over which work that is turned away is averaged; two looks of whoever decides
# on roles, so that a single refusal is no shortage.
UNMET_HORIZON = 2.0
# Shortest and longest pause, in seconds, after which a caller is asked to return.
MIN_PAUSE = 0.1
MAX_PAUSE = 2.0


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
        self.work = placement.estimate.work_time(placement.tokens)
        worth = self.prompt.size
        if placement.written_from > self.prompt.on_time_until:
            worth *= LATE_WORTH
        self.rank = (-worth / self.work, self.prompt.arrived_at)


class PrefillQueue:
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
        if not placement.estimate.is_timed:
            return None
        own_work = placement.estimate.work_time(placement.tokens)
        allowed = self._settings.late_factor * prompt.latency_target
        allowed = max(allowed, LARGE_FACTOR * own_work)
        latest = min(prompt.arrived_at + allowed, prompt.due_at)
        if begins_at <= latest:
            return None
        pause = min(MAX_PAUSE, max(MIN_PAUSE, begins_at - prompt.on_time_until))
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
            MAX_CANDIDATES, self._waiting_by_id.values(), key=lambda item: item.rank
        )
        found = [waiting for waiting in first if self._predict(waiting, now)]
        for waiting in sorted(found, key=lambda item: item.rank):
            if waiting.placement.estimate.backlog(now) <= self._settings.depth:
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
        for request_id in list(self._waiting_by_id)[:MAX_CHECKED]:
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
