"""The platform's store, as a :class:`~pimentolink.keyspace.Keyspace`."""

from __future__ import annotations

import base64
import binascii
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar
from urllib.parse import urlencode

import msgspec
from result import Err
from twisted.internet.defer import CancelledError, Deferred

from pimentolink.errors import Failure, HistoryLost, KeyValueUnavailable, LeaseLost
from pimentolink.gatewaysettings import ConnectionSettings, StoreSettings
from pimentolink.httptypes import Headers, HttpReply, HttpRequest
from pimentolink.jsondocument import read_json
from pimentolink.keyspace import (
    Change,
    Changes,
    Item,
    Snapshot,
    Write,
    epoch_of,
    epoch_of_lease,
    lease_with_epoch,
    lease_without_epoch,
    with_epoch,
    without_epoch,
)
from pimentolink.targethttp import ConnectionPool, exchange
from pimentolink.timers import Timers, with_timeout

# Counts how often the store was restored from a copy.
EPOCH = b"store-era"
# Largest answer taken; the store sends pages of about 1 MB, a third more as base64.
MAX_ANSWER_BYTES = 4_000_000
# Beyond it a revision with its epoch would not be exact as a number of JSON.
MAX_EPOCH = 2**13

Decoded = TypeVar("Decoded")


class _StoredItem(msgspec.Struct, rename="camel"):
    """A key in an answer; without ``value`` if it was removed."""

    key: str
    revision: int
    value: str | None = None

    def data(self) -> bytes:
        return _bytes_of(self.value or "")


class _Page(msgspec.Struct, rename="camel"):
    """One page of a range; ``current_rev`` is the store's revision."""

    items: list[_StoredItem]
    more_pages: bool
    current_rev: int


class _Single(msgspec.Struct, rename="camel"):
    """One key."""

    key: str
    revision: int
    value: str


class _Events(msgspec.Struct, rename="camel"):
    """What a watch answers."""

    events: list[_StoredItem]
    current_rev: int


class _Granted(msgspec.Struct, rename="camel"):
    """A lease that was granted."""

    lease: int


class _Committed(msgspec.Struct, rename="camel"):
    """A transaction that was made."""

    revision: int


class PlatformStore:
    """The store over HTTP."""

    def __init__(
        self,
        reactor: Any,
        settings: StoreSettings,
        connections: ConnectionSettings,
        timers: Timers,
    ) -> None:
        """
        Prepare calls; none is made yet.

        :param reactor: the loop.
        :param settings: address and patience.
        :param connections: keep-alive probes and time-outs.
        :param timers: the timer service.
        """
        self._settings = settings
        self._timers = timers
        self._pool = ConnectionPool(reactor, settings.address, connections, timers)
        self.calls = 0
        self.epoch = 0
        self._is_epoch_known = False
        self.on_restored: Callable[[], None] = lambda: None

    def read_all(self, prefix: str) -> Deferred[Snapshot]:
        """Read all keys under a prefix, page by page."""
        return Deferred.fromCoroutine(self._read_all(prefix))

    def changes(self, prefix: str, after: int, wait: float) -> Deferred[Changes]:
        """Wait for changes after a revision."""
        return Deferred.fromCoroutine(self._changes(prefix, after, wait))

    def read(self, key: str) -> Deferred[Item | None]:
        """Read one key."""
        return Deferred.fromCoroutine(self._read(key))

    def write(self, write: Write) -> Deferred[int | None]:
        """Write a key under a condition."""
        return Deferred.fromCoroutine(self._write(write))

    def grant(self, seconds: float) -> Deferred[int]:
        """Ask for a lease."""
        return Deferred.fromCoroutine(self._grant(seconds))

    def renew(self, lease: int) -> Deferred[None]:
        """Renew a lease."""
        return Deferred.fromCoroutine(self._renew(lease))

    def end(self, lease: int) -> Deferred[None]:
        """End a lease."""
        return Deferred.fromCoroutine(self._end(lease))

    async def _read_all(self, prefix: str) -> Snapshot:
        items: list[Item] = []
        after = ""
        revision: int | None = None
        epoch: int | None = None
        while True:
            query = {"prefix": prefix} | ({"after": after} if after else {})
            page = await self._get(f"/kv-range?{urlencode(query)}", _Page)
            epoch = self.epoch if epoch is None else epoch
            if epoch != self.epoch:
                raise KeyValueUnavailable("restored between two pages")
            # Pages are no snapshot: what changed after the first one is asked for.
            revision = page.current_rev if revision is None else revision
            items += [
                Item(item.key, item.data(), with_epoch(epoch, item.revision))
                for item in page.items
            ]
            if not page.more_pages or not page.items:
                return Snapshot(tuple(items), with_epoch(epoch, revision))
            after = page.items[-1].key

    async def _changes(self, prefix: str, after: int, wait: float) -> Changes:
        epoch = self._still(after)
        query = {
            "prefix": prefix,
            "after": without_epoch(after),
            "waitMs": int(wait * 1000),
        }
        patience = wait + self._settings.timeout
        reply = await self._call("GET", f"/kv-watch?{urlencode(query)}", patience)
        if reply.head.status == 410:
            raise HistoryLost(f"changes after {after} are no longer kept")
        self._still(after)
        found = _decode(_checked(reply), _Events)
        changes = tuple(
            Change(
                item.key,
                None if item.value is None else item.data(),
                with_epoch(epoch, item.revision),
            )
            for item in found.events
        )
        return Changes(changes, with_epoch(epoch, found.current_rev))

    def _still(self, revision: int) -> int:
        """
        Check that a revision is of the store's epoch.

        :returns: that epoch.
        :raises HistoryLost: if the store was restored since; it may have given the
            revision out again.
        """
        if epoch_of(revision) != self.epoch:
            raise HistoryLost(f"the store was restored after revision {revision}")
        return self.epoch

    async def _read(self, key: str) -> Item | None:
        path = f"/kv-key?{urlencode({'key': key})}"
        reply = await self._call("GET", path, self._settings.timeout)
        if reply.head.status == 404:
            return None
        found = _decode(_checked(reply), _Single)
        revision = with_epoch(self.epoch, found.revision)
        return Item(found.key, _bytes_of(found.value), revision)

    async def _write(self, write: Write) -> int | None:
        epoch, is_first = self.epoch, not self._is_epoch_known
        expected = [(write.key, write.expected)]
        if write.guard is not None:
            expected.append(write.guard)
        if any(revision and epoch_of(revision) != epoch for _, revision in expected):
            # Whatever is at that revision now was written after the restore.
            return None
        put: dict[str, object] = {
            "key": write.key,
            "value": base64.b64encode(write.value).decode(),
        }
        if write.lease:
            put["lease"] = self._lease(write.lease)
        document = {
            "expected": [
                {"key": key, "revision": without_epoch(revision)}
                for key, revision in expected
            ],
            "puts": [put],
            "remove": [],
        }
        reply = await self._post("/kv-txn", document)
        if self.epoch != epoch and not is_first:
            raise KeyValueUnavailable("the store was restored meanwhile")
        if reply.head.status == 412:
            return None
        if reply.head.status == 404:
            raise LeaseLost(f"lease {write.lease} has ended")
        revision = _decode(_checked(reply), _Committed).revision
        return with_epoch(self.epoch, revision)

    def _lease(self, lease: int) -> int:
        """
        Tell a lease as the store counts it.

        :raises LeaseLost: if the store was restored since it was granted.
        """
        if epoch_of_lease(lease) != self.epoch:
            raise LeaseLost("the lease ended as the store was restored")
        return lease_without_epoch(lease)

    async def _grant(self, seconds: float) -> int:
        reply = await self._post("/kv-lease", {"ttlMs": int(seconds * 1000)})
        return lease_with_epoch(self.epoch, _decode(_checked(reply), _Granted).lease)

    async def _renew(self, lease: int) -> None:
        reply = await self._post(f"/kv-keep/{self._lease(lease)}", None)
        # Another store's lease may have been renewed.
        self._lease(lease)
        if reply.head.status == 404:
            raise LeaseLost(f"lease {lease} has ended")
        _checked(reply)

    async def _end(self, lease: int) -> None:
        try:
            path = f"/kv-lease-end/{self._lease(lease)}"
        except LeaseLost:
            return
        await self._call("DELETE", path, self._settings.timeout)

    async def _get(self, path: str, kind: type[Decoded]) -> Decoded:
        reply = await self._call("GET", path, self._settings.timeout)
        return _decode(_checked(reply), kind)

    def _post(self, path: str, document: object) -> Coroutine[Any, Any, HttpReply]:
        body = b"" if document is None else msgspec.json.encode(document)
        return self._call("POST", path, self._settings.timeout, body)

    async def _call(
        self, method: str, path: str, patience: float, body: bytes = b""
    ) -> HttpReply:
        self.calls += 1
        headers: Headers = ((b"Host", self._settings.address.encode()),)
        if body:
            headers += ((b"Content-Type", b"application/json"),)
        request = HttpRequest(method.encode(), path.encode(), headers, body)
        pending = exchange(self._pool, request, lambda head: True, MAX_ANSWER_BYTES)
        try:
            reply = await with_timeout(self._timers, patience, pending)
        except TimeoutError as error:
            raise KeyValueUnavailable(f"no answer within {patience:g} s") from error
        except CancelledError:
            raise
        except Failure as failure:
            raise KeyValueUnavailable(str(failure)) from failure
        self._learn_epoch(reply)
        return reply

    def _learn_epoch(self, reply: HttpReply) -> None:
        """
        Learn from an answer whether the store was restored.

        :raises KeyValueUnavailable: if the answer is from before the restore.
        """
        value = reply.head.header(EPOCH)
        if value is None or not value.isdigit() or int(value) >= MAX_EPOCH:
            return
        epoch, before = int(value), self.epoch
        if epoch < before:
            raise KeyValueUnavailable("an answer from before the store was restored")
        is_restored = self._is_epoch_known and epoch > before
        self.epoch, self._is_epoch_known = epoch, True
        if is_restored:
            # Not within the call that got this answer, which listeners may cancel.
            self._timers.call_later(0, lambda: self.on_restored())


def _checked(reply: HttpReply) -> HttpReply:
    if reply.head.status != 200:
        raise KeyValueUnavailable(f"status {reply.head.status}")
    return reply


def _decode(reply: HttpReply, kind: type[Decoded]) -> Decoded:
    found = read_json(reply.body, kind)
    if isinstance(found, Err):
        detail = found.err_value.detail
        raise KeyValueUnavailable(f"an answer that cannot be read: {detail}")
    return found.ok_value


def _bytes_of(text: str) -> bytes:
    """Read a value; what follows the store would end with any other error."""
    try:
        return base64.b64decode(text, validate=True)
    except binascii.Error as error:
        raise KeyValueUnavailable(f"a value that cannot be read: {error}") from error
