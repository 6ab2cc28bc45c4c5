"""Elects one gateway at a time as the leader, by a key under a lease in the store."""

from __future__ import annotations

import math
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
from pimentolink.timers import Timers, pause, run_in_background

LEADER_KEY = "pimentolink/orders"
# How many times the lease is renewed within its duration.
RENEWALS_PER_LEASE = 3
# Seconds that must remain of the lease when the leader acts, so that what it sends
# arrives before the lease expires.
LEASE_MARGIN = 1.0
# Seconds for which a read of the leader key may be acted on. The store may remove the
# key without the leader noticing, so a new leader waits for this time beyond the lease.
MAX_READ_AGE = 0.5
# Seconds after a gateway took over from its own previous process until nothing that the
# latter sent can still arrive: it may have acted on a read for MAX_READ_AGE, and its
# order may have been under way. No other gateway has led in between.
OWN_TAKEOVER_WAIT = 2.0
# Maximum random delay, in seconds, before an attempt to become the leader.
CAMPAIGN_JITTER = 1.0


class Leader(msgspec.Struct):
    """
    The value of the leader key: one process of one gateway.

    :ivar instance: name of the gateway.
    :ivar life: identifies its process; a restart changes it.
    :ivar epoch: epoch of the store in which the key was written.
    """

    instance: str
    life: str
    epoch: int = 0


class Leadership:
    """
    Campaigns for leadership and holds it under a lease.

    A key under a lease names the leader; the key's revision is the fencing token. The
    leader reads the key before it acts, since the store may remove it without the
    leader noticing. A new leader waits until nothing that the previous leader sent can
    still arrive. A gateway that led before it was restarted takes over the key of its
    previous process, whose lease it need not wait for.

    :ivar lease_time: duration of the lease, in seconds.
    :ivar name: identifies this process to engines.
    :ivar instance: name of this gateway.
    :ivar lease: the lease under which this gateway leads; 0 if it does not lead.
    :ivar fence: the fencing token; 0 if this gateway does not lead.
    :ivar lead: called after each renewal while this gateway leads.
    :ivar on_leader: called when the leader may have changed.
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
        Start without a known leader; :meth:`start` begins to campaign.

        :param settings: the gateway's name and the duration of the lease.
        :param life: identifies this process.
        :param keyspace: the store.
        :param timers: the timer service.
        :param random: seeded source for jitter.
        :param log: receives events.
        """
        self._keyspace = keyspace
        self._timers = timers
        self._random = random
        self._log = log
        self.lease_time = settings.order_lease_ms / 1000
        self._life = life
        self._own_value = b""
        self.name = f"{settings.instance}-{life}"
        self.instance = settings.instance
        self._leader: bytes | None = None
        self._leader_revision = 0
        self._is_key_known = False
        self._leader_changed_at = 0.0
        self.lease = 0
        self.fence = 0
        self._valid_until = 0.0
        self._elected_at = 0.0
        self._max_takeover_wait = math.inf
        self._resigned_until = 0.0
        self._running: Deferred[None] | None = None
        self.lead: Callable[[], Coroutine[Any, Any, None]] = _do_nothing
        self.on_leader: Callable[[], None] = lambda: None

    def start(self) -> None:
        """Campaign whenever there is no leader."""
        self._running = run_in_background(self._timers, self._run)

    def stop(self) -> None:
        """Stop campaigning and end the lease."""
        if self._running is not None:
            self._running.cancel()
        self._end_lease()
        self._clear_leadership()

    def resign(self, seconds: float) -> None:
        """
        Resign, so that a gateway that reaches what this one cannot reach may lead.

        :param seconds: time for which this gateway does not campaign again.
        """
        self._resigned_until = self._timers.now() + seconds
        self._log.write(LogEvent.LEADERSHIP_LOST, detail="resigned to let another lead")
        self._end_lease()
        self._clear_leadership()

    def invalidate_lease(self) -> None:
        """Do not act until the lease is renewed, since this process was suspended."""
        self._valid_until = 0.0

    def key_changed(self, change: Change) -> None:
        """Handle a change of the leader key."""
        self._is_key_known = True
        previous = self._leader
        self._leader = change.value
        revision = change.revision if change.value is not None else 0
        if revision != self._leader_revision:
            self._leader_revision = revision
            self._leader_changed_at = self._timers.now()
        if self.lease and change.value != self._own_value:
            self._clear_leadership()
        if change.value != previous:
            self.on_leader()

    def _is_free(self) -> bool:
        """
        Tell whether there is no other leader.

        After the store was restored from a backup, a key of an earlier epoch names a
        leader that has lost its lease. Nothing else may remove that key, so it counts
        as absent once the lease's duration has passed.
        """
        leader = self._read_leader()
        if leader is None:
            return self._is_key_known
        if self._is_previous_process(leader):
            return True
        is_from_earlier_epoch = leader.epoch < epoch_of(self._leader_revision)
        return (
            is_from_earlier_epoch
            and self._timers.now() >= self._leader_changed_at + self.lease_time
        )

    def _is_previous_process(self, leader: Leader | None) -> bool:
        """
        Tell whether a leader is an earlier process of this gateway.

        Not if the store was restored since, as another gateway may have led later.
        """
        return (
            leader is not None
            and leader.instance == self.instance
            and leader.life != self._life
            and leader.epoch == epoch_of(self._leader_revision)
        )

    @property
    def leader(self) -> str:
        """Name of the leading instance; empty if none is known."""
        leader = self._read_leader()
        return "" if leader is None else leader.instance

    def _read_leader(self) -> Leader | None:
        if self._leader is None:
            return None
        decoded = read_json(self._leader, Leader)
        # A value that cannot be decoded still means that some gateway leads.
        return Leader("", "") if isinstance(decoded, Err) else decoded.ok_value

    def may_act(self, wait: float) -> bool:
        """
        Tell whether this gateway may act as the leader.

        :param wait: seconds after the election until nothing that the previous leader
            sent can still arrive.
        """
        now = self._timers.now()
        is_lease_valid = bool(self.lease) and now < self._valid_until - LEASE_MARGIN
        wait = min(wait, self._max_takeover_wait)
        return is_lease_valid and now >= self._elected_at + wait

    async def is_confirmed(self) -> bool:
        """
        Read the leader key to confirm that this gateway still leads.

        :returns: whether the read was fast enough to be acted on.
        :raises LeaseLost: if the key does not name this gateway.
        :raises KeyValueUnavailable: if the store does not answer.
        """
        requested_at = self._timers.now()
        found = await self._keyspace.read(LEADER_KEY)
        if (
            found is None
            or found.value != self._own_value
            or found.revision != self.fence
        ):
            raise LeaseLost("another gateway leads")
        return self._timers.now() - requested_at <= MAX_READ_AGE

    def on_lease_lost(self, failure: LeaseLost) -> None:
        """Record that this gateway no longer leads."""
        self._log.write(LogEvent.LEADERSHIP_LOST, detail=str(failure))
        self._clear_leadership()

    async def _run(self) -> None:
        while True:
            try:
                if self.lease:
                    await self._renew_and_lead()
                elif self._may_campaign():
                    await self._campaign()
            except LeaseLost as failure:
                self.on_lease_lost(failure)
            except KeyValueUnavailable:
                # The keyspace follower logs outages. The store may not expire leases
                # during one, so giving up here would leave the key in place, and no
                # gateway could lead until the lease expires.
                pass
            await pause(self._timers, self.lease_time / RENEWALS_PER_LEASE)

    def _may_campaign(self) -> bool:
        return self._is_free() and self._timers.now() >= self._resigned_until

    async def _campaign(self) -> None:
        if not self._is_previous_process(self._read_leader()):
            await pause(self._timers, self._random.uniform(0.0, CAMPAIGN_JITTER))
        if not self._is_free():
            return
        is_own_takeover = self._is_previous_process(self._read_leader())
        requested_at = self._timers.now()
        previous = self._leader_revision
        lease = await self._keyspace.grant(self.lease_time)
        leader = Leader(self.instance, self._life, self._keyspace.epoch)
        self._own_value = msgspec.json.encode(leader)
        write = Write(LEADER_KEY, self._own_value, previous, lease)
        revision = await self._keyspace.write(write)
        if revision is None:
            await self._keyspace.revoke(lease)
            return
        self.lease, self.fence, self._leader = lease, revision, self._own_value
        self._leader_revision = revision
        self._valid_until = requested_at + self.lease_time
        self._elected_at = self._timers.now()
        self._max_takeover_wait = OWN_TAKEOVER_WAIT if is_own_takeover else math.inf
        self._log.write(LogEvent.LEADERSHIP_TAKEN, fence=revision, lease=lease)
        self.on_leader()

    async def _renew_and_lead(self) -> None:
        requested_at = self._timers.now()
        await self._keyspace.renew(self.lease)
        self._valid_until = requested_at + self.lease_time
        await self.lead()

    def _end_lease(self) -> None:
        if self.lease:
            ending = self._keyspace.revoke(self.lease)
            # If the store does not answer, the lease expires by itself.
            ending.addErrback(lambda failure: failure.trap(KeyValueUnavailable))

    def _clear_leadership(self) -> None:
        self.lease = 0
        self.fence = 0
        self._valid_until = 0.0
        if self._leader == self._own_value:
            self._leader = None
            self._leader_revision = 0


async def _do_nothing() -> None:
    """Do nothing while leading, the default for ``Leadership.lead``."""
