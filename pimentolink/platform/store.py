"""Client of the platform's store, a :class:`~pimentolink.keyspace.Keyspace`."""

from __future__ import annotations

import base64
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar
from urllib.parse import urlencode

import msgspec
from result import Err
from twisted.internet.defer import Deferred

from pimentolink.errors import (
    Failure,
    HistoryLost,
    KeyValueUnavailable,
    LeaseLost,
)
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
from pimentolink.retry import AdaptiveTimeout
from pimentolink.targethttp import ConnectionPool, exchange
from pimentolink.timers import Timeout, Timers, repeat_until_outcome

# Header of each reply: how often the store has been restored from a backup.
EPOCH = b"store-era"
TOO_MANY_REQUESTS = 429
# Largest reply accepted, in bytes. The store sends pages of about 1 MB, which base64
# makes a third larger.
MAX_REPLY_BYTES = 4_000_000
# Seconds between two parts of a response that arrives over a busy link.
MAX_DATA_GAP = 0.3
# Seconds that a response may take beyond the timeout of its call while parts of it
# arrive. Over a slow link a read that was started anew would only take as long again.
MAX_TRANSFER_TIME = 10.0
# Longest timeout of a page of a full read, as a multiple of that of other calls.
MAX_PAGE_TIMEOUT_FACTOR = 4
# No key has this prefix, so that a read of it returns the revision of the store only.
UNUSED_PREFIX = "pimentolink/none/"
# A revision combined with a larger epoch could not be represented exactly as a JSON
# number.
MAX_EPOCH = 2**13

Decoded = TypeVar("Decoded")


class _StoredItem(msgspec.Struct, rename="camel"):
    """A key in a reply; ``value`` is absent if the key was removed."""

    key: str
    revision: int
    value: str | None = None

    def data(self) -> bytes:
        return _decode_value(self.value or "")


class _RangeReply(msgspec.Struct, rename="camel"):
    """Reply to a range read: one page; ``current_rev`` is the store's revision."""

    items: list[_StoredItem]
    more_pages: bool
    current_rev: int


class _KeyReply(msgspec.Struct, rename="camel"):
    """Reply to the read of one key."""

    key: str
    revision: int
    value: str


class _WatchReply(msgspec.Struct, rename="camel"):
    """Reply to a watch."""

    events: list[_StoredItem]
    current_rev: int


class _LeaseReply(msgspec.Struct, rename="camel"):
    """Reply to the request for a lease."""

    lease: int


class _TransactionReply(msgspec.Struct, rename="camel"):
    """Reply to a transaction that was committed."""

    revision: int


class PlatformStore:
    """Accesses the store over HTTP."""

    def __init__(
        self,
        reactor: Any,
        settings: StoreSettings,
        connections: ConnectionSettings,
        timers: Timers,
    ) -> None:
        """
        Create a client; no call is made yet.

        :param reactor: the Twisted reactor.
        :param settings: address and timeout.
        :param connections: keep-alive probes and timeouts.
        :param timers: the timer service.
        """
        self._settings = settings
        self._timers = timers
        self._pool = ConnectionPool(reactor, settings.address, connections, timers)
        self._page_timeout = AdaptiveTimeout(
            settings.timeout, MAX_PAGE_TIMEOUT_FACTOR * settings.timeout
        )
        self.calls = 0
        self._watch_data_at = -MAX_DATA_GAP
        self.epoch = 0
        self._is_epoch_known = False
        self.responds_to_reads = True
        self.on_restored: Callable[[], None] = lambda: None

    def read_all(self, prefix: str) -> Deferred[Snapshot]:
        """Read all keys with a prefix, page by page."""
        return Deferred.fromCoroutine(self._read_all(prefix))

    def changes(self, prefix: str, after: int, wait: float) -> Deferred[Changes]:
        """Wait for changes after a revision."""
        return Deferred.fromCoroutine(self._changes(prefix, after, wait))

    def is_receiving_changes(self) -> bool:
        """Return whether a part of the response to a watch has just arrived."""
        return self._timers.now() - self._watch_data_at < MAX_DATA_GAP

    def _record_watch_data(self) -> None:
        self._watch_data_at = self._timers.now()

    def read(self, key: str) -> Deferred[Item | None]:
        """Read one key."""
        return Deferred.fromCoroutine(self._read(key))

    def read_revision(self) -> Deferred[int]:
        """Read the current revision of the store."""
        return Deferred.fromCoroutine(self._read_revision())

    def write(self, write: Write) -> Deferred[int | None]:
        """Write a key if the revisions are as expected."""
        return Deferred.fromCoroutine(self._write(write))

    def grant(self, seconds: float) -> Deferred[int]:
        """Request a lease."""
        return Deferred.fromCoroutine(self._grant(seconds))

    def renew(self, lease: int) -> Deferred[None]:
        """Renew a lease."""
        return Deferred.fromCoroutine(self._renew(lease))

    def revoke(self, lease: int) -> Deferred[None]:
        """Revoke a lease."""
        return Deferred.fromCoroutine(self._end(lease))

    async def _read_all(self, prefix: str) -> Snapshot:
        items: list[Item] = []
        after = ""
        revision: int | None = None
        epoch: int | None = None
        while True:
            query = {"prefix": prefix} | ({"after": after} if after else {})
            page = await self._read_page(query)
            epoch = self.epoch if epoch is None else epoch
            if epoch != self.epoch:
                raise KeyValueUnavailable("restored between two pages")
            # The pages are not a consistent snapshot, so the caller must watch for
            # changes from the revision of the first page on.
            revision = page.current_rev if revision is None else revision
            items += [
                Item(item.key, item.data(), with_epoch(epoch, item.revision))
                for item in page.items
            ]
            if not page.more_pages or not page.items:
                return Snapshot(tuple(items), with_epoch(epoch, revision))
            after = page.items[-1].key

    async def _read_page(self, query: dict[str, str]) -> _RangeReply:
        """
        Read a page.

        If the store responds slowly, a request gets more time than other calls. It is
        repeated meanwhile, as a store that was silent answers only later requests.
        """
        began_at = self._timers.now()
        path = f"/kv-range?{urlencode(query)}"
        timeout = self._page_timeout.seconds
        is_receiving = False

        def on_data() -> None:
            nonlocal is_receiving
            is_receiving = True

        try:
            return await repeat_until_outcome(
                self._timers,
                self._settings.timeout,
                lambda: self._get(path, _RangeReply, timeout, on_data),
                lambda: timeout > self._settings.timeout and not is_receiving,
            )
        finally:
            self._page_timeout.record(self._timers.now() - began_at)

    async def _changes(self, prefix: str, after: int, wait: float) -> Changes:
        epoch = self._require_epoch(after)
        query = {
            "prefix": prefix,
            "after": without_epoch(after),
            "waitMs": int(wait * 1000),
        }
        call_timeout = wait + self._settings.timeout
        path = f"/kv-watch?{urlencode(query)}"
        reply = await self._call(
            "GET", path, call_timeout, on_data=self._record_watch_data
        )
        if reply.head.status == 410:
            raise HistoryLost(f"changes after {after} are no longer kept")
        self._require_epoch(after)
        parsed = _decode_reply(_require_success(reply), _WatchReply)
        changes = tuple(
            Change(
                item.key,
                None if item.value is None else item.data(),
                with_epoch(epoch, item.revision),
            )
            for item in parsed.events
        )
        return Changes(changes, with_epoch(epoch, parsed.current_rev))

    def _require_epoch(self, revision: int) -> int:
        """
        Check that a revision belongs to the store's current epoch.

        :returns: the epoch.
        :raises HistoryLost: if the store was restored since, as it may have assigned
            the same revision again.
        """
        if epoch_of(revision) != self.epoch:
            raise HistoryLost(f"the store was restored after revision {revision}")
        return self.epoch

    async def _read(self, key: str) -> Item | None:
        path = f"/kv-key?{urlencode({'key': key})}"
        reply = await self._call("GET", path, self._settings.timeout)
        if reply.head.status == 404:
            return None
        parsed = _decode_reply(_require_success(reply), _KeyReply)
        revision = with_epoch(self.epoch, parsed.revision)
        return Item(parsed.key, _decode_value(parsed.value), revision)

    async def _read_revision(self) -> int:
        query = urlencode({"prefix": UNUSED_PREFIX})
        page = await self._get(
            f"/kv-range?{query}", _RangeReply, self._settings.timeout
        )
        return with_epoch(self.epoch, page.current_rev)

    async def _write(self, write: Write) -> int | None:
        epoch, is_first = self.epoch, not self._is_epoch_known
        conditions = [(write.key, write.expected)]
        if write.guard is not None:
            conditions.append(write.guard)
        if any(revision and epoch_of(revision) != epoch for _, revision in conditions):
            # The store was restored since. A key that now has the expected revision
            # number was written after the restore, so the condition is not met.
            return None
        put: dict[str, object] = {
            "key": write.key,
            "value": base64.b64encode(write.value).decode(),
        }
        if write.lease:
            put["lease"] = self._store_lease(write.lease)
        document = {
            "expected": [
                {"key": key, "revision": without_epoch(revision)}
                for key, revision in conditions
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
        revision = _decode_reply(_require_success(reply), _TransactionReply).revision
        return with_epoch(self.epoch, revision)

    def _store_lease(self, lease: int) -> int:
        """
        Return the store's own id of a lease.

        :raises LeaseLost: if the store was restored after it granted the lease.
        """
        if epoch_of_lease(lease) != self.epoch:
            raise LeaseLost("the lease ended as the store was restored")
        return lease_without_epoch(lease)

    async def _grant(self, seconds: float) -> int:
        reply = await self._post("/kv-lease", {"ttlMs": int(seconds * 1000)})
        return lease_with_epoch(
            self.epoch, _decode_reply(_require_success(reply), _LeaseReply).lease
        )

    async def _renew(self, lease: int) -> None:
        reply = await self._post(f"/kv-keep/{self._store_lease(lease)}", None)
        # If the store was restored meanwhile, another lease with the same id may have
        # been renewed.
        self._store_lease(lease)
        if reply.head.status == 404:
            raise LeaseLost(f"lease {lease} has ended")
        _require_success(reply)

    async def _end(self, lease: int) -> None:
        try:
            path = f"/kv-lease-end/{self._store_lease(lease)}"
        except LeaseLost:
            return
        await self._call("DELETE", path, self._settings.timeout)

    async def _get(
        self,
        path: str,
        reply_type: type[Decoded],
        timeout: float,
        on_data: Callable[[], None] = lambda: None,
    ) -> Decoded:
        reply = await self._call("GET", path, timeout, on_data=on_data)
        return _decode_reply(_require_success(reply), reply_type)

    def _post(self, path: str, document: object) -> Coroutine[Any, Any, HttpReply]:
        body = b"" if document is None else msgspec.json.encode(document)
        return self._call("POST", path, self._settings.timeout, body)

    async def _call(
        self,
        method: str,
        path: str,
        timeout: float,
        body: bytes = b"",
        on_data: Callable[[], None] = lambda: None,
    ) -> HttpReply:
        self.calls += 1
        headers: Headers = ((b"Host", self._settings.address.encode()),)
        if body:
            headers += ((b"Content-Type", b"application/json"),)
        request = HttpRequest(method.encode(), path.encode(), headers, body)
        resource = path.partition("?")[0]
        began_at = self._timers.now()
        call_timeout = Timeout(self._timers, timeout)

        def on_part() -> None:
            if self._timers.now() - began_at < timeout + MAX_TRANSFER_TIME:
                call_timeout.extend(self._settings.timeout)
            on_data()

        pending = exchange(
            self._pool, request, lambda head: True, MAX_REPLY_BYTES, on_part
        )
        try:
            reply = await call_timeout.wait_for(pending)
        except TimeoutError as error:
            self._record_outcome(method, is_response=False)
            detail = f"no answer within {timeout:g} s"
            raise KeyValueUnavailable(f"{method} {resource}: {detail}") from error
        except Failure as failure:
            self._record_outcome(method, is_response=False)
            raise KeyValueUnavailable(f"{method} {resource}: {failure}") from failure
        self._record_outcome(method, is_response=not _is_rejection(reply))
        self._learn_epoch(reply)
        return reply

    def _record_outcome(self, method: str, is_response: bool) -> None:
        if method == "GET":
            self.responds_to_reads = is_response

    def _learn_epoch(self, reply: HttpReply) -> None:
        """
        Detect from a reply's epoch whether the store was restored.

        :raises KeyValueUnavailable: if the reply predates the latest known restore.
        """
        value = reply.head.header(EPOCH)
        if value is None or not value.isdigit() or int(value) >= MAX_EPOCH:
            return
        epoch, previous = int(value), self.epoch
        if epoch < previous:
            raise KeyValueUnavailable("an answer from before the store was restored")
        is_restored = self._is_epoch_known and epoch > previous
        self.epoch, self._is_epoch_known = epoch, True
        if is_restored:
            # Deferred, since the callback may cancel the call that got this reply.
            self._timers.call_later(0, lambda: self.on_restored())


def _is_rejection(reply: HttpReply) -> bool:
    return reply.head.status == TOO_MANY_REQUESTS or reply.head.status >= 500


def _require_success(reply: HttpReply) -> HttpReply:
    if reply.head.status != 200:
        raise KeyValueUnavailable(f"status {reply.head.status}")
    return reply


def _decode_reply(reply: HttpReply, reply_type: type[Decoded]) -> Decoded:
    parsed = read_json(reply.body, reply_type)
    if isinstance(parsed, Err):
        detail = parsed.err_value.detail
        raise KeyValueUnavailable(f"an answer that cannot be read: {detail}")
    return parsed.ok_value


def _decode_value(text: str) -> bytes:
    """
    Decode a value from base64.

    :raises KeyValueUnavailable: if it is not valid base64; any other error would end
        the tasks that follow the store.
    """
    try:
        return base64.b64decode(text, validate=True)
    except ValueError as error:
        raise KeyValueUnavailable(f"a value that cannot be read: {error}") from error
