"""Dispatches requests to targets and retries them until each has a final response."""

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
    RejectionUnproven,
    TargetFailed,
)
from pimentolink.logs import Log, LogEvent
from pimentolink.outcomes import failure_from_finish, final_failure
from pimentolink.prefixes import PrefixIndex
from pimentolink.request import Progress, Request
from pimentolink.retry import RetryBudget
from pimentolink.router import Router
from pimentolink.settings import EntrySettings
from pimentolink.targetpool import PREFILL, TargetState
from pimentolink.timers import Timer, Timers
from pimentolink.tracing import Tracing

# Failed attempts at one target after which a request waits for another target to finish
# its planned change instead of trying the first one again.
MAX_FAILURES_BEFORE_WAITING = 2
# Seconds after which a request that waits for a planned change tries again, in case the
# end of the change is not reported.
CHANGE_POLL_INTERVAL = 1.0


class ResponseSink(Protocol):
    """
    Receives the response to a request.

    Exactly one of ``complete`` and ``fail`` is called, and only once.
    """

    def tokens(self, tokens: list[str]) -> None:
        """Receive the next tokens of a model's response."""

    def complete(self, finish: link_pb2.Finish, progress: Progress) -> None:
        """Receive the end of a complete response."""

    def fail(self, failure: Failure, progress: Progress) -> None:
        """Receive the final failure of a request."""


class _ActiveRequest(NamedTuple):
    """A request that has no final response yet, with its timers and open spans."""

    progress: Progress
    reply: ResponseSink
    timers: dict[str, Timer]
    spans: dict[str, trace.Span]


class Dispatcher:
    """
    The requests in flight at one entry.

    Ensures that each request gets exactly one final response, that a response is
    matched to the attempt that caused it, and that a request is retried only where
    that is safe: a call that is not idempotent carries its idempotency key to a
    sidecar, which claims the key before it makes the call.
    """

    def __init__(
        self,
        settings: EntrySettings,
        adoption: Adoption,
        directory: TargetDirectory,
        router: Router,
        memory: PrefixIndex,
        timers: Timers,
        tracing: Tracing,
        log: Log,
    ) -> None:
        """
        Start without requests or targets.

        :param settings: limits and retries.
        :param adoption: the configuration in force.
        :param directory: the targets with a link to this entry.
        :param router: chooses the target of each attempt.
        :param memory: which targets have prefilled which prompts.
        :param timers: the timer service.
        :param tracing: creates spans.
        :param log: receives events.
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
        self._active_by_request_id: dict[str, _ActiveRequest] = {}
        self._request_id_by_attempt: dict[int, str] = {}
        self.late_events = 0
        self.retries = 0

    @property
    def in_flight(self) -> int:
        """Number of requests without a final response."""
        return len(self._active_by_request_id)

    def submit(self, request: Request, reply: ResponseSink) -> None:
        """
        Start a request.

        :param request: the request as accepted.
        :param reply: receives its response.
        """
        progress = Progress(request, self._timers.now())
        active = _ActiveRequest(progress, reply, {}, {})
        self._active_by_request_id[request.request_id] = active
        progress.to_older_system = self._belongs_to_older_system(request)
        self._budget.earn()
        self._set_timer(
            active, "patience", request.patience, lambda: self._handle_timeout(active)
        )
        self._attempt(active)

    def cancel(self, request_id: str) -> None:
        """
        Cancel a request whose caller has disconnected, also at its target.

        :param request_id: the request to cancel.
        """
        active = self._active_by_request_id.get(request_id)
        if active is not None:
            self._withdraw_attempt(active)
            self._finish_request(active)

    def pause(self, request_id: str, paused: bool) -> None:
        """
        Stop or restart reading from a request's target, as its caller reads slowly.

        The request fails once it has been paused for the stall limit.

        :param request_id: the request to pause or resume.
        :param paused: whether to stop reading.
        """
        active = self._active_by_request_id.get(request_id)
        if active is None or active.progress.attempt_id is None:
            return
        link = self._directory.link(active.progress.target_id)
        if link is not None:
            pause = link_pb2.Pause(attempt_id=active.progress.attempt_id, paused=paused)
            link.send(link_pb2.EntryMessage(pause=pause))
        if paused:
            self._set_timer(
                active,
                "stall",
                self._settings.limits.stall,
                lambda: self._fail_request(active, CallerTooSlow()),
            )
        else:
            self._cancel_timer(active, "stall")

    def target_down(self, target_id: str) -> None:
        """
        Retry the requests in flight at a target whose link was lost.

        :param target_id: the target whose link ended.
        """
        affected = [
            active
            for active in self._active_by_request_id.values()
            if active.progress.attempt_id is not None
            and active.progress.target_id == target_id
        ]
        for active in affected:
            self._attempt_failed(active, LinkLost(f"with {target_id}"))

    def step_received(self, step: link_pb2.Step) -> None:
        """Handle the events at one target since its last step."""
        for event in step.events:
            active = self._find_by_attempt(event.attempt_id)
            if active is None:
                self.late_events += 1
                if event.HasField("finish"):
                    self._log.write(LogEvent.LATE_EVENT, attempt=event.attempt_id)
                continue
            if event.tokens:
                self._handle_tokens(active, event)
            if event.HasField("finish") and not active.progress.is_over:
                self._handle_finish(active, event.finish)

    def retry_stalled_streams(self) -> None:
        """Retry each started response whose target has sent no token for too long."""
        now = self._timers.now()
        limit = self._settings.retry.progress
        stalled = [
            active
            for active in self._active_by_request_id.values()
            if active.progress.attempt_id is not None
            and active.progress.first_token_at is not None
            and "stall" not in active.timers
            and now - active.progress.last_token_at > limit
        ]
        for active in stalled:
            failure = TargetFailed(f"no token for {limit:g} s")
            self._withdraw_attempt(active)
            self._attempt_failed(active, failure)

    def _find_by_attempt(self, attempt_id: int) -> _ActiveRequest | None:
        request_id = self._request_id_by_attempt.get(attempt_id)
        if request_id is None:
            return None
        active = self._active_by_request_id[request_id]
        return active if active.progress.attempt_id == attempt_id else None

    def _attempt(self, active: _ActiveRequest) -> None:
        progress = active.progress
        request = progress.request
        if progress.is_at_limit:
            # The caller has all tokens and only the finish was lost; an engine that
            # resumed the response would generate beyond the token limit.
            self._complete(active, link_pb2.Finish(finish_reason="length"))
            return
        chosen = self._router.choose(
            progress.remaining_request,
            self._adoption.claim_partitions(request.service),
            progress.tried_target_ids,
            self._timers.now(),
        )
        target = None if isinstance(chosen, Err) else chosen.ok_value
        if self._wait_for_change(active, target):
            return
        if isinstance(chosen, Err):
            progress.attempts += 1
            self._retry_later(active, chosen.err_value)
            return
        target = chosen.ok_value
        self._last_attempt_id += 1
        progress.begin_attempt(self._last_attempt_id, target.target_id)
        progress.last_token_at = self._timers.now()
        self._request_id_by_attempt[self._last_attempt_id] = request.request_id
        uncached_tokens = self._uncached_prefill_tokens(progress, target)
        target.sent(uncached_tokens)
        progress.is_prefill_only = self._is_split(progress, target)
        span = self._tracing.start("attempt", request.request_id, request.traceparent)
        span.set_attribute("target", target.target_id)
        active.spans["attempt"] = span
        submit = self._submission(progress, uncached_tokens, span)
        link = self._directory.link(target.target_id)
        if link is not None:
            link.send(link_pb2.EntryMessage(submit=submit))

    def _wait_for_change(
        self, active: _ActiveRequest, target: TargetState | None
    ) -> bool:
        """
        Let a request wait for the end of a planned change instead of sending it.

        With one engine ejected for its failures and the other under an order, requests
        used up their attempts within a fraction of a second and failed, although the
        order was complete well before their patience ended.

        :param target: the target chosen for the request; ``None`` if there is none.
        :returns: whether the request waits, or has failed because the change would
            outlast its patience.
        """
        was_waiting = self._cancel_timer(active, "change")
        progress, now = active.progress, self._timers.now()
        failed = progress.tried_target_ids.count(target.target_id) if target else 0
        if target is not None and failed < MAX_FAILURES_BEFORE_WAITING:
            return False
        service = progress.request.service
        ends_in = self._router.change_ends_in(service, now)
        if ends_in is None:
            return False
        left = progress.started_at + progress.request.patience - now
        if ends_in > left:
            self._fail_request(
                active, NoTarget(f"a target of {service} changes", ends_in)
            )
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
        self._set_timer(
            active, "change", CHANGE_POLL_INTERVAL, lambda: self._attempt(active)
        )
        return True

    def _is_changing(self, progress: Progress) -> bool:
        """Return whether a target of a request's service is under a planned change."""
        service = progress.request.service
        return self._router.change_ends_in(service, self._timers.now()) is not None

    def change_ended(self) -> None:
        """Try the requests that wait for the end of a planned change."""
        for active in list(self._active_by_request_id.values()):
            if "change" in active.timers:
                self._attempt(active)

    def _uncached_prefill_tokens(self, progress: Progress, target: TargetState) -> int:
        """Predict the tokens to prefill: uncached prompt and tokens received so far."""
        request = progress.remaining_request
        cached_tokens = self._memory.expected_cached_tokens(request, target.target_id)
        return max(1, request.prefill_tokens - cached_tokens) + len(progress.tokens)

    def _is_split(self, progress: Progress, target: TargetState) -> bool:
        """Return whether a target only prefills the prompt and another one decodes."""
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
        """
        Return whether a request is in the share that goes to the older system.

        The choice is a hash of the idempotency key, so that a caller's retry of a call
        goes to the same system as the call.
        """
        service = self._adoption.service(request.service)
        if service is None or service.older_share == 0.0:
            return False
        digest = call_digest(request.idempotency_key or request.request_id)
        return int(digest[:8], 16) / 0x1_0000_0000 < service.older_share

    def _submission(
        self, progress: Progress, uncached_tokens: int, span: trace.Span
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
            prefill_tokens=uncached_tokens if request.is_model else 0,
            decode_tokens=progress.decode_tokens_left if request.is_model else 0,
            prefill_only=progress.is_prefill_only,
            cache=progress.cache,
        )

    def _handle_tokens(self, active: _ActiveRequest, event: link_pb2.Event) -> None:
        accepted = active.progress.accept(event.offset, list(event.tokens))
        if isinstance(accepted, Err):
            self._withdraw_attempt(active)
            self._attempt_failed(active, accepted.err_value)
            return
        progress = active.progress
        progress.last_token_at = self._timers.now()
        if progress.first_token_at is None:
            progress.first_token_at = progress.last_token_at
            self._memory.record_prefill(progress.request, progress.target_id)
        active.reply.tokens(accepted.ok_value)

    def _handle_finish(self, active: _ActiveRequest, finish: link_pb2.Finish) -> None:
        self._tracing.add_encoded(active.progress.request.request_id, finish.spans)
        target = self._directory.target(active.progress.target_id)
        if finish.outcome == link_pb2.COMPLETE:
            if target is not None:
                target.succeeded()
            self._end_attempt(active)
            if active.progress.is_prefill_only and finish.finish_reason != "stop":
                self._hand_over(active, finish.cache)
            else:
                self._complete(active, finish)
            return
        self._attempt_failed(active, failure_from_finish(finish))

    def _complete(self, active: _ActiveRequest, finish: link_pb2.Finish) -> None:
        self._finish_request(active)
        active.reply.complete(finish, active.progress)

    def _hand_over(self, active: _ActiveRequest, cache: bytes) -> None:
        """Continue at another engine after the prefill, without counting a retry."""
        progress = active.progress
        progress.cache = cache
        progress.was_handed_over = True
        progress.attempts -= 1
        progress.is_prefill_only = False
        self._attempt(active)

    def _attempt_failed(self, active: _ActiveRequest, failure: Failure) -> None:
        progress = active.progress
        self._log.write(
            LogEvent.ATTEMPT_FAILED,
            request=progress.request.request_id,
            attempt=progress.attempt_id,
            target=progress.target_id,
            code=failure.code,
            detail=failure.detail,
        )
        self._record_target_failure(active, failure)
        progress.may_have_run |= failure.ran
        self._end_attempt(active)
        # A second sidecar is tried in case only the first is disconnected from the
        # key-value service; trying more would only keep the caller waiting.
        is_unclaimable = (
            isinstance(failure, ClaimUnavailable) and progress.attempts >= 2
        )
        is_final = isinstance(failure, (*REJECTIONS, OutcomeUnknown))
        if is_final or is_unclaimable:
            self._fail_request(active, failure)
        else:
            self._retry_later(active, failure)

    def _record_target_failure(self, active: _ActiveRequest, failure: Failure) -> None:
        target = self._directory.target(active.progress.target_id)
        if target is None:
            return
        if isinstance(failure, Draining):
            # The target did not fail: it may be tried again once it accepts work.
            report_interval = self._settings.links.load_interval
            target.suspend_until(self._timers.now() + report_interval)
            active.progress.tried_target_ids.remove(target.target_id)
        if not isinstance(failure, TargetFailed | CrossedAnswer):
            return
        if target.failed(self._timers.now(), self._settings.routing):
            self._log.write(LogEvent.TARGET_EJECTED, target=target.target_id)

    def _retry_later(self, active: _ActiveRequest, failure: Failure) -> None:
        progress = active.progress
        retry = self._settings.retry
        # A target that rejects work has too much of it for a retry at once.
        is_rejection = isinstance(failure, RejectionUnproven)
        is_first_retry = progress.attempts == 1 and failure.ran and not is_rejection
        if progress.attempts >= retry.attempts and not self._is_changing(progress):
            self._fail_request(active, failure)
            return
        # The first retry of a request whose first attempt may have run needs no budget:
        # such retries at most double the load. Neither does a retry after a target
        # that is draining, as the attempt cost that target nothing. The budget bounds
        # all other retries.
        is_free = is_first_retry or isinstance(failure, Draining)
        if not is_free and not self._budget.spend():
            self._fail_request(active, failure)
            return
        self.retries += 1
        delay = min(retry.backoff_most, retry.backoff_first * 2**progress.attempts)
        if is_first_retry:
            delay = 0.0
        self._set_timer(active, "retry", delay, lambda: self._attempt(active))

    def _handle_timeout(self, active: _ActiveRequest) -> None:
        progress = active.progress
        if progress.attempt_id is None and not progress.may_have_run:
            self._fail_request(active, NotRun("no target took it within its patience"))
        else:
            self._fail_request(
                active, LateAnswer("no whole answer within its patience")
            )

    def _fail_request(self, active: _ActiveRequest, failure: Failure) -> None:
        if active.progress.attempt_id is not None:
            active.progress.may_have_run = True
        failure = final_failure(failure, active.progress)
        self._withdraw_attempt(active)
        self._finish_request(active)
        self._log.write(
            LogEvent.REQUEST_FAILED,
            request=active.progress.request.request_id,
            code=failure.code,
            attempts=active.progress.attempts,
        )
        active.reply.fail(failure, active.progress)

    def _withdraw_attempt(self, active: _ActiveRequest) -> None:
        progress = active.progress
        if progress.attempt_id is None:
            return
        link = self._directory.link(progress.target_id)
        if link is not None:
            cancel = link_pb2.Cancel(attempt_id=progress.attempt_id)
            link.send(link_pb2.EntryMessage(cancel=cancel))
        self._end_attempt(active)

    def _end_attempt(self, active: _ActiveRequest) -> None:
        attempt_id = active.progress.attempt_id
        if attempt_id is None:
            return
        self._request_id_by_attempt.pop(attempt_id, None)
        active.spans.pop("attempt").end()
        target = self._directory.target(active.progress.target_id)
        if target is not None:
            target.ended()
        active.progress.end_attempt()

    def _finish_request(self, active: _ActiveRequest) -> None:
        active.progress.is_over = True
        self._active_by_request_id.pop(active.progress.request.request_id, None)
        for timer in active.timers.values():
            timer.cancel()
        active.timers.clear()

    def _set_timer(
        self,
        active: _ActiveRequest,
        name: str,
        delay: float,
        callback: Callable[[], object],
    ) -> None:
        self._cancel_timer(active, name)

        def expire() -> None:
            # A call that is made despite its cancellation would give the request a
            # second outcome, or another attempt after its outcome.
            if active.timers.get(name) is timer:
                callback()

        timer = self._timers.call_later(delay, expire)
        active.timers[name] = timer

    def _cancel_timer(self, active: _ActiveRequest, name: str) -> bool:
        timer = active.timers.pop(name, None)
        if timer is not None:
            timer.cancel()
        return timer is not None
