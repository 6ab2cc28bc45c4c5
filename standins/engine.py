"""
Stand-in for a model engine.

Simulates continuous batching, a prefix cache, orders that change the configuration of
the engine, and injected faults.
"""

from __future__ import annotations

import hashlib
import json
from collections import OrderedDict, deque
from typing import Any

from twisted.web.server import Request

from standins.web import Routes, answer, argument, body_of, listen, parse, reactor

CHARACTERS_PER_TOKEN = 4
BLOCK_CHARACTERS = 256
# Prompt tokens that one step of the scheduler may prefill.
PREFILL_BUDGET_BY_ROLE = {"mixed": 512, "prefill": 4096, "decode": 64}
MAX_CACHE_EVENTS = 1000


def token_at(prompt: str, index: int) -> str:
    """Compute one token of a completion; it is the same on every engine."""
    digest = hashlib.blake2s(f"{prompt}/{index}".encode(), digest_size=3)
    return digest.hexdigest() + " "


def whole_answer(prompt: str, count: int) -> str:
    """Compute the complete text of a completion."""
    return "".join(token_at(prompt, index) for index in range(count))


def prompt_of(body: dict[str, Any]) -> str:
    """Extract the prompt from the body of a completion or chat request."""
    if "messages" in body:
        return "\n".join(message["content"] for message in body["messages"])
    return str(body["prompt"])


class Sequence:
    """A request that is queued or running in the engine."""

    def __init__(
        self, request: Request, body: dict[str, Any], arrival_number: int
    ) -> None:
        """
        Parse the body of a request.

        :param arrival_number: order of arrival, which breaks ties of priority.
        """
        self.request = request
        self.prompt = prompt_of(body)
        self.is_chat = "messages" in body
        self.token_limit = int(body.get("max_tokens") or 16)
        self.priority = int(body.get("priority", 5))
        self.arrival_number = arrival_number
        self.emitted = len(body.get("resume_tokens", []))
        self.length = 1 + len(self.prompt) // CHARACTERS_PER_TOKEN + self.emitted
        self.prefill_left = self.length
        self.request_id = request.getHeader("x-request-id") or ""
        self.is_paused = False

    def block_hashes(self) -> list[str]:
        """Hash the prompt up to the end of each complete block."""
        ends = range(BLOCK_CHARACTERS, len(self.prompt) + 1, BLOCK_CHARACTERS)
        return [
            hashlib.blake2s(self.prompt[:end].encode(), digest_size=8).hexdigest()
            for end in ends
        ]

    def pauseProducing(self) -> None:  # noqa: N802
        """Pause decoding while the client reads too slowly."""
        self.is_paused = True

    def resumeProducing(self) -> None:  # noqa: N802
        """Resume decoding."""
        self.is_paused = False

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing: a lost connection is reported by ``notifyFinish``."""


class Cache:
    """Prefix cache of a bounded number of blocks with LRU eviction."""

    def __init__(self, max_blocks: int) -> None:
        """Create an empty cache."""
        self._max_blocks = max_blocks
        self._blocks: OrderedDict[str, None] = OrderedDict()
        self._last_event_number = 0
        self.events: deque[dict[str, Any]] = deque(maxlen=MAX_CACHE_EVENTS)

    def count_cached(self, blocks: list[str]) -> int:
        """Count the leading blocks that are in the cache."""
        count = 0
        for block in blocks:
            if block not in self._blocks:
                break
            self._blocks.move_to_end(block)
            count += 1
        return count

    def store(self, blocks: list[str]) -> None:
        """Add blocks and evict the least recently used ones beyond the limit."""
        for block in blocks:
            if block not in self._blocks:
                self._record_event("stored", block)
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._max_blocks:
            self._record_event("removed", self._blocks.popitem(last=False)[0])

    def clear(self) -> None:
        """Remove all blocks."""
        self._blocks.clear()
        self._record_event("cleared", "")

    def _record_event(self, kind: str, block: str) -> None:
        self._last_event_number += 1
        event = {"number": self._last_event_number, "kind": kind, "block": block}
        self.events.append({**event, "at": reactor.seconds()})


class EngineStandIn:
    """The scheduler and the HTTP interface of the engine."""

    def __init__(self, options: Any) -> None:
        """Create an idle engine in the configured role."""
        self.options = options
        self.role = options.role
        self.models: dict[str, str] = json.loads(options.models)
        self.adapters: list[str] = []
        self.fencing_number = 0
        self.orders_done: list[dict[str, Any]] = []
        self.current_order: dict[str, Any] | None = None
        self.faults: dict[str, Any] = {
            "crash_after_tokens": 0,
            "crash_in_order": False,
            "cross_answers": False,
        }
        self.waiting: list[Sequence] = []
        self.running: list[Sequence] = []
        self.cache = Cache(options.cache_blocks)
        self.emitted = 0
        self.overlaps = 0
        self.cut_off = 0
        self._request_count = 0
        self._is_stepping = False
        self._load_reports: deque[tuple[float, dict[str, Any]]] = deque(maxlen=100)
        self.routes = Routes()
        self._add_routes()
        self._record_load()

    def _add_routes(self) -> None:
        add = self.routes.add
        add("POST", "/v1/completions", self.complete)
        add("POST", "/v1/chat/completions", self.complete)
        add("GET", "/health", lambda request: answer(request, {}))
        add("GET", "/load", self.load)
        add("GET", "/state", self.state)
        add("POST", "/orders", self.take_order)
        add("GET", "/cache/events", self.cache_events)
        add("POST", "/cache/export", self.export_cache)
        add("POST", "/cache/import", self.import_cache)
        add("PUT", "/faults", self.set_faults)
        add("PUT", "/duration", self.set_duration)

    def set_faults(self, request: Request) -> None:
        """Enable or disable fault injection."""
        self.faults.update(body_of(request))
        answer(request, self.faults)

    def set_duration(self, request: Request) -> None:
        """Set how long an order takes, in seconds."""
        self.options.order_seconds = float(body_of(request))
        answer(request, {})

    def complete(self, request: Request) -> None:
        """Queue a completion request."""
        if self.current_order is not None:
            answer(request, {"error": "out of service for an order"}, 503)
            return
        try:
            sequence = Sequence(request, body_of(request), self._request_count)
        except (ValueError, KeyError, TypeError) as error:
            answer(request, {"error": str(error)}, 400)
            return
        self._request_count += 1
        cached_blocks = self.cache.count_cached(sequence.block_hashes())
        cached_tokens = cached_blocks * BLOCK_CHARACTERS // CHARACTERS_PER_TOKEN
        sequence.prefill_left = max(1, sequence.length - cached_tokens)
        self.waiting.append(sequence)
        request.setHeader("content-type", "text/event-stream")
        request.notifyFinish().addErrback(lambda _: self._remove(sequence))
        request.registerProducer(sequence, True)
        self._start_stepping()

    def _remove(self, sequence: Sequence) -> None:
        for queue in (self.waiting, self.running):
            if sequence in queue:
                queue.remove(sequence)

    def _start_stepping(self) -> None:
        if not self._is_stepping:
            self._is_stepping = True
            reactor.callLater(0, self._run_step)

    def _run_step(self) -> None:
        self._admit()
        if not self.running:
            self._is_stepping = False
            return
        budget = PREFILL_BUDGET_BY_ROLE[self.role]
        prefilled_tokens = 0
        decoding_sequences = []
        for sequence in sorted(
            self.running, key=lambda s: (s.priority, s.arrival_number)
        ):
            if sequence.prefill_left > 0:
                chunk = min(sequence.prefill_left, budget - prefilled_tokens)
                sequence.prefill_left -= chunk
                prefilled_tokens += chunk
                if sequence.prefill_left == 0:
                    self.cache.store(sequence.block_hashes())
                    decoding_sequences.append(sequence)
            elif not sequence.is_paused:
                decoding_sequences.append(sequence)
        seconds = self.options.step_base
        seconds += self.options.step_each * len(decoding_sequences)
        seconds += prefilled_tokens / self.options.prefill_rate
        reactor.callLater(seconds, self._finish_step, decoding_sequences)

    def _admit(self) -> None:
        self.waiting.sort(
            key=lambda sequence: (sequence.priority, sequence.arrival_number)
        )
        while self.waiting and len(self.running) < self.options.batch:
            self.running.append(self.waiting.pop(0))

    def _finish_step(self, decoding_sequences: list[Sequence]) -> None:
        for sequence in decoding_sequences:
            if sequence in self.running:
                self._emit_token(sequence)
        self._run_step()

    def _emit_token(self, sequence: Sequence) -> None:
        self.emitted += 1
        limit = self.faults["crash_after_tokens"]
        if limit and self.emitted >= limit:
            self._crash()
        is_crossed = self.faults["cross_answers"]
        prompt = "another" if is_crossed else sequence.prompt
        token = token_at(prompt, sequence.emitted)
        sequence.emitted += 1
        is_last = sequence.emitted >= sequence.token_limit
        choice: dict[str, Any] = {"index": 0}
        choice["finish_reason"] = "length" if is_last else None
        if sequence.is_chat:
            choice["delta"] = {"content": token}
        else:
            choice["text"] = token
        request_id = "another" if is_crossed else sequence.request_id
        event = {"request_id": request_id, "choices": [choice]}
        data = b"data: " + json.dumps(event).encode() + b"\n\n"
        if is_last:
            data += b"data: [DONE]\n\n"
        sequence.request.write(data)
        if is_last:
            self._remove(sequence)
            sequence.request.unregisterProducer()
            sequence.request.finish()

    def _crash(self) -> None:
        import os

        os._exit(70)

    def _record_load(self) -> None:
        now = reactor.seconds()
        report = {
            "running": len(self.running),
            "waiting": len(self.waiting),
            "prefill_tokens": sum(
                sequence.prefill_left for sequence in self.waiting + self.running
            ),
        }
        self._load_reports.append((now, report))
        reactor.callLater(0.1, self._record_load)

    def load(self, request: Request) -> None:
        """Report the load as it was ``load_lag`` seconds ago."""
        horizon = reactor.seconds() - self.options.load_lag
        visible_reports = [report for at, report in self._load_reports if at <= horizon]
        answer(
            request,
            visible_reports[-1] if visible_reports else {"running": 0, "waiting": 0},
        )

    def state(self, request: Request) -> None:
        """Report the configuration of the engine and its counters."""
        answer(
            request,
            {
                "role": self.role,
                "models": self.models,
                "adapters": self.adapters,
                "fencing_number": self.fencing_number,
                "ordering": self.current_order,
                "orders_done": self.orders_done,
                "overlaps": self.overlaps,
                "cut_off": self.cut_off,
                "started": self._request_count,
            },
        )

    def take_order(self, request: Request) -> None:
        """Start to carry out an order; the engine serves nothing until it is done."""
        order = body_of(request)
        number = int(order["fencing_number"])
        if self.options.checks_fencing and number < self.fencing_number:
            answer(request, {"error": "old fencing number"}, 409)
            return
        if self.current_order is not None:
            self.overlaps += 1
            if self.options.checks_fencing:
                answer(request, {"error": "busy"}, 423)
                return
        self.fencing_number = number
        self.current_order = order
        self._abort_all()
        request.notifyFinish().addErrback(lambda _: None)
        seconds = float(self.options.order_seconds)
        if self.faults["crash_in_order"]:
            reactor.callLater(seconds / 2, self._crash)
        reactor.callLater(seconds, self._finish_order, request, order)

    def _abort_all(self) -> None:
        """Abort all requests, since an order takes the engine out of service."""
        for sequence in self.running + self.waiting:
            self.cut_off += 1
            self._remove(sequence)
            sequence.request.transport.abortConnection()  # type: ignore[union-attr]

    def _finish_order(self, request: Request, order: dict[str, Any]) -> None:
        if order["role"] != self.role:
            self.cache.clear()
        self.role = order["role"]
        self.models = order["models"]
        self.adapters = order["adapters"]
        self.orders_done.append(order)
        self.current_order = None
        answer(request, {"fencing_number": order["fencing_number"]})

    def cache_events(self, request: Request) -> None:
        """List the cache events after a number, with a delay and with some missing."""
        after = int(argument(request, "after", "0"))
        horizon = reactor.seconds() - self.options.load_lag
        events = [
            event
            for event in self.cache.events
            if event["number"] > after
            and event["at"] <= horizon
            and event["number"] % self.options.event_gap != 0
        ]
        answer(request, events)

    def export_cache(self, request: Request) -> None:
        """Return the leading blocks of a prompt that are in the cache."""
        sequence = Sequence(request, body_of(request), 0)
        blocks = sequence.block_hashes()
        answer(request, {"blocks": blocks[: self.cache.count_cached(blocks)]})

    def import_cache(self, request: Request) -> None:
        """Store blocks of another engine and respond after the transfer time."""
        blocks = body_of(request)["blocks"]
        tokens = len(blocks) * BLOCK_CHARACTERS // CHARACTERS_PER_TOKEN
        self.cache.store(blocks)
        seconds = tokens / self.options.transfer_rate
        reactor.callLater(seconds, answer, request, {"tokens": tokens})


if __name__ == "__main__":
    options = parse(
        __doc__,
        role="mixed",
        models="{}",
        batch=32,
        prefill_rate=20_000.0,
        step_base=0.008,
        step_each=0.00015,
        cache_blocks=4_000,
        load_lag=1.0,
        event_gap=7,
        order_seconds=3.0,
        transfer_rate=100_000.0,
        checks_fencing=False,
    )
    listen(EngineStandIn(options).routes, options.listen)
