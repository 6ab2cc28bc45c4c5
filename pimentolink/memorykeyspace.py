"""In-memory key-value store with fault injection, for tests and embedding."""

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
    """A pending call that waits for changes."""

    def __init__(self, prefix: str, after: int, pending: Deferred[Changes]) -> None:
        self.prefix = prefix
        self.after = after
        self.pending = pending
        self.timer: Timer | None = None


class Copy(NamedTuple):
    """A backup of the store's keys and revision, without its leases."""

    items_by_key: dict[str, Item]
    revision: int


class MemoryKeyspace:
    """
    Implements :class:`~pimentolink.keyspace.Keyspace` in memory.

    :ivar revision: of the latest change.
    :ivar calls: number of calls, including failed ones.
    :ivar responds_to_reads: see :class:`~pimentolink.keyspace.Keyspace`.
    :ivar is_down: whether calls fail; see :meth:`set_down`.
    :ivar answers_to_lose: number of next writes that are applied but fail as if their
        response was lost.
    """

    def __init__(self, timers: Timers) -> None:
        """
        Create an empty store that responds to calls.

        :param timers: the timer service, for the expiry of leases and watches.
        """
        self._timers = timers
        self._items_by_key: dict[str, Item] = {}
        self._leases_by_key: dict[str, int] = {}
        self._history: list[Change] = []
        self._compacted_revision = 0
        self._watches: list[_Watch] = []
        self._seconds_by_lease: dict[int, float] = {}
        self._expiry_by_lease: dict[int, Timer] = {}
        self._next_lease = 1
        self.epoch = 0
        self.responds_to_reads = True
        self.on_restored: Callable[[], None] = lambda: None
        self.revision = 0
        self.calls = 0
        self.is_down = False
        self.answers_to_lose = 0

    def read_all(self, prefix: str) -> Deferred[Snapshot]:
        """Read all keys under a prefix."""
        if (outage := self._fail_if_down()) is not None:
            return outage
        items = self._items_by_key.values()
        found = tuple(item for item in items if item.key.startswith(prefix))
        return succeed(Snapshot(found, self.revision))

    def changes(self, prefix: str, after: int, wait: float) -> Deferred[Changes]:
        """Wait for changes of keys under a prefix after a revision."""
        if (outage := self._fail_if_down()) is not None:
            return outage
        if after < self._compacted_revision or epoch_of(after) != self.epoch:
            return fail(HistoryLost(f"changes after {after} are no longer kept"))
        pending: Deferred[Changes] = Deferred(lambda _: self._remove_watch(watch))
        watch = _Watch(prefix, after, pending)
        self._watches.append(watch)
        watch.timer = self._timers.call_later(wait, lambda: self._complete_watch(watch))
        self._notify_watches()
        return pending

    def is_receiving_changes(self) -> bool:
        """Return false: responses arrive as a whole."""
        return False

    def read(self, key: str) -> Deferred[Item | None]:
        """Read one key."""
        if (outage := self._fail_if_down()) is not None:
            return outage
        return succeed(self._items_by_key.get(key))

    def read_revision(self) -> Deferred[int]:
        """Read the current revision of the store."""
        if (outage := self._fail_if_down()) is not None:
            return outage
        return succeed(self.revision)

    def write(self, write: Write) -> Deferred[int | None]:
        """Write a key if the conditions of the write hold."""
        if (outage := self._fail_if_down()) is not None:
            return outage
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
        """Request a lease."""
        if (outage := self._fail_if_down()) is not None:
            return outage
        lease = self._next_lease
        self._next_lease += 1
        self._seconds_by_lease[lease] = seconds
        self._restart_expiry(lease)
        return succeed(lease)

    def renew(self, lease: int) -> Deferred[None]:
        """Renew a lease for its full time to live."""
        if (outage := self._fail_if_down()) is not None:
            return outage
        if lease not in self._seconds_by_lease:
            return fail(LeaseLost(f"lease {lease} has ended"))
        self._restart_expiry(lease)
        return succeed(None)

    def revoke(self, lease: int) -> Deferred[None]:
        """Revoke a lease and remove its keys."""
        if (outage := self._fail_if_down()) is not None:
            return outage
        self.lapse(lease)
        return succeed(None)

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write a key unconditionally, as operators and targets do."""
        self.revision += 1
        self._items_by_key[key] = Item(key, value, self.revision)
        self._leases_by_key[key] = lease
        self._record_change(Change(key, value, self.revision))
        return self.revision

    def remove(self, key: str) -> None:
        """Remove a key if it exists."""
        if self._items_by_key.pop(key, None) is None:
            return
        self._leases_by_key.pop(key, None)
        self.revision += 1
        self._record_change(Change(key, None, self.revision))

    def lapse(self, lease: int) -> None:
        """Expire a lease now and remove its keys."""
        self._seconds_by_lease.pop(lease, None)
        timer = self._expiry_by_lease.pop(lease, None)
        if timer is not None:
            timer.cancel()
        for key, key_lease in list(self._leases_by_key.items()):
            if key_lease == lease:
                self.remove(key)

    def copy(self) -> Copy:
        """Return a copy that the store can be restored from."""
        return Copy(dict(self._items_by_key), self.revision)

    def restore(self, copy: Copy) -> None:
        """
        Restore the store from a copy, which starts a new epoch.

        The store's own counters of revisions and leases go back, so that it issues the
        same numbers again, in the new epoch.
        """
        for lease in list(self._seconds_by_lease):
            self._seconds_by_lease.pop(lease)
            self._expiry_by_lease.pop(lease).cancel()
        self._leases_by_key.clear()
        self._fail_watches(KeyValueUnavailable("restored from a copy"))
        self._history.clear()
        self.epoch += 1
        self._next_lease = lease_with_epoch(self.epoch, 1)
        self._items_by_key = {
            key: item._replace(revision=self._in_current_epoch(item.revision))
            for key, item in copy.items_by_key.items()
        }
        self.revision = self._compacted_revision = self._in_current_epoch(copy.revision)
        self.on_restored()

    def _in_current_epoch(self, revision: int) -> int:
        return with_epoch(self.epoch, without_epoch(revision))

    def compact(self) -> None:
        """Discard the history of changes; pending watches fail with ``HistoryLost``."""
        self._history.clear()
        self._compacted_revision = self.revision
        self._fail_watches(HistoryLost("compacted"))

    def forget_watches(self) -> None:
        """Drop the pending watches, which then never complete."""
        for watch in list(self._watches):
            self._remove_watch(watch)

    def set_down(self, is_down: bool, pauses_leases: bool = False) -> None:
        """
        Begin or end an outage; pending watches fail when it begins.

        :param pauses_leases: whether leases do not expire during the outage.
        """
        self.is_down = is_down
        self.responds_to_reads = not is_down
        if pauses_leases:
            for timer in self._expiry_by_lease.values():
                timer.cancel()
        elif not is_down:
            for lease in self._seconds_by_lease:
                self._restart_expiry(lease)
        if is_down:
            self._fail_watches(KeyValueUnavailable("down"))

    def _fail_if_down(self) -> Any:
        self.calls += 1
        return fail(KeyValueUnavailable("down")) if self.is_down else None

    def _restart_expiry(self, lease: int) -> None:
        timer = self._expiry_by_lease.get(lease)
        if timer is not None:
            timer.cancel()
        seconds = self._seconds_by_lease[lease]
        self._expiry_by_lease[lease] = self._timers.call_later(
            seconds, lambda: self.lapse(lease)
        )

    def _record_change(self, change: Change) -> None:
        self._history.append(change)
        self._notify_watches()

    def _notify_watches(self) -> None:
        for watch in list(self._watches):
            if self._changes_for(watch):
                self._complete_watch(watch)

    def _changes_for(self, watch: _Watch) -> tuple[Change, ...]:
        return tuple(
            change
            for change in self._history
            if change.revision > watch.after and change.key.startswith(watch.prefix)
        )

    def _complete_watch(self, watch: _Watch) -> None:
        self._remove_watch(watch)
        if not watch.pending.called:
            watch.pending.callback(Changes(self._changes_for(watch), self.revision))

    def _remove_watch(self, watch: _Watch) -> None:
        if watch in self._watches:
            self._watches.remove(watch)
        if watch.timer is not None:
            watch.timer.cancel()

    def _fail_watches(self, error: Exception) -> None:
        for watch in list(self._watches):
            self._remove_watch(watch)
            watch.pending.errback(error)
