"""Gives orders to engines, one gateway at a time."""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from random import Random
from typing import Any, NamedTuple

import msgspec
from result import Err, Ok, Result
from twisted.internet.defer import CancelledError, Deferred

from pimentolink.dialect import Dialect
from pimentolink.errors import (
    Failure,
    KeyValueUnavailable,
    LeaseLost,
    OrderLost,
)
from pimentolink.fleet import Fleet
from pimentolink.gatewaysettings import GatewaySettings
from pimentolink.httptypes import HttpReply, HttpRequest
from pimentolink.keyspace import Change, Keyspace, Write
from pimentolink.logs import Log, LogEvent
from pimentolink.peermessages import PeerNews, RoleChanging
from pimentolink.rolebalance import RoleBalancer, RoleChange
from pimentolink.targetbelief import EngineReport, TargetBelief
from pimentolink.timers import Timers, pause, together, with_timeout

HOLDER_KEY = "pimentolink/orders"
# The right to give orders is renewed this often within its lease.
RENEWALS = 3
# Seconds for which an engine gets no further order after one without an answer: it
# may still be carried out, at the latest 12 s after it was sent.
IN_DOUBT = 13.0
# Seconds of the lease that must be left when an order goes out, so that it arrives
# inside it.
LEASE_LEFT = 1.0
# Seconds for which a reading of the key may be acted on. The store may take the key
# away unseen; who takes it over waits for this beside the lease.
READ_AGE = 0.5
# Seconds until an order counts as unanswered.
ORDER_TIMEOUT = 0.8
# Seconds over which gateways spread their attempts to become the holder.
CAMPAIGN_SPREAD = 1.0
# Seconds that a change of role takes beyond its switch: running answers end first.
SETTLE_TIME = 2.0


class Holder(msgspec.Struct):
    """Who may give orders: one life of one gateway."""

    instance: str
    life: str


class _Order(NamedTuple):
    """
    An order that is about to go out.

    :ivar after: orders that the engine had accepted before.
    """

    change: RoleChange
    message: HttpRequest
    after: int


class OrderHolder:
    """
    Orders roles while this gateway holds the right to.

    Guards that orders of two gateways never mix: the right is a key under a lease,
    its revision the fencing number; it is read before each order, and whoever takes
    it over waits until orders of the last holder can no longer arrive.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        life: str,
        keyspace: Keyspace,
        balancer: RoleBalancer,
        fleet: Fleet,
        dialect: Dialect,
        send: Callable[[TargetBelief, HttpRequest], Coroutine[Any, Any, HttpReply]],
        news: PeerNews,
        timers: Timers,
        random: Random,
        log: Log,
    ) -> None:
        """
        Prepare.

        :param settings: lease and pauses.
        :param life: of this process.
        :param keyspace: the store.
        :param balancer: decides.
        :param fleet: the engines.
        :param dialect: writes orders.
        :param send: makes one call on a connection of its own.
        :param news: tells other gateways.
        :param timers: the timer service.
        :param random: seeded source for jitter.
        :param log: where events go.
        """
        self._settings = settings
        self._keyspace = keyspace
        self._balancer = balancer
        self._fleet = fleet
        self._dialect = dialect
        self._send = send
        self._news = news
        self._timers = timers
        self._random = random
        self._log = log
        self._lease_time = settings.order_lease_ms / 1000
        self._me = msgspec.json.encode(Holder(settings.instance, life))
        self._name = f"{settings.instance}-{life}"
        self._holder: bytes | None = None
        self._is_known = False
        self._lease = 0
        self._fence = 0
        self._valid_until = 0.0
        self._orders_from = 0.0
        self._in_doubt_until: dict[str, float] = {}
        self._running: Deferred[None] | None = None
        self.services: Callable[[], list[str]] = list

    def start(self) -> None:
        """Take the right whenever nobody has it."""
        self._running = Deferred.fromCoroutine(self._run())
        self._running.addErrback(lambda failure: failure.trap(CancelledError))

    def stop(self) -> None:
        """Give the right up."""
        if self._running is not None:
            self._running.cancel()
        if self._lease:
            ending = self._keyspace.end(self._lease)
            # Without an answer the lease runs out by itself.
            ending.addErrback(lambda failure: failure.trap(KeyValueUnavailable))
        self._give_up()

    def distrust(self) -> None:
        """Give no order until the lease is renewed: this process stood still."""
        self._valid_until = 0.0

    def key_changed(self, change: Change) -> None:
        """Learn who holds the right."""
        self._is_known = True
        self._holder = change.value
        if self._lease and change.value != self._me:
            self._give_up()

    async def _run(self) -> None:
        while True:
            try:
                if self._lease:
                    await self._hold()
                elif self._is_known and self._holder is None:
                    await self._campaign()
            except LeaseLost as failure:
                self._log.write(LogEvent.ORDERS_LOST, detail=str(failure))
                self._give_up()
            except KeyValueUnavailable:
                # The follower logs outages; the lease may run out meanwhile.
                if self._timers.now() > self._valid_until:
                    self._give_up()
            await pause(self._timers, self._lease_time / RENEWALS)

    async def _campaign(self) -> None:
        await pause(self._timers, self._random.uniform(0.0, CAMPAIGN_SPREAD))
        if self._holder is not None:
            return
        asked_at = self._timers.now()
        lease = await self._keyspace.grant(self._lease_time)
        write = Write(HOLDER_KEY, self._me, 0, lease)
        revision = await self._keyspace.write(write)
        if revision is None:
            await self._keyspace.end(lease)
            return
        self._lease, self._fence, self._holder = lease, revision, self._me
        self._valid_until = asked_at + self._lease_time
        # Orders of the holder before may be under way for as long.
        wait = self._lease_time + 2 * READ_AGE
        self._orders_from = self._timers.now() + wait
        self._log.write(LogEvent.ORDERS_TAKEN, fence=revision, lease=lease)

    def _give_up(self) -> None:
        self._lease = 0
        self._fence = 0
        self._valid_until = 0.0
        if self._holder == self._me:
            self._holder = None

    async def _hold(self) -> None:
        asked_at = self._timers.now()
        await self._keyspace.renew(self._lease)
        self._valid_until = asked_at + self._lease_time
        for service in self.services():
            self._balancer.observe(service, self._timers.now())
            changes = self._balancer.decide_all(service, self._timers.now())
            await self._order_all(service, changes)

    def _may_order(self, change: RoleChange) -> bool:
        now = self._timers.now()
        in_doubt = self._in_doubt_until.get(change.belief.target.target_id, 0.0)
        is_held = now < self._valid_until - LEASE_LEFT
        return is_held and now >= self._orders_from and now >= in_doubt

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
                change.belief, report, change.role, self._name, self._fence
            )
            orders.append(_Order(change, message, report.orders_accepted))
        if not orders or not await self._is_holder():
            return
        await together([self._order(service, order) for order in orders])

    async def _is_holder(self) -> bool:
        """
        Read the key that gives the right to order.

        :returns: whether it was read just now.
        :raises LeaseLost: if another gateway holds it.
        """
        asked_at = self._timers.now()
        found = await self._keyspace.read(HOLDER_KEY)
        if found is None or found.value != self._me or found.revision != self._fence:
            raise LeaseLost("another gateway holds the right to give orders")
        return self._timers.now() - asked_at <= READ_AGE

    async def _order(self, service: str, order: _Order) -> None:
        change = order.change
        if not self._may_order(change):
            return
        self._balancer.begun(service, self._timers.now())
        self._tell(LogEvent.ORDER_STARTED, change, f"after {order.after}")
        outcome = await self._outcome(change.belief, order.message)
        if isinstance(outcome, Ok):
            self._accepted(service, change)
        else:
            self._tell(LogEvent.ORDER_FAILED, change, str(outcome.err_value))

    async def _report(self, change: RoleChange) -> EngineReport | None:
        """Ask the engine what it is; the list tells it late."""
        belief = change.belief
        asking = self._send(belief, self._dialect.ask_report(belief))
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
        self, belief: TargetBelief, message: HttpRequest
    ) -> Result[None, Failure]:
        sending = self._send(belief, message)
        try:
            reply = await with_timeout(self._timers, ORDER_TIMEOUT, sending)
        except (Failure, TimeoutError) as error:
            until = self._timers.now() + IN_DOUBT
            self._in_doubt_until[belief.target.target_id] = until
            return Err(OrderLost(f"{type(error).__name__}: {error}"))
        return self._dialect.order_outcome(reply)

    def _accepted(self, service: str, change: RoleChange) -> None:
        model = self._fleet.model(service)
        switch_time = model.switch_time if model is not None else 0.0
        seconds = switch_time + SETTLE_TIME
        belief = change.belief
        belief.changing_until = self._timers.now() + seconds
        self._balancer.accepted(service, change)
        target = belief.target
        self._news.tell(RoleChanging(target.target_id, seconds, target.born))
        self._tell(LogEvent.ORDER_DONE, change)

    def _tell(self, event: LogEvent, change: RoleChange, detail: str = "") -> None:
        self._log.write(
            event,
            target=change.belief.target.target_id,
            role=change.role.value,
            fence=self._fence,
            streams=round(change.streams, 1),
            unmet=round(change.unmet, 3),
            regret=round(change.regret, 2),
            readers=change.readers,
            detail=detail,
        )


def _is_needed(change: RoleChange, report: EngineReport) -> bool:
    """Tell whether an engine that is free is of another role, in the life meant."""
    is_other = report.role is not change.role
    return is_other and not report.is_busy and report.is_of(change.belief.target)
