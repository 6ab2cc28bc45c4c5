"""Keeps this gateway's entry in the store, so that the others find it."""

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
from pimentolink.timers import Timers, in_background, pause

GATEWAY_PREFIX = "pimentolink/gateways/"
# Seconds between two renewals of the lease. They also tell whether the store answers: a
# watch that it forgot in an outage looks like one without news, and configurations came
# in force up to 20 s late. A renewal costs a tenth of a read.
RENEWAL_INTERVAL = 1.0


class GatewayEntry(msgspec.Struct):
    """
    What a gateway tells of itself.

    :ivar address: for datagrams of the others.
    :ivar life: of the process.
    :ivar data_centre: where it stands.
    :ivar epoch: of the store that it was written to.
    """

    address: Address
    life: str
    data_centre: str = ""
    epoch: int = 0


class Registration:
    """
    An entry under a lease, written anew when the lease was lost.

    Its renewals are the gateway's check that the store answers: ``on_store_back`` is
    called at the first one that does after one that did not.
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

        :param settings: name and address of this gateway.
        :param life: of this process.
        :param keyspace: the store.
        :param timers: the timer service.
        :param random: seeded source for jitter.
        :param log: where events go.
        """
        self._settings = settings
        self._keyspace = keyspace
        self._timers = timers
        self._log = log
        store = settings.store
        self._backoff = Backoff(store.backoff_first, store.backoff_most, random)
        self._life = life
        self._key = GATEWAY_PREFIX + settings.instance
        self._running: Deferred[None] | None = None
        # Whether the store answered the last call for this entry.
        self.is_answered = True
        self.lease = 0
        self.on_store_back: Callable[[], None] = lambda: None
        # Called with the boot-clock time, in seconds, at which the renewal was sent.
        self.on_renewed: Callable[[float], None] = lambda asked_at: None
        self.on_lost: Callable[[], None] = lambda: None

    def start(self) -> None:
        """Write the entry and keep it."""
        self._running = in_background(self._keep())

    def stop(self) -> None:
        """Let the others know that this gateway is gone."""
        if self._running is not None:
            self._running.cancel()
        if self.lease:
            ending = self._keyspace.end(self.lease)
            # Without an answer the lease runs out by itself.
            ending.addErrback(lambda failure: failure.trap(KeyValueUnavailable))

    def check(self) -> None:
        """Renew now: the lease may have ended during a freeze."""
        if self._running is not None:
            self._running.cancel()
            self.start()

    async def _keep(self) -> None:
        while True:
            try:
                asked_at = self._timers.boot_time()
                await self._step()
                self._answered()
                self.on_renewed(asked_at)
                await pause(self._timers, RENEWAL_INTERVAL)
            except LeaseLost as failure:
                self._log.write(
                    LogEvent.LEASE_LOST, lease=self.lease, detail=str(failure)
                )
                self.lease = 0
                self.on_lost()
                await pause(self._timers, self._backoff.next())
            except KeyValueUnavailable as failure:
                self._unanswered(failure)
                await pause(self._timers, self._backoff.next())

    def _answered(self) -> None:
        self._backoff.reset()
        if not self.is_answered:
            self.is_answered = True
            self._log.write(LogEvent.RENEWAL_ANSWERED, lease=self.lease)
            self.on_store_back()

    def _unanswered(self, failure: KeyValueUnavailable) -> None:
        if self.is_answered:
            self.is_answered = False
            self._log.write(
                LogEvent.RENEWAL_UNANSWERED, lease=self.lease, detail=failure.detail
            )

    async def _step(self) -> None:
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
