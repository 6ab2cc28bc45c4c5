"""Orders engines to change their roles; only the leading gateway does so."""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from typing import Any, NamedTuple

from result import Err, Ok, Result

from pimentolink.dialect import Dialect
from pimentolink.errors import (
    Failure,
    OrderLost,
)
from pimentolink.fleet import Fleet
from pimentolink.httptypes import HttpReply, HttpRequest
from pimentolink.leadership import MAX_READ_AGE, Leadership
from pimentolink.logs import Log, LogEvent
from pimentolink.peermessages import PeerPublisher, RoleChanging
from pimentolink.rolebalance import RoleBalancer, RoleChange
from pimentolink.targetestimate import EngineReport, TargetEstimate
from pimentolink.timers import Timers, await_all, with_timeout

# Seconds for which an engine gets no further order after an order without a reply. An
# order without a reply may still be carried out up to 12 s after it was sent.
ORDER_UNCERTAINTY = 13.0
# Timeout, in seconds, of an order and of a request for an engine's report.
ORDER_TIMEOUT = 0.8
# Seconds added to the model's time for a change of role, since the engine first
# completes the responses in progress.
DRAIN_TIME = 2.0


class _Order(NamedTuple):
    """
    An order to be sent.

    :ivar change: the role change that it orders.
    :ivar message: the HTTP request.
    :ivar after: number of orders that the engine had accepted before.
    """

    change: RoleChange
    message: HttpRequest
    after: int


class RoleController:
    """
    Orders role changes while this gateway leads.

    Ensures that orders of two gateways never overlap: leadership is confirmed in the
    store before each round of orders, and a new leader waits until orders of the
    previous one can no longer arrive.

    :ivar services: returns the names of the services whose engines this gateway
        controls.
    """

    def __init__(
        self,
        leadership: Leadership,
        balancer: RoleBalancer,
        fleet: Fleet,
        dialect: Dialect,
        send: Callable[[TargetEstimate, HttpRequest], Coroutine[Any, Any, HttpReply]],
        publisher: PeerPublisher,
        timers: Timers,
        log: Log,
    ) -> None:
        """
        Create a controller without services.

        :param leadership: tells whether this gateway leads.
        :param balancer: decides which engines change their role.
        :param fleet: the engines.
        :param dialect: encodes orders and decodes replies.
        :param send: sends one HTTP request to an engine over a new connection.
        :param publisher: announces role changes to other gateways.
        :param timers: the timer service.
        :param log: receives log events.
        """
        self._leadership = leadership
        self._balancer = balancer
        self._fleet = fleet
        self._dialect = dialect
        self._send = send
        self._publisher = publisher
        self._timers = timers
        self._log = log
        # The previous leader may act on a read of the leader key for MAX_READ_AGE, so a
        # new one waits longer than the lease.
        self._takeover_wait = leadership.lease_time + 2 * MAX_READ_AGE
        self._uncertain_until: dict[str, float] = {}
        self.services: Callable[[], list[str]] = list

    async def lead(self) -> None:
        """Run one round: decide on role changes for all services and order them."""
        for service in self.services():
            self._balancer.observe(service, self._timers.now())
            changes = self._balancer.decide_all(service, self._timers.now())
            await self._send_orders(service, changes)

    def _may_order(self, change: RoleChange) -> bool:
        """
        Tell whether the engine may get an order now.

        This gateway must lead, and no earlier order without a reply may be pending.
        """
        uncertain_until = self._uncertain_until.get(
            change.estimate.target.target_id, 0.0
        )
        is_leader = self._leadership.may_act(self._takeover_wait)
        return is_leader and self._timers.now() >= uncertain_until

    async def _send_orders(self, service: str, changes: list[RoleChange]) -> None:
        """Send a round of orders after one read of the store confirms leadership."""
        allowed = [change for change in changes if self._may_order(change)]
        reports = await await_all([self._fetch_report(change) for change in allowed])
        orders: list[_Order] = []
        for change, report in zip(allowed, reports, strict=True):
            if report is None or not _is_needed(change, report):
                # The engine did not report, or the target list does not show its role
                # change or restart yet. Count the change as ordered, so that it is not
                # decided again at once.
                self._balancer.record_order(service, self._timers.now())
                continue
            message = self._dialect.role_change_request(
                change.estimate,
                report,
                change.role,
                self._leadership.name,
                self._leadership.fence,
            )
            orders.append(_Order(change, message, report.orders_accepted))
        if not orders or not await self._leadership.is_confirmed():
            return
        await await_all([self._send_order(service, order) for order in orders])

    async def _send_order(self, service: str, order: _Order) -> None:
        change = order.change
        # The lease may have come close to its end during the read.
        if not self._may_order(change):
            return
        self._balancer.record_order(service, self._timers.now())
        self._log_order(
            LogEvent.ORDER_STARTED, change, f"orders accepted before: {order.after}"
        )
        outcome = await self._order_result(change.estimate, order.message)
        if isinstance(outcome, Ok):
            self._on_accepted(service, change)
        else:
            self._log_order(LogEvent.ORDER_FAILED, change, str(outcome.err_value))

    async def _fetch_report(self, change: RoleChange) -> EngineReport | None:
        """
        Ask the engine for its state, which the target list shows only with a delay.

        :returns: ``None`` if the engine does not send a readable report.
        """
        estimate = change.estimate
        asking = self._send(estimate, self._dialect.report_request(estimate))
        try:
            reply = await with_timeout(self._timers, ORDER_TIMEOUT, asking)
        except (Failure, TimeoutError) as error:
            self._log_order(
                LogEvent.ORDER_FAILED, change, f"no report from the engine: {error}"
            )
            return None
        decoded = self._dialect.read_report(reply)
        if isinstance(decoded, Err):
            self._log_order(LogEvent.ORDER_FAILED, change, str(decoded.err_value))
            return None
        return decoded.ok_value

    async def _order_result(
        self, estimate: TargetEstimate, message: HttpRequest
    ) -> Result[None, Failure]:
        sending = self._send(estimate, message)
        try:
            reply = await with_timeout(self._timers, ORDER_TIMEOUT, sending)
        except (Failure, TimeoutError) as error:
            until = self._timers.now() + ORDER_UNCERTAINTY
            self._uncertain_until[estimate.target.target_id] = until
            return Err(OrderLost(f"{type(error).__name__}: {error}"))
        return self._dialect.read_order_reply(reply)

    def _on_accepted(self, service: str, change: RoleChange) -> None:
        model = self._fleet.model(service)
        switch_time = model.switch_time if model is not None else 0.0
        seconds = switch_time + DRAIN_TIME
        estimate = change.estimate
        estimate.changing_until = self._timers.now() + seconds
        self._balancer.record_accepted(service, change)
        target = estimate.target
        self._publisher.broadcast(RoleChanging(target.target_id, seconds, target.born))
        self._log_order(LogEvent.ORDER_DONE, change)

    def _log_order(self, event: LogEvent, change: RoleChange, detail: str = "") -> None:
        self._log.write(
            event,
            target=change.estimate.target.target_id,
            role=change.role.value,
            fence=self._leadership.fence,
            streams=round(change.streams, 1),
            unmet=round(change.unmet, 3),
            regret=round(change.regret, 2),
            readers=change.readers,
            detail=detail,
        )


def _is_needed(change: RoleChange, report: EngineReport) -> bool:
    """
    Tell whether an engine still needs the order for a role change.

    It does if it is not executing an order, is in another role and has not restarted
    since the target list was read.
    """
    is_role_different = report.role is not change.role
    return (
        is_role_different
        and not report.is_busy
        and report.is_from(change.estimate.target)
    )
