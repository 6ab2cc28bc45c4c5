"""Clients of the platform's key-value service."""

from __future__ import annotations

import base64
from typing import Any, NamedTuple, Protocol
from urllib.parse import quote

import msgspec
from twisted.internet.defer import Deferred, succeed

from pimentolink.errors import KeyValueUnavailable
from pimentolink.httpclient import Answer, HttpClient
from pimentolink.settings import PlatformSettings


class Value(NamedTuple):
    """
    Result of reading a key.

    :ivar data: the value; ``None`` if the key is absent.
    :ivar revision: revision of the key for compare-and-swap; 0 if absent.
    :ivar service_index: change counter of the service; a watch that is given it waits
        for a later change.
    """

    data: bytes | None
    revision: int
    service_index: int


class KeyValueStore(Protocol):
    """Interface of the service; every call counts towards its rate limits."""

    def get(self, key: str) -> Deferred[Value]:
        """
        Read a key.

        :raises KeyValueUnavailable: if the service does not answer.
        """

    def watch(self, key: str, index: int, wait: float) -> Deferred[Value]:
        """
        Wait until a key changes, then read it.

        :param index: ``service_index`` of the last value read.
        :param wait: seconds after which the unchanged value is returned.
        :raises KeyValueUnavailable: if the service does not answer.
        """

    def compare_and_swap(
        self, key: str, data: bytes, revision: int
    ) -> Deferred[int | None]:
        """
        Write a key if its revision has not changed.

        :param revision: as last read; 0 requires that the key is absent.
        :returns: the new revision, or ``None`` if another write came first.
        :raises KeyValueUnavailable: if the service does not answer; the write may
            have taken effect all the same.
        """

    def hold_lease(self, key: str, holder: str, seconds: float) -> Deferred[bool]:
        """
        Acquire or renew a lease.

        Leases only avoid duplicate work; correctness rests on compare-and-swap.

        :param key: key of the lease.
        :param holder: incarnation of the process.
        :param seconds: time after which the lease expires unless renewed.
        :returns: whether this process holds the lease.
        :raises KeyValueUnavailable: if the service does not answer.
        """


class MemoryStore:
    """In-memory implementation with fault injection, for tests and embedding."""

    def __init__(self) -> None:
        """Create an empty store that is up."""
        self.calls = 0
        self.is_down = False
        self.answers_to_lose = 0
        self._index = 0
        self._value_by_key: dict[str, Value] = {}
        self._watchers: list[tuple[str, int, Deferred[Value]]] = []
        self._holder_by_key: dict[str, str] = {}

    def get(self, key: str) -> Deferred[Value]:
        """Read a key."""
        self.calls += 1
        if self.is_down:
            return _unavailable()
        return succeed(self._read(key))

    def watch(self, key: str, index: int, wait: float) -> Deferred[Value]:
        """Wait until a key changes, then read it; ``wait`` is ignored."""
        self.calls += 1
        if self.is_down:
            return _unavailable()
        value = self._read(key)
        if value.service_index > index:
            return succeed(value)
        pending: Deferred[Value] = Deferred()
        self._watchers.append((key, index, pending))
        return pending

    def compare_and_swap(
        self, key: str, data: bytes, revision: int
    ) -> Deferred[int | None]:
        """Write a key if it still has ``revision``."""
        self.calls += 1
        if self.is_down:
            return _unavailable()
        swapped = self._read(key).revision == revision
        if swapped:
            self._index += 1
            self._value_by_key[key] = Value(data, self._index, self._index)
            self._notify_watchers(key)
        if self.answers_to_lose:
            self.answers_to_lose -= 1
            return _unavailable()
        return succeed(self._index if swapped else None)

    def hold_lease(self, key: str, holder: str, seconds: float) -> Deferred[bool]:
        """Acquire a lease, which lasts until :meth:`lapse`."""
        self.calls += 1
        if self.is_down:
            return _unavailable()
        return succeed(self._holder_by_key.setdefault(key, holder) == holder)

    def lapse(self, holder: str) -> None:
        """Expire the leases of a holder."""
        for key, lease_holder in list(self._holder_by_key.items()):
            if lease_holder == holder:
                del self._holder_by_key[key]

    def set_down(self, is_down: bool) -> None:
        """Begin or end an outage; pending watches fail when it begins."""
        self.is_down = is_down
        if is_down:
            watchers, self._watchers = self._watchers, []
            for _, _, pending in watchers:
                pending.errback(KeyValueUnavailable("down"))

    def _read(self, key: str) -> Value:
        return self._value_by_key.get(key, Value(None, 0, 0))

    def _notify_watchers(self, key: str) -> None:
        notified = [watcher for watcher in self._watchers if watcher[0] == key]
        self._watchers = [watcher for watcher in self._watchers if watcher[0] != key]
        for _, _, pending in notified:
            pending.callback(self._read(key))


def _unavailable() -> Deferred[Any]:
    pending: Deferred[Any] = Deferred()
    pending.errback(KeyValueUnavailable("down"))
    return pending


class _ConsulValue(msgspec.Struct, rename="pascal"):
    """One element of the response to a read."""

    value: str | None
    modify_index: int


class _ConsulSession(msgspec.Struct, rename={"id": "ID"}):
    """A session of the service, which owns leases."""

    id: str


class _ConsulWrite(msgspec.Struct, rename="pascal"):
    """Revision of a key that a transaction wrote."""

    modify_index: int


class _ConsulResult(msgspec.Struct, rename={"kv": "KV"}):
    """One result of a transaction."""

    kv: _ConsulWrite


class _ConsulTransaction(msgspec.Struct, rename="pascal"):
    """The response to a committed transaction."""

    results: list[_ConsulResult]


class HttpStore:
    """
    Client of the service's HTTP interface.

    :source: Consul KV HTTP API: ``/v1/kv`` with blocking queries by ``index``,
        ``/v1/txn`` with ``cas``, ``/v1/session`` and ``acquire`` for leases.
    """

    def __init__(self, reactor: Any, settings: PlatformSettings) -> None:
        """
        Create a client; no request is sent yet.

        :param reactor: the Twisted reactor.
        :param settings: address and timeout.
        """
        self._settings = settings
        self._client = HttpClient(reactor, settings.timeout)
        self._session = ""
        self._leased_keys: set[str] = set()

    def get(self, key: str) -> Deferred[Value]:
        """Read a key."""
        return Deferred.fromCoroutine(self._read(key, "", self._settings.timeout))

    def watch(self, key: str, index: int, wait: float) -> Deferred[Value]:
        """Wait until a key changes, then read it."""
        query = f"?index={index}&wait={wait:g}s"
        patience = wait + self._settings.timeout
        return Deferred.fromCoroutine(self._read(key, query, patience))

    def compare_and_swap(
        self, key: str, data: bytes, revision: int
    ) -> Deferred[int | None]:
        """Write a key if it still has ``revision``."""
        return Deferred.fromCoroutine(self._swap(key, data, revision))

    def hold_lease(self, key: str, holder: str, seconds: float) -> Deferred[bool]:
        """Acquire or renew a lease."""
        return Deferred.fromCoroutine(self._acquire_lease(key, holder, seconds))

    def close(self) -> Deferred[None]:
        """Close idle connections."""
        return self._client.close()

    async def _read(self, key: str, query: str, patience: float) -> Value:
        answer = await self._call("GET", f"{_path(key)}{query}", b"", patience)
        index = int(answer.headers.get("x-consul-index", "0"))
        if answer.status == 404:
            return Value(None, 0, index)
        found = msgspec.json.decode(answer.body, type=list[_ConsulValue])[0]
        data = base64.b64decode(found.value or "")
        return Value(data, found.modify_index, index)

    async def _swap(self, key: str, data: bytes, revision: int) -> int | None:
        operation = {
            "Verb": "cas",
            "Key": key,
            "Value": base64.b64encode(data).decode(),
            "Index": revision,
        }
        body = msgspec.json.encode([{"KV": operation}])
        answer = await self._call("PUT", "/v1/txn", body, self._settings.timeout)
        if answer.status == 409:
            return None
        written = msgspec.json.decode(answer.body, type=_ConsulTransaction)
        return written.results[0].kv.modify_index

    async def _acquire_lease(self, key: str, holder: str, seconds: float) -> bool:
        await self._renew_session(seconds)
        if key in self._leased_keys:
            return True
        path = f"{_path(key)}?acquire={self._session}"
        patience = self._settings.timeout
        answer = await self._call("PUT", path, holder.encode(), patience)
        is_held = answer.body.strip() == b"true"
        if is_held:
            self._leased_keys.add(key)
        return is_held

    async def _renew_session(self, seconds: float) -> None:
        patience = self._settings.timeout
        if self._session:
            path = f"/v1/session/renew/{self._session}"
            answer = await self._call("PUT", path, b"", patience)
            if answer.status == 200:
                return
        self._leased_keys.clear()
        body = {"TTL": f"{seconds:g}s", "LockDelay": "0s", "Behavior": "release"}
        encoded = msgspec.json.encode(body)
        answer = await self._call("PUT", "/v1/session/create", encoded, patience)
        self._session = msgspec.json.decode(answer.body, type=_ConsulSession).id

    async def _call(
        self, method: str, path: str, body: bytes, patience: float
    ) -> Answer:
        url = f"http://{self._settings.key_value}{path}"
        try:
            answer = await self._client.request(method, url, body, patience=patience)
        except Exception as error:
            raise KeyValueUnavailable(f"{type(error).__name__}: {error}") from error
        if answer.status not in (200, 404, 409):
            raise KeyValueUnavailable(f"status {answer.status}")
        return answer


def _path(key: str) -> str:
    return f"/v1/kv/{quote(key)}"
