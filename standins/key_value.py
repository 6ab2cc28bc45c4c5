"""Stand-in for the platform's key-value service, with fault injection."""

from __future__ import annotations

import base64
from typing import Any
from uuid import uuid4

from twisted.web.server import Request

from standins.web import Routes, answer, argument, body_of, reactor, serve

MAX_VALUE_BYTES = 1_000_000


class KeyValueStandIn:
    """Keys with revisions, blocking reads, compare-and-swap writes and sessions."""

    def __init__(self) -> None:
        """Create an empty store without faults."""
        self._index = 1
        self._data_by_key: dict[str, tuple[str, int]] = {}
        self._watches: list[tuple[str, int, Request]] = []
        self._session_by_key: dict[str, str] = {}
        self._expiry_by_session: dict[str, tuple[float, float]] = {}
        self.faults: dict[str, Any] = {"down": False, "delay": 0.0, "lose_answers": 0}
        self.calls = {"reads": 0, "writes": 0, "watches": 0, "refused": 0}
        self.routes = Routes()
        self.routes.add("GET", "/v1/kv/", self.read)
        self.routes.add("PUT", "/v1/txn", self.write)
        self.routes.add("PUT", "/v1/session/create", self.create_session)
        self.routes.add("PUT", "/v1/session/renew/", self.renew_session)
        self.routes.add("PUT", "/v1/kv/", self.acquire)
        self.routes.add("PUT", "/faults", self.set_faults)
        self.routes.add("GET", "/calls", lambda request: answer(request, self.calls))

    def set_faults(self, request: Request) -> None:
        """Enable or disable fault injection."""
        self.faults.update(body_of(request))
        answer(request, self.faults)

    def read(self, request: Request) -> None:
        """Respond to a read, or register a watch if the key has not changed."""
        if self._refuse_if_down(request):
            return
        key = request.path.decode().removeprefix("/v1/kv/")
        index = int(argument(request, "index", "0"))
        self.calls["watches" if index else "reads"] += 1
        _, modified = self._data_by_key.get(key, ("", 0))
        if index and modified <= index:
            self._add_watch(request, key, index)
        else:
            self._after_delay(lambda: self._respond_to_read(request, key))

    def write(self, request: Request) -> None:
        """Apply a compare-and-swap; drop the response if ``lose_answers`` is set."""
        if self._refuse_if_down(request):
            return
        self.calls["writes"] += 1
        operation = body_of(request)[0]["KV"]
        self._after_delay(lambda: self._swap(request, operation))

    def create_session(self, request: Request) -> None:
        """Create a session that expires unless it is renewed."""
        if self._refuse_if_down(request):
            return
        self.calls["writes"] += 1
        seconds = float(body_of(request)["TTL"].removesuffix("s"))
        session = uuid4().hex
        self._expiry_by_session[session] = (reactor.seconds() + seconds, seconds)
        self._after_delay(lambda: answer(request, {"ID": session}))

    def renew_session(self, request: Request) -> None:
        """Renew a session that has not expired."""
        if self._refuse_if_down(request):
            return
        self.calls["writes"] += 1
        session = request.path.decode().rpartition("/")[2]
        is_live = self._is_live(session)
        if is_live:
            seconds = self._expiry_by_session[session][1]
            self._expiry_by_session[session] = (reactor.seconds() + seconds, seconds)
        self._after_delay(lambda: answer(request, [], 200 if is_live else 404))

    def acquire(self, request: Request) -> None:
        """Lock a key for a session unless another live session holds the lock."""
        if self._refuse_if_down(request):
            return
        self.calls["writes"] += 1
        key = request.path.decode().removeprefix("/v1/kv/")
        session = argument(request, "acquire")
        holder = self._session_by_key.get(key, "")
        is_locked = holder != session and self._is_live(holder)
        if not is_locked and self._is_live(session):
            self._session_by_key[key] = session
        is_held = self._session_by_key.get(key) == session
        self._after_delay(lambda: answer(request, is_held))

    def _is_live(self, session: str) -> bool:
        expiry, _ = self._expiry_by_session.get(session, (0.0, 0.0))
        return expiry > reactor.seconds()

    def _swap(self, request: Request, operation: dict[str, Any]) -> None:
        key, value = operation["Key"], operation["Value"]
        _, modified = self._data_by_key.get(key, ("", 0))
        if len(base64.b64decode(value)) > MAX_VALUE_BYTES:
            answer(request, {"Errors": [{"What": "value too large"}]}, 413)
            return
        swapped = modified == operation["Index"]
        if swapped:
            self._index += 1
            self._data_by_key[key] = (value, self._index)
            self._notify_watches(key)
        if self.faults["lose_answers"] > 0:
            self.faults["lose_answers"] -= 1
            request.transport.abortConnection()  # type: ignore[union-attr]
        elif swapped:
            result = {"KV": {"Key": key, "ModifyIndex": self._index}}
            answer(request, {"Results": [result], "Errors": None})
        else:
            answer(request, {"Results": None, "Errors": [{"What": "index"}]}, 409)

    def _add_watch(self, request: Request, key: str, index: int) -> None:
        watch = (key, index, request)
        self._watches.append(watch)
        request.notifyFinish().addErrback(lambda _: self._remove_watch(watch))
        seconds = float(argument(request, "wait", "60s").removesuffix("s"))
        reactor.callLater(seconds, self._expire_watch, watch)

    def _remove_watch(self, watch: tuple[str, int, Request]) -> None:
        if watch in self._watches:
            self._watches.remove(watch)

    def _expire_watch(self, watch: tuple[str, int, Request]) -> None:
        if watch in self._watches:
            self._watches.remove(watch)
            self._respond_to_read(watch[2], watch[0])

    def _notify_watches(self, key: str) -> None:
        notified = [watch for watch in self._watches if watch[0] == key]
        for watch in notified:
            self._watches.remove(watch)
            self._respond_to_read(watch[2], key)

    def _respond_to_read(self, request: Request, key: str) -> None:
        headers = {"x-consul-index": str(self._index)}
        if key not in self._data_by_key:
            answer(request, [], 404, headers)
            return
        value, modified = self._data_by_key[key]
        found = {"Key": key, "Value": value, "ModifyIndex": modified}
        answer(request, [found], 200, headers)

    def _after_delay(self, call: Any) -> None:
        reactor.callLater(self.faults["delay"], call)

    def _refuse_if_down(self, request: Request) -> bool:
        if not self.faults["down"]:
            return False
        self.calls["refused"] += 1
        request.transport.abortConnection()  # type: ignore[union-attr]
        return True


if __name__ == "__main__":
    serve(KeyValueStandIn().routes, __doc__)
