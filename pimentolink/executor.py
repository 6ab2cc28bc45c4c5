"""Carries out what entries submit to one target."""

from __future__ import annotations

from result import Err, Result
from twisted.internet.defer import Deferred

from pimentolink import link_pb2
from pimentolink.attempt import Attempt, AttemptKey
from pimentolink.claimedcalls import ClaimedCalls, ClaimedListener, ClaimSource
from pimentolink.errors import Draining, Failure, NotRun, Overloaded, TargetFailed
from pimentolink.httpclient import Answer
from pimentolink.links import SidecarLink
from pimentolink.outcomes import finish_of, finish_of_answer
from pimentolink.settings import QueueSettings
from pimentolink.targetqueue import LOWEST_PRIORITY, TargetQueue, Waiting
from pimentolink.targets import Target, TargetCall
from pimentolink.timers import Timers
from pimentolink.tracing import Tracing

# Tokens of prompt work from which on a request weighs on others' answers.
LONG_PREFILL = 1_024


class Executor:
    """
    Queues, starts and ends attempts at one target.

    Each attempt that was submitted gets exactly one finish, unless its link is lost
    or the entry cancels it. A call under a claim is made at most once, and goes on
    to its end though nobody waits for it any more.
    """

    def __init__(
        self,
        settings: QueueSettings,
        target: Target,
        claims: ClaimSource,
        timers: Timers,
        tracing: Tracing,
        answers_kept: int,
    ) -> None:
        """
        Start empty.

        :param settings: bounds of the queue.
        :param target: the target beside this sidecar.
        :param claims: commits claims of calls that may not be repeated.
        :param timers: the timer service.
        :param tracing: makes spans.
        :param answers_kept: answers kept for callers that ask again.
        """
        self._target = target
        self._timers = timers
        self._tracing = tracing
        self.older_system: Target | None = None
        self._slots = settings.slots
        self._queue: TargetQueue[AttemptKey] = TargetQueue(settings)
        self._attempts_by_key: dict[AttemptKey, Attempt] = {}
        self._claimed = ClaimedCalls(
            claims,
            answers_kept,
            self._make_claimed,
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
        """Whether new work is taken."""
        is_kept_out = self.is_draining or self.is_drained or self.is_held
        return not is_kept_out and not self.target_is_lost

    @property
    def is_idle(self) -> bool:
        """Whether nothing is queued, running or under a claim."""
        return not self._attempts_by_key and self._claimed.is_empty

    def load(self) -> link_pb2.Load:
        """Report the load as of now."""
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
        Take an attempt.

        :param link: whose it is.
        :param submit: what to do.
        """
        attempt = Attempt(AttemptKey(id(link), submit.attempt_id), link, submit)
        attempt.span = self._tracing.start(
            "sidecar", submit.request_id, submit.traceparent
        )
        if not self.is_accepting:
            failure = Draining("the target takes no new work")
            self._send_end(attempt, finish_of(failure))
            return
        if submit.idempotency_key:
            self._attempts_by_key[attempt.key] = attempt
            if self._claimed.join(attempt):
                return
        waiting = Waiting(
            attempt.key,
            min(submit.priority, LOWEST_PRIORITY),
            self._timers.now(),
            submit.prefill_tokens,
            submit.decode_tokens,
        )
        self._attempts_by_key[attempt.key] = attempt
        if submit.prefill_tokens >= LONG_PREFILL:
            self.long_prefill_asked += submit.prefill_tokens
        self._shed(self._queue.offer(waiting), attempt)
        self._start_next()

    def cancel(self, link: SidecarLink, attempt_id: int) -> None:
        """
        Give an attempt up; a call under a claim goes on.

        :param link: whose it is.
        :param attempt_id: which.
        """
        attempt = self._attempts_by_key.get(AttemptKey(id(link), attempt_id))
        if attempt is not None:
            self._abandon(attempt)

    def pause(self, link: SidecarLink, attempt_id: int, paused: bool) -> None:
        """
        Stop or restart reading the answer of an attempt.

        :param link: whose it is.
        :param attempt_id: which.
        :param paused: whether to stop.
        """
        attempt = self._attempts_by_key.get(AttemptKey(id(link), attempt_id))
        if attempt is not None and attempt.running is not None:
            attempt.running.pause(paused)

    def link_down(self, link: SidecarLink) -> None:
        """
        Give up every attempt of a link.

        :param link: the link that is gone.
        """
        lost = [
            attempt
            for attempt in self._attempts_by_key.values()
            if attempt.link is link
        ]
        for attempt in lost:
            self._abandon(attempt)

    def lose_target(self) -> None:
        """Fail all that runs: the target no longer answers."""
        self.target_is_lost = True
        for attempt in list(self._attempts_by_key.values()):
            if attempt.running is not None and not attempt.submit.idempotency_key:
                attempt.running.cancel()
                self.fail(attempt, TargetFailed("the target does not answer"))
            elif attempt.running is None and not self._claimed.has(attempt):
                self.fail(attempt, NotRun("the target does not answer"))

    def hold(self) -> Deferred[None]:
        """
        Take no new work until :meth:`release`.

        :returns: ends when what was taken before has ended.
        """
        self.is_held = True
        return self.when_idle()

    def release(self) -> None:
        """Take new work again."""
        self.is_held = False

    def when_idle(self) -> Deferred[None]:
        """
        Wait for the end of all work.

        :returns: ends at once if there is none.
        """
        waiter: Deferred[None] = Deferred()
        self._idle_waiters.append(waiter)
        self._tell_if_idle()
        return waiter

    def tokens(self, attempt: Attempt, tokens: list[str]) -> None:
        """Pass tokens of an answer on."""
        attempt.link.send_event(
            link_pb2.Event(
                attempt_id=attempt.key.attempt_id, offset=attempt.offset, tokens=tokens
            )
        )
        if attempt.offset == len(attempt.submit.resume_tokens):
            self.prefill_done += attempt.submit.prefill_tokens
            self._queue.prefilled(attempt.key)
        attempt.offset += len(tokens)
        self.decode_done += len(tokens)

    def finish(self, attempt: Attempt, finish: link_pb2.Finish) -> None:
        """End an attempt."""
        self._forget(attempt)
        self._send_end(attempt, finish)
        self._start_next()

    def fail(self, attempt: Attempt, failure: Failure) -> None:
        """End an attempt with a failure."""
        self.finish(attempt, finish_of(failure))

    def _send_end(self, attempt: Attempt, finish: link_pb2.Finish) -> None:
        attempt.span.set_attribute("outcome", finish.error_code or "complete")
        attempt.call_span.end()
        attempt.span.end()
        finish.spans = self._tracing.take(attempt.submit.request_id)
        attempt.link.send_event(
            link_pb2.Event(
                attempt_id=attempt.key.attempt_id, offset=attempt.offset, finish=finish
            )
        )

    def _shed(
        self, offered: Result[AttemptKey | None, Overloaded], attempt: Attempt
    ) -> None:
        if isinstance(offered, Err):
            self.fail(attempt, offered.err_value)
        elif offered.ok_value is not None:
            shed = self._attempts_by_key[offered.ok_value]
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
            if self._claimed.join(attempt):
                # A slot is only held while the attempt's own call runs.
                self._queue.remove(attempt.key)
            else:
                self._claimed.start(attempt)
            return
        listener = _AttemptListener(self, attempt)
        place = self._place_of(submit)
        if submit.prefill_tokens or submit.decode_tokens:
            attempt.running = place.start_stream(self._call_of(attempt), listener)
        else:
            attempt.running = place.start_plain(self._call_of(attempt), listener)

    def _make_claimed(self, attempt: Attempt, listener: ClaimedListener) -> None:
        place = self._place_of(attempt.submit)
        place.start_plain(self._call_of(attempt), listener)

    def _place_of(self, submit: link_pb2.Submit) -> Target:
        if submit.to_older_system and self.older_system is not None:
            return self.older_system
        return self._target

    def _call_of(self, attempt: Attempt) -> TargetCall:
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
        self._claimed.abandon(attempt)
        attempt.call_span.end()
        attempt.span.end()
        self._tracing.take(attempt.submit.request_id)
        self._forget(attempt)
        self._start_next()

    def _forget(self, attempt: Attempt) -> None:
        self._attempts_by_key.pop(attempt.key, None)
        self._queue.remove(attempt.key)
        self._tell_if_idle()

    def _tell_if_idle(self) -> None:
        if not self.is_idle:
            return
        waiters, self._idle_waiters = self._idle_waiters, []
        for waiter in waiters:
            waiter.callback(None)


class _AttemptListener:
    """Ties a call that may be repeated to its attempt."""

    def __init__(self, executor: Executor, attempt: Attempt) -> None:
        self._executor = executor
        self._attempt = attempt

    def tokens(self, tokens: list[str]) -> None:
        self._executor.tokens(self._attempt, tokens)

    def finished(self, answer: Answer, finish_reason: str) -> None:
        finish = finish_of_answer(answer)
        finish.finish_reason = finish_reason
        if self._attempt.submit.prefill_only:
            finish.cache = finish.body
            finish.body = b""
        self._executor.finish(self._attempt, finish)

    def failed(self, failure: Failure) -> None:
        self._executor.fail(self._attempt, failure)
