"""Brings each request to its final answer, over as many attempts as it takes."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple, Protocol

from opentelemetry import trace
from result import Err

from pimentolink import link_pb2
from pimentolink.adoption import Adoption
from pimentolink.attempt import CALLER_HEADER
from pimentolink.claimtable import call_digest
from pimentolink.directory import TargetDirectory
from pimentolink.errors import (
    REJECTIONS,
    CallerTooSlow,
    ClaimUnavailable,
    CrossedAnswer,
    Draining,
    Failure,
    LateAnswer,
    LinkLost,
    NoTarget,
    NotRun,
    OutcomeUnknown,
    TargetFailed,
)
from pimentolink.logs import Log, LogEvent
from pimentolink.outcomes import failure_of, final_failure
from pimentolink.prefixes import PrefixMemory
from pimentolink.request import Progress, Request
from pimentolink.retry import RetryBudget
from pimentolink.router import Router
from pimentolink.settings import EntrySettings
from pimentolink.targetpool import PREFILL, TargetState
from pimentolink.timers import Timer, Timers
from pimentolink.tracing import Tracing

# Attempts at one target that failed, after which the end of a planned change of another
# target is waited for.
MAX_BEFORE_WAITING = 2
# Seconds between two looks of a request that waits for it, in case its end is not told.
CHANGE_CHECK = 1.0


class Reply(Protocol):
    """Where a request's answer goes; exactly one of the last two is called, once."""

    def tokens(self, tokens: list[str]) -> None:
        """Take the next tokens of a model's answer."""

    def complete(self, finish: link_pb2.Finish, progress: Progress) -> None:
        """Take the end of a whole answer."""

    def fail(self, failure: Failure, progress: Progress) -> None:
        """Take the final answer of a request that is given up."""


class _Work(NamedTuple):
    """A request in work."""

    progress: Progress
    reply: Reply
    timers: dict[str, Timer]
    spans: dict[str, trace.Span]


class Dispatcher:
    """
    Requests in work at one entry.

    Guards that each request gets one final answer, that an answer is matched to the
    attempt that asked for it, and that a request is retried only where that is safe:
    a call that may not be repeated carries its key to a sidecar that claims it.
    """

    def __init__(
        self,
        settings: EntrySettings,
        adoption: Adoption,
        directory: TargetDirectory,
        router: Router,
        memory: PrefixMemory,
        timers: Timers,
        tracing: Tracing,
        log: Log,
    ) -> None:
        """
        Start without requests or targets.

        :param settings: limits and retries.
        :param adoption: the configuration in force.
        :param directory: the targets that are linked.
        :param router: chooses among them.
        :param memory: which prompts were read where.
        :param timers: the timer service.
        :param tracing: makes spans.
        :param log: where events go.
        """
        self._settings = settings
        self._adoption = adoption
        self._directory = directory
        self._router = router
        self._memory = memory
        self._timers = timers
        self._tracing = tracing
        self._log = log
        self._budget = RetryBudget(settings.retry)
        self._last_attempt_id = 0
        self._work_by_request_id: dict[str, _Work] = {}
        self._request_id_by_attempt: dict[int, str] = {}
        self.late_events = 0
        self.retries = 0

    @property
    def in_flight(self) -> int:
        """Requests in work."""
        return len(self._work_by_request_id)

    def submit(self, request: Request, reply: Reply) -> None:
        """
        Take a request.

        :param request: what is asked.
        :param reply: where its answer goes.
        """
        progress = Progress(request, self._timers.now())
        work = _Work(progress, reply, {}, {})
        self._work_by_request_id[request.request_id] = work
        progress.to_older_system = self._belongs_to_older_system(request)
        self._budget.earn()
        self._set_timer(work, "patience", request.patience, lambda: self._expire(work))
        self._attempt(work)

    def cancel(self, request_id: str) -> None:
        """
        Forget a request whose caller has gone; its target is told.

        :param request_id: which.
        """
        work = self._work_by_request_id.get(request_id)
        if work is not None:
            self._withdraw_attempt(work)
            self._close(work)

    def pause(self, request_id: str, paused: bool) -> None:
        """
        Hold a request's target back while its caller reads slowly.

        :param request_id: which.
        :param paused: whether to hold it back.
        """
        work = self._work_by_request_id.get(request_id)
        if work is None or work.progress.attempt_id is None:
            return
        link = self._directory.link(work.progress.target_id)
        if link is not None:
            pause = link_pb2.Pause(attempt_id=work.progress.attempt_id, paused=paused)
            link.send(link_pb2.EntryMessage(pause=pause))
        if paused:
            self._set_timer(
                work,
                "stall",
                self._settings.limits.stall,
                lambda: self._give_up(work, CallerTooSlow()),
            )
        else:
            self._drop_timer(work, "stall")

    def target_down(self, target_id: str) -> None:
        """
        Move a lost target's requests elsewhere.

        :param target_id: the target whose link ended.
        """
        affected = [
            work
            for work in self._work_by_request_id.values()
            if work.progress.attempt_id is not None
            and work.progress.target_id == target_id
        ]
        for work in affected:
            self._attempt_failed(work, LinkLost(f"with {target_id}"))

    def step_received(self, step: link_pb2.Step) -> None:
        """Take all that happened at one target since its last step."""
        for event in step.events:
            work = self._work_of(event.attempt_id)
            if work is None:
                self.late_events += 1
                if event.HasField("finish"):
                    self._log.write(LogEvent.LATE_EVENT, attempt=event.attempt_id)
                continue
            if event.tokens:
                self._tokens_came(work, event)
            if event.HasField("finish") and not work.progress.is_over:
                self._finish_came(work, event.finish)

    def move_stalled(self) -> None:
        """Move each answer on whose target has sent no token for too long."""
        now = self._timers.now()
        limit = self._settings.retry.progress
        stalled = [
            work
            for work in self._work_by_request_id.values()
            if work.progress.attempt_id is not None
            and work.progress.first_token_at is not None
            and "stall" not in work.timers
            and now - work.progress.last_token_at > limit
        ]
        for work in stalled:
            failure = TargetFailed(f"no token for {limit:g} s")
            self._withdraw_attempt(work)
            self._attempt_failed(work, failure)

    def _work_of(self, attempt_id: int) -> _Work | None:
        request_id = self._request_id_by_attempt.get(attempt_id)
        if request_id is None:
            return None
        work = self._work_by_request_id[request_id]
        return work if work.progress.attempt_id == attempt_id else None

    def _attempt(self, work: _Work) -> None:
        progress = work.progress
        request = progress.request
        if progress.is_at_limit:
            # Only the end of the answer was lost; an engine would go on past it.
            self._complete(work, link_pb2.Finish(finish_reason="length"))
            return
        chosen = self._router.choose(
            progress.remaining,
            self._adoption.claim_partitions(request.service),
            progress.tried_target_ids,
            self._timers.now(),
        )
        target = None if isinstance(chosen, Err) else chosen.ok_value
        if self._waits_for_change(work, target):
            return
        if isinstance(chosen, Err):
            progress.attempts += 1
            self._retry_later(work, chosen.err_value)
            return
        target = chosen.ok_value
        self._last_attempt_id += 1
        progress.begin(self._last_attempt_id, target.target_id)
        progress.last_token_at = self._timers.now()
        self._request_id_by_attempt[self._last_attempt_id] = request.request_id
        work_tokens = self._prefill_work(progress, target)
        target.sent(work_tokens)
        progress.is_prefill_only = self._is_split(progress, target)
        span = self._tracing.start("attempt", request.request_id, request.traceparent)
        span.set_attribute("target", target.target_id)
        work.spans["attempt"] = span
        submit = self._submission(progress, work_tokens, span)
        link = self._directory.link(target.target_id)
        if link is not None:
            link.send(link_pb2.EntryMessage(submit=submit))

    def _waits_for_change(self, work: _Work, target: TargetState | None) -> bool:
        """
        Let a request wait for the end of a planned change, if that is best for it.

        With one engine ejected for its failures and the other under an order, requests
        used up their attempts within a fraction of a second and failed, though the
        order was done well before their patience ended.

        :param target: that it would be sent to; ``None`` if there is none.
        :returns: whether it waits, or was given up since the change takes too long.
        """
        was_waiting = self._drop_timer(work, "change")
        progress, now = work.progress, self._timers.now()
        failed = progress.tried_target_ids.count(target.target_id) if target else 0
        if target is not None and failed < MAX_BEFORE_WAITING:
            return False
        service = progress.request.service
        ends_in = self._router.change_ends_in(service, now)
        if ends_in is None:
            return False
        left = progress.started_at + progress.request.patience - now
        if ends_in > left:
            self._give_up(work, NoTarget(f"a target of {service} changes", ends_in))
            return True
        if not was_waiting:
            self._log.write(
                LogEvent.CHANGE_AWAITED,
                request=progress.request.request_id,
                service=service,
                expected=round(ends_in, 3),
                left=round(left, 3),
                attempts=progress.attempts,
            )
        self._set_timer(work, "change", CHANGE_CHECK, lambda: self._attempt(work))
        return True

    def _is_changing(self, progress: Progress) -> bool:
        """Tell whether a target of a request's service is under a planned change."""
        service = progress.request.service
        return self._router.change_ends_in(service, self._timers.now()) is not None

    def change_ended(self) -> None:
        """Send on what waits for the end of a planned change."""
        for work in list(self._work_by_request_id.values()):
            if "change" in work.timers:
                self._attempt(work)

    def _prefill_work(self, progress: Progress, target: TargetState) -> int:
        """Predict the prompt work that is left for a target, in tokens."""
        request = progress.remaining
        held = self._memory.expected_tokens(request, target.target_id)
        return max(1, request.prefill_tokens - held) + len(progress.tokens)

    def _is_split(self, progress: Progress, target: TargetState) -> bool:
        """Tell whether a target only reads the prompt for another to answer."""
        request = progress.request
        routing = self._settings.routing
        return (
            routing.split
            and target.load.role == PREFILL
            and request.prefill_tokens >= routing.split_from
            and progress.decode_tokens_left > 1
            and not progress.was_handed_over
            and not progress.to_older_system
        )

    def _belongs_to_older_system(self, request: Request) -> bool:
        """Draw by key, so that a caller's retry of a call draws alike."""
        service = self._adoption.service(request.service)
        if service is None or service.older_share == 0.0:
            return False
        drawn = call_digest(request.idempotency_key or request.request_id)
        return int(drawn[:8], 16) / 0x1_0000_0000 < service.older_share

    def _submission(
        self, progress: Progress, work_tokens: int, span: trace.Span
    ) -> link_pb2.Submit:
        request = progress.request
        headers = [
            link_pb2.Header(name=name, value=value)
            for name, value in request.headers.items()
        ]
        headers.append(link_pb2.Header(name=CALLER_HEADER, value=request.caller))
        return link_pb2.Submit(
            attempt_id=progress.attempt_id or 0,
            request_id=request.request_id,
            service=request.service,
            priority=request.priority,
            method=request.method,
            path=request.path,
            headers=headers,
            body=request.body,
            resume_tokens=progress.tokens,
            idempotency_key=request.idempotency_key,
            traceparent=self._tracing.traceparent(span) or request.traceparent,
            to_older_system=progress.to_older_system and progress.attempts == 1,
            prefill_tokens=work_tokens if request.is_model else 0,
            decode_tokens=progress.decode_tokens_left if request.is_model else 0,
            prefill_only=progress.is_prefill_only,
            cache=progress.cache,
        )

    def _tokens_came(self, work: _Work, event: link_pb2.Event) -> None:
        accepted = work.progress.accept(event.offset, list(event.tokens))
        if isinstance(accepted, Err):
            self._withdraw_attempt(work)
            self._attempt_failed(work, accepted.err_value)
            return
        progress = work.progress
        progress.last_token_at = self._timers.now()
        if progress.first_token_at is None:
            progress.first_token_at = progress.last_token_at
            self._memory.note(progress.request, progress.target_id)
        work.reply.tokens(accepted.ok_value)

    def _finish_came(self, work: _Work, finish: link_pb2.Finish) -> None:
        self._tracing.put(work.progress.request.request_id, finish.spans)
        target = self._directory.target(work.progress.target_id)
        if finish.outcome == link_pb2.COMPLETE:
            if target is not None:
                target.succeeded()
            self._end_attempt(work)
            if work.progress.is_prefill_only and finish.finish_reason != "stop":
                self._hand_over(work, finish.cache)
            else:
                self._complete(work, finish)
            return
        self._attempt_failed(work, failure_of(finish))

    def _complete(self, work: _Work, finish: link_pb2.Finish) -> None:
        self._close(work)
        work.reply.complete(finish, work.progress)

    def _hand_over(self, work: _Work, cache: bytes) -> None:
        """Go on with another engine, which is no retry."""
        progress = work.progress
        progress.cache = cache
        progress.was_handed_over = True
        progress.attempts -= 1
        progress.is_prefill_only = False
        self._attempt(work)

    def _attempt_failed(self, work: _Work, failure: Failure) -> None:
        progress = work.progress
        self._log.write(
            LogEvent.ATTEMPT_FAILED,
            request=progress.request.request_id,
            attempt=progress.attempt_id,
            target=progress.target_id,
            code=failure.code,
            detail=failure.detail,
        )
        self._blame_target(work, failure)
        progress.may_have_run |= failure.ran
        self._end_attempt(work)
        # A second sidecar is asked, in case the first alone is cut off from the
        # key-value service; more would only keep the caller waiting.
        is_down = isinstance(failure, ClaimUnavailable) and progress.attempts >= 2
        is_final = isinstance(failure, (*REJECTIONS, OutcomeUnknown))
        if is_final or is_down:
            self._give_up(work, failure)
        else:
            self._retry_later(work, failure)

    def _blame_target(self, work: _Work, failure: Failure) -> None:
        target = self._directory.target(work.progress.target_id)
        if target is None:
            return
        if isinstance(failure, Draining):
            # Nothing failed there: it may be asked again once it takes work.
            report_within = self._settings.links.load_interval
            target.turned_work_away(self._timers.now() + report_within)
            work.progress.tried_target_ids.remove(target.target_id)
        if not isinstance(failure, TargetFailed | CrossedAnswer):
            return
        if target.failed(self._timers.now(), self._settings.routing):
            self._log.write(LogEvent.TARGET_EJECTED, target=target.target_id)

    def _retry_later(self, work: _Work, failure: Failure) -> None:
        progress = work.progress
        retry = self._settings.retry
        is_first_move = progress.attempts == 1 and failure.ran
        if progress.attempts >= retry.attempts and not self._is_changing(progress):
            self._give_up(work, failure)
            return
        # The first move of a request whose target was lost is always granted: it at
        # most doubles the load. So is a move away from a planned change, which cost
        # the target nothing. The budget bounds all other retries.
        is_free = is_first_move or isinstance(failure, Draining)
        if not is_free and not self._budget.spend():
            self._give_up(work, failure)
            return
        self.retries += 1
        pause = min(retry.backoff_most, retry.backoff_first * 2**progress.attempts)
        if is_first_move:
            pause = 0.0
        self._set_timer(work, "retry", pause, lambda: self._attempt(work))

    def _expire(self, work: _Work) -> None:
        progress = work.progress
        if progress.attempt_id is None and not progress.may_have_run:
            self._give_up(work, NotRun("no target took it within its patience"))
        else:
            self._give_up(work, LateAnswer("no whole answer within its patience"))

    def _give_up(self, work: _Work, failure: Failure) -> None:
        if work.progress.attempt_id is not None:
            work.progress.may_have_run = True
        failure = final_failure(failure, work.progress)
        self._withdraw_attempt(work)
        self._close(work)
        self._log.write(
            LogEvent.REQUEST_FAILED,
            request=work.progress.request.request_id,
            code=failure.code,
            attempts=work.progress.attempts,
        )
        work.reply.fail(failure, work.progress)

    def _withdraw_attempt(self, work: _Work) -> None:
        progress = work.progress
        if progress.attempt_id is None:
            return
        link = self._directory.link(progress.target_id)
        if link is not None:
            cancel = link_pb2.Cancel(attempt_id=progress.attempt_id)
            link.send(link_pb2.EntryMessage(cancel=cancel))
        self._end_attempt(work)

    def _end_attempt(self, work: _Work) -> None:
        attempt_id = work.progress.attempt_id
        if attempt_id is None:
            return
        self._request_id_by_attempt.pop(attempt_id, None)
        work.spans.pop("attempt").end()
        target = self._directory.target(work.progress.target_id)
        if target is not None:
            target.ended()
        work.progress.end_attempt()

    def _close(self, work: _Work) -> None:
        work.progress.is_over = True
        self._work_by_request_id.pop(work.progress.request.request_id, None)
        for timer in work.timers.values():
            timer.cancel()
        work.timers.clear()

    def _set_timer(
        self, work: _Work, name: str, delay: float, callback: Callable[[], object]
    ) -> None:
        self._drop_timer(work, name)
        work.timers[name] = self._timers.call_later(delay, callback)

    def _drop_timer(self, work: _Work, name: str) -> bool:
        timer = work.timers.pop(name, None)
        if timer is not None:
            timer.cancel()
        return timer is not None
