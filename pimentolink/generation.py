"""Serves requests to model engines: prefill, decode, relaying and resuming."""

from __future__ import annotations

from typing import NamedTuple

from result import Err
from twisted.internet.defer import Deferred

from pimentolink.dialect import Dialect, PrefilledPrompt, SendOptions, Verdict
from pimentolink.errors import (
    ConnectionBroken,
    Failure,
    NoTarget,
    NotListening,
    RejectedUnrun,
    ReplyInvalid,
    StreamBroken,
)
from pimentolink.eventstream import is_after
from pimentolink.forwarder import PendingRequest, forward_reply
from pimentolink.httptypes import BodyFraming, HttpReply, end_to_end
from pimentolink.logs import Log, LogEvent
from pimentolink.placement import MAX_SIZE, Placer, RequestValueModel, WaitingPrompt
from pimentolink.prefillscheduler import DispatchedPrefill, PrefillScheduler
from pimentolink.retrylimiter import RetryLimiter
from pimentolink.routes import Repeatability
from pimentolink.targetcall import TargetCall
from pimentolink.targetclient import TargetClient
from pimentolink.targetestimate import TargetEstimate
from pimentolink.timers import Timers, with_timeout

# A prefill is abandoned and started on another engine once it takes longer than the
# predicted time multiplied by this factor, plus this margin in seconds: its engine
# crashed, hangs or has become slow.
PREFILL_TIMEOUT_FACTOR = 3.0
PREFILL_TIMEOUT_MARGIN = 0.6
# Engines accept priorities from 0, the most urgent, to 9.
LOWEST_PRIORITY = 9


class _Prefilled(NamedTuple):
    """
    A prompt after its prefill.

    :ivar prefill_engine: the engine that holds its KV cache.
    """

    prompt: PrefilledPrompt
    prefill_engine: TargetEstimate


class GenerationHandler:
    """
    Serves requests to model engines.

    The prompt waits for an engine with capacity. If that engine only runs prefills,
    another engine fetches the KV cache and runs the decode.
    """

    def __init__(
        self,
        target_client: TargetClient,
        dialect: Dialect,
        prefill_scheduler: PrefillScheduler,
        placer: Placer,
        retry_limiter: RetryLimiter,
        timers: Timers,
        log: Log,
    ) -> None:
        """
        Create a handler.

        :param target_client: sends requests to targets.
        :param dialect: parses responses.
        :param prefill_scheduler: queues prompts.
        :param placer: chooses engines for the decode.
        :param retry_limiter: limits repeated attempts.
        :param timers: the timer service.
        :param log: records streams that broke.
        """
        self._target_client = target_client
        self._dialect = dialect
        self._prefill_scheduler = prefill_scheduler
        self._placer = placer
        self._retry_limiter = retry_limiter
        self._timers = timers
        self._log = log
        self._sizes = RequestValueModel()

    async def serve(self, work: PendingRequest) -> None:
        """Serve a request."""
        self._retry_limiter.earn(work)
        try:
            await self._serve(work, _Relay(work, self._timers))
        finally:
            self._target_client.ended(work.request)

    async def _serve(self, work: PendingRequest, relay: _Relay) -> None:
        last: Failure | None = None
        while True:
            if relay.attempt_count and not self._may_retry(work):
                break
            try:
                await self._try(work, relay)
            except Failure as failure:
                last = failure
                if relay.has_begun:
                    self._log_broken_stream(work, relay, failure)
                if isinstance(failure, NoTarget) or failure.retry_after is not None:
                    break
                continue
            return
        assert last is not None
        if relay.has_begun:
            raise StreamBroken(str(last))
        raise last

    def _may_retry(self, work: PendingRequest) -> bool:
        return work.attempts.may_repeat() and work.time_left(self._timers.now()) > 0

    def _log_broken_stream(
        self, work: PendingRequest, relay: _Relay, failure: Failure
    ) -> None:
        self._log.write(
            LogEvent.STREAM_RESUMED,
            request=work.request.request_id,
            after=(relay.last_event or b"").decode("latin-1"),
            code=failure.code,
            may=work.attempts.may_repeat(),
        )

    async def _try(self, work: PendingRequest, relay: _Relay) -> None:
        """Make one attempt: prefill, decode, and relaying the response."""
        await self._target_client.admit(work.request)
        ticket = await self._prefill_scheduler.wait(self._waiting_prompt(work, relay))
        if ticket.placement.is_prefill_only:
            prefilled = await self._prefill(work, ticket)
            call = await self._decode(work, prefilled, relay)
            await self._relay(work, call, relay)
            return
        call = await self._prefill_and_decode(work, ticket, relay)
        await self._relay(work, call, relay)

    def _waiting_prompt(self, work: PendingRequest, relay: _Relay) -> WaitingPrompt:
        request, route = work.request, work.route
        is_retry = relay.attempt_count > 0
        relay.attempt_count += 1
        arrived_at = self._timers.now() if is_retry else request.arrived_at
        size = self._sizes.value(
            route.name, request.prompt_tokens, request.output_tokens
        )
        if relay.has_begun:
            # The caller's stream has stalled, and callers soon give up on a stalled
            # stream, so nothing else is as urgent.
            size = MAX_SIZE
        return WaitingPrompt(
            request_id=request.request_id,
            service=work.service,
            parts=request.parts,
            prompt_tokens=max(1, request.prompt_tokens),
            size=size,
            arrived_at=arrived_at,
            latency_target=route.latency_target,
            latency_deadline=(arrived_at if relay.has_begun else request.arrived_at)
            + route.latency_target,
            due_at=work.due_at,
            body_bytes=len(request.http.body),
        )

    def _sending(
        self, work: PendingRequest, estimate: TargetEstimate, relay: _Relay
    ) -> SendOptions:
        return SendOptions(
            target_id=estimate.target.target_id,
            time_left=work.time_left(self._timers.now()),
            priority=min(LOWEST_PRIORITY, work.priority),
            last_event=relay.last_event,
        )

    async def _prefill(
        self, work: PendingRequest, ticket: DispatchedPrefill
    ) -> _Prefilled:
        """Run the prefill on an engine that leaves the decode to another."""
        prefill_engine = ticket.placement.estimate
        timeout = PREFILL_TIMEOUT_FACTOR * ticket.expected + PREFILL_TIMEOUT_MARGIN
        is_good = False
        try:
            with self._retry_limiter.start_call(
                work, prefill_engine.target.target_id, is_prefill=True
            ) as started:
                prefill = self._prefill_at(work, ticket)
                prefilled = await with_timeout(self._timers, timeout, prefill)
            started.prefill_accepted()
            is_good = True
        except TimeoutError:
            failure = ConnectionBroken(f"no reading within {timeout:.2f} s")
            self._target_client.record_failure(
                work.request, prefill_engine, failure, ticket.began_at
            )
            raise failure from None
        finally:
            self._prefill_scheduler.end(ticket, is_good)
        prefill_engine.outcome(is_good=True)
        return prefilled

    async def _prefill_at(
        self, work: PendingRequest, ticket: DispatchedPrefill
    ) -> _Prefilled:
        prefill_engine = ticket.placement.estimate
        options = SendOptions(
            target_id=prefill_engine.target.target_id,
            time_left=work.time_left(self._timers.now()),
            priority=min(LOWEST_PRIORITY, work.priority),
            is_prefill=True,
            copy_from=ticket.placement.copy_from,
        )
        call = await self._target_client.begin(work.request, prefill_engine, options)
        try:
            reply = await call.read_all(confirms_end=False)
        finally:
            call.close()
        if reply.head.status != 200:
            self._target_client.failed(work.request, call, reply.head.status)
            raise ReplyInvalid(f"a reading's status {reply.head.status}")
        prompt = self._dialect.read_prefill_reply(reply)
        if isinstance(prompt, Err):
            if call.framing is BodyFraming.CLOSE:
                # The engine may have ended within its reply.
                call.record_cut_off()
            self._target_client.record_failure(
                work.request, prefill_engine, prompt.err_value, call=call
            )
            raise prompt.err_value
        return _Prefilled(prompt.ok_value, prefill_engine)

    async def _decode(
        self, work: PendingRequest, prefilled: _Prefilled, relay: _Relay
    ) -> TargetCall:
        """
        Run the decode on an engine that fetches the KV cache.

        An engine that refuses the connection has not fetched the KV cache, so the
        next one still can.
        """
        while True:
            try:
                return await self._try_decode(work, prefilled, relay)
            except NotListening:
                continue
            except Failure as failure:
                if not failure.ran:
                    self._drop_cache(work, prefilled)
                raise

    async def _try_decode(
        self, work: PendingRequest, prefilled: _Prefilled, relay: _Relay
    ) -> TargetCall:
        prefill_engine = prefilled.prefill_engine
        if prefill_engine.is_replaced:
            # The restarted process may use the same handle for another request's KV
            # cache.
            raise RejectedUnrun("the engine that read the prompt restarted")
        now = self._timers.now()
        decode_engine = self._placer.choose_decode_engine(
            work.service, prefill_engine.target.data_centre, now
        )
        if decode_engine is None:
            raise NoTarget(f"no engine of {work.service} writes answers", 0.5)
        address = prefill_engine.target.address
        options = self._sending(work, decode_engine, relay)._replace(
            cache_source=self._dialect.cache_source(address, prefilled.prompt)
        )
        call = await self._run(work, decode_engine, options)
        decode_engine.fetched(work.request.parts)
        return call

    async def _prefill_and_decode(
        self, work: PendingRequest, ticket: DispatchedPrefill, relay: _Relay
    ) -> TargetCall:
        """Run prefill and decode on one engine."""
        estimate = ticket.placement.estimate
        is_good = False
        try:
            options = self._sending(work, estimate, relay)
            options = options._replace(copy_from=ticket.placement.copy_from)
            call = await self._run(work, estimate, options)
            is_good = True
        finally:
            self._prefill_scheduler.end(ticket, is_good)
        return call

    async def _run(
        self, work: PendingRequest, estimate: TargetEstimate, options: SendOptions
    ) -> TargetCall:
        """Send the request to an engine and wait for the head of the response."""
        is_once = work.route.repeatability is Repeatability.ONCE
        target_id = estimate.target.target_id
        started = self._retry_limiter.start_call(work, target_id)
        work.attempts.sent(target_id)
        try:
            with started:
                call = await self._target_client.begin(
                    work.request, estimate, options, is_once
                )
        except Failure as failure:
            work.attempts.failed(failure)
            raise
        work.attempts.ran()
        return call

    def _drop_cache(self, work: PendingRequest, prefilled: _Prefilled) -> None:
        """Free a KV cache that no engine will fetch, unless its engine restarted."""
        prefill_engine = prefilled.prefill_engine
        if prefill_engine.is_replaced:
            return
        message = self._dialect.release_cache_request(
            prefill_engine.target.address, prefilled.prompt
        )

        async def drop() -> None:
            call = await self._target_client.send(work.request, prefill_engine, message)
            try:
                await call.read_all(confirms_end=False)
            finally:
                call.close()

        dropping = Deferred.fromCoroutine(drop())
        # The client has logged the failure, and the engine frees an unfetched KV cache
        # by itself after a while.
        dropping.addErrback(lambda failure: failure.trap(Failure))

    async def _relay(
        self, work: PendingRequest, call: TargetCall, relay: _Relay
    ) -> None:
        """Relay the response to the caller."""
        assert call.head is not None
        work.framing = call.framing
        try:
            if self._dialect.verdict(call.head) is not Verdict.SUCCESS:
                await self._relay_failure(work, call, relay)
                return
            if not self._dialect.is_signed(call.head):
                raise ReplyInvalid("a success that the engine does not vouch for")
            await relay.run(call)
        except Failure as failure:
            call.close()
            if not isinstance(failure, StreamBroken):
                self._target_client.record_failure(
                    work.request, call.estimate, failure, call=call
                )
            raise
        finally:
            call.close()
        self._target_client.succeeded(work.request, call.estimate)

    async def _relay_failure(
        self, work: PendingRequest, call: TargetCall, relay: _Relay
    ) -> None:
        reply: HttpReply = await call.read_all(confirms_end=False)
        status = reply.head.status
        self._target_client.failed(work.request, call, status)
        if relay.has_begun or (status >= 500 and work.attempts.may_repeat()):
            raise StreamBroken(f"status {status}")
        forward_reply(work, reply)


class _Relay:
    """
    The caller's event stream, across all engines that produce parts of it.

    Guarantees that the caller gets each event once and in order.
    """

    def __init__(self, work: PendingRequest, timers: Timers) -> None:
        self._work = work
        self._timers = timers
        self.last_event = work.request.last_event
        self.has_begun = False
        self.attempt_count = 0

    async def run(self, call: TargetCall) -> None:
        """Relay events until the stream ends."""
        assert call.head is not None
        responder = self._work.responder
        responder.on_pause(call.pause)
        while (events := await call.read_events()) is not None:
            for event in events:
                if not is_after(event.event_id, self.last_event):
                    continue
                self._begin(call)
                responder.write(event.data)
                self.last_event = event.event_id or self.last_event
        self._begin(call)
        responder.finish()

    def _begin(self, call: TargetCall) -> None:
        if self.has_begun:
            return
        assert call.head is not None
        self.has_begun = True
        self._work.first_event_at = self._timers.now()
        self._work.run_began(self._work.first_event_at)
        responder = self._work.responder
        self._work.status = call.head.status
        responder.begin(call.head.status, end_to_end(call.head.headers))
