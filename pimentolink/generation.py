"""Serves requests to model engines: reading, writing, relaying, resuming."""

from __future__ import annotations

from typing import NamedTuple

from twisted.internet.defer import Deferred

from pimentolink.calls import Call, Caller
from pimentolink.dialect import Dialect, PrefilledPrompt, Sending, Verdict
from pimentolink.errors import (
    UNSENT,
    ConnectionBroken,
    Failure,
    NoTarget,
    NotListening,
    RejectedUnrun,
    ReplyInvalid,
    StreamBroken,
)
from pimentolink.eventstream import EventSplitter, is_after
from pimentolink.forwarder import Work, pass_on
from pimentolink.httptypes import HttpReply, end_to_end
from pimentolink.logs import Log, LogEvent
from pimentolink.placement import MAX_SIZE, Placer, SizeScale, WaitingPrompt
from pimentolink.prefillscheduler import PrefillScheduler, Ticket
from pimentolink.retrylimiter import RetryLimiter
from pimentolink.routes import Repeatability
from pimentolink.targetestimate import TargetEstimate
from pimentolink.timers import Timers, with_timeout

# A reading that takes this many times what was predicted, and this many seconds more,
# is given up and begun elsewhere: its engine crashed, hangs or has turned slow.
READING_PATIENCE = 3.0
READING_GRACE = 0.6
# Priorities of engines go from 0 to 9.
LOWEST_PRIORITY = 9


class _Prepared(NamedTuple):
    """
    A prompt that was read.

    :ivar reader: the engine that holds its KV cache.
    """

    prompt: PrefilledPrompt
    reader: TargetEstimate


class Generations:
    """
    Requests that a model's engine answers.

    The prompt waits for an engine with room. If that engine only reads, another one
    fetches the KV cache and writes the answer.
    """

    def __init__(
        self,
        caller: Caller,
        dialect: Dialect,
        readings: PrefillScheduler,
        placer: Placer,
        retry_limiter: RetryLimiter,
        timers: Timers,
        log: Log,
    ) -> None:
        """
        Prepare.

        :param caller: makes calls.
        :param dialect: reads answers.
        :param readings: where prompts wait.
        :param placer: chooses engines that write.
        :param retry_limiter: bounds repeated attempts.
        :param timers: the timer service.
        :param log: where events go.
        """
        self._caller = caller
        self._dialect = dialect
        self._readings = readings
        self._placer = placer
        self._retry_limiter = retry_limiter
        self._timers = timers
        self._log = log
        self._sizes = SizeScale()

    async def serve(self, work: Work) -> None:
        """Answer a request."""
        self._retry_limiter.earn(work)
        relay = _Relay(work, self._timers)
        last: Failure | None = None
        while True:
            if relay.tries and not self._may_go_on(work):
                break
            try:
                await self._try(work, relay)
            except Failure as failure:
                last = failure
                if relay.has_begun:
                    self._tell_broken(work, relay, failure)
                if isinstance(failure, NoTarget) or failure.retry_after is not None:
                    break
                continue
            return
        assert last is not None
        if relay.has_begun:
            raise StreamBroken(str(last))
        raise last

    def _may_go_on(self, work: Work) -> bool:
        return work.attempts.may_repeat() and work.time_left(self._timers.now()) > 0

    def _tell_broken(self, work: Work, relay: _Relay, failure: Failure) -> None:
        self._log.write(
            LogEvent.STREAM_RESUMED,
            request=work.request.request_id,
            after=(relay.last_event or b"").decode("latin-1"),
            code=failure.code,
            may=work.attempts.may_repeat(),
        )

    async def _try(self, work: Work, relay: _Relay) -> None:
        """Read the prompt, have the answer written and relay it."""
        await self._caller.admit(work.request)
        ticket = await self._readings.wait(self._waiting(work, relay))
        if ticket.placement.is_prefill_only:
            prepared = await self._read(work, ticket, relay)
            call = await self._write(work, prepared, relay)
            await self._relay(work, call, relay)
            return
        call = await self._read_and_write(work, ticket, relay)
        await self._relay(work, call, relay)

    def _waiting(self, work: Work, relay: _Relay) -> WaitingPrompt:
        request, route = work.request, work.route
        is_retry = relay.tries > 0
        relay.tries += 1
        arrived_at = self._timers.now() if is_retry else request.arrived_at
        size = self._sizes.worth(
            route.name, request.prompt_tokens, request.output_tokens
        )
        if relay.has_begun:
            # Its caller sees a pause and soon gives up; nothing else is as urgent.
            size = MAX_SIZE
        return WaitingPrompt(
            request_id=request.request_id,
            service=work.service,
            parts=request.parts,
            prompt_tokens=max(1, request.prompt_tokens),
            size=size,
            arrived_at=arrived_at,
            latency_target=route.latency_target,
            on_time_until=(arrived_at if relay.has_begun else request.arrived_at)
            + route.latency_target,
            due_at=work.due_at,
            body_bytes=len(request.http.body),
        )

    def _sending(self, work: Work, estimate: TargetEstimate, relay: _Relay) -> Sending:
        return Sending(
            target_id=estimate.target.target_id,
            time_left=work.time_left(self._timers.now()),
            priority=min(LOWEST_PRIORITY, work.priority),
            last_event=relay.last_event,
        )

    async def _read(self, work: Work, ticket: Ticket, relay: _Relay) -> _Prepared:
        """Have the prompt read by an engine that leaves the answer to another."""
        reader = ticket.placement.estimate
        patience = READING_PATIENCE * ticket.expected + READING_GRACE
        is_good = False
        is_repeat = relay.readings > 0
        try:
            attempt = self._retry_limiter.spend(work, is_repeat)
            relay.readings += 1
            with attempt:
                reading = self._read_at(work, ticket)
                prepared = await with_timeout(self._timers, patience, reading)
            is_good = True
        except UNSENT:
            relay.readings -= 1
            raise
        except TimeoutError:
            failure = ConnectionBroken(f"no reading within {patience:.2f} s")
            self._caller.blame(work.request, reader, failure, ticket.began_at)
            raise failure from None
        finally:
            self._readings.end(ticket, is_good)
        reader.outcome(is_good=True)
        return prepared

    async def _read_at(self, work: Work, ticket: Ticket) -> _Prepared:
        reader = ticket.placement.estimate
        sending = Sending(
            target_id=reader.target.target_id,
            time_left=work.time_left(self._timers.now()),
            priority=min(LOWEST_PRIORITY, work.priority),
            is_prefill=True,
            copy_from=ticket.placement.copy_from,
        )
        call = await self._caller.begin(work.request, reader, sending)
        try:
            reply = await call.read_all()
        finally:
            call.close()
        if reply.head.status != 200:
            self._caller.failed(work.request, call, reply.head.status)
            raise ReplyInvalid(f"a reading's status {reply.head.status}")
        return _Prepared(self._dialect.read_prompt(reply).unwrap(), reader)

    async def _write(self, work: Work, prepared: _Prepared, relay: _Relay) -> Call:
        """
        Have the answer written by an engine that fetches the KV cache.

        One that refuses the connection leaves the KV cache to the next.
        """
        while True:
            try:
                return await self._write_at_best(work, prepared, relay)
            except NotListening:
                continue
            except Failure as failure:
                if not failure.ran:
                    self._drop_cache(work, prepared)
                raise

    async def _write_at_best(
        self, work: Work, prepared: _Prepared, relay: _Relay
    ) -> Call:
        reader = prepared.reader
        if reader.is_replaced:
            # Its next life may give the same name to another request's KV cache.
            raise RejectedUnrun("the engine that read the prompt restarted")
        now = self._timers.now()
        writer = self._placer.writer(work.service, reader.target.data_centre, now)
        if writer is None:
            raise NoTarget(f"no engine of {work.service} writes answers", 0.5)
        address = reader.target.address
        sending = self._sending(work, writer, relay)._replace(
            cache_source=self._dialect.cache_source(address, prepared.prompt)
        )
        call = await self._run(work, writer, sending)
        writer.fetched(work.request.parts)
        return call

    async def _read_and_write(self, work: Work, ticket: Ticket, relay: _Relay) -> Call:
        """Have one engine read the prompt and write the answer."""
        estimate = ticket.placement.estimate
        is_good = False
        try:
            sending = self._sending(work, estimate, relay)
            sending = sending._replace(copy_from=ticket.placement.copy_from)
            call = await self._run(work, estimate, sending)
            is_good = True
        finally:
            self._readings.end(ticket, is_good)
        return call

    async def _run(
        self, work: Work, estimate: TargetEstimate, sending: Sending
    ) -> Call:
        """Send the request to be run, and wait for the head of the answer."""
        is_once = work.route.repeatability is Repeatability.ONCE
        is_repeat = work.attempts.count > 0
        attempt = self._retry_limiter.spend(work, is_repeat)
        work.attempts.sent(estimate.target.target_id)
        try:
            with attempt:
                call = await self._caller.begin(
                    work.request, estimate, sending, is_once
                )
        except Failure as failure:
            work.attempts.failed(failure)
            raise
        work.attempts.ran()
        return call

    def _drop_cache(self, work: Work, prepared: _Prepared) -> None:
        """Free a KV cache that nobody will fetch, unless it went with its engine."""
        reader = prepared.reader
        if reader.is_replaced:
            return
        message = self._dialect.drop_cache(reader.target.address, prepared.prompt)

        async def drop() -> None:
            call = await self._caller.send(work.request, reader, message)
            try:
                await call.read_all()
            finally:
                call.close()

        dropping = Deferred.fromCoroutine(drop())
        # Logged where it failed; the engine frees it by itself in the end.
        dropping.addErrback(lambda failure: failure.trap(Failure))

    async def _relay(self, work: Work, call: Call, relay: _Relay) -> None:
        """Pass the answer on."""
        assert call.head is not None
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
                self._caller.blame(work.request, call.estimate, failure, call.sent_at)
            raise
        finally:
            call.close()
        self._caller.succeeded(work.request, call.estimate)

    async def _relay_failure(self, work: Work, call: Call, relay: _Relay) -> None:
        reply: HttpReply = await call.read_all()
        status = reply.head.status
        self._caller.failed(work.request, call, status)
        if relay.has_begun or (status >= 500 and work.attempts.may_repeat()):
            raise StreamBroken(f"status {status}")
        pass_on(work.responder, reply)


class _Relay:
    """
    The caller's stream over all engines that write it.

    Guards that the caller gets each event once and in order.
    """

    def __init__(self, work: Work, timers: Timers) -> None:
        self._work = work
        self._timers = timers
        self.last_event = work.request.last_event
        self.has_begun = False
        self.tries = 0
        self.readings = 0

    async def run(self, call: Call) -> None:
        """Pass events on until the stream's end."""
        assert call.head is not None
        responder = self._work.responder
        responder.on_pause(call.pause)
        splitter = EventSplitter()
        while (data := await call.read()) is not None:
            for event in splitter.feed(data):
                if not is_after(event.event_id, self.last_event):
                    continue
                self._begin(call)
                responder.write(event.data)
                self.last_event = event.event_id or self.last_event
        self._begin(call)
        if splitter.rest():
            responder.write(splitter.rest())
        responder.finish()

    def _begin(self, call: Call) -> None:
        if self.has_begun:
            return
        assert call.head is not None
        self.has_begun = True
        self._work.first_event_at = self._timers.now()
        self._work.run_began(self._work.first_event_at)
        responder = self._work.responder
        responder.begin(call.head.status, end_to_end(call.head.headers))
