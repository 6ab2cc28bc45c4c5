"""Adapts a keyspace to the key-value interface of entries and sidecars."""

from __future__ import annotations

from twisted.internet.defer import Deferred

from pimentolink.errors import HistoryLost, LeaseLost
from pimentolink.keyspace import Keyspace, Write
from pimentolink.kvstore import Value
from pimentolink.timers import Timers


class KeyspaceStore:
    """
    Implements :class:`~pimentolink.kvstore.KeyValueStore` on a keyspace.

    Configurations, plans and leases of a deployment with entries and sidecars can thus
    be kept in the store that gateways watch.
    """

    def __init__(self, keyspace: Keyspace, timers: Timers) -> None:
        """
        Wrap a keyspace without calling it.

        :param keyspace: the store.
        :param timers: the timer service.
        """
        self._keyspace = keyspace
        self._timers = timers
        self._lease_id = 0
        self._leased_keys: set[str] = set()

    def get(self, key: str) -> Deferred[Value]:
        """Read a key."""
        return Deferred.fromCoroutine(self._read(key))

    def watch(self, key: str, index: int, wait: float) -> Deferred[Value]:
        """Read a key once it has changed, or after ``wait`` seconds."""
        return Deferred.fromCoroutine(self._watch(key, index, wait))

    def compare_and_swap(
        self, key: str, data: bytes, revision: int
    ) -> Deferred[int | None]:
        """Write a key if it still has ``revision``."""
        return self._keyspace.write(Write(key, data, revision))

    def hold_lease(self, key: str, holder: str, seconds: float) -> Deferred[bool]:
        """Acquire or renew a lease."""
        return Deferred.fromCoroutine(self._acquire_lease(key, holder, seconds))

    async def _read(self, key: str) -> Value:
        item = await self._keyspace.read(key)
        if item is not None:
            return Value(item.value, item.revision, item.revision)
        # An absent key has no revision that a watch could start from, so use the
        # revision of the store.
        snapshot = await self._keyspace.read_all(key)
        for item in snapshot.items:
            if item.key == key:
                return Value(item.value, item.revision, item.revision)
        return Value(None, 0, snapshot.revision)

    async def _watch(self, key: str, index: int, wait: float) -> Value:
        deadline = self._timers.now() + wait
        while (remaining := deadline - self._timers.now()) > 0:
            try:
                found = await self._keyspace.changes(key, index, remaining)
            except HistoryLost:
                break
            index = found.revision
            for change in reversed(found.changes):
                # The watch covers a prefix, so it also reports longer keys.
                if change.key == key:
                    return Value(change.value, change.revision, index)
        return await self._read(key)

    async def _acquire_lease(self, key: str, holder: str, seconds: float) -> bool:
        await self._renew_or_grant_lease(seconds)
        if key in self._leased_keys:
            return True
        write = Write(key, holder.encode(), 0, self._lease_id)
        is_acquired = await self._keyspace.write(write) is not None
        if is_acquired:
            self._leased_keys.add(key)
        return is_acquired

    async def _renew_or_grant_lease(self, seconds: float) -> None:
        if self._lease_id:
            try:
                await self._keyspace.renew(self._lease_id)
            except LeaseLost:
                # The store removed the keys together with the lease.
                self._leased_keys.clear()
            else:
                return
        self._lease_id = await self._keyspace.grant(seconds)
