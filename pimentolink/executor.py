"""Executes the attempts that entries submit to one target."""

from __future__ import annotations

from result import Err, Result
from twisted.internet.defer import Deferred

from pimentolink import link_pb2
from pimentolink.attempt import Attempt, AttemptKey
from pimentolink.claimedcalls import ClaimedCalls, ClaimedListener, ClaimPartitions
from pimentolink.errors import Draining, Failure, NotRun, Overloaded, TargetFailed
from pimentolink.httpclient import Answer
from pimentolink.links import SidecarLink
from pimentolink.outcomes import finish_from_answer, finish_from_failure
from pimentolink.settings import QueueSettings
from pimentolink.targetqueue import LOWEST_PRIORITY, QueuedRequest, TargetQueue
from pimentolink.targets import Target, TargetCall
from pimentolink.timers import Timers
from pimentolink.tracing import Tracing

# Prompts of at least this many tokens noticeably slow down the other requests that the
# engine serves at the time; their tokens are reported separately in the load.
LONG_PREFILL_TOKENS = 1_024


class Executor:
    """
    Queues, starts and finishes the attempts at one target.

    Sends exactly one ``Finish`` for each submitted attempt, unless its link is lost or
    the entry cancels it.

    A claim is a stored record that a call with an idempotency key may run once. A call
    under a claim is made at most once and runs to completion even if no attempt waits
    for it any more.

    The attributes ``is_draining``, ``is_held``, ``is_drained`` and ``target_is_lost``
    are independent reasons to refuse new attempts.

    :ivar older_system: client of the older system, which serves the submissions with
        ``to_older_system``; ``None`` if the configuration has no older system.
    :ivar prefill_done: prompt tokens, as predicted by the entry, of the attempts whose
        first token was received since the start.
    :ivar decode_done: output tokens received since the start.
    :ivar long_prefill_asked: prompt tokens of long prompts submitted since the start,
        including attempts that the full queue then refused or removed.
    :ivar is_draining: whether this process is stopping.
    :ivar is_held: whether new attempts are refused until :meth:`release`, because an
        order to the engine is due.
    :ivar target_is_lost: whether the target has stopped responding; reset by the owner
        of this object when the target responds again.
    :ivar is_drained: whether the configuration takes the target out of service or does
        not contain it.
    """

    def __init__(
        self,
        settings: QueueSettings,
        target: Target,
        claims: ClaimPartitions,
        timers: Timers,
        tracing: Tracing,
        max_kept_answers: int,
    ) -> None:
        """
        Create an executor without any attempts.

        :param settings: limits of the queue.
        :param target: the target that this sidecar serves.
        :param claims: claims keys in their partitions, which are shares of a service's
            claims.
        :param timers: the timer service.
        :param tracing: creates spans.
        :param max_kept_answers: maximum number of responses kept for callers that
            repeat a request.
        """
        self._target = target
        self._timers = timers
        self._tracing = tracing
        self.older_system: Target | None = None
        self._slots = settings.slots
        self._queue: TargetQueue[AttemptKey] = TargetQueue(settings)
        self._attempts_by_key: dict[AttemptKey, Attempt] = {}
        self._claimed_calls = ClaimedCalls(
            claims,
            max_kept_answers,
            self._start_claimed_call,
            self.finish,
            lambda: self.target_is_lost,
        )
        self._idle_waiters: list[Deferred[None]] = []
        self.prefill_done = 0
        self.decode_done = 0
        self.long_prefill_asked = 0
        self.is_draining = False
        self.is_held = False
        self.target_is_lost = False
        self.is_drained = False

    @property
    def is_accepting(self) -> bool:
        """Whether new attempts are accepted."""
        is_refusing_work = self.is_draining or self.is_drained or self.is_held
        return not is_refusing_work and not self.target_is_lost

    @property
    def is_idle(self) -> bool:
        """Whether no attempt is queued or running and no claimed call is open."""
        return not self._attempts_by_key and self._claimed_calls.is_empty

    def load(self) -> link_pb2.Load:
        """Return the current load."""
        return link_pb2.Load(
            running=self._queue.running,
            waiting=self._queue.waiting,
            prefill_tokens=self._queue.prefill_tokens,
            decode_tokens=self._queue.decode_tokens,
            accepting=self.is_accepting,
            slots=self._slots,
            held=self.is_held or self.is_drained,
            prefill_done=self.prefill_done,
            decode_done=self.decode_done,
            long_prefill_asked=self.long_prefill_asked,
        )

    def submit(self, link: SidecarLink, submit: link_pb2.Submit) -> None:
        """
        Queue an attempt, or join it to a claimed call with the same key.

        :param link: the link it was received on.
        :param submit: the message that describes it.
        """
        attempt = Attempt(AttemptKey(id(link), submit.attempt_id), link, submit)
        attempt.span = self._tracing.start(
            "sidecar", submit.request_id, submit.traceparent
        )
        if not self.is_accepting:
            failure = Draining("the target takes no new work")
            self._send_finish(attempt, finish_from_failure(failure))
            return
        if submit.idempotency_key:
            self._attempts_by_key[attempt.key] = attempt
            if self._claimed_calls.join(attempt):
                return
        queued = QueuedRequest(
            attempt.key,
            min(submit.priority, LOWEST_PRIORITY),
            self._timers.now(),
            submit.prefill_tokens,
            submit.decode_tokens,
        )
        self._attempts_by_key[attempt.key] = attempt
        if submit.prefill_tokens >= LONG_PREFILL_TOKENS:
            self.long_prefill_asked += submit.prefill_tokens
        self._fail_shed_attempt(self._queue.offer(queued), attempt)
        self._start_next()

    def cancel(self, link: SidecarLink, attempt_id: int) -> None:
        """
        Cancel an attempt; a call under a claim continues.

        :param link: the link it was submitted on.
        :param attempt_id: its identifier on that link.
        """
        attempt = self._attempts_by_key.get(AttemptKey(id(link), attempt_id))
        if attempt is not None:
            self._abandon(attempt)

    def pause(self, link: SidecarLink, attempt_id: int, paused: bool) -> None:
        """
        Pause or resume reading the target's response to an attempt.

        :param link: the link it was submitted on.
        :param attempt_id: its identifier on that link.
        :param paused: whether to pause.
        """
        attempt = self._attempts_by_key.get(AttemptKey(id(link), attempt_id))
        if attempt is not None and attempt.running is not None:
            attempt.running.pause(paused)

    def link_down(self, link: SidecarLink) -> None:
        """
        Cancel all attempts of a link.

        :param link: the link that was lost.
        """
        lost = [
            attempt
            for attempt in self._attempts_by_key.values()
            if attempt.link is link
        ]
        for attempt in lost:
            self._abandon(attempt)

    def mark_target_lost(self) -> None:
        """
        Fail queued and running attempts, since the target no longer responds.

        Attempts that wait for a claimed call are finished when that call ends.
        """
        self.target_is_lost = True
        for attempt in list(self._attempts_by_key.values()):
            if attempt.running is not None and not attempt.submit.idempotency_key:
                attempt.running.cancel()
                self.fail(attempt, TargetFailed("the target does not answer"))
            elif attempt.running is None and not self._claimed_calls.contains(attempt):
                self.fail(attempt, NotRun("the target does not answer"))

    def hold(self) -> Deferred[None]:
        """
        Refuse new attempts until :meth:`release`.

        :returns: a Deferred that fires when all attempts accepted before have finished.
        """
        self.is_held = True
        return self.when_idle()

    def release(self) -> None:
        """Accept new attempts again."""
        self.is_held = False

    def when_idle(self) -> Deferred[None]:
        """
        Wait until the executor is idle.

        :returns: a Deferred that fires when no attempt and no claimed call is left; at
            once if the executor is idle already.
        """
        waiter: Deferred[None] = Deferred()
        self._idle_waiters.append(waiter)
        self._notify_if_idle()
        return waiter

    def tokens(self, attempt: Attempt, tokens: list[str]) -> None:
        """Send tokens of a response to the entry."""
        attempt.link.send_event(
            link_pb2.Event(
                attempt_id=attempt.key.attempt_id, offset=attempt.offset, tokens=tokens
            )
        )
        if attempt.offset == len(attempt.submit.resume_tokens):
            # The first token of this attempt: its prompt has been processed.
            self.prefill_done += attempt.submit.prefill_tokens
            self._queue.prefilled(attempt.key)
        attempt.offset += len(tokens)
        self.decode_done += len(tokens)

    def finish(self, attempt: Attempt, finish: link_pb2.Finish) -> None:
        """Finish an attempt and start the next one."""
        self._remove_attempt(attempt)
        self._send_finish(attempt, finish)
        self._start_next()

    def fail(self, attempt: Attempt, failure: Failure) -> None:
        """Finish an attempt with a failure."""
        self.finish(attempt, finish_from_failure(failure))

    def _send_finish(self, attempt: Attempt, finish: link_pb2.Finish) -> None:
        attempt.span.set_attribute("outcome", finish.error_code or "complete")
        attempt.call_span.end()
        attempt.span.end()
        finish.spans = self._tracing.pop_encoded(attempt.submit.request_id)
        attempt.link.send_event(
            link_pb2.Event(
                attempt_id=attempt.key.attempt_id, offset=attempt.offset, finish=finish
            )
        )

    def _fail_shed_attempt(
        self, offer_result: Result[AttemptKey | None, Overloaded], attempt: Attempt
    ) -> None:
        """Fail the attempt that the full queue refused or removed, if any."""
        if isinstance(offer_result, Err):
            self.fail(attempt, offer_result.err_value)
        elif offer_result.ok_value is not None:
            shed = self._attempts_by_key[offer_result.ok_value]
            self.fail(shed, Overloaded("more urgent work came"))

    def _start_next(self) -> None:
        while not self.target_is_lost:
            item = self._queue.take(self._timers.now())
            if item is None:
                return
            self._start(self._attempts_by_key[item.key])

    def _start(self, attempt: Attempt) -> None:
        submit = attempt.submit
        if submit.idempotency_key:
            if self._claimed_calls.join(attempt):
                # An attempt that waits for another attempt's call occupies no slot.
                self._queue.remove(attempt.key)
            else:
                self._claimed_calls.start(attempt)
            return
        listener = _AttemptListener(self, attempt)
        target = self._target_for(submit)
        # Only requests to a model have token counts; their responses are streamed.
        if submit.prefill_tokens or submit.decode_tokens:
            attempt.running = target.start_stream(
                self._make_target_call(attempt), listener
            )
        else:
            attempt.running = target.start_plain(
                self._make_target_call(attempt), listener
            )

    def _start_claimed_call(self, attempt: Attempt, listener: ClaimedListener) -> None:
        target = self._target_for(attempt.submit)
        target.start_plain(self._make_target_call(attempt), listener)

    def _target_for(self, submit: link_pb2.Submit) -> Target:
        if submit.to_older_system and self.older_system is not None:
            return self.older_system
        return self._target

    def _make_target_call(self, attempt: Attempt) -> TargetCall:
        """Start the span of an attempt's call and return the call."""
        submit = attempt.submit
        headers = {header.name: header.value for header in submit.headers}
        attempt.call_span = self._tracing.start(
            "target", submit.request_id, self._tracing.traceparent(attempt.span)
        )
        traceparent = self._tracing.traceparent(attempt.call_span) or submit.traceparent
        if traceparent:
            headers["traceparent"] = traceparent
        return TargetCall(
            attempt=f"{submit.request_id}.{submit.attempt_id}",
            method=submit.method,
            path=submit.path,
            headers=headers,
            body=submit.body,
            priority=submit.priority,
            resume_tokens=list(submit.resume_tokens),
            is_repeatable=not submit.idempotency_key,
            prefill_only=submit.prefill_only,
            cache=submit.cache,
        )

    def _abandon(self, attempt: Attempt) -> None:
        if attempt.running is not None:
            attempt.running.cancel()
        self._claimed_calls.abandon(attempt)
        attempt.call_span.end()
        attempt.span.end()
        # Discard the spans: no Finish will carry them.
        self._tracing.pop_encoded(attempt.submit.request_id)
        self._remove_attempt(attempt)
        self._start_next()

    def _remove_attempt(self, attempt: Attempt) -> None:
        self._attempts_by_key.pop(attempt.key, None)
        self._queue.remove(attempt.key)
        self._notify_if_idle()

    def _notify_if_idle(self) -> None:
        if not self.is_idle:
            return
        waiters, self._idle_waiters = self._idle_waiters, []
        for waiter in waiters:
            waiter.callback(None)


class _AttemptListener:
    """Forwards the events of a call without a claim to its attempt."""

    def __init__(self, executor: Executor, attempt: Attempt) -> None:
        self._executor = executor
        self._attempt = attempt

    def tokens(self, tokens: list[str]) -> None:
        self._executor.tokens(self._attempt, tokens)

    def finished(self, answer: Answer, finish_reason: str) -> None:
        finish = finish_from_answer(answer)
        finish.finish_reason = finish_reason
        if self._attempt.submit.prefill_only:
            finish.cache = finish.body
            finish.body = b""
        self._executor.finish(self._attempt, finish)

    def failed(self, failure: Failure) -> None:
        self._executor.fail(self._attempt, failure)
