"""Sends calls to targets and records their outcome."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from twisted.internet.defer import Deferred

from pimentolink.dialect import (
    CallerRequest,
    Dialect,
    ReplyMatch,
    SendOptions,
    Verdict,
)
from pimentolink.errors import (
    DEFAULT_RETRY_AFTER,
    UNRUN_STATUSES,
    CannotBeInTime,
    ConnectionBroken,
    ConnectReset,
    Failure,
    NotConnected,
    NotListening,
    OtherInstance,
    RejectedUnrun,
    RejectionUnproven,
    ReplyInvalid,
    TargetFailed,
)
from pimentolink.fleet import Fleet
from pimentolink.gatewaysettings import ConnectionSettings
from pimentolink.httptypes import (
    HttpReply,
    HttpRequest,
    ReplyHead,
    body_framing,
)
from pimentolink.logs import Log, LogEvent
from pimentolink.metrics import Metrics
from pimentolink.targetcall import MAX_RESPONSE_BYTES, TargetCall
from pimentolink.targetestimate import Target, TargetEstimate
from pimentolink.targethttp import ConnectionPool, TargetConnection, exchange
from pimentolink.targetprobes import (
    PROBE_HOLD,
    PROBE_INTERVAL,
    REACHABLE_HOLD,
    Probe,
    ProbeOutcome,
    ProbeSeries,
    ProbeVerdict,
)
from pimentolink.timers import Timers, pause

# Seconds before a target is probed within which the loss of a connection counts as part
# of the same end.
LOSS_WINDOW = 1.0


class CallWatcher(Protocol):
    """Is notified of how calls end, and may block a request from being sent."""

    async def admit(self, request: CallerRequest) -> None:
        """
        Wait until a request may be sent to a target.

        :raises Failure: if it may not be sent.
        """

    def cut_off(
        self,
        request: CallerRequest,
        estimate: TargetEstimate,
        opened_at: float,
        began_at: float,
    ) -> None:
        """
        Handle an exchange that ended before the response was complete.

        :param opened_at: when its connection began to be opened, in seconds of the
            timer service.
        :param began_at: when the request was sent.
        """

    def connection_lost(self, estimate: TargetEstimate) -> None:
        """Handle a connection that broke, or carried an invalid response."""

    def request_succeeded(
        self, request: CallerRequest, estimate: TargetEstimate
    ) -> None:
        """Handle a request that got its complete response from a target."""

    def request_ended(self, request: CallerRequest) -> None:
        """Handle a request that is no longer sent to targets, however it ended."""


class TargetClient:
    """Sends calls over pooled connections to targets."""

    def __init__(
        self,
        reactor: Any,
        settings: ConnectionSettings,
        fleet: Fleet,
        dialect: Dialect,
        watcher: CallWatcher,
        timers: Timers,
        log: Log,
        metrics: Metrics,
    ) -> None:
        """
        Create a client; connections are opened when needed.

        :param reactor: the event loop.
        :param settings: timeouts and limits of connections.
        :param fleet: records failures and decides which targets to eject.
        :param dialect: encodes requests and interprets responses.
        :param watcher: is notified of how calls end.
        :param timers: the timer service.
        :param log: records failed attempts and ejected targets.
        :param metrics: counts failed attempts.
        """
        self._reactor = reactor
        self._settings = settings
        self._fleet = fleet
        self._dialect = dialect
        self._watcher = watcher
        self._timers = timers
        self._log = log
        self._metrics = metrics
        self._pools_by_target: dict[str, ConnectionPool] = {}
        self.max_connections: Callable[[str], int] = lambda service: settings.most

    def forget(self, target_id: str) -> None:
        """Close the idle connections of a target that was removed."""
        pool = self._pools_by_target.pop(target_id, None)
        if pool is not None:
            pool.close()

    def pool(self, estimate: TargetEstimate) -> ConnectionPool:
        """Return the connection pool of a target, creating it if needed."""
        target = estimate.target
        pool = self._pools_by_target.get(target.target_id)
        if pool is None:
            pool = ConnectionPool(
                self._reactor, target.address, self._settings, self._timers
            )
            self._pools_by_target[target.target_id] = pool
        pool.max_connections = self.max_connections(target.service)
        return pool

    async def call_on_new_connection(
        self, estimate: TargetEstimate, message: HttpRequest
    ) -> HttpReply:
        """
        Make one call on a separate connection, which is closed afterwards.

        Orders need this: nothing of the request can arrive at the target after the
        connection is closed.

        :raises Failure: if there is no response.
        """
        address = estimate.target.address
        pool = ConnectionPool(self._reactor, address, self._settings, self._timers)
        try:
            return await exchange(pool, message, lambda head: True, MAX_RESPONSE_BYTES)
        finally:
            pool.close()

    async def is_listening(self, estimate: TargetEstimate) -> bool:
        """
        Check whether a process listens at a target's address, by new connections.

        :returns: ``False`` if it refuses connections, or has closed several at once
            after others that it had served were lost.
        """
        target, pool = estimate.target, self.pool(estimate)
        began_at = self._timers.now()
        series = ProbeSeries()
        verdict = None
        while verdict is None:
            probe = await self._probe(target)
            verdict = series.record(
                probe, pool.longest_lost(began_at - LOSS_WINDOW), pool.longest_open()
            )
            if verdict is None:
                await pause(self._timers, PROBE_INTERVAL)
        if verdict.has_ended:
            estimate.record_refused_connection(self._timers.now())
        if verdict is ProbeVerdict.CLOSES:
            self._log.write(
                LogEvent.TARGET_CLOSES_CONNECTIONS,
                target=target.target_id,
                after=round(self._timers.now() - began_at, 3),
            )
        return not verdict.has_ended

    async def is_reachable(self, estimate: TargetEstimate) -> bool:
        """
        Check by one new connection whether a target can be reached right now.

        :returns: ``False`` too if a connection is closed at once, as by a proxy whose
            target has ended, or if the target has restarted.
        """
        probe = await self._probe(estimate.target, REACHABLE_HOLD)
        return probe.outcome is ProbeOutcome.KEPT and not estimate.is_replaced

    async def _probe(self, target: Target, hold: float = PROBE_HOLD) -> Probe:
        """
        Open a connection on which nothing is sent, and watch whether it is kept.

        :param hold: seconds for which it is held open.
        """
        # Not of the target's pool, whose bound is for calls.
        pool = ConnectionPool(
            self._reactor, target.address, self._settings, self._timers
        )
        began_at = self._timers.now()
        try:
            connection = await pool.open()
        except NotListening:
            outcome = ProbeOutcome.REFUSED
        except ConnectReset:
            outcome = ProbeOutcome.CLOSED
        except NotConnected:
            outcome = ProbeOutcome.UNKNOWN
        else:
            is_kept = await self._is_kept(connection, hold)
            outcome = ProbeOutcome.KEPT if is_kept else ProbeOutcome.CLOSED
        return Probe(outcome, self._timers.now() - began_at)

    async def _is_kept(self, connection: TargetConnection, hold: float) -> bool:
        """Hold a connection open, then close it; tell whether the other side did."""
        ended: Deferred[None] = Deferred()
        connection.on_closed = lambda _: ended.callback(None)
        timer = self._timers.call_later(hold, connection.abort)
        await ended
        timer.cancel()
        return not connection.is_lost

    async def admit(self, request: CallerRequest) -> None:
        """
        Wait until a request may be sent to a target.

        :raises Quarantined: if the request is suspected of crashing targets.
        """
        await self._watcher.admit(request)

    def ended(self, request: CallerRequest) -> None:
        """Record that a request is no longer sent to targets, however it ended."""
        self._watcher.request_ended(request)

    async def begin(
        self,
        request: CallerRequest,
        estimate: TargetEstimate,
        options: SendOptions,
        is_once: bool = False,
    ) -> TargetCall:
        """
        Send a request and wait for the head of the response.

        :param is_once: whether the request must not be repeated.
        :returns: the call, from which the body can be read.
        :raises Failure: if there is no response; its ``ran`` tells whether the request
            may have run.
        """
        if options.time_left is not None and options.time_left <= 0:
            # The event loop runs late, and so does the timer that ends the request.
            raise CannotBeInTime(
                "its time was over before it was sent", DEFAULT_RETRY_AFTER
            )
        await self._watcher.admit(request)
        message = self._dialect.target_request(request, options)
        return await self.send(request, estimate, message, request.request_id, is_once)

    async def send(
        self,
        request: CallerRequest,
        estimate: TargetEstimate,
        message: HttpRequest,
        request_id: str = "",
        is_once: bool = False,
    ) -> TargetCall:
        """
        Send a request that the dialect encoded; see :meth:`begin`.

        :param request: the caller's request that it concerns.
        :param request_id: the id that its response must name; empty for a request of
            the gateway itself, whose response names none.
        """
        pool = self.pool(estimate)
        estimate.in_flight += 1
        try:
            idle = self._settings.idle_once if is_once else None
            connection = await pool.acquire(idle, request_id)
        except BaseException as error:
            estimate.in_flight -= 1
            if isinstance(error, Failure):
                self.record_failure(request, estimate, error)
            raise
        sent_at = self._timers.now()
        call = TargetCall(
            estimate,
            pool,
            connection,
            sent_at,
            lambda: self._watcher.cut_off(
                request, estimate, connection.opened_at, sent_at
            ),
            lambda: self.is_reachable(estimate),
        )
        try:
            call.head = await connection.send(
                message,
                lambda head: self._accept_reply(request, call, head),
                request_id,
            )
            if request_id:
                call.check_attribution()
            call.framing = body_framing(message.method, call.head)
            await self._check(call, call.head)
        except BaseException as error:
            call.close()
            if isinstance(error, Failure):
                self.record_failure(request, estimate, error, call=call)
            raise
        return call

    def _accept_reply(
        self, request: CallerRequest, call: TargetCall, head: ReplyHead
    ) -> bool:
        """Return whether a response belongs to a call; log one that does not."""
        call.match = self._dialect.match_reply(request, head)
        if call.match is not ReplyMatch.OTHER:
            return True
        call.has_discarded = True
        self._log.write(
            LogEvent.RESPONSE_DISCARDED,
            request=request.request_id,
            target=call.estimate.target.target_id,
            status=head.status,
            **call.connection_fields(),
        )
        return False

    async def _check(self, call: TargetCall, head: ReplyHead) -> None:
        """
        Raise a failure if the head says that the target did not run the request.

        :raises RejectedUnrun: if the target states it.
        :raises OtherInstance: if another target states it.
        :raises RejectionUnproven: if only the status does, which a caller must not be
            sent: servers in between, and targets that give up, use these statuses too.
        """
        verdict = self._dialect.verdict(head)
        failure: Failure
        if verdict is Verdict.NOT_RUN:
            failure = RejectedUnrun(f"status {head.status}")
        elif verdict is Verdict.OTHER_INSTANCE:
            address = call.estimate.target.address
            failure = OtherInstance(f"another target has {address}")
        elif head.status in UNRUN_STATUSES:
            failure = RejectionUnproven(f"status {head.status}")
        else:
            return
        await call.read_all(confirms_end=False)
        raise failure

    def succeeded(self, request: CallerRequest, estimate: TargetEstimate) -> None:
        """Record a complete response for its target and its request."""
        estimate.outcome(is_good=True)
        self._watcher.request_succeeded(request, estimate)

    def record_failure(
        self,
        request: CallerRequest,
        estimate: TargetEstimate,
        failure: Failure,
        sent_at: float | None = None,
        call: TargetCall | None = None,
    ) -> None:
        """
        Record a failed attempt against its target.

        :param sent_at: seconds of the timer service; ``None`` if nothing was sent, or
            if ``call`` is given.
        :param call: the exchange that failed; ``None`` if it has ended or never began.
        """
        target = estimate.target
        if call is not None:
            sent_at = call.sent_at
        now = self._timers.now()
        self._metrics.count("attempts_failed", failure.code)
        self._log.write(
            LogEvent.ATTEMPT_FAILED,
            request=request.request_id,
            target=target.target_id,
            code=failure.code,
            detail=failure.detail,
            fingerprint=request.fingerprint,
            traits=request.traits,
            after=None if sent_at is None else round(now - sent_at, 4),
            others=estimate.in_flight,
            **({} if call is None else call.response_fields()),
        )
        if isinstance(failure, OtherInstance):
            # Another instance has the address, so this target no longer exists.
            estimate.missing_since = now
            return
        estimate.outcome(is_good=False)
        if isinstance(failure, NotListening):
            estimate.record_refused_connection(now)
        if isinstance(failure, ConnectionBroken | ReplyInvalid):
            self._watcher.connection_lost(estimate)
        counts_for_ejection = not isinstance(
            failure, RejectedUnrun | RejectionUnproven | TargetFailed
        )
        if counts_for_ejection and self._fleet.failed(estimate, now):
            self._log.write(LogEvent.TARGET_EJECTED, target=target.target_id)

    def failed(self, request: CallerRequest, call: TargetCall, status: int) -> None:
        """Record a failure that the target reported by the status of its response."""
        self.record_failure(
            request, call.estimate, TargetFailed(f"status {status}"), call=call
        )
