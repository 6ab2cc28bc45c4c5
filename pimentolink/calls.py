"""Makes one call to one target and keeps the books on it."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from pimentolink.dialect import CallerRequest, Dialect, Sending, Verdict
from pimentolink.errors import (
    USUAL_PAUSE,
    CannotBeInTime,
    ConnectionBroken,
    Failure,
    NotConnected,
    NotListening,
    OtherInstance,
    RejectedUnrun,
    ReplyInvalid,
    TargetFailed,
)
from pimentolink.fleet import Fleet
from pimentolink.gatewaysettings import ConnectionSettings
from pimentolink.httptypes import HttpReply, HttpRequest, ReplyHead
from pimentolink.logs import Log, LogEvent
from pimentolink.metrics import Metrics
from pimentolink.targetestimate import TargetEstimate
from pimentolink.targethttp import ConnectionPool, TargetConnection, exchange
from pimentolink.timers import Timers

MAX_ANSWER_BYTES = 8_000_000


class CallWatcher(Protocol):
    """Learns how calls end, and may keep a request from targets."""

    async def admit(self, request: CallerRequest) -> None:
        """
        Let a request be sent to a target.

        :raises Failure: if it may not be sent.
        """

    def cut_off(self, request: CallerRequest, estimate: TargetEstimate) -> None:
        """Learn that an exchange with a target did not come to its end."""

    def connection_lost(self, estimate: TargetEstimate) -> None:
        """Learn that a target broke a connection off."""

    def answered(self, request: CallerRequest) -> None:
        """Learn that a request got its whole answer."""


class Call:
    """One exchange with a target, from sending to its last byte."""

    def __init__(
        self,
        estimate: TargetEstimate,
        pool: ConnectionPool,
        connection: TargetConnection,
        sent_at: float,
        on_cut_off: Callable[[], None],
    ) -> None:
        """
        Begin.

        :param estimate: what is known of the target.
        :param pool: where the connection goes back to.
        :param connection: that carries the exchange.
        :param sent_at: seconds of the timer service.
        :param on_cut_off: called if it is ended before the answer's last byte.
        """
        self.estimate = estimate
        self.sent_at = sent_at
        self._on_cut_off = on_cut_off
        self._is_whole = False
        self._pool = pool
        self._connection = connection
        self._is_over = False
        self.head: ReplyHead | None = None

    async def read(self) -> bytes | None:
        """Read the answer's next bytes; ``None`` at its end."""
        piece = await self._connection.read()
        if piece is None:
            self._is_whole = True
            self.close()
        return piece

    async def read_all(self) -> HttpReply:
        """Read the whole answer."""
        assert self.head is not None
        body = await self._connection.read_all(MAX_ANSWER_BYTES)
        self._is_whole = True
        self.close()
        return HttpReply(self.head, body)

    def pause(self, is_paused: bool) -> None:
        """Stop reading from the target for a while, or go on."""
        transport: Any = self._connection.transport
        if self._is_over or transport is None:
            return
        if is_paused:
            transport.pauseProducing()
        else:
            transport.resumeProducing()

    def close(self) -> None:
        """End it; a target that is still at work is cut off."""
        if self._is_over:
            return
        self._is_over = True
        self.estimate.in_flight -= 1
        self._pool.release(self._connection)
        if not self._is_whole:
            self._on_cut_off()


class Caller:
    """Makes calls over pooled connections to targets."""

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
        Prepare; connections are opened when needed.

        :param reactor: the loop.
        :param settings: of connections.
        :param fleet: learns of failures.
        :param dialect: writes requests and reads answers.
        :param watcher: learns how calls end.
        :param timers: the timer service.
        :param log: where events go.
        :param metrics: where figures go.
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
        """Close the idle connections of a target that is gone."""
        pool = self._pools_by_target.pop(target_id, None)
        if pool is not None:
            pool.close()

    def pool(self, estimate: TargetEstimate) -> ConnectionPool:
        """Find the connections to a target."""
        target = estimate.target
        pool = self._pools_by_target.get(target.target_id)
        if pool is None:
            pool = ConnectionPool(
                self._reactor, target.address, self._settings, self._timers
            )
            self._pools_by_target[target.target_id] = pool
        pool.most = self.max_connections(target.service)
        return pool

    async def alone(self, estimate: TargetEstimate, message: HttpRequest) -> HttpReply:
        """
        Make one call on a connection of its own.

        Nothing of it can arrive once the connection is closed, which an order needs.

        :raises Failure: without an answer.
        """
        address = estimate.target.address
        pool = ConnectionPool(self._reactor, address, self._settings, self._timers)
        try:
            return await exchange(pool, message, lambda head: True, MAX_ANSWER_BYTES)
        finally:
            pool.close()

    async def is_listening(self, estimate: TargetEstimate) -> bool:
        """
        Tell whether anything listens at a target's address.

        A connection that can be made is kept for the next call.

        :returns: ``False`` only if it refuses connections.
        """
        pool = self.pool(estimate)
        try:
            connection = await pool.open()
        except NotListening:
            estimate.refused_connection(self._timers.now())
            return False
        except NotConnected:
            return True
        pool.release(connection)
        return True

    async def admit(self, request: CallerRequest) -> None:
        """
        Let a request be sent to a target, now or after it has waited.

        :raises Quarantined: if targets may crash by it.
        """
        await self._watcher.admit(request)

    async def begin(
        self,
        request: CallerRequest,
        estimate: TargetEstimate,
        sending: Sending,
        is_once: bool = False,
    ) -> Call:
        """
        Send a request and wait for the head of its answer.

        :param is_once: whether the request may not be repeated.
        :returns: the call, with an answer of the target to read.
        :raises Failure: if there is none; its ``ran`` tells whether the request may
            have run.
        """
        if sending.time_left is not None and sending.time_left <= 0:
            # The timer that ends the request is late, as the loop is.
            raise CannotBeInTime("its time was over before it was sent", USUAL_PAUSE)
        await self._watcher.admit(request)
        message = self._dialect.sending(request, sending)
        return await self.send(request, estimate, message, is_once)

    async def send(
        self,
        request: CallerRequest,
        estimate: TargetEstimate,
        message: HttpRequest,
        is_once: bool = False,
    ) -> Call:
        """Send a message that the dialect wrote; see :meth:`begin`."""
        pool = self.pool(estimate)
        estimate.in_flight += 1
        try:
            idle = self._settings.idle_once if is_once else None
            connection = await pool.acquire(idle)
        except BaseException as error:
            estimate.in_flight -= 1
            if isinstance(error, Failure):
                self.blame(request, estimate, error)
            raise
        call = Call(
            estimate,
            pool,
            connection,
            self._timers.now(),
            lambda: self._watcher.cut_off(request, estimate),
        )
        try:
            call.head = await connection.send(
                message, lambda head: self._dialect.belongs(request, head)
            )
            await self._check(call, call.head)
        except BaseException as error:
            call.close()
            if isinstance(error, Failure):
                self.blame(request, estimate, error, call.sent_at)
            raise
        return call

    async def _check(self, call: Call, head: ReplyHead) -> None:
        """Raise what the head says against the answer."""
        verdict = self._dialect.verdict(head)
        if verdict is Verdict.NOT_RUN:
            await call.read_all()
            raise RejectedUnrun(f"status {head.status}")
        if verdict is Verdict.OTHER_INSTANCE:
            await call.read_all()
            raise OtherInstance(f"another target has {call.estimate.target.address}")

    def succeeded(self, request: CallerRequest, estimate: TargetEstimate) -> None:
        """Count a whole answer for its target and for what was asked."""
        estimate.outcome(is_good=True)
        self._watcher.answered(request)

    def blame(
        self,
        request: CallerRequest,
        estimate: TargetEstimate,
        failure: Failure,
        sent_at: float | None = None,
    ) -> None:
        """
        Count a failed attempt against its target.

        :param sent_at: seconds of the timer service; ``None`` if nothing was sent.
        """
        target = estimate.target
        now = self._timers.now()
        self._metrics.count("attempts_failed", failure.code)
        self._log.write(
            LogEvent.ATTEMPT_FAILED,
            request=request.request_id,
            target=target.target_id,
            code=failure.code,
            detail=failure.detail,
            fingerprint=request.fingerprint,
            after=None if sent_at is None else round(now - sent_at, 4),
            others=estimate.in_flight,
        )
        if isinstance(failure, OtherInstance):
            # Whoever has the address now, this target is gone.
            estimate.missing_since = now
            return
        estimate.outcome(is_good=False)
        if isinstance(failure, NotListening):
            estimate.refused_connection(now)
        if isinstance(failure, ConnectionBroken | ReplyInvalid):
            self._watcher.connection_lost(estimate)
        is_sick = not isinstance(failure, RejectedUnrun | TargetFailed)
        if is_sick and self._fleet.failed(estimate, now):
            self._log.write(LogEvent.TARGET_EJECTED, target=target.target_id)

    def failed(self, request: CallerRequest, call: Call, status: int) -> None:
        """Count a target's own failure, told by the status of its answer."""
        self.blame(
            request, call.estimate, TargetFailed(f"status {status}"), call.sent_at
        )
