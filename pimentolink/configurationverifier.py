"""Verifies periodically that the configuration in force is the newest."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Protocol

import xxhash
from twisted.internet.defer import Deferred

from pimentolink.configurationage import ConfigurationAge
from pimentolink.errors import KeyValueUnavailable
from pimentolink.keyspace import Change, Item, Keyspace, epoch_of
from pimentolink.peermessages import (
    Message,
    VerificationMessage,
    VerificationReply,
    VerificationRequest,
)
from pimentolink.timers import Timers, pause, run_in_background

# Fractions of the maximum age: the interval between verifications, and the age up to
# which a verification by another gateway is accepted. Their sum leaves time for a
# request that gets no response.
RENEWAL_SHARE = 0.3
PEER_MAX_AGE_SHARE = 0.4
# Fractions of the maximum age after which a failed verification is retried: the initial
# and the maximum delay.
RETRY_INITIAL_SHARE = 0.06
RETRY_MAX_SHARE = 0.2
# Fractions of the maximum age: the time in which a watch should deliver the changes up
# to a revision, and the time after which the key is read if they are not here.
DELIVERY_SHARE = 0.2
READ_KEY_SHARE = 0.25
# Seconds to wait for a reply from another gateway, and seconds for which a gateway that
# did not reply is not asked again.
PEER_TIMEOUT = 0.1
PEER_RETRY_DELAY = 5.0
# Number of gateways per reader of the key, which limits a reader's load from replies.
GATEWAYS_PER_READER = 24


class VerificationPeers(Protocol):
    """Sends messages to other gateways."""

    def send_to(self, gateways: Iterable[str], messages: list[Message]) -> None:
        """Send messages to the gateways with these names."""


class ConfigurationVerifier:
    """
    Verifies the configuration with the store, or by asking a gateway that does.

    A watch that reports no change does not verify the configuration: a stalled
    connection, or a watch that the store has dropped, looks the same. Some gateways of
    a cell, the readers, therefore ask the store, and each other gateway asks a reader.
    All gateways select the readers by the same hash. A gateway that cannot verify its
    configuration with a reader asks the store itself.

    A reader asks for the revision of the store only: if its watch has delivered all
    changes up to it, the configuration in force is the newest. It reads the key if the
    watch does not deliver them in time. The revision is included in its replies and
    shows every gateway whether its own watch is missing changes.

    The age in a reader's reply is added to the time since this gateway sent its
    request, on its own clock. This overestimates the age by the time that the request
    took to arrive, and never underestimates it.
    """

    def __init__(
        self,
        instance: str,
        key: str,
        keyspace: Keyspace,
        age: ConfigurationAge,
        max_age: float,
        peers: VerificationPeers,
        timers: Timers,
    ) -> None:
        """
        Create a verifier; :meth:`start` starts it.

        :param instance: instance name of this gateway.
        :param key: key of the configuration in the store.
        :param keyspace: client of the store.
        :param age: records successful verifications.
        :param max_age: maximum age of the configuration, in seconds.
        :param peers: sends messages to the other gateways.
        :param timers: the timer service.
        """
        self._instance = instance
        self._key = key
        self._keyspace = keyspace
        self._age = age
        self._max_age = max_age
        self._peers = peers
        self._timers = timers
        self._key_revision = 0
        self._store_revision = 0
        self._request_number = 0
        self._pending_reply: Deferred[VerificationReply | None] | None = None
        self._unresponsive_peer = ""
        self._unresponsive_until = 0.0
        self._running: Deferred[None] | None = None
        self.is_needed: Callable[[], bool] = lambda: True
        # Whether to query the store; avoids useless calls while it does not respond.
        self.may_call_store: Callable[[], bool] = lambda: True
        self.gateways: Callable[[], Iterable[str]] = tuple
        self.version: Callable[[], int] = int
        self.on_change: Callable[[Change], None] = lambda change: None
        # Whether the watch has delivered all changes up to a revision.
        self.has_reached: Callable[[int], bool] = lambda revision: False
        # Called with a revision that the store has reached, and with the seconds within
        # which the watch should deliver the changes up to it.
        self.on_revision: Callable[[int, float], None] = (
            lambda revision, delivery_time: None
        )

    def start(self) -> None:
        """Start periodic verification."""
        self._running = run_in_background(self._timers, self._run)

    def stop(self) -> None:
        """Stop periodic verification."""
        if self._running is not None:
            self._running.cancel()

    def restart(self) -> None:
        """Verify immediately, after a process suspension or a restore of the store."""
        self.stop()
        self.start()

    def handle_message(
        self, message: VerificationMessage, send_reply: Callable[[Message], None]
    ) -> None:
        """
        Answer a request from another gateway, or process its reply.

        :param message: the request or reply.
        :param send_reply: sends a message to the address that this one came from, since
            a gateway that has just started may not be listed here yet.
        """
        if isinstance(message, VerificationRequest):
            self._reply(message, send_reply)
        elif message.number == self._request_number:
            self._resolve_reply(message)

    def _reply(
        self, request: VerificationRequest, send_reply: Callable[[Message], None]
    ) -> None:
        age = self._age.age()
        if age is None:
            return
        # Rounded up, so that the reported age is never below the actual age.
        age_ms = int(age * 1000) + 1
        send_reply(
            VerificationReply(
                request.number,
                self.version(),
                self._age.epoch,
                age_ms,
                self._store_revision,
            )
        )

    async def _run(self) -> None:
        retry = RETRY_INITIAL_SHARE
        while True:
            is_verified = not self.is_needed() or await self._verify()
            self._age.log_transition()
            share = RENEWAL_SHARE if is_verified else retry
            retry = (
                RETRY_INITIAL_SHARE if is_verified else min(RETRY_MAX_SHARE, 2 * retry)
            )
            await pause(self._timers, share * self._max_age)

    async def _verify(self) -> bool:
        """
        Verify the configuration once.

        :returns: whether a reader verified it or the store responded.
        """
        reader = self._select_reader()
        if reader is not None and await self._verify_with_peer(reader):
            return True
        return self.may_call_store() and await self._verify_with_store()

    def _select_reader(self) -> str | None:
        """Return the reader to ask; ``None`` if this gateway reads the key itself."""
        order = sorted({*self.gateways(), self._instance}, key=_hash_of)
        readers = order[: -(-len(order) // GATEWAYS_PER_READER)]
        if self._instance in readers:
            return None
        reader = readers[_hash_of(self._instance) % len(readers)]
        is_unresponsive = (
            reader == self._unresponsive_peer
            and self._timers.now() < self._unresponsive_until
        )
        return None if is_unresponsive else reader

    async def _verify_with_peer(self, gateway: str) -> bool:
        requested_at = self._age.clock()
        reply = await self._request_from_peer(gateway)
        if reply is None:
            self._unresponsive_peer = gateway
            self._unresponsive_until = self._timers.now() + PEER_RETRY_DELAY
            return False
        self._expect_revision(reply.revision)
        age = reply.age_ms / 1000
        if reply.version > self.version() or age > PEER_MAX_AGE_SHARE * self._max_age:
            return False
        self._age.record_verification(requested_at - age, reply.epoch)
        return True

    async def _request_from_peer(self, gateway: str) -> VerificationReply | None:
        self._request_number += 1
        waiting: Deferred[VerificationReply | None] = Deferred()
        self._pending_reply = waiting
        self._peers.send_to([gateway], [VerificationRequest(self._request_number)])
        timer = self._timers.call_later(PEER_TIMEOUT, lambda: self._resolve_reply(None))
        try:
            return await waiting
        finally:
            timer.cancel()
            self._pending_reply = None

    def _resolve_reply(self, reply: VerificationReply | None) -> None:
        waiting, self._pending_reply = self._pending_reply, None
        if waiting is not None:
            waiting.callback(reply)

    async def _verify_with_store(self) -> bool:
        requested_at = self._age.clock()
        try:
            revision = await self._keyspace.read_revision()
            self._store_revision = revision
            if not self.has_reached(revision):
                self._expect_revision(revision)
                await pause(self._timers, READ_KEY_SHARE * self._max_age)
            if self.has_reached(revision) and self.version():
                self._age.record_verification(requested_at, epoch_of(revision))
            elif self._keyspace.is_receiving_changes():
                return False
            else:
                await self._read_key()
        except KeyValueUnavailable:
            return False
        return True

    def _expect_revision(self, revision: int) -> None:
        self.on_revision(revision, DELIVERY_SHARE * self._max_age)

    async def _read_key(self) -> None:
        requested_at = self._age.clock()
        item = await self._keyspace.read(self._key)
        if item is not None:
            self._apply(item)
            self._age.record_verification(requested_at, epoch_of(item.revision))

    def _apply(self, item: Item) -> None:
        if item.revision != self._key_revision:
            self.on_change(Change(item.key, item.value, item.revision))
            self._key_revision = item.revision


def _hash_of(gateway: str) -> int:
    return int(xxhash.xxh3_64_intdigest(gateway.encode()))
