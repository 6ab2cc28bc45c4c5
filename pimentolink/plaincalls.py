"""Serves requests to plain services."""

from __future__ import annotations

from twisted.internet.defer import CancelledError, Deferred

from pimentolink.dialect import Dialect, SendOptions, Verdict
from pimentolink.errors import (
    Failure,
    NoTarget,
    Quarantined,
    ReplyInvalid,
    RetryBudgetSpent,
)
from pimentolink.fleet import Fleet
from pimentolink.forwarder import PendingRequest, forward_reply
from pimentolink.gatewaysettings import PlacementSettings
from pimentolink.httptypes import HttpReply
from pimentolink.requestcalls import StartedCall
from pimentolink.retrylimiter import RetryLimiter
from pimentolink.routes import Repeatability
from pimentolink.targetclient import TargetClient
from pimentolink.targetestimate import TargetEstimate
from pimentolink.timers import Timers

# Cost of a target that fails every call, in the unit of the load: 1.0 means that all
# of its slots are in use.
FAILURE_WEIGHT = 2.0


class PlainCallHandler:
    """
    Serves requests whose response is not streamed.

    Load pattern: short calls to few targets with few slots, where some targets fail a
    part of the calls. A call goes to the target with the lowest load per slot; after a
    failure, a call that may be repeated goes to another target within the shared retry
    budget.
    """

    def __init__(
        self,
        target_client: TargetClient,
        dialect: Dialect,
        fleet: Fleet,
        retry_limiter: RetryLimiter,
        settings: PlacementSettings,
        data_centre: str,
        timers: Timers,
    ) -> None:
        """
        Create a handler.

        :param target_client: sends requests to targets.
        :param dialect: parses responses.
        :param fleet: the targets.
        :param retry_limiter: limits repeated attempts.
        :param settings: weights of the choice of a target.
        :param data_centre: the data centre of this gateway.
        :param timers: the timer service.
        """
        self._target_client = target_client
        self._dialect = dialect
        self._fleet = fleet
        self._retry_limiter = retry_limiter
        self._settings = settings
        self._data_centre = data_centre
        self._timers = timers

    async def serve(self, work: PendingRequest) -> None:
        """Serve a request."""
        self._retry_limiter.earn(work)
        try:
            await self._serve(work)
        finally:
            self._target_client.ended(work.request)

    async def _serve(self, work: PendingRequest) -> None:
        last: Failure | HttpReply | None = None
        while True:
            estimate = self._choose(work)
            if estimate is None:
                break
            try:
                started = self._retry_limiter.start_call(
                    work, estimate.target.target_id
                )
            except RetryBudgetSpent as failure:
                last = last or failure
                break
            last = await self._attempt(work, estimate, started)
            if isinstance(last, Quarantined):
                break
            if isinstance(last, HttpReply) and not self._is_repeatable(work, last):
                break
        if isinstance(last, HttpReply):
            forward_reply(work, last)
            return
        raise last or NoTarget(f"no target of {work.service} takes work", 0.5)

    def _choose(self, work: PendingRequest) -> TargetEstimate | None:
        now = self._timers.now()
        if work.time_left(now) <= 0:
            return None
        usable = [
            estimate
            for estimate in self._fleet.usable(work.service, now)
            if work.attempts.may_send(estimate.target.target_id)
            and estimate.target.target_id not in work.attempts.tried_target_ids
        ]
        return min(usable, key=self._cost, default=None)

    def _cost(self, estimate: TargetEstimate) -> float:
        cost = estimate.load() / max(1, estimate.target.slots)
        cost += FAILURE_WEIGHT * estimate.failure_share
        if estimate.target.data_centre != self._data_centre:
            cost += self._settings.remote_cost
        return cost

    def _is_repeatable(self, work: PendingRequest, reply: HttpReply) -> bool:
        return reply.head.status >= 500 and work.attempts.may_repeat()

    async def _attempt(
        self,
        work: PendingRequest,
        estimate: TargetEstimate,
        started: StartedCall,
    ) -> HttpReply | Failure:
        """Make one attempt and return its response or failure."""
        is_once = work.route.repeatability is Repeatability.ONCE
        work.attempts.sent(estimate.target.target_id)
        began_at = self._timers.now()
        try:
            with started:
                if is_once:
                    reply = await self._shielded(work, estimate)
                else:
                    reply = await self._exchange(work, estimate)
        except Failure as failure:
            work.attempts.failed(failure)
            if failure.ran:
                work.run_began(began_at)
            return failure
        except CancelledError:
            # The target may be running it, though no one waits for the response.
            work.run_began(began_at)
            raise
        work.attempts.ran()
        work.run_began(began_at)
        return reply

    async def _exchange(
        self, work: PendingRequest, estimate: TargetEstimate
    ) -> HttpReply:
        request = work.request
        time_left = work.time_left(self._timers.now())
        options = SendOptions(estimate.target.target_id, time_left)
        is_once = work.route.repeatability is Repeatability.ONCE
        call = await self._target_client.begin(request, estimate, options, is_once)
        work.framing = call.framing
        try:
            reply = await call.read_all()
        except Failure as failure:
            call.close()
            self._target_client.record_failure(request, estimate, failure, call=call)
            raise
        finally:
            call.close()
        if self._dialect.verdict(reply.head) is Verdict.SUCCESS:
            if not self._dialect.is_signed(reply.head):
                raise ReplyInvalid("a success that the target does not vouch for")
            self._target_client.succeeded(request, estimate)
        elif reply.head.status >= 500:
            self._target_client.failed(request, call, reply.head.status)
        return reply

    async def _shielded(
        self, work: PendingRequest, estimate: TargetEstimate
    ) -> HttpReply:
        """
        Make the exchange, and let it finish if the caller disconnects.

        Aborting a call that may not be repeated would leave it unknown which of its
        effects took place.
        """
        waiter: Deferred[HttpReply] = Deferred()
        running = Deferred.fromCoroutine(self._exchange(work, estimate))
        running.addCallbacks(waiter.callback, waiter.errback)
        return await waiter
