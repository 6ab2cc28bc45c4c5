"""Dispatches queued prompts to engines and tracks the prefills in progress."""

from __future__ import annotations

from collections.abc import Callable

from twisted.internet.defer import Deferred

from pimentolink.dialect import PromptPart
from pimentolink.errors import DEFAULT_RETRY_AFTER, CannotBeInTime, Failure
from pimentolink.gatewaydelay import GatewayDelay
from pimentolink.logs import Log, LogEvent
from pimentolink.peermessages import (
    MAX_TRANSMISSION_DELAY_MS,
    OpenPrefills,
    PeerPublisher,
    PrefillEnded,
    PrefillStarted,
)
from pimentolink.placement import Placement, WaitingPrompt
from pimentolink.prefillqueue import PrefillQueue
from pimentolink.targetestimate import prefill_ticket
from pimentolink.timers import Timer, Timers

# Seconds between two polls of a non-empty queue. Predictions change with time, so a
# prompt may become dispatchable, or too late, without any event.
POLL_INTERVAL = 0.05


class DispatchedPrefill:
    """A prefill that was dispatched to an engine, until its end."""

    def __init__(
        self, number: int, request_id: str, placement: Placement, began_at: float
    ) -> None:
        """
        Record the prediction made at dispatch.

        The prediction is used for the delay of this gateway only if it was based on
        measured prefills.

        :param number: sequence number of the prefill within this gateway process.
        :param request_id: request that the prompt belongs to.
        :param placement: engine and predicted times.
        :param began_at: time of dispatch, in seconds of the timer service.
        """
        self.number = number
        self.request_id = request_id
        self.placement = placement
        self.began_at = began_at
        self.expected = placement.done_at - began_at
        self.was_timed = placement.estimate.has_measured_costs
        self.is_over = False


class PrefillScheduler:
    """
    Dispatches queued prompts to engines.

    An engine has room for another prompt while its predicted backlog does not exceed
    the configured depth.

    :ivar estimate_age: returns the seconds since the store, from which the target list
        comes, last responded; for the log.
    """

    def __init__(
        self,
        queue: PrefillQueue,
        publisher: PeerPublisher,
        timers: Timers,
        log: Log,
        gateway: str,
        gateway_delay: GatewayDelay,
    ) -> None:
        """
        Create a scheduler without waiting prompts.

        :param queue: orders, admits and rejects prompts.
        :param publisher: informs other gateways of prefills.
        :param timers: the timer service.
        :param log: receives log events.
        :param gateway: identifies this incarnation of the gateway process; prefix of
            each prefill's identifier.
        :param gateway_delay: estimates the delay that this gateway adds to prefills.
        """
        self._queue = queue
        self._publisher = publisher
        self._timers = timers
        self._log = log
        self._gateway = gateway
        self._gateway_delay = gateway_delay
        self._next_number = 0
        self._open_numbers: set[int] = set()
        self._waiters_by_id: dict[str, Deferred[DispatchedPrefill]] = {}
        self._timer: Timer | None = None
        self.estimate_age: Callable[[], float] = lambda: 0.0

    def wait(self, prompt: WaitingPrompt) -> Deferred[DispatchedPrefill]:
        """
        Queue a prompt and wait until it is dispatched to an engine.

        :param prompt: the prompt; cancelling the Deferred removes it from the queue.
        :returns: a Deferred that fires with the dispatched prefill.
        :raises CannotBeInTime: once the prompt can no longer be served in time.
        :raises NoTarget: if no engine accepts work.
        """

        def on_cancel(_: Deferred[DispatchedPrefill]) -> None:
            self._queue.remove(prompt.request_id)
            self._waiters_by_id.pop(prompt.request_id, None)

        waiter: Deferred[DispatchedPrefill] = Deferred(on_cancel)
        now = self._timers.now()
        refused = self._queue.add(prompt, now)
        if refused is not None:
            self._log_refusal(prompt, refused)
            waiter.errback(refused)
            return waiter
        self._waiters_by_id[prompt.request_id] = waiter
        self._dispatch_ready(now)
        return waiter

    def dispatch_waiting(self) -> None:
        """Dispatch the prompts that engines have room for."""
        if not self._waiters_by_id:
            return
        self._dispatch_ready(self._timers.now())

    def _dispatch_ready(self, now: float) -> None:
        while (found := self._queue.pop_next(now)) is not None:
            prompt, placement = found
            ticket = self._start_prefill(prompt, placement, now)
            self._waiters_by_id.pop(prompt.request_id).callback(ticket)
        if self._waiters_by_id and self._timer is None:
            self._timer = self._timers.call_later(POLL_INTERVAL, self._on_poll_timer)

    def _on_poll_timer(self) -> None:
        self._timer = None
        self._refuse_unservable()
        self.dispatch_waiting()

    def _refuse_unservable(self) -> None:
        """Reject the prompts that can no longer be served in time."""
        for prompt in self._queue.pop_unservable(self._timers.now()):
            failure = CannotBeInTime("the engines fell behind", DEFAULT_RETRY_AFTER)
            self._log_refusal(prompt, failure)
            self._waiters_by_id.pop(prompt.request_id).errback(failure)

    def _start_prefill(
        self, prompt: WaitingPrompt, placement: Placement, now: float
    ) -> DispatchedPrefill:
        """Record a dispatch and announce it; the caller sends the request."""
        number = self._next_number
        self._next_number += 1
        self._open_numbers.add(number)
        estimate = placement.estimate
        estimate.start_prefill(
            prefill_ticket(self._gateway, number),
            placement.tokens,
            prompt.parts,
            now,
            placement.copied_tokens,
            placement.transmission_delay,
        )
        self._publisher.broadcast(
            PrefillStarted(
                number,
                estimate.target.key,
                placement.tokens,
                encode_parts(prompt.parts),
                placement.copied_tokens,
                min(
                    MAX_TRANSMISSION_DELAY_MS,
                    round(1000 * placement.transmission_delay),
                ),
            )
        )
        self._log.write(
            LogEvent.PROMPT_PLACED,
            request=prompt.request_id,
            target=estimate.target.target_id,
            role=estimate.target.role.value,
            tokens=placement.tokens,
            held=placement.cached_tokens,
            copied=placement.copied_tokens,
            waited=round(now - prompt.arrived_at, 3),
            predicted=round(placement.done_at - now, 3),
            way=round(placement.transmission_delay, 4),
            waiting=len(self._queue),
            list_age=round(self.estimate_age(), 3),
        )
        return DispatchedPrefill(number, prompt.request_id, placement, now)

    def open_prefills(self) -> OpenPrefills:
        """Return the prefills of this gateway that have not ended."""
        return OpenPrefills(self._next_number, sorted(self._open_numbers))

    def end(self, ticket: DispatchedPrefill, is_good: bool) -> None:
        """
        Record the end of a prefill; a second call for it has no effect.

        :param ticket: the prefill.
        :param is_good: whether it completed; only then is its duration used.
        """
        if ticket.is_over:
            return
        ticket.is_over = True
        estimate = ticket.placement.estimate
        now = self._timers.now()
        self._open_numbers.discard(ticket.number)
        ticket_key = prefill_ticket(self._gateway, ticket.number)
        busy = estimate.end_prefill(ticket_key, is_good, now)
        if is_good and ticket.was_timed:
            # Predictions made before any prefill was measured say nothing about the
            # delay of this gateway. When they were included, 3 of 290 requests were
            # rejected at low load.
            self._gateway_delay.learn(now - ticket.placement.engine_done_at, now)
        target_id = estimate.target.target_id
        self._publisher.broadcast(
            PrefillEnded(ticket.number, estimate.target.key, is_good)
        )
        self._log.write(
            LogEvent.READING_ENDED,
            request=ticket.request_id,
            target=target_id,
            role=estimate.target.role.value,
            good=is_good,
            tokens=ticket.placement.tokens,
            copied=ticket.placement.copied_tokens,
            took=round(now - ticket.began_at, 4),
            predicted=round(ticket.expected, 4),
            busy=None if busy is None else round(busy, 4),
            left=round(estimate.backlog(now), 4),
        )
        self.dispatch_waiting()

    def _log_refusal(self, prompt: WaitingPrompt, failure: Failure) -> None:
        self._log.write(
            LogEvent.PROMPT_REFUSED,
            request=prompt.request_id,
            code=failure.code,
            detail=failure.detail,
            waited=round(self._timers.now() - prompt.arrived_at, 3),
            waiting=len(self._queue),
            list_age=round(self.estimate_age(), 3),
        )


def encode_parts(parts: tuple[PromptPart, ...]) -> list[tuple[int, int]]:
    """Encode prompt parts for a message to another gateway."""
    return [(part.part_id, part.tokens) for part in parts]
