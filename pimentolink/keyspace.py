"""Keys of the platform's store under one prefix: read, followed and changed."""

from __future__ import annotations

from typing import NamedTuple, Protocol

from twisted.internet.defer import Deferred


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
    """

    key: str
    value: bytes
    expected: int
    lease: int = 0


class Keyspace(Protocol):
    """What a gateway needs of the store; every call has a price."""

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
        :raises HistoryLost: if these changes are no longer kept.
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
