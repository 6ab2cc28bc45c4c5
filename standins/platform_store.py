"""
Stand-in for the store of the users' platform.

Simulates leases, a history of changes that can be compacted, paged reads, restores
from a backup, and injected faults.
"""

from __future__ import annotations

import base64
from typing import Any

from twisted.internet.defer import Deferred
from twisted.web.server import Request

from pimentolink.errors import HistoryLost, LeaseLost
from pimentolink.keyspace import (
    Change,
    Changes,
    Item,
    Write,
    lease_with_epoch,
    lease_without_epoch,
    with_epoch,
    without_epoch,
)
from pimentolink.memorykeyspace import Copy, MemoryKeyspace
from pimentolink.timers import ReactorTimers
from standins.web import Routes, answer, argument, body_of, reactor, serve

ITEMS_PER_PAGE = 50
# Epoch that is reported before the first restore; the in-memory keyspace starts at 0.
FIRST_EPOCH = 3
OPERATOR_KEY_PREFIXES = ("op/", "servers/")


class PlatformStoreStandIn:
    """HTTP interface of the store over an in-memory keyspace."""

    def __init__(self) -> None:
        """Create an empty store without faults."""
        self.keys = MemoryKeyspace(ReactorTimers(reactor))
        self.backup: Copy = self.keys.copy()
        self.faults: dict[str, Any] = {
            "down": "",
            "lose_answers": 0,
            "lose_watches": False,
            "ignore_writes": False,
            "delay": 0.0,
            "status": 503,
        }
        self.routes = Routes()
        for method, path, handler in (
            ("GET", "/kv-key", self.read),
            ("GET", "/kv-range", self.range),
            ("GET", "/kv-watch", self.watch),
            ("POST", "/kv-txn", self.write),
            ("POST", "/kv-lease", self.grant),
            ("POST", "/kv-keep/", self.renew),
            ("DELETE", "/kv-lease-end/", self.end),
        ):
            self.routes.add(method, path, self._with_faults(handler))
        self.routes.add("PUT", "/faults", self.set_faults)
        self.routes.add("PUT", "/compact", self.compact)
        self.routes.add("PUT", "/operator", self.write_as_operator)
        self.routes.add("PUT", "/copy", self.copy)
        self.routes.add("PUT", "/restore", self.restore)

    def set_faults(self, request: Request) -> None:
        """
        Enable or disable faults.

        ``down`` is ``busy``, ``reset`` or ``silent``. ``lose_watches`` drops the
        pending watches and those that are requested while it is set; they are never
        answered. ``ignore_writes`` leaves all calls but reads without an answer.
        ``delay`` is the time in seconds before any call is handled.
        """
        self.faults.update(body_of(request))
        self.keys.answers_to_lose = self.faults["lose_answers"]
        if self.faults["lose_watches"]:
            self.keys.forget_watches()
        if self.faults["down"]:
            self.keys.set_down(True)
        self.keys.set_down(False)
        answer(request, self.faults)

    def compact(self, request: Request) -> None:
        """Discard the history of changes."""
        self.keys.compact()
        answer(request, {})

    def copy(self, request: Request) -> None:
        """Make a backup for ``restore``."""
        self.backup = self.keys.copy()
        answer(request, {})

    def restore(self, request: Request) -> None:
        """Restore the keys from the last backup."""
        self.keys.restore(self.backup)
        answer(request, {"epoch": self.keys.epoch})

    def _revision_with_epoch(self, revision: int) -> int:
        """Convert a client's revision, which has no epoch, to one of the keyspace."""
        return with_epoch(self.keys.epoch, revision) if revision else 0

    def write_as_operator(self, request: Request) -> None:
        """Write or remove a key on behalf of the operator or a target."""
        key = argument(request, "key")
        value = body_of(request)
        if value is None:
            self.keys.remove(key)
        else:
            self.keys.put(key, base64.b64decode(value["value"]))
        answer(request, {"revision": self.keys.revision})

    def read(self, request: Request) -> None:
        """Read a key."""

        def respond(item: Item | None) -> None:
            if item is None:
                current = without_epoch(self.keys.revision)
                answer(request, {"currentRev": current}, 404)
            else:
                current = without_epoch(self.keys.revision)
                answer(request, _encode_item(item) | {"currentRev": current})

        self.keys.read(argument(request, "key")).addCallback(respond)

    def range(self, request: Request) -> None:
        """Read one page of the keys with a prefix."""
        prefix, after = argument(request, "prefix"), argument(request, "after")

        def respond(snapshot: Any) -> None:
            items = sorted(item for item in snapshot.items if item.key > after)
            page = [_encode_item(item) for item in items[:ITEMS_PER_PAGE]]
            has_more = len(items) > ITEMS_PER_PAGE
            current = without_epoch(snapshot.revision)
            reply = {"items": page, "morePages": has_more, "currentRev": current}
            answer(request, reply)

        self.keys.read_all(prefix).addCallback(respond)

    def watch(self, request: Request) -> None:
        """Wait for changes under a prefix (long poll)."""
        if self.faults["lose_watches"]:
            return
        wait = int(argument(request, "waitMs", "0")) / 1000
        after = with_epoch(self.keys.epoch, int(argument(request, "after", "0")))
        pending = self.keys.changes(argument(request, "prefix"), after, wait)

        def respond(changes: Changes) -> None:
            events = [_encode_event(change) for change in changes.changes]
            current = without_epoch(changes.revision)
            answer(request, {"events": events, "currentRev": current})

        def failed(failure: Any) -> None:
            is_lost = failure.check(HistoryLost)
            answer(request, {"error": "history"}, 410 if is_lost else 503)

        request.notifyFinish().addErrback(lambda _: pending.cancel())
        pending.addCallbacks(respond, failed).addErrback(lambda _: None)

    def write(self, request: Request) -> None:
        """Apply a transaction that writes one key."""
        body = body_of(request)
        put, expected = body["puts"][0], body["expected"]
        if put["key"].startswith(OPERATOR_KEY_PREFIXES):
            answer(request, {"error": "not yours"}, 403)
            return
        value = base64.b64decode(put["value"])
        lease = put.get("lease", 0)
        conditions = [
            (condition["key"], self._revision_with_epoch(condition["revision"]))
            for condition in expected
        ]
        write = Write(
            put["key"],
            value,
            conditions[0][1],
            lease_with_epoch(self.keys.epoch, lease) if lease else 0,
            conditions[1] if len(conditions) > 1 else None,
        )
        pending: Deferred[int | None] = self.keys.write(write)

        def respond_to_write(revision: int | None) -> None:
            if revision is None:
                answer(request, {"items": []}, 412)
            else:
                answer(request, {"revision": without_epoch(revision)})

        def failed(failure: Any) -> None:
            if failure.check(LeaseLost):
                answer(request, {"error": "lease"}, 404)
            else:
                request.transport.abortConnection()  # type: ignore[union-attr]

        pending.addCallbacks(respond_to_write, failed)

    def grant(self, request: Request) -> None:
        """Grant a lease."""
        milliseconds = body_of(request)["ttlMs"]
        self.keys.grant(milliseconds / 1000).addCallback(
            lambda lease: answer(
                request, {"lease": lease_without_epoch(lease), "ttlMs": milliseconds}
            )
        )

    def renew(self, request: Request) -> None:
        """Renew a lease."""
        lease = lease_with_epoch(
            self.keys.epoch, int(request.path.decode().rpartition("/")[2])
        )
        self.keys.renew(lease).addCallbacks(
            lambda _: answer(request, {"ttlMs": 0}),
            lambda _: answer(request, {"error": "lease"}, 404),
        )

    def end(self, request: Request) -> None:
        """End a lease."""
        lease = lease_with_epoch(
            self.keys.epoch, int(request.path.decode().rpartition("/")[2])
        )
        self.keys.revoke(lease).addCallback(lambda _: answer(request, {}))

    def _with_faults(self, handler: Any) -> Any:
        def handle(request: Request) -> None:
            request.setHeader("Store-Era", str(self.keys.epoch + FIRST_EPOCH))
            down = self.faults["down"]
            if self.faults["ignore_writes"] and request.method != b"GET":
                return
            if not down:
                reactor.callLater(self.faults["delay"], _handle_late, handler, request)
            elif down == "busy":
                answer(request, {"error": "busy"}, self.faults["status"])
            elif down == "reset":
                request.transport.abortConnection()  # type: ignore[union-attr]

        return handle


def _handle_late(handler: Any, request: Request) -> None:
    """Handle a request unless the client has given it up meanwhile."""
    if not request._disconnected:
        handler(request)


def _encode_item(item: Item) -> dict[str, Any]:
    value = base64.b64encode(item.value).decode()
    revision = without_epoch(item.revision)
    return {"key": item.key, "value": value, "revision": revision}


def _encode_event(change: Change) -> dict[str, Any]:
    if change.value is None:
        revision = without_epoch(change.revision)
        return {"key": change.key, "revision": revision, "deleted": True}
    return _encode_item(Item(change.key, change.value, change.revision))


if __name__ == "__main__":
    serve(PlatformStoreStandIn().routes, __doc__)
