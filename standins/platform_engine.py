"""Stand-in for an engine or plain service of the users' platform, with faults."""

from __future__ import annotations

import json
import os
import sys
import time
from collections import Counter
from typing import Any
from uuid import uuid4

from twisted.web.server import Request

from standins.web import Routes, answer, body_of, content_of, listen, parse, reactor

ID = "Pimentolink-Request-Id"
NOT_RUN = {"Pimentolink-Not-Executed": "1"}
# Seconds from the begin of a fatal run until the process ends.
CRASH_AFTER = 0.03


class PlatformEngineStandIn:
    """
    Reads prompts, writes streams of events, answers calls, takes orders.

    Faults: ``reject`` says that requests did not run; ``break_after`` resets a stream
    after so many events; ``status`` answers calls with it; ``wrong_id`` answers under
    another request's id; ``silent`` takes requests and never answers; ``fatal`` ends
    the process as it begins to run a request with that body, before its answer ends.
    """

    def __init__(self, options: Any) -> None:
        """Start in the role given."""
        self.instance = options.instance
        self.born = int(time.time() * 1000)
        self.phase = options.phase
        self.pieces = options.pieces
        self.gap = options.gap
        self.sequence = 0
        self.handles: set[str] = set()
        self.runs: Counter[str] = Counter()
        self.reads: Counter[str] = Counter()
        self.parts: dict[str, int] = {}
        self.left: list[str] = []
        self.headers: dict[str, dict[str, str]] = {}
        self.faults: dict[str, Any] = {
            "reject": False,
            "break_after": 0,
            "status": 200,
            "wrong_id": False,
            "silent": False,
            "fatal": options.fatal,
        }
        self.routes = Routes()
        self.routes.add("PUT", "/faults", self.set_faults)
        self.routes.add("GET", "/runs", self.tell_runs)
        self.routes.add("GET", "/report", self.report)
        self.routes.add("GET", "/kv-list", self.list_parts)
        self.routes.add("POST", "/order", self.order)
        self.routes.add("DELETE", "/kv-handle/", self.drop)
        self.routes.add("POST", "/", self.take)
        self.routes.add("GET", "/", self.take)

    def _log(self, event: str, name: str, **fields: Any) -> None:
        """Write what happened to standard output, which outlives this process."""
        told = {"event": event, "name": name, "at": time.time(), **fields}
        # print() may write the newline separately; a kill in between omits it.
        sys.stdout.write(json.dumps(told) + "\n")
        sys.stdout.flush()

    def set_faults(self, request: Request) -> None:
        """Switch faults on or off."""
        self.faults.update(body_of(request))
        answer(request, self.faults)

    def tell_runs(self, request: Request) -> None:
        """Tell what ran here, with which headers, and whose asker left early."""
        told = {
            "runs": self.runs,
            "reads": self.reads,
            "headers": self.headers,
            "left": self.left,
        }
        answer(request, told)

    def list_parts(self, request: Request) -> None:
        """Tell what memory holds."""
        held = [["", name, tokens, "m"] for name, tokens in self.parts.items()]
        answer(request, {"epoch": 1, "next": 1, "held": held, "born": self.born})

    def report(self, request: Request) -> None:
        """Tell the role and the orders accepted."""
        told = {
            "phase": self.phase,
            "busy": False,
            "sequence": self.sequence,
            "born": self.born,
        }
        answer(request, told)

    def order(self, request: Request) -> None:
        """Change the role, if the order expects what is."""
        body = body_of(request)
        if body.get("expected") != self.sequence:
            answer(request, {"error": "sequence"}, 409)
            return
        self.sequence += 1
        self.phase = body["phase"]
        self._log("order", body["holder"], fence=body["fencingToken"])
        answer(request, {}, 202)

    def drop(self, request: Request) -> None:
        """Free a prompt that was read."""
        self.handles.discard(request.path.decode().rpartition("/")[2])
        answer(request, {})

    def take(self, request: Request) -> None:
        """Take a request, or refuse it."""
        name = request.getHeader(ID) or ""
        self.headers[name] = {
            key.decode(): values[-1].decode()
            for key, values in request.requestHeaders.getAllRawHeaders()
        }
        request.notifyFinish().addErrback(lambda _: self.left.append(name))
        expected = request.getHeader("Pimentolink-Expect-Instance")
        if expected not in (None, self.instance):
            answer(request, {}, 421, {"Pimentolink-Instance-Id": self.instance})
        elif self.faults["silent"]:
            return
        elif self.faults["reject"]:
            answer(request, {"error": "full"}, 503, {ID: name, **NOT_RUN})
        elif request.getHeader("Pimentolink-Stage") == "prefill":
            self._read(request, name)
        elif request.getHeader("Pimentolink-Prompt-Prefix"):
            self._write(request, name)
        else:
            self._call(request, name)

    def _read(self, request: Request, name: str) -> None:
        self.reads[name] += 1
        self._log("read", name)
        parts = request.getHeader("Pimentolink-Prompt-Prefix") or ""
        for part in parts.split(","):
            part_id, _, tokens = part.partition(":")
            self.parts[part_id] = int(tokens or 0)
        handle = uuid4().hex[:12]
        self.handles.add(handle)
        told = {"kvHandle": handle, "tokens": 1, "version": 1}
        reactor.callLater(self.gap, answer, request, told, 200, {ID: name})

    def _call(self, request: Request, name: str) -> None:
        body = content_of(request).decode()
        if self._is_crashing(name, body):
            return
        shown = uuid4().hex if self.faults["wrong_id"] else name
        headers = {ID: shown, "Pimentolink-Response-Signature": f"signed-{name}"}
        told = {"name": name, "body": body, "path": request.uri.decode()}
        status = self.faults["status"]
        reactor.callLater(self.gap, answer, request, told, status, headers)

    def _write(self, request: Request, name: str) -> None:
        source = request.getHeader("Pimentolink-Kv-Source")
        if source is None and self.phase != "decode":
            answer(request, {}, 421, {"Pimentolink-Instance-Id": self.instance})
            return
        is_crashing = self._is_crashing(name, content_of(request).decode())
        request.setHeader(ID, name)
        request.setHeader("Pimentolink-Response-Signature", f"signed-{name}")
        request.setHeader("Content-Type", "text/event-stream")
        last = int(request.getHeader("Last-Event-Id") or 0)
        if is_crashing:
            request.write(f"id: {last + 1}\ndata: {{}}\n\n".encode())
            return
        self._piece(request, name, last + 1, last)

    def _is_crashing(self, name: str, body: str) -> bool:
        """Begin to run a request; tell whether this process ends by it."""
        self.runs[name] += 1
        self._log("run", name)
        if not body or body != self.faults["fatal"]:
            return False
        self._log("crash", name)
        reactor.callLater(CRASH_AFTER, os._exit, 1)
        return True

    def _piece(self, request: Request, name: str, number: int, last: int) -> None:
        if request._disconnected:
            return
        break_after = self.faults["break_after"]
        if break_after and number - last > break_after:
            self.faults["break_after"] = 0
            request.write(f"id: {number}\nda".encode())
            reactor.callLater(0.05, request.transport.abortConnection)  # type: ignore[union-attr]
            return
        if number > self.pieces:
            request.finish()
            return
        data = json.dumps({"request": name, "piece": number})
        request.write(f"id: {number}\ndata: {data}\n\n".encode())
        reactor.callLater(self.gap, self._piece, request, name, number + 1, last)


if __name__ == "__main__":
    settings = parse(
        __doc__, instance="i-1", phase="decode", pieces=4, gap=0.01, fatal=""
    )
    listen(PlatformEngineStandIn(settings).routes, settings.listen)
