"""
Interface to the platform's key-value store: read, watch and write keys.

The store may be restored from an older copy of itself, which starts a new epoch:
everything written after the copy is lost, including all leases, and the store's
counters go back. Revisions and lease ids therefore carry the epoch in their upper
bits. Revisions thus never decrease, a revision or lease of an earlier epoch is never
confused with one that the restored store issues again, and a revision can serve as a
fencing number that no restore lowers.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple, Protocol

from twisted.internet.defer import Deferred

# Number of low bits that hold the store's own revision; the epoch is above them. With
# epochs up to 2**13 a revision is exactly representable as a JSON number, which fencing
# tokens require.
REVISION_BITS = 40
# Number of low bits that hold the store's own lease id; the epoch is above them. The
# store draws lease ids from all 64-bit numbers instead of counting them.
LEASE_BITS = 64


def with_epoch(epoch: int, revision: int) -> int:
    """Combine an epoch and one of its revisions."""
    return (epoch << REVISION_BITS) | revision


def epoch_of(revision: int) -> int:
    """Return the epoch of a revision."""
    return revision >> REVISION_BITS


def without_epoch(revision: int) -> int:
    """Return a revision as the store itself counts it."""
    return revision & ((1 << REVISION_BITS) - 1)


def lease_with_epoch(epoch: int, lease: int) -> int:
    """Combine an epoch and one of its lease ids."""
    return (epoch << LEASE_BITS) | lease


def epoch_of_lease(lease: int) -> int:
    """Return the epoch of a lease id."""
    return lease >> LEASE_BITS


def lease_without_epoch(lease: int) -> int:
    """Return a lease id as the store itself knows it."""
    return lease & ((1 << LEASE_BITS) - 1)


class Item(NamedTuple):
    """
    A key and its value as stored.

    :ivar revision: of the store when the key was last changed.
    """

    key: str
    value: bytes
    revision: int


class Change(NamedTuple):
    """
    One change of a key.

    :ivar value: the new value; ``None`` if the key was removed.
    :ivar revision: of the store after the change.
    """

    key: str
    value: bytes | None
    revision: int


class Snapshot(NamedTuple):
    """
    All keys under a prefix.

    :ivar revision: of the store when they were read; later changes are not included.
    """

    items: tuple[Item, ...]
    revision: int


class Changes(NamedTuple):
    """Changes in the order of their revisions; the next watch follows ``revision``."""

    changes: tuple[Change, ...]
    revision: int


class Write(NamedTuple):
    """
    A write that succeeds only if the key has the expected revision.

    :ivar expected: required revision of the key; 0 if the key must be absent.
    :ivar lease: the key is removed when this lease ends; 0 for none.
    :ivar guard: another key and the revision that it must have.
    """

    key: str
    value: bytes
    expected: int
    lease: int = 0
    guard: tuple[str, int] | None = None


class Keyspace(Protocol):
    """
    The store operations that a gateway uses; each call counts towards its cost.

    :ivar epoch: of the store in its latest response; 0 before the first.
    :ivar responds_to_reads: whether the latest read to end had a response. A store may
        respond to reads while it does not respond to writes and renewals.
    :ivar on_restored: called when a response shows that the store was restored.
    """

    epoch: int
    responds_to_reads: bool
    on_restored: Callable[[], None]

    def read_all(self, prefix: str) -> Deferred[Snapshot]:
        """
        Read all keys under a prefix.

        :raises KeyValueUnavailable: if the store does not respond.
        """

    def changes(self, prefix: str, after: int, wait: float) -> Deferred[Changes]:
        """
        Wait for changes of keys under a prefix.

        :param after: revision up to which the caller knows all changes.
        :param wait: seconds after which the call returns without changes.
        :raises HistoryLost: if the store no longer keeps these changes, or was restored
            from a copy that may lack some of them.
        :raises KeyValueUnavailable: if the store does not respond.
        """

    def is_receiving_changes(self) -> bool:
        """Return whether a part of the response to a watch has just arrived."""

    def read(self, key: str) -> Deferred[Item | None]:
        """
        Read one key.

        :returns: the key; ``None`` if it is absent.
        :raises KeyValueUnavailable: if the store does not respond.
        """

    def read_revision(self) -> Deferred[int]:
        """
        Read the current revision of the store, without any key.

        :raises KeyValueUnavailable: if the store does not respond.
        """

    def write(self, write: Write) -> Deferred[int | None]:
        """
        Write a key if the conditions of the write hold.

        :returns: the new revision; ``None`` if the key or the guard had another one.
        :raises LeaseLost: if the lease has ended.
        :raises KeyValueUnavailable: if the store does not respond; the write may have
            been applied, or may still be applied while its conditions hold.
        """

    def grant(self, seconds: float) -> Deferred[int]:
        """
        Request a lease.

        :param seconds: its time to live unless it is renewed.
        :returns: its id.
        :raises KeyValueUnavailable: if the store does not respond.
        """

    def renew(self, lease: int) -> Deferred[None]:
        """
        Renew a lease for its full time to live.

        :raises LeaseLost: if it has ended.
        :raises KeyValueUnavailable: if the store does not respond.
        """

    def revoke(self, lease: int) -> Deferred[None]:
        """
        Revoke a lease and remove its keys.

        :raises KeyValueUnavailable: if the store does not respond.
        """
