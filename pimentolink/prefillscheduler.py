"""Lets prompts wait for an engine, and has them read there."""

from __future__ import annotations

from collections.abc import Callable

from twisted.internet.defer import Deferred

from pimentolink.dialect import PromptPart
from pimentolink.errors import USUAL_PAUSE, CannotBeInTime, Failure
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

# Seconds between two looks at the queue when nothing happens; predictions shift with
# time alone.
LOOK_INTERVAL = 0.05


class Ticket:
    """A reading that an engine was given, from its sending to its end."""

    def __init__(
        self, number: int, request_id: str, placement: Placement, began_at: float
    ) -> None:
        """
        Record what was predicted.

        :param number: of the reading, among this gateway's.
        :param request_id: whose prompt is read.
        :param placement: where it is read.
        :param began_at: seconds of the timer service.
        """
        self.number = number
        self.request_id = request_id
        self.placement = placement
        self.began_at = began_at
        self.expected = placement.done_at - began_at
        self.was_timed = placement.estimate.is_timed
        self.is_over = False


class PrefillScheduler:
    """The queue of this gateway with the loop that empties it."""

    def __init__(
        self,
        queue: PrefillQueue,
        news: PeerPublisher,
        timers: Timers,
        log: Log,
        gateway: str,
        own_delay: GatewayDelay,
    ) -> None:
        """
        Start empty.

        :param queue: decides.
        :param news: tells other gateways.
        :param timers: the timer service.
        :param log: where events go.
        :param gateway: this process's life, which names its readings.
        :param own_delay: learns what they take beyond their engine's time.
        """
        self._queue = queue
        self._news = news
        self._timers = timers
        self._log = log
        self._gateway = gateway
        self._own_delay = own_delay
        self._next_number = 0
        self._open_numbers: set[int] = set()
        self._waiters_by_id: dict[str, Deferred[Ticket]] = {}
        self._timer: Timer | None = None
        self.belief_age: Callable[[], float] = lambda: 0.0

    def wait(self, prompt: WaitingPrompt) -> Deferred[Ticket]:
        """
        Wait until an engine has room for a prompt.

        :returns: where it is to be read.
        :raises CannotBeInTime: once it is known that it cannot be served.
        :raises NoTarget: if no engine takes work.
        """

        def left(_: Deferred[Ticket]) -> None:
            self._queue.drop(prompt.request_id)
            self._waiters_by_id.pop(prompt.request_id, None)

        waiter: Deferred[Ticket] = Deferred(left)
        now = self._timers.now()
        refused = self._queue.add(prompt, now)
        if refused is not None:
            self._tell_refusal(prompt, refused)
            waiter.errback(refused)
            return waiter
        self._waiters_by_id[prompt.request_id] = waiter
        self._send_on(now)
        return waiter

    def look(self) -> None:
        """Send what has room."""
        if not self._waiters_by_id:
            return
        self._send_on(self._timers.now())

    def _send_on(self, now: float) -> None:
        while (found := self._queue.next(now)) is not None:
            prompt, placement = found
            ticket = self._begin(prompt, placement, now)
            self._waiters_by_id.pop(prompt.request_id).callback(ticket)
        if self._waiters_by_id and self._timer is None:
            self._timer = self._timers.call_later(LOOK_INTERVAL, self._look_again)

    def _look_again(self) -> None:
        self._timer = None
        self._refuse_hopeless()
        self.look()

    def _refuse_hopeless(self) -> None:
        for prompt in self._queue.hopeless(self._timers.now()):
            failure = CannotBeInTime("the engines fell behind", USUAL_PAUSE)
            self._tell_refusal(prompt, failure)
            self._waiters_by_id.pop(prompt.request_id).errback(failure)

    def _begin(self, prompt: WaitingPrompt, placement: Placement, now: float) -> Ticket:
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
            placement.way,
        )
        self._news.broadcast(
            PrefillStarted(
                number,
                estimate.target.key,
                placement.tokens,
                parts_of(prompt.parts),
                placement.copied_tokens,
                min(MAX_TRANSMISSION_DELAY_MS, round(1000 * placement.way)),
            )
        )
        self._log.write(
            LogEvent.PROMPT_PLACED,
            request=prompt.request_id,
            target=estimate.target.target_id,
            role=estimate.target.role.value,
            tokens=placement.tokens,
            held=placement.held_tokens,
            copied=placement.copied_tokens,
            waited=round(now - prompt.arrived_at, 3),
            predicted=round(placement.done_at - now, 3),
            way=round(placement.way, 4),
            waiting=len(self._queue),
            list_age=round(self.belief_age(), 3),
        )
        return Ticket(number, prompt.request_id, placement, now)

    def open_prefills(self) -> OpenPrefills:
        """Tell which readings of this gateway have not ended."""
        return OpenPrefills(self._next_number, sorted(self._open_numbers))

    def end(self, ticket: Ticket, is_good: bool) -> None:
        """
        Count a reading no more.

        :param is_good: whether it came to its end, so that its time can be learned.
        """
        if ticket.is_over:
            return
        ticket.is_over = True
        estimate = ticket.placement.estimate
        now = self._timers.now()
        self._open_numbers.discard(ticket.number)
        name = prefill_ticket(self._gateway, ticket.number)
        busy = estimate.end_prefill(name, is_good, now)
        if is_good and ticket.was_timed:
            # What was predicted before any reading was timed says nothing of this
            # gateway: of 290 calm requests 3 were turned away for it.
            self._own_delay.learn(now - ticket.placement.engine_done_at, now)
        target_id = estimate.target.target_id
        self._news.broadcast(PrefillEnded(ticket.number, estimate.target.key, is_good))
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
        self.look()

    def _tell_refusal(self, prompt: WaitingPrompt, failure: Failure) -> None:
        self._log.write(
            LogEvent.PROMPT_REFUSED,
            request=prompt.request_id,
            code=failure.code,
            detail=failure.detail,
            waited=round(self._timers.now() - prompt.arrived_at, 3),
            waiting=len(self._queue),
            list_age=round(self.belief_age(), 3),
        )


def parts_of(parts: tuple[PromptPart, ...]) -> list[tuple[int, int]]:
    """Write parts for another gateway."""
    return [(part.part_id, part.tokens) for part in parts]
