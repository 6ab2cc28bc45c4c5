"""The key-value port of entries and sidecars, over a keyspace."""

from __future__ import annotations

from twisted.internet.defer import Deferred

from pimentolink.errors import HistoryLost, LeaseLost
from pimentolink.keyspace import Keyspace, Write
from pimentolink.kvstore import Value
from pimentolink.timers import Timers


class KeyspaceStore:
    """
    Lets whatever speaks :class:`~pimentolink.kvstore.KeyValueStore` run on a keyspace.

    So configurations, plans and leases of the product's own build-up can stand in the
    same store that gateways follow.
    """

    def __init__(self, keyspace: Keyspace, timers: Timers) -> None:
        """
        Wrap a keyspace; no call is made yet.

        :param keyspace: the store.
        :param timers: the timer service.
        """
        self._keyspace = keyspace
        self._timers = timers
        self._lease = 0
        self._leased_keys: set[str] = set()

    def get(self, key: str) -> Deferred[Value]:
        """Read a key."""
        return Deferred.fromCoroutine(self._read(key))

    def watch(self, key: str, index: int, wait: float) -> Deferred[Value]:
        """Read a key once it has changed."""
        return Deferred.fromCoroutine(self._watch(key, index, wait))

    def compare_and_swap(
        self, key: str, data: bytes, revision: int
    ) -> Deferred[int | None]:
        """Write a key if it still has ``revision``."""
        return self._keyspace.write(Write(key, data, revision))

    def hold_lease(self, key: str, holder: str, seconds: float) -> Deferred[bool]:
        """Take or renew a lease."""
        return Deferred.fromCoroutine(self._hold(key, holder, seconds))

    async def _read(self, key: str) -> Value:
        item = await self._keyspace.read(key)
        if item is not None:
            return Value(item.value, item.revision, item.revision)
        # An absent key has no revision to wait beyond; the store's own has to do.
        snapshot = await self._keyspace.read_all(key)
        for item in snapshot.items:
            if item.key == key:
                return Value(item.value, item.revision, item.revision)
        return Value(None, 0, snapshot.revision)

    async def _watch(self, key: str, index: int, wait: float) -> Value:
        until = self._timers.now() + wait
        while (left := until - self._timers.now()) > 0:
            try:
                found = await self._keyspace.changes(key, index, left)
            except HistoryLost:
                break
            index = found.revision
            for change in reversed(found.changes):
                # Keys that only begin alike are told too.
                if change.key == key:
                    return Value(change.value, change.revision, index)
        return await self._read(key)

    async def _hold(self, key: str, holder: str, seconds: float) -> bool:
        await self._keep_lease(seconds)
        if key in self._leased_keys:
            return True
        write = Write(key, holder.encode(), 0, self._lease)
        is_held = await self._keyspace.write(write) is not None
        if is_held:
            self._leased_keys.add(key)
        return is_held

    async def _keep_lease(self, seconds: float) -> None:
        if self._lease:
            try:
                await self._keyspace.renew(self._lease)
            except LeaseLost:
                # Its keys are gone with it.
                self._leased_keys.clear()
            else:
                return
        self._lease = await self._keyspace.grant(seconds)
