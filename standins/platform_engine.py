"""Stand-in for an engine or plain service of the platform, with fault injection."""

from __future__ import annotations

import json
import os
import sys
import time
from collections import Counter
from random import Random
from typing import Any, NamedTuple
from uuid import uuid4

from twisted.web.server import Request

from standins.web import Routes, answer, body_of, listen, parse, raw_body, reactor

REQUEST_ID_HEADER = "Pimentolink-Request-Id"
NOT_EXECUTED_HEADERS = {"Pimentolink-Not-Executed": "1"}
LATE_REJECTION = (
    b"HTTP/1.1 503 Service Unavailable\r\n"
    b"Pimentolink-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
)
# What a target in trouble begins to write, and what it then repeats without end. The
# first line of each beginning is followed by headers that name the request.
ENDLESS_WRITES = {
    "head": ("HTTP/1.1 200 OK\r\n", "X-More: and more\r\n"),
    "continue": ("", "HTTP/1.1 100 Continue\r\n\r\n"),
    "body": ("HTTP/1.1 200 OK\r\n{}\r\n", "x" * 64),
    "event": ("HTTP/1.1 200 OK\r\n{}\r\nid: 1\ndata: ", "x" * 64),
    "comments": ("HTTP/1.1 200 OK\r\n{}\r\n", ": ping\n\n"),
    "chunks": (
        "HTTP/1.1 200 OK\r\n{}Transfer-Encoding: chunked\r\n\r\n",
        "8\r\n: ping\n\n\r\n",
    ),
}
# Bytes of each write without end, and seconds between them.
ENDLESS_WRITE_SIZE = 65_536
ENDLESS_WRITE_INTERVAL = 0.001
# Seconds from the start of a fatal run until the process exits.
CRASH_DELAY = 0.03


class _Stream(NamedTuple):
    """
    A stream under way.

    :ivar transport: of the request, which no longer has it once it is finished.
    :ivar last_id: id of the event after which the stream begins.
    """

    request: Request
    transport: Any
    request_id: str
    last_id: int
    is_unframed: bool
    is_broken: bool
    is_truncated: bool


class PlatformEngineStandIn:
    """
    Prefills prompts, streams events, runs plain calls and accepts orders.

    Faults: ``reject`` rejects requests as not executed; ``break_after`` resets a stream
    after that many events; ``status`` is the status of responses to plain calls;
    ``wrong_id`` responds with another request's id; ``silent`` accepts requests and
    never responds; ``fatal`` ends the process when it starts to run a request with that
    body, before the response is complete; ``fatal_part`` does so for a request with
    that part in its prompt; ``endless`` names what of :data:`ENDLESS_WRITES` is written
    instead of a response. ``reject_share``, ``reset_share`` and
    ``break_share`` are the shares of requests that are rejected, of those whose
    connection is reset on arrival, and of streams that are reset after one event.
    ``truncate_share`` is the share of streams whose connection is closed within the
    second event; ``unframed_share`` that of responses with neither a length nor chunks.
    ``promise_share`` is the share of requests that run and get a status that promises
    that they have not; ``late_share`` that of requests on a connection used before
    whose response comes after a rejection without an id, left from an earlier one.
    """

    def __init__(self, options: Any) -> None:
        """Create an idle target in the configured role."""
        self.instance = options.instance
        self.started_ms = int(time.time() * 1000)
        self.phase = options.phase
        self.events_per_stream = options.pieces
        self.delay = options.gap
        self.sequence = 0
        self.handles: set[str] = set()
        self.runs: Counter[str] = Counter()
        self.reads: Counter[str] = Counter()
        self.tokens_by_block: dict[str, int] = {}
        self.disconnected: list[str] = []
        self.headers: dict[str, dict[str, str]] = {}
        self.faults: dict[str, Any] = {
            "reject": False,
            "break_after": 0,
            "status": 200,
            "wrong_id": False,
            "silent": False,
            "fatal": options.fatal,
            "fatal_part": options.fatal_part,
            "endless": "",
            "reject_share": 0.0,
            "reset_share": 0.0,
            "break_share": 0.0,
            "truncate_share": 0.0,
            "unframed_share": 0.0,
            "promise_share": 0.0,
            "late_share": 0.0,
        }
        self.random = Random(options.instance)
        self.routes = Routes()
        self.routes.add("PUT", "/faults", self.set_faults)
        self.routes.add("GET", "/runs", self.report_runs)
        self.routes.add("GET", "/report", self.report)
        self.routes.add("GET", "/kv-list", self.list_cached_blocks)
        self.routes.add("POST", "/order", self.order)
        self.routes.add("DELETE", "/kv-handle/", self.release_handle)
        self.routes.add("POST", "/", self.handle_request)
        self.routes.add("GET", "/", self.handle_request)

    def _log(self, event: str, name: str, **fields: Any) -> None:
        """Log an event to standard output, which is kept if this process crashes."""
        record = {"event": event, "name": name, "at": time.time(), **fields}
        # print() may write the newline separately; a kill in between would omit it.
        sys.stdout.write(json.dumps(record) + "\n")
        sys.stdout.flush()

    def set_faults(self, request: Request) -> None:
        """Enable or disable fault injection."""
        self.faults.update(body_of(request))
        answer(request, self.faults)

    def report_runs(self, request: Request) -> None:
        """Report the runs, their headers and the requests whose client disconnected."""
        reply = {
            "runs": self.runs,
            "reads": self.reads,
            "headers": self.headers,
            "left": self.disconnected,
        }
        answer(request, reply)

    def list_cached_blocks(self, request: Request) -> None:
        """List the prompt blocks in the KV cache."""
        entries = [
            ["", block, tokens, "m"] for block, tokens in self.tokens_by_block.items()
        ]
        answer(
            request, {"epoch": 1, "next": 1, "held": entries, "born": self.started_ms}
        )

    def report(self, request: Request) -> None:
        """Report the role and the sequence number of the last accepted order."""
        reply = {
            "phase": self.phase,
            "busy": False,
            "sequence": self.sequence,
            "born": self.started_ms,
        }
        answer(request, reply)

    def order(self, request: Request) -> None:
        """Change the role if the order expects the current sequence number."""
        body = body_of(request)
        if body.get("expected") != self.sequence:
            answer(request, {"error": "sequence"}, 409)
            return
        self.sequence += 1
        self.phase = body["phase"]
        self._log("order", body["holder"], fence=body["fencingToken"])
        answer(request, {}, 202)

    def release_handle(self, request: Request) -> None:
        """Release the KV cache of a prefilled prompt."""
        self.handles.discard(request.path.decode().rpartition("/")[2])
        answer(request, {})

    def handle_request(self, request: Request) -> None:
        """Run a request, or reject it."""
        request_id = request.getHeader(REQUEST_ID_HEADER) or ""
        self.headers[request_id] = {
            key.decode(): values[-1].decode()
            for key, values in request.requestHeaders.getAllRawHeaders()
        }
        request.notifyFinish().addErrback(
            lambda _: self.disconnected.append(request_id)
        )
        self._reject_late(request)
        expected = request.getHeader("Pimentolink-Expect-Instance")
        if expected not in (None, self.instance):
            self._misdirect(request, request_id)
        elif self.faults["silent"]:
            self._log("ignore", request_id)
        elif self.faults["endless"]:
            self._write_without_end(request, request_id)
        elif self._occurs("reset_share"):
            self._log("reset", request_id)
            request.transport.abortConnection()  # type: ignore[union-attr]
        elif self.faults["reject"] or self._occurs("reject_share"):
            self._log("reject", request_id)
            answer(
                request,
                {"error": "full"},
                503,
                {REQUEST_ID_HEADER: request_id, **NOT_EXECUTED_HEADERS},
            )
        elif request.getHeader("Pimentolink-Stage") == "prefill":
            self._prefill(request, request_id)
        elif self._occurs("promise_share"):
            self._break_promise(request, request_id)
        elif request.getHeader("Pimentolink-Prompt-Prefix"):
            self._decode(request, request_id)
        else:
            self._run_call(request, request_id)

    def _write_without_end(self, request: Request, request_id: str) -> None:
        """Write what is no response until the connection is closed."""
        transport: Any = request.transport
        begin, repeated = ENDLESS_WRITES[self.faults["endless"]]
        headers = f"{REQUEST_ID_HEADER}: {request_id}\r\n"
        headers += f"Pimentolink-Response-Signature: signed-{request_id}\r\n"
        transport.write(begin.format(headers).encode())
        data = repeated.encode() * (ENDLESS_WRITE_SIZE // len(repeated))

        def write() -> None:
            if not transport.connected:
                self._log("cut_off", request_id, after=time.time() - began_at)
                return
            transport.write(data)
            reactor.callLater(ENDLESS_WRITE_INTERVAL, write)

        began_at = time.time()
        write()

    def _occurs(self, fault: str) -> bool:
        """Draw whether a fault affects the next request."""
        return bool(self.faults[fault]) and self.random.random() < self.faults[fault]

    def _reject_late(self, request: Request) -> None:
        """Draw whether a late rejection precedes the response, and write it."""
        channel: Any = request.channel
        is_used = hasattr(channel, "was_used")
        channel.was_used = True
        if is_used and self._occurs("late_share"):
            channel.transport.write(LATE_REJECTION)

    def _break_promise(self, request: Request, request_id: str) -> None:
        """Run a request, and respond with a status that promises the contrary."""
        self._record_run(request, request_id, raw_body(request).decode())
        status = self.random.choice((408, 429, 503))
        headers = {REQUEST_ID_HEADER: request_id}
        reactor.callLater(
            self.delay, answer, request, {"error": "gave up"}, status, headers
        )

    def _misdirect(self, request: Request, request_id: str) -> None:
        """Reject a request for another instance or for the other role."""
        self._log("reject", request_id)
        answer(request, {}, 421, {"Pimentolink-Instance-Id": self.instance})

    def _prefill(self, request: Request, request_id: str) -> None:
        self.reads[request_id] += 1
        tokens_by_block = _prompt_blocks(request)
        self._log("read", request_id, parts=[*tokens_by_block])
        self.tokens_by_block |= tokens_by_block
        handle = uuid4().hex[:12]
        self.handles.add(handle)
        reply = {"kvHandle": handle, "tokens": 1, "version": 1}
        reactor.callLater(
            self.delay, answer, request, reply, 200, {REQUEST_ID_HEADER: request_id}
        )

    def _run_call(self, request: Request, request_id: str) -> None:
        body = raw_body(request).decode()
        self._sign(request, request_id)
        is_unframed = self._omits_framing(request)
        if self._record_run(request, request_id, body):
            if is_unframed:
                request.write(b'{"name":')
            return
        if self.faults["wrong_id"]:
            request.setHeader(REQUEST_ID_HEADER, uuid4().hex)
        reply = {"name": request_id, "body": body, "path": request.uri.decode()}
        status = self.faults["status"]
        transport: Any = request.transport

        def reply_to_call() -> None:
            answer(request, reply, status)
            if is_unframed:
                transport.loseConnection()

        reactor.callLater(self.delay, reply_to_call)

    def _decode(self, request: Request, request_id: str) -> None:
        source = request.getHeader("Pimentolink-Kv-Source")
        if source is None and self.phase != "decode":
            self._misdirect(request, request_id)
            return
        is_crashing = self._record_run(request, request_id, raw_body(request).decode())
        self._sign(request, request_id)
        request.setHeader("Content-Type", "text/event-stream")
        is_unframed = self._omits_framing(request)
        last_id = int(request.getHeader("Last-Event-Id") or 0)
        if is_crashing:
            request.write(f"id: {last_id + 1}\ndata: {{}}\n\nid:".encode())
            return
        stream = _Stream(
            request,
            request.transport,
            request_id,
            last_id,
            is_unframed,
            is_broken=self._occurs("break_share"),
            is_truncated=self._occurs("truncate_share"),
        )
        self._write_event(stream, last_id + 1)

    def _omits_framing(self, request: Request) -> bool:
        """Draw whether the response has neither a length nor chunks, and see to it."""
        is_unframed = self._occurs("unframed_share")
        if is_unframed:
            # twisted.web sends no chunks to clients of this version.
            request.clientproto = b"HTTP/1.0"
        return is_unframed

    def _sign(self, request: Request, request_id: str) -> None:
        request.setHeader(REQUEST_ID_HEADER, request_id)
        request.setHeader("Pimentolink-Response-Signature", f"signed-{request_id}")

    def _record_run(self, request: Request, request_id: str, body: str) -> bool:
        """Record the start of a run; return whether it will end this process."""
        self.runs[request_id] += 1
        parts = _prompt_blocks(request)
        self._log("run", request_id, parts=[*parts])
        has_fatal_body = body != "" and body == self.faults["fatal"]
        if not has_fatal_body and self.faults["fatal_part"] not in parts:
            return False
        self._log("crash", request_id)
        reactor.callLater(CRASH_DELAY, os._exit, 1)
        return True

    def _write_event(self, stream: _Stream, event_id: int) -> None:
        request = stream.request
        if request._disconnected:
            return
        sent = event_id - stream.last_id - 1
        break_after = 1 if stream.is_broken else self.faults["break_after"]
        if break_after and sent >= break_after:
            self.faults["break_after"] = 0
            request.write(f"id: {event_id}\nda".encode())
            reactor.callLater(0.05, stream.transport.abortConnection)
            return
        if stream.is_truncated and sent:
            request.write(f"id: {event_id}\nda".encode())
            stream.transport.loseConnection()
            return
        if event_id > self.events_per_stream:
            request.finish()
            if stream.is_unframed:
                stream.transport.loseConnection()
            return
        data = json.dumps({"request": stream.request_id, "piece": event_id})
        request.write(f"id: {event_id}\ndata: {data}\n\n".encode())
        reactor.callLater(self.delay, self._write_event, stream, event_id + 1)


def _prompt_blocks(request: Request) -> dict[str, int]:
    """Parse the tokens of each part of a prompt, by its id."""
    header = request.getHeader("Pimentolink-Prompt-Prefix")
    entries = [entry.partition(":") for entry in header.split(",")] if header else []
    return {block_id: int(tokens or 0) for block_id, _, tokens in entries}


if __name__ == "__main__":
    settings = parse(
        __doc__,
        instance="i-1",
        phase="decode",
        pieces=4,
        gap=0.01,
        fatal="",
        fatal_part="",
    )
    listen(PlatformEngineStandIn(settings).routes, settings.listen)
