"""Gives orders to engines, one gateway at a time."""

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
from pimentolink.leadership import READ_AGE, Leadership
from pimentolink.logs import Log, LogEvent
from pimentolink.peermessages import PeerPublisher, RoleChanging
from pimentolink.rolebalance import RoleBalancer, RoleChange
from pimentolink.targetestimate import EngineReport, TargetEstimate
from pimentolink.timers import Timers, together, with_timeout

# Seconds for which an engine gets no further order after one without an answer: it
# may still be carried out, at the latest 12 s after it was sent.
IN_DOUBT = 13.0
# Seconds until an order counts as unanswered.
ORDER_TIMEOUT = 0.8
# Seconds that a change of role takes beyond its switch: running answers end first.
SETTLE_TIME = 2.0


class _Order(NamedTuple):
    """
    An order that is about to go out.

    :ivar after: orders that the engine had accepted before.
    """

    change: RoleChange
    message: HttpRequest
    after: int


class RoleController:
    """
    Orders roles while this gateway leads.

    Guards that orders of two gateways never mix: whether it leads is read before each
    round of orders, and a new leader waits until orders of the last one can no longer
    arrive.
    """

    def __init__(
        self,
        leadership: Leadership,
        balancer: RoleBalancer,
        fleet: Fleet,
        dialect: Dialect,
        send: Callable[[TargetEstimate, HttpRequest], Coroutine[Any, Any, HttpReply]],
        news: PeerPublisher,
        timers: Timers,
        log: Log,
    ) -> None:
        """
        Prepare.

        :param leadership: tells whether this gateway leads.
        :param balancer: decides.
        :param fleet: the engines.
        :param dialect: writes orders.
        :param send: makes one call on a connection of its own.
        :param news: tells other gateways.
        :param timers: the timer service.
        :param log: where events go.
        """
        self._leadership = leadership
        self._balancer = balancer
        self._fleet = fleet
        self._dialect = dialect
        self._send = send
        self._news = news
        self._timers = timers
        self._log = log
        self._wait = leadership.lease_time + 2 * READ_AGE
        self._in_doubt_until: dict[str, float] = {}
        self.services: Callable[[], list[str]] = list

    async def lead(self) -> None:
        """Decide on the roles of all services and give the orders."""
        for service in self.services():
            self._balancer.observe(service, self._timers.now())
            changes = self._balancer.decide_all(service, self._timers.now())
            await self._order_all(service, changes)

    def _may_order(self, change: RoleChange) -> bool:
        in_doubt = self._in_doubt_until.get(change.estimate.target.target_id, 0.0)
        is_leader = self._leadership.may_act(self._wait)
        return is_leader and self._timers.now() >= in_doubt

    async def _order_all(self, service: str, changes: list[RoleChange]) -> None:
        """Give orders at one moment, on one reading of the right to give them."""
        allowed = [change for change in changes if self._may_order(change)]
        reports = await together([self._report(change) for change in allowed])
        orders: list[_Order] = []
        for change, report in zip(allowed, reports, strict=True):
            if report is None or not _is_needed(change, report):
                # The list tells a change of role, or a restart, late; it will catch up.
                self._balancer.begun(service, self._timers.now())
                continue
            message = self._dialect.change_role(
                change.estimate,
                report,
                change.role,
                self._leadership.name,
                self._leadership.fence,
            )
            orders.append(_Order(change, message, report.orders_accepted))
        if not orders or not await self._leadership.is_confirmed():
            return
        await together([self._order(service, order) for order in orders])

    async def _order(self, service: str, order: _Order) -> None:
        change = order.change
        if not self._may_order(change):
            return
        self._balancer.begun(service, self._timers.now())
        self._tell(LogEvent.ORDER_STARTED, change, f"after {order.after}")
        outcome = await self._outcome(change.estimate, order.message)
        if isinstance(outcome, Ok):
            self._accepted(service, change)
        else:
            self._tell(LogEvent.ORDER_FAILED, change, str(outcome.err_value))

    async def _report(self, change: RoleChange) -> EngineReport | None:
        """Ask the engine what it is; the list tells it late."""
        estimate = change.estimate
        asking = self._send(estimate, self._dialect.ask_report(estimate))
        try:
            reply = await with_timeout(self._timers, ORDER_TIMEOUT, asking)
        except (Failure, TimeoutError) as error:
            self._tell(LogEvent.ORDER_FAILED, change, f"no report: {error}")
            return None
        found = self._dialect.read_report(reply)
        if isinstance(found, Err):
            self._tell(LogEvent.ORDER_FAILED, change, str(found.err_value))
            return None
        return found.ok_value

    async def _outcome(
        self, estimate: TargetEstimate, message: HttpRequest
    ) -> Result[None, Failure]:
        sending = self._send(estimate, message)
        try:
            reply = await with_timeout(self._timers, ORDER_TIMEOUT, sending)
        except (Failure, TimeoutError) as error:
            until = self._timers.now() + IN_DOUBT
            self._in_doubt_until[estimate.target.target_id] = until
            return Err(OrderLost(f"{type(error).__name__}: {error}"))
        return self._dialect.order_outcome(reply)

    def _accepted(self, service: str, change: RoleChange) -> None:
        model = self._fleet.model(service)
        switch_time = model.switch_time if model is not None else 0.0
        seconds = switch_time + SETTLE_TIME
        estimate = change.estimate
        estimate.changing_until = self._timers.now() + seconds
        self._balancer.accepted(service, change)
        target = estimate.target
        self._news.broadcast(RoleChanging(target.target_id, seconds, target.born))
        self._tell(LogEvent.ORDER_DONE, change)

    def _tell(self, event: LogEvent, change: RoleChange, detail: str = "") -> None:
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
    """Tell whether an engine that is free is of another role, in the life meant."""
    is_other = report.role is not change.role
    return is_other and not report.is_busy and report.is_of(change.estimate.target)
