"""Makes one gateway at a time the leader, under a lease of the store."""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from random import Random
from typing import Any

import msgspec
from result import Err
from twisted.internet.defer import Deferred

from pimentolink.errors import KeyValueUnavailable, LeaseLost
from pimentolink.gatewaysettings import GatewaySettings
from pimentolink.jsondocument import read_json
from pimentolink.keyspace import Change, Keyspace, Write, epoch_of
from pimentolink.logs import Log, LogEvent
from pimentolink.timers import Timers, in_background, pause

LEADER_KEY = "pimentolink/orders"
# The lease is renewed this often within its time.
RENEWALS = 3
# Seconds of the lease that must be left when the leader acts, so that what it sends
# arrives inside it.
LEASE_LEFT = 1.0
# Seconds for which a reading of the key may be acted on. The store may take the key
# away unseen; who takes it over waits for this beside the lease.
READ_AGE = 0.5
# Seconds over which gateways spread their attempts to become the leader.
CAMPAIGN_SPREAD = 1.0


class Leader(msgspec.Struct):
    """
    Who leads: one life of one gateway.

    :ivar epoch: of the store that says so.
    """

    instance: str
    life: str
    epoch: int = 0


class Leadership:
    """
    Keeps one leader at a time.

    The leader is named by a key under a lease, whose revision is the fencing token. It
    is read before the leader acts, since the store may take it away unseen, and whoever
    takes over waits until what the last leader sent can no longer arrive.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        life: str,
        keyspace: Keyspace,
        timers: Timers,
        random: Random,
        log: Log,
    ) -> None:
        """
        Prepare.

        :param settings: lease and pauses.
        :param life: of this process.
        :param keyspace: the store.
        :param timers: the timer service.
        :param random: seeded source for jitter.
        :param log: where events go.
        """
        self._keyspace = keyspace
        self._timers = timers
        self._random = random
        self._log = log
        self.lease_time = settings.order_lease_ms / 1000
        self._life = life
        self._me = b""
        self.name = f"{settings.instance}-{life}"
        self.instance = settings.instance
        self._leader: bytes | None = None
        self._leader_revision = 0
        self._is_known = False
        self._changed_at = 0.0
        self.lease = 0
        self.fence = 0
        self._valid_until = 0.0
        self._taken_at = 0.0
        self._stands_back_until = 0.0
        self._running: Deferred[None] | None = None
        self.lead: Callable[[], Coroutine[Any, Any, None]] = _nothing
        self.on_leader: Callable[[], None] = lambda: None

    def start(self) -> None:
        """Lead whenever nobody does."""
        self._running = in_background(self._run())

    def stop(self) -> None:
        """Lead no more."""
        if self._running is not None:
            self._running.cancel()
        self._end_lease()
        self._give_up()

    def stand_back(self, seconds: float) -> None:
        """
        Let another gateway lead, for what this one cannot reach.

        :param seconds: for which this one does not try again.
        """
        self._stands_back_until = self._timers.now() + seconds
        self._log.write(LogEvent.LEADERSHIP_LOST, detail="this gateway stands back")
        self._end_lease()
        self._give_up()

    def distrust(self) -> None:
        """Do not act until the lease is renewed: this process stood still."""
        self._valid_until = 0.0

    def key_changed(self, change: Change) -> None:
        """Learn who leads."""
        self._is_known = True
        before = self._leader
        self._leader = change.value
        revision = change.revision if change.value is not None else 0
        if revision != self._leader_revision:
            self._leader_revision = revision
            self._changed_at = self._timers.now()
        if self.lease and change.value != self._me:
            self._give_up()
        if change.value != before:
            self.on_leader()

    def _is_free(self) -> bool:
        """
        Tell whether nobody leads.

        A leader that only the copy names which the store was restored from has lost its
        lease; nothing else may remove the key.
        """
        leader = self._read_leader()
        if leader is None:
            return self._is_known
        is_copied = leader.epoch < epoch_of(self._leader_revision)
        return is_copied and self._timers.now() >= self._changed_at + self.lease_time

    @property
    def leader(self) -> str:
        """The instance that leads; empty if none is known."""
        leader = self._read_leader()
        return "" if leader is None else leader.instance

    def _read_leader(self) -> Leader | None:
        if self._leader is None:
            return None
        found = read_json(self._leader, Leader)
        # What cannot be read names a leader that is not known here.
        return Leader("", "") if isinstance(found, Err) else found.ok_value

    def may_act(self, wait: float) -> bool:
        """
        Tell whether this gateway may act as the leader.

        :param wait: seconds after a take-over until nothing of the last leader arrives.
        """
        now = self._timers.now()
        is_held = bool(self.lease) and now < self._valid_until - LEASE_LEFT
        return is_held and now >= self._taken_at + wait

    async def is_confirmed(self) -> bool:
        """
        Read the key that names the leader.

        :returns: whether it was read just now and names this gateway.
        :raises LeaseLost: if another gateway leads.
        :raises KeyValueUnavailable: without an answer.
        """
        asked_at = self._timers.now()
        found = await self._keyspace.read(LEADER_KEY)
        if found is None or found.value != self._me or found.revision != self.fence:
            raise LeaseLost("another gateway leads")
        return self._timers.now() - asked_at <= READ_AGE

    def lost(self, failure: LeaseLost) -> None:
        """Learn that another gateway leads."""
        self._log.write(LogEvent.LEADERSHIP_LOST, detail=str(failure))
        self._give_up()

    async def _run(self) -> None:
        while True:
            try:
                if self.lease:
                    await self._hold()
                elif self._may_campaign():
                    await self._campaign()
            except LeaseLost as failure:
                self.lost(failure)
            except KeyValueUnavailable:
                # The follower logs outages. The store may pause leases meanwhile: given
                # up here, this one would keep others from leading until it runs out.
                pass
            await pause(self._timers, self.lease_time / RENEWALS)

    def _may_campaign(self) -> bool:
        return self._is_free() and self._timers.now() >= self._stands_back_until

    async def _campaign(self) -> None:
        await pause(self._timers, self._random.uniform(0.0, CAMPAIGN_SPREAD))
        if not self._is_free():
            return
        asked_at = self._timers.now()
        before = self._leader_revision
        lease = await self._keyspace.grant(self.lease_time)
        leader = Leader(self.instance, self._life, self._keyspace.epoch)
        self._me = msgspec.json.encode(leader)
        write = Write(LEADER_KEY, self._me, before, lease)
        revision = await self._keyspace.write(write)
        if revision is None:
            await self._keyspace.end(lease)
            return
        self.lease, self.fence, self._leader = lease, revision, self._me
        self._leader_revision = revision
        self._valid_until = asked_at + self.lease_time
        self._taken_at = self._timers.now()
        self._log.write(LogEvent.LEADERSHIP_TAKEN, fence=revision, lease=lease)
        self.on_leader()

    async def _hold(self) -> None:
        asked_at = self._timers.now()
        await self._keyspace.renew(self.lease)
        self._valid_until = asked_at + self.lease_time
        await self.lead()

    def _end_lease(self) -> None:
        if self.lease:
            ending = self._keyspace.end(self.lease)
            # Without an answer the lease runs out by itself.
            ending.addErrback(lambda failure: failure.trap(KeyValueUnavailable))

    def _give_up(self) -> None:
        self.lease = 0
        self.fence = 0
        self._valid_until = 0.0
        if self._leader == self._me:
            self._leader = None
            self._leader_revision = 0


async def _nothing() -> None:
    """Do nothing as the leader."""
