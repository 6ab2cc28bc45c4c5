"""Stand-in for a model engine: continuous batching, prefix cache, orders, faults."""

from __future__ import annotations

import hashlib
import json
from collections import OrderedDict, deque
from typing import Any

from twisted.web.server import Request

from standins.web import Routes, answer, argument, body_of, listen, parse, reactor

CHARACTERS_PER_TOKEN = 4
BLOCK_CHARACTERS = 256
CHUNK_BY_ROLE = {"mixed": 512, "prefill": 4096, "decode": 64}
EVENTS_KEPT = 1000


def token_at(prompt: str, index: int) -> str:
    """Compute a token of the answer to a prompt; the same on every engine."""
    digest = hashlib.blake2s(f"{prompt}/{index}".encode(), digest_size=3)
    return digest.hexdigest() + " "


def whole_answer(prompt: str, count: int) -> str:
    """Compute the whole answer to a prompt."""
    return "".join(token_at(prompt, index) for index in range(count))


def prompt_of(body: dict[str, Any]) -> str:
    """Find the prompt in either kind of body."""
    if "messages" in body:
        return "\n".join(message["content"] for message in body["messages"])
    return str(body["prompt"])


class Sequence:
    """One request in the engine."""

    def __init__(self, request: Request, body: dict[str, Any], order: int) -> None:
        """Read a request's body."""
        self.request = request
        self.prompt = prompt_of(body)
        self.is_chat = "messages" in body
        self.wanted = int(body.get("max_tokens") or 16)
        self.priority = int(body.get("priority", 5))
        self.order = order
        self.emitted = len(body.get("resume_tokens", []))
        self.length = 1 + len(self.prompt) // CHARACTERS_PER_TOKEN + self.emitted
        self.prefill_left = self.length
        self.name = request.getHeader("x-request-id") or ""
        self.is_paused = False

    def blocks(self) -> list[str]:
        """Name each whole block of the prompt by all that comes before it."""
        ends = range(BLOCK_CHARACTERS, len(self.prompt) + 1, BLOCK_CHARACTERS)
        return [
            hashlib.blake2s(self.prompt[:end].encode(), digest_size=8).hexdigest()
            for end in ends
        ]

    def pauseProducing(self) -> None:  # noqa: N802
        """Stop decoding: the reader is slow."""
        self.is_paused = True

    def resumeProducing(self) -> None:  # noqa: N802
        """Decode again."""
        self.is_paused = False

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing: the lost connection is told separately."""


class Cache:
    """Blocks of prompts in bounded memory, least recently used out first."""

    def __init__(self, max_blocks: int) -> None:
        """Start empty."""
        self._most = max_blocks
        self._blocks: OrderedDict[str, None] = OrderedDict()
        self._number = 0
        self.events: deque[dict[str, Any]] = deque(maxlen=EVENTS_KEPT)

    def cached(self, blocks: list[str]) -> int:
        """Count the leading blocks that are held."""
        count = 0
        for block in blocks:
            if block not in self._blocks:
                break
            self._blocks.move_to_end(block)
            count += 1
        return count

    def store(self, blocks: list[str]) -> None:
        """Hold blocks; others may have to go."""
        for block in blocks:
            if block not in self._blocks:
                self._tell("stored", block)
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._most:
            self._tell("removed", self._blocks.popitem(last=False)[0])

    def clear(self) -> None:
        """Lose everything."""
        self._blocks.clear()
        self._tell("cleared", "")

    def _tell(self, kind: str, block: str) -> None:
        self._number += 1
        event = {"number": self._number, "kind": kind, "block": block}
        self.events.append({**event, "at": reactor.seconds()})


class EngineStandIn:
    """The engine's scheduler and its interface."""

    def __init__(self, options: Any) -> None:
        """Start idle in the role given."""
        self.options = options
        self.role = options.role
        self.models: dict[str, str] = json.loads(options.models)
        self.adapters: list[str] = []
        self.fencing_number = 0
        self.orders_done: list[dict[str, Any]] = []
        self.ordering: dict[str, Any] | None = None
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
        self._count = 0
        self._is_stepping = False
        self._reported: deque[tuple[float, dict[str, Any]]] = deque(maxlen=100)
        self.routes = Routes()
        self._add_routes()
        self._report()

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
        """Switch faults on or off."""
        self.faults.update(body_of(request))
        answer(request, self.faults)

    def set_duration(self, request: Request) -> None:
        """Change how long an order takes."""
        self.options.order_seconds = float(body_of(request))
        answer(request, {})

    def complete(self, request: Request) -> None:
        """Queue a completion."""
        if self.ordering is not None:
            answer(request, {"error": "out of service for an order"}, 503)
            return
        try:
            sequence = Sequence(request, body_of(request), self._count)
        except (ValueError, KeyError, TypeError) as error:
            answer(request, {"error": str(error)}, 400)
            return
        self._count += 1
        cached = self.cache.cached(sequence.blocks())
        spared = cached * BLOCK_CHARACTERS // CHARACTERS_PER_TOKEN
        sequence.prefill_left = max(1, sequence.length - spared)
        self.waiting.append(sequence)
        request.setHeader("content-type", "text/event-stream")
        request.notifyFinish().addErrback(lambda _: self._drop(sequence))
        request.registerProducer(sequence, True)
        self._wake()

    def _drop(self, sequence: Sequence) -> None:
        for queue in (self.waiting, self.running):
            if sequence in queue:
                queue.remove(sequence)

    def _wake(self) -> None:
        if not self._is_stepping:
            self._is_stepping = True
            reactor.callLater(0, self._step)

    def _step(self) -> None:
        self._admit()
        if not self.running:
            self._is_stepping = False
            return
        budget = CHUNK_BY_ROLE[self.role]
        prefilled = 0
        decoding = []
        for sequence in sorted(self.running, key=lambda s: (s.priority, s.order)):
            if sequence.prefill_left > 0:
                chunk = min(sequence.prefill_left, budget - prefilled)
                sequence.prefill_left -= chunk
                prefilled += chunk
                if sequence.prefill_left == 0:
                    self.cache.store(sequence.blocks())
                    decoding.append(sequence)
            elif not sequence.is_paused:
                decoding.append(sequence)
        seconds = self.options.step_base
        seconds += self.options.step_each * len(decoding)
        seconds += prefilled / self.options.prefill_rate
        reactor.callLater(seconds, self._emit, decoding)

    def _admit(self) -> None:
        self.waiting.sort(key=lambda sequence: (sequence.priority, sequence.order))
        while self.waiting and len(self.running) < self.options.batch:
            self.running.append(self.waiting.pop(0))

    def _emit(self, decoding: list[Sequence]) -> None:
        for sequence in decoding:
            if sequence in self.running:
                self._emit_one(sequence)
        self._step()

    def _emit_one(self, sequence: Sequence) -> None:
        self.emitted += 1
        limit = self.faults["crash_after_tokens"]
        if limit and self.emitted >= limit:
            self._crash()
        is_crossed = self.faults["cross_answers"]
        prompt = "another" if is_crossed else sequence.prompt
        token = token_at(prompt, sequence.emitted)
        sequence.emitted += 1
        is_last = sequence.emitted >= sequence.wanted
        choice: dict[str, Any] = {"index": 0}
        choice["finish_reason"] = "length" if is_last else None
        if sequence.is_chat:
            choice["delta"] = {"content": token}
        else:
            choice["text"] = token
        name = "another" if is_crossed else sequence.name
        event = {"request_id": name, "choices": [choice]}
        data = b"data: " + json.dumps(event).encode() + b"\n\n"
        if is_last:
            data += b"data: [DONE]\n\n"
        sequence.request.write(data)
        if is_last:
            self._drop(sequence)
            sequence.request.unregisterProducer()
            sequence.request.finish()

    def _crash(self) -> None:
        import os

        os._exit(70)

    def _report(self) -> None:
        now = reactor.seconds()
        figures = {
            "running": len(self.running),
            "waiting": len(self.waiting),
            "prefill_tokens": sum(
                sequence.prefill_left for sequence in self.waiting + self.running
            ),
        }
        self._reported.append((now, figures))
        reactor.callLater(0.1, self._report)

    def load(self, request: Request) -> None:
        """Report the load as it was a while ago."""
        horizon = reactor.seconds() - self.options.load_lag
        late = [figures for at, figures in self._reported if at <= horizon]
        answer(request, late[-1] if late else {"running": 0, "waiting": 0})

    def state(self, request: Request) -> None:
        """Tell what the engine holds."""
        answer(
            request,
            {
                "role": self.role,
                "models": self.models,
                "adapters": self.adapters,
                "fencing_number": self.fencing_number,
                "ordering": self.ordering,
                "orders_done": self.orders_done,
                "overlaps": self.overlaps,
                "cut_off": self.cut_off,
                "started": self._count,
            },
        )

    def take_order(self, request: Request) -> None:
        """Begin an order: out of service until it is done."""
        order = body_of(request)
        number = int(order["fencing_number"])
        if self.options.checks_fencing and number < self.fencing_number:
            answer(request, {"error": "old fencing number"}, 409)
            return
        if self.ordering is not None:
            self.overlaps += 1
            if self.options.checks_fencing:
                answer(request, {"error": "busy"}, 423)
                return
        self.fencing_number = number
        self.ordering = order
        self._cut_off_all()
        request.notifyFinish().addErrback(lambda _: None)
        seconds = float(self.options.order_seconds)
        if self.faults["crash_in_order"]:
            reactor.callLater(seconds / 2, self._crash)
        reactor.callLater(seconds, self._finish_order, request, order)

    def _cut_off_all(self) -> None:
        """End every answer under way: an order takes the engine out of service."""
        for sequence in self.running + self.waiting:
            self.cut_off += 1
            self._drop(sequence)
            sequence.request.transport.abortConnection()  # type: ignore[union-attr]

    def _finish_order(self, request: Request, order: dict[str, Any]) -> None:
        if order["role"] != self.role:
            self.cache.clear()
        self.role = order["role"]
        self.models = order["models"]
        self.adapters = order["adapters"]
        self.orders_done.append(order)
        self.ordering = None
        answer(request, {"fencing_number": order["fencing_number"]})

    def cache_events(self, request: Request) -> None:
        """List cache events after a number, late and with gaps."""
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
        """Give the blocks of a prompt that are held."""
        sequence = Sequence(request, body_of(request), 0)
        blocks = sequence.blocks()
        answer(request, {"blocks": blocks[: self.cache.cached(blocks)]})

    def import_cache(self, request: Request) -> None:
        """Hold blocks from another engine, once they have been moved."""
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
