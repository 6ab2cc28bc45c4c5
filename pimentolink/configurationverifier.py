"""Keeps proving at a steady pace that the configuration in force is the newest."""

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
from pimentolink.timers import Timers, in_background, pause

# Share of the bound on the age after which a proof is renewed, and at which another
# gateway's is still taken. Together they leave time for a question without an answer.
RENEWAL_SHARE = 0.3
OLDEST_SHARE = 0.4
# Shares after which a question that proved nothing is asked again: the first time, and
# at most.
RETRY_FIRST = 0.06
RETRY_MOST = 0.2
# Seconds in which another gateway answers, and for which one that did not is not asked.
PEER_TIMEOUT = 0.1
PEER_PAUSE = 5.0
# Gateways for each one that reads the key, so that answering costs it little.
ASKERS = 24


class VerificationPeers(Protocol):
    """Sends messages to some gateways."""

    def send_to(self, gateways: Iterable[str], messages: list[Message]) -> None:
        """Tell some gateways, by name."""


class ConfigurationVerifier:
    """
    Reads the configuration's key, or asks a gateway that reads it.

    A watch without news proves nothing: one whose connection fell silent, or that the
    store forgot, looks the same. So the key is read by some gateways of a cell, which
    all derive alike, and the others ask one of those. A gateway whose question proves
    nothing reads the key itself.

    An answer of another gateway is worth what it proves at its oldest: its age is taken
    from the moment at which the question was sent here, on the clock here.
    """

    def __init__(
        self,
        instance: str,
        key: str,
        keyspace: Keyspace,
        age: ConfigurationAge,
        bound: float,
        peers: VerificationPeers,
        timers: Timers,
    ) -> None:
        """
        Prepare; :meth:`start` begins.

        :param instance: this gateway's.
        :param key: of the configuration.
        :param keyspace: the store.
        :param age: learns what the answers prove.
        :param bound: seconds after which the configuration counts as outdated.
        :param peers: the other gateways.
        :param timers: the timer service.
        """
        self._instance = instance
        self._key = key
        self._keyspace = keyspace
        self._age = age
        self._bound = bound
        self._peers = peers
        self._timers = timers
        self._revision = 0
        self._number = 0
        self._answer: Deferred[VerificationReply | None] | None = None
        self._silent = ""
        self._silent_until = 0.0
        self._running: Deferred[None] | None = None
        self.is_needed: Callable[[], bool] = lambda: True
        # Whether the store may answer; while it does not, each try costs a call.
        self.may_ask: Callable[[], bool] = lambda: True
        self.gateways: Callable[[], Iterable[str]] = tuple
        self.version: Callable[[], int] = int
        self.on_change: Callable[[Change], None] = lambda change: None

    def start(self) -> None:
        """Prove from now on."""
        self._running = in_background(self._run())

    def stop(self) -> None:
        """Prove no more."""
        if self._running is not None:
            self._running.cancel()

    def restart(self) -> None:
        """Prove now: this process stood still, or the store was restored."""
        self.stop()
        self.start()

    def take(
        self, message: VerificationMessage, answer: Callable[[Message], None]
    ) -> None:
        """
        Answer another gateway, or take its answer.

        :param answer: sends a message back to where this one came from; a gateway that
            has just started may not be listed here yet.
        """
        if isinstance(message, VerificationRequest):
            self._tell(message, answer)
        elif message.number == self._number:
            self._answered(message)

    def _tell(
        self, asked: VerificationRequest, answer: Callable[[Message], None]
    ) -> None:
        age = self._age.age()
        if age is None:
            return
        # Rounded up: an answer must not look newer than it is.
        age_ms = int(age * 1000) + 1
        answer(VerificationReply(asked.number, self.version(), self._age.epoch, age_ms))

    async def _run(self) -> None:
        retry = RETRY_FIRST
        while True:
            is_proven = not self.is_needed() or await self._prove()
            self._age.look()
            share = RENEWAL_SHARE if is_proven else retry
            retry = RETRY_FIRST if is_proven else min(RETRY_MOST, 2 * retry)
            await pause(self._timers, share * self._bound)

    async def _prove(self) -> bool:
        """
        Prove once.

        :returns: whether there was an answer.
        """
        reader = self._reader()
        if reader is not None and await self._ask_gateway(reader):
            return True
        return self.may_ask() and await self._ask_store()

    def _reader(self) -> str | None:
        """Choose who reads the key for this gateway; ``None`` if it does so itself."""
        order = sorted({*self.gateways(), self._instance}, key=_rank)
        readers = order[: -(-len(order) // ASKERS)]
        if self._instance in readers:
            return None
        reader = readers[_rank(self._instance) % len(readers)]
        is_silent = reader == self._silent and self._timers.now() < self._silent_until
        return None if is_silent else reader

    async def _ask_gateway(self, gateway: str) -> bool:
        asked_at = self._age.clock()
        answer = await self._answer_of(gateway)
        if answer is None:
            self._silent = gateway
            self._silent_until = self._timers.now() + PEER_PAUSE
            return False
        age = answer.age_ms / 1000
        if answer.version > self.version() or age > OLDEST_SHARE * self._bound:
            return False
        self._age.proven(asked_at - age, answer.epoch)
        return True

    async def _answer_of(self, gateway: str) -> VerificationReply | None:
        self._number += 1
        waiting: Deferred[VerificationReply | None] = Deferred()
        self._answer = waiting
        self._peers.send_to([gateway], [VerificationRequest(self._number)])
        timer = self._timers.call_later(PEER_TIMEOUT, lambda: self._answered(None))
        try:
            return await waiting
        finally:
            timer.cancel()
            self._answer = None

    def _answered(self, answer: VerificationReply | None) -> None:
        waiting, self._answer = self._answer, None
        if waiting is not None:
            waiting.callback(answer)

    async def _ask_store(self) -> bool:
        asked_at = self._age.clock()
        try:
            found = await self._keyspace.read(self._key)
        except KeyValueUnavailable:
            return False
        if found is not None:
            self._take(found)
            self._age.proven(asked_at, epoch_of(found.revision))
        return True

    def _take(self, found: Item) -> None:
        if found.revision != self._revision:
            self._revision = found.revision
            self.on_change(Change(found.key, found.value, found.revision))


def _rank(gateway: str) -> int:
    return int(xxhash.xxh3_64_intdigest(gateway.encode()))
