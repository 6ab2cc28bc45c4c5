"""Registers this gateway in the store, so that other gateways can find it."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

import msgspec
from twisted.internet.defer import Deferred

from pimentolink.errors import KeyValueUnavailable, LeaseLost
from pimentolink.gatewaysettings import GatewaySettings
from pimentolink.keyspace import Keyspace, Write
from pimentolink.logs import Log, LogEvent
from pimentolink.retry import Backoff
from pimentolink.settings import Address
from pimentolink.timers import Timers, pause, run_in_background

GATEWAY_PREFIX = "pimentolink/gateways/"
# Seconds between two renewals of the lease. Renewals also detect outages of the store:
# a watch that the store dropped in an outage looks like one without changes, and
# without this check configurations took effect up to 20 s late. A renewal costs a tenth
# of a read.
RENEWAL_INTERVAL = 1.0


class GatewayEntry(msgspec.Struct):
    """
    A gateway's entry in the store.

    :ivar address: where the gateway receives datagrams from other gateways.
    :ivar life: identifies the process; a restarted gateway has another one.
    :ivar data_centre: where the gateway runs.
    :ivar epoch: of the store when the entry was written.
    """

    address: Address
    life: str
    data_centre: str = ""
    epoch: int = 0


class Registration:
    """
    Keeps this gateway's entry under a lease and writes it again if the lease is lost.

    The renewals also check that the store responds: ``on_store_recovered`` is called
    when the store responds again after it failed to, also if it responds that the lease
    has ended.

    :ivar is_store_reachable: whether the store responded to the last attempt to renew
        the lease or to write the entry; true once :meth:`stop` was called.
    :ivar lease: id of the lease; 0 without one.
    :ivar on_renewed: called after the lease was granted or renewed, with the time at
        which the request was sent, in seconds of
        :meth:`~pimentolink.timers.Timers.boot_time`.
    :ivar on_lease_lost: called when the lease has ended.
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
        Create a registration; :meth:`start` makes the first call.

        :param settings: name and address of this gateway.
        :param life: identifies this process.
        :param keyspace: the store.
        :param timers: the timer service.
        :param random: seeded source of jitter.
        :param log: receives the events.
        """
        self._settings = settings
        self._keyspace = keyspace
        self._timers = timers
        self._log = log
        store = settings.store
        self._backoff = Backoff(store.backoff_first, store.backoff_most, random)
        self._life = life
        self._key = GATEWAY_PREFIX + settings.instance
        self._loop: Deferred[None] | None = None
        self.is_store_reachable = True
        self.lease = 0
        self.on_store_recovered: Callable[[], None] = lambda: None
        self.on_renewed: Callable[[float], None] = lambda requested_at: None
        self.on_lease_lost: Callable[[], None] = lambda: None

    def start(self) -> None:
        """Write the entry and keep renewing its lease."""
        self._loop = run_in_background(self._timers, self._run)

    def stop(self) -> None:
        """Stop renewing and revoke the lease, which removes the entry."""
        if self._loop is not None:
            self._loop.cancel()
        # Without renewals nothing would notice the end of an outage, and requests are
        # still served until the process ends.
        self.is_store_reachable = True
        if self.lease:
            revocation = self._keyspace.revoke(self.lease)
            # If the store does not respond, the lease expires by itself.
            revocation.addErrback(lambda failure: failure.trap(KeyValueUnavailable))

    def renew_now(self) -> None:
        """Renew now, since the lease may have ended while the process was frozen."""
        if self._loop is not None:
            self._loop.cancel()
            self.start()

    async def _run(self) -> None:
        while True:
            requested_at = self._timers.boot_time()
            try:
                await self._renew_or_register()
                self._record_response()
                self.on_renewed(requested_at)
                await pause(self._timers, RENEWAL_INTERVAL)
            except LeaseLost as failure:
                self._record_response()
                self._log.write(
                    LogEvent.LEASE_LOST, lease=self.lease, detail=str(failure)
                )
                self.lease = 0
                self.on_lease_lost()
                await pause(self._timers, self._backoff.next())
            except KeyValueUnavailable as failure:
                self._record_outage(failure)
                await pause(self._timers, self._retry_delay(requested_at))

    def _retry_delay(self, requested_at: float) -> float:
        """Return the delay after a failed call, less the time that the call took."""
        elapsed = self._timers.boot_time() - requested_at
        initial = self._settings.store.backoff_first
        return max(initial, self._backoff.next() - elapsed)

    def _record_response(self) -> None:
        self._backoff.reset()
        if not self.is_store_reachable:
            self.is_store_reachable = True
            self._log.write(LogEvent.RENEWAL_ANSWERED, lease=self.lease)
            self.on_store_recovered()

    def _record_outage(self, failure: KeyValueUnavailable) -> None:
        if self.is_store_reachable:
            self.is_store_reachable = False
            self._log.write(
                LogEvent.RENEWAL_UNANSWERED, lease=self.lease, detail=failure.detail
            )

    async def _renew_or_register(self) -> None:
        if self.lease:
            await self._keyspace.renew(self.lease)
            return
        lease = await self._keyspace.grant(self._settings.store.lease)
        found = await self._keyspace.read(self._key)
        expected = found.revision if found is not None else 0
        settings = self._settings
        entry = GatewayEntry(
            settings.peers, self._life, settings.data_centre, self._keyspace.epoch
        )
        value = msgspec.json.encode(entry)
        written = await self._keyspace.write(Write(self._key, value, expected, lease))
        if written is None:
            raise KeyValueUnavailable(
                "another write to this gateway's entry came first"
            )
        self.lease = lease
