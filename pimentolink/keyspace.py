"""
Keys of the platform's store under one prefix: read, followed and changed.

The store may be restored from an older copy of itself, which begins a new epoch:
what was written since the copy is gone, leases too, and its own counters go back.
Revisions and leases are told with their epoch in their upper bits, so that revisions
always rise, no lease or revision of an earlier epoch is taken for one that was given
out again, and a revision is a fencing number that no restore lowers.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple, Protocol

from twisted.internet.defer import Deferred

# Bits of a revision below its epoch. With epochs up to 2**13 a revision stays exact as
# a number of JSON, which fencing tokens need.
REVISION_BITS = 40
# Bits of a lease below its epoch; leases are not counted but drawn.
LEASE_BITS = 64


def with_epoch(epoch: int, revision: int) -> int:
    """Put the epoch before a revision of it."""
    return (epoch << REVISION_BITS) | revision


def epoch_of(revision: int) -> int:
    """Tell the epoch of a revision."""
    return revision >> REVISION_BITS


def without_epoch(revision: int) -> int:
    """Tell a revision as the store itself counts it."""
    return revision & ((1 << REVISION_BITS) - 1)


def lease_with_epoch(epoch: int, lease: int) -> int:
    """Put the epoch before a lease of it."""
    return (epoch << LEASE_BITS) | lease


def epoch_of_lease(lease: int) -> int:
    """Tell the epoch of a lease."""
    return lease >> LEASE_BITS


def lease_without_epoch(lease: int) -> int:
    """Tell a lease as the store itself names it."""
    return lease & ((1 << LEASE_BITS) - 1)


class Item(NamedTuple):
    """
    A key as stored.

    :ivar revision: of the store, at the key's last change.
    """

    key: str
    value: bytes
    revision: int


class Change(NamedTuple):
    """
    One change of a key.

    :ivar value: ``None`` if the key was removed.
    """

    key: str
    value: bytes | None
    revision: int


class Snapshot(NamedTuple):
    """
    All keys under a prefix.

    :ivar revision: changes after it are not yet in the items.
    """

    items: tuple[Item, ...]
    revision: int


class Changes(NamedTuple):
    """Changes in order; to be continued from ``revision``."""

    changes: tuple[Change, ...]
    revision: int


class Write(NamedTuple):
    """
    A write that is made only if the key is at a revision.

    :ivar expected: revision of the key; 0 demands that it is absent.
    :ivar lease: the key is removed when this lease ends; 0 for none.
    :ivar guard: a further key and the revision that it must be at.
    """

    key: str
    value: bytes
    expected: int
    lease: int = 0
    guard: tuple[str, int] | None = None


class Keyspace(Protocol):
    """
    What a gateway needs of the store; every call has a price.

    :ivar epoch: of the newest answer; 0 before the first.
    :ivar on_restored: called when an answer shows that the store was restored.
    """

    epoch: int
    on_restored: Callable[[], None]

    def read_all(self, prefix: str) -> Deferred[Snapshot]:
        """
        Read all keys under a prefix.

        :raises KeyValueUnavailable: without an answer.
        """

    def changes(self, prefix: str, after: int, wait: float) -> Deferred[Changes]:
        """
        Wait for changes.

        :param after: revision up to which all is known.
        :param wait: seconds after which it answers without changes.
        :raises HistoryLost: if these changes are no longer kept, or the store was
            restored from a copy that may lack some of them.
        :raises KeyValueUnavailable: without an answer.
        """

    def read(self, key: str) -> Deferred[Item | None]:
        """
        Read one key.

        :raises KeyValueUnavailable: without an answer.
        """

    def write(self, write: Write) -> Deferred[int | None]:
        """
        Write a key under a condition.

        :returns: the new revision; ``None`` if the key was at another one.
        :raises LeaseLost: if the lease has ended.
        :raises KeyValueUnavailable: without an answer; the write may have been made,
            or may still be made while its condition holds.
        """

    def grant(self, seconds: float) -> Deferred[int]:
        """
        Ask for a lease.

        :returns: its number.
        :raises KeyValueUnavailable: without an answer.
        """

    def renew(self, lease: int) -> Deferred[None]:
        """
        Renew a lease, for as long as it was granted.

        :raises LeaseLost: if it has ended.
        :raises KeyValueUnavailable: without an answer.
        """

    def end(self, lease: int) -> Deferred[None]:
        """
        End a lease; its keys are removed.

        :raises KeyValueUnavailable: without an answer.
        """
