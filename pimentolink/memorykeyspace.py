"""The store's twin in memory, with its faults, for tests and embedding."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple

from twisted.internet.defer import Deferred, fail, succeed

from pimentolink.errors import HistoryLost, KeyValueUnavailable, LeaseLost
from pimentolink.keyspace import (
    Change,
    Changes,
    Item,
    Snapshot,
    Write,
    epoch_of,
    lease_with_epoch,
    with_epoch,
    without_epoch,
)
from pimentolink.timers import Timer, Timers


class _Watch:
    """A call that waits for changes."""

    def __init__(self, prefix: str, after: int, pending: Deferred[Changes]) -> None:
        self.prefix = prefix
        self.after = after
        self.pending = pending
        self.timer: Timer | None = None


class Copy(NamedTuple):
    """What a copy of the store holds; leases are not part of it."""

    items_by_key: dict[str, Item]
    revision: int


class MemoryKeyspace:
    """Keys with revisions, history and leases."""

    def __init__(self, timers: Timers) -> None:
        """
        Start empty, answering.

        :param timers: the timer service, for leases and waits.
        """
        self._timers = timers
        self._items_by_key: dict[str, Item] = {}
        self._leases_by_key: dict[str, int] = {}
        self._history: list[Change] = []
        self._oldest = 0
        self._watches: list[_Watch] = []
        self._seconds_by_lease: dict[int, float] = {}
        self._expiry_by_lease: dict[int, Timer] = {}
        self._next_lease = 1
        self.epoch = 0
        self.on_restored: Callable[[], None] = lambda: None
        self.revision = 0
        self.calls = 0
        self.is_down = False
        self.answers_to_lose = 0

    def read_all(self, prefix: str) -> Deferred[Snapshot]:
        """Read all keys under a prefix."""
        if (refused := self._refused()) is not None:
            return refused
        items = self._items_by_key.values()
        found = tuple(item for item in items if item.key.startswith(prefix))
        return succeed(Snapshot(found, self.revision))

    def changes(self, prefix: str, after: int, wait: float) -> Deferred[Changes]:
        """Wait for changes after a revision."""
        if (refused := self._refused()) is not None:
            return refused
        if after < self._oldest or epoch_of(after) != self.epoch:
            return fail(HistoryLost(f"changes after {after} are no longer kept"))
        pending: Deferred[Changes] = Deferred(lambda _: self._drop(watch))
        watch = _Watch(prefix, after, pending)
        self._watches.append(watch)
        watch.timer = self._timers.call_later(wait, lambda: self._answer(watch))
        self._wake()
        return pending

    def read(self, key: str) -> Deferred[Item | None]:
        """Read one key."""
        if (refused := self._refused()) is not None:
            return refused
        return succeed(self._items_by_key.get(key))

    def write(self, write: Write) -> Deferred[int | None]:
        """Write a key under a condition."""
        if (refused := self._refused()) is not None:
            return refused
        found = self._items_by_key.get(write.key)
        if (found.revision if found is not None else 0) != write.expected:
            return succeed(None)
        if write.guard is not None:
            guard = self._items_by_key.get(write.guard[0])
            if (guard.revision if guard is not None else 0) != write.guard[1]:
                return succeed(None)
        if write.lease and write.lease not in self._seconds_by_lease:
            return fail(LeaseLost(f"lease {write.lease} has ended"))
        revision = self.put(write.key, write.value, write.lease)
        if self.answers_to_lose:
            self.answers_to_lose -= 1
            return fail(KeyValueUnavailable("the answer was lost"))
        return succeed(revision)

    def grant(self, seconds: float) -> Deferred[int]:
        """Ask for a lease."""
        if (refused := self._refused()) is not None:
            return refused
        lease = self._next_lease
        self._next_lease += 1
        self._seconds_by_lease[lease] = seconds
        self._extend(lease)
        return succeed(lease)

    def renew(self, lease: int) -> Deferred[None]:
        """Renew a lease."""
        if (refused := self._refused()) is not None:
            return refused
        if lease not in self._seconds_by_lease:
            return fail(LeaseLost(f"lease {lease} has ended"))
        self._extend(lease)
        return succeed(None)

    def end(self, lease: int) -> Deferred[None]:
        """End a lease."""
        if (refused := self._refused()) is not None:
            return refused
        self.lapse(lease)
        return succeed(None)

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write a key without a condition, as operators and targets do."""
        self.revision += 1
        self._items_by_key[key] = Item(key, value, self.revision)
        self._leases_by_key[key] = lease
        self._changed(Change(key, value, self.revision))
        return self.revision

    def remove(self, key: str) -> None:
        """Remove a key, if it is there."""
        if self._items_by_key.pop(key, None) is None:
            return
        self._leases_by_key.pop(key, None)
        self.revision += 1
        self._changed(Change(key, None, self.revision))

    def lapse(self, lease: int) -> None:
        """Let a lease run out."""
        self._seconds_by_lease.pop(lease, None)
        timer = self._expiry_by_lease.pop(lease, None)
        if timer is not None:
            timer.cancel()
        for key, held_by in list(self._leases_by_key.items()):
            if held_by == lease:
                self.remove(key)

    def copy(self) -> Copy:
        """Make a copy that the store can be restored from."""
        return Copy(dict(self._items_by_key), self.revision)

    def restore(self, copy: Copy) -> None:
        """
        Come back from a copy, in a new epoch.

        Revisions and leases go on from those of the copy and are given out again.
        """
        for lease in list(self._seconds_by_lease):
            self._seconds_by_lease.pop(lease)
            self._expiry_by_lease.pop(lease).cancel()
        self._leases_by_key.clear()
        self._cut(KeyValueUnavailable("restored from a copy"))
        self._history.clear()
        self.epoch += 1
        self._next_lease = lease_with_epoch(self.epoch, 1)
        self._items_by_key = {
            key: item._replace(revision=self._in_epoch(item.revision))
            for key, item in copy.items_by_key.items()
        }
        self.revision = self._oldest = self._in_epoch(copy.revision)
        self.on_restored()

    def _in_epoch(self, revision: int) -> int:
        return with_epoch(self.epoch, without_epoch(revision))

    def compact(self) -> None:
        """Forget the history; watches that wait fail with it."""
        self._history.clear()
        self._oldest = self.revision
        self._cut(HistoryLost("compacted"))

    def set_down(self, is_down: bool, pauses_leases: bool = False) -> None:
        """
        Begin or end an outage; watches that wait fail with it.

        :param pauses_leases: whether no lease runs out before the outage ends.
        """
        self.is_down = is_down
        if pauses_leases:
            for timer in self._expiry_by_lease.values():
                timer.cancel()
        elif not is_down:
            for lease in self._seconds_by_lease:
                self._extend(lease)
        if is_down:
            self._cut(KeyValueUnavailable("down"))

    def _refused(self) -> Any:
        self.calls += 1
        return fail(KeyValueUnavailable("down")) if self.is_down else None

    def _extend(self, lease: int) -> None:
        timer = self._expiry_by_lease.get(lease)
        if timer is not None:
            timer.cancel()
        seconds = self._seconds_by_lease[lease]
        self._expiry_by_lease[lease] = self._timers.call_later(
            seconds, lambda: self.lapse(lease)
        )

    def _changed(self, change: Change) -> None:
        self._history.append(change)
        self._wake()

    def _wake(self) -> None:
        for watch in list(self._watches):
            if self._news(watch):
                self._answer(watch)

    def _news(self, watch: _Watch) -> tuple[Change, ...]:
        return tuple(
            change
            for change in self._history
            if change.revision > watch.after and change.key.startswith(watch.prefix)
        )

    def _answer(self, watch: _Watch) -> None:
        self._drop(watch)
        if not watch.pending.called:
            watch.pending.callback(Changes(self._news(watch), self.revision))

    def _drop(self, watch: _Watch) -> None:
        if watch in self._watches:
            self._watches.remove(watch)
        if watch.timer is not None:
            watch.timer.cancel()

    def _cut(self, failure: Exception) -> None:
        for watch in list(self._watches):
            self._drop(watch)
            watch.pending.errback(failure)
