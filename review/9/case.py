"""One lost engine has sound requests refused for minutes beside a fatal part."""

from __future__ import annotations

import asyncio
import json
import random
import sys
import time
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "rig2"))

from rig import BOUNDS, Caller, Engine, Exchange, Rig, main, route  # noqa: E402

CONTACT = BOUNDS["contactMs"] / 1000
# Parts of prompts: one that all have, the one after it, and the fatal one.
FIRST, FORMER, NEW, FATAL = "5c1e07a2:350", "91bd3f06:300", "e4402b7d:300", "dead:500"
# Seconds for which a crashed engine is away.
AWAY = 2.0
# Sound requests a second, and seconds between two with the fatal part.
SOUND_RATE = 1.0
FATAL_INTERVAL = 2.0
# Seconds until a consumer asks again that did not get its stream.
ASK_AGAIN = 0.3
PIECES = 15
TIME_BUDGET_MS = 6000
LENGTH_BEFORE = 24.0
LENGTH_AFTER = 45.0


class WritingEngine(Engine):
    """An engine that can crash, and is back with its id and a new start time."""

    crashes: list[float]

    async def crash(self) -> None:
        """Close the port and all connections, and come back."""
        if not self.is_up:
            return
        self.is_up = False
        self.crashes.append(self.rig.record.now())
        self.rig.record.note(f"{self.name} crashes")
        self.close()
        await asyncio.sleep(AWAY)
        self.born, self.sequence = int(time.time() * 1000), 0
        await self.start_at(self.address)
        self.is_up = True
        self.rig.record.add(f"{self.name} is back")

    is_up = True


class Prompts:
    """Consumers, and the engines that they reach."""

    def __init__(self, rig: Rig) -> None:
        """Start without requests."""
        self.rig = rig
        self.crashes: list[float] = []
        self.first_attempts: list[tuple[float, str, int]] = []
        self.fatal_ids: set[str] = set()
        # Whether the engine that writes for the next sound request is to be lost.
        self.loses_next = False
        self.gateways = ["edge-1", "edge-2"]
        self._number = 0

    async def generate(self, exchange: Exchange) -> None:
        """Read a prompt, or write a stream; the fatal part ends the process."""
        request, engine = exchange.request, exchange.engine
        if request.method == "DELETE":
            exchange.write("200 OK", {}, b"{}")
            return
        if request.headers.get("pimentolink-stage") == "prefill":
            await asyncio.sleep(0.03)
            reply = {"kvHandle": f"{random.getrandbits(48):012x}", "tokens": 1460}
            own = {"Pimentolink-Request-Id": request.request_id}
            exchange.write("200 OK", own, json.dumps(reply | {"version": 1}).encode())
            return
        engine.ran(exchange)
        assert isinstance(engine, WritingEngine)
        if FATAL in request.headers.get("pimentolink-prompt-prefix", ""):
            asyncio.create_task(engine.crash())
            return
        await self._write(exchange, engine)

    async def _write(self, exchange: Exchange, engine: WritingEngine) -> None:
        writer, request = exchange.writer, exchange.request
        own = exchange.own_headers()
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
        lines += ["Transfer-Encoding: chunked"]
        lines += [f"{name}: {value}" for name, value in own.items()]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        begin = int(request.headers.get("last-event-id") or 0)
        for number in range(begin + 1, PIECES + 1):
            event = f"id: {number}\ndata: token\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await asyncio.sleep(0.02)
            if self.loses_next and number == begin + 2:
                self.loses_next = False
                self.rig.record.note(
                    f"{engine.name} is lost while it writes for {request.request_id}"
                )
                asyncio.create_task(engine.crash())
                return
            if writer.transport.is_closing():
                return
        writer.write(b"0\r\n\r\n")

    def _next_gateway(self) -> str:
        self._number += 1
        return self.gateways[self._number % 2]

    async def ask(self, parts: list[str], is_fatal: bool) -> None:
        """Make a request, and once more if it is not served."""
        status = await self._try(parts, is_fatal, is_first=True)
        if status != 200:
            await asyncio.sleep(ASK_AGAIN)
            await self._try(parts, is_fatal, is_first=False)

    async def _try(self, parts: list[str], is_fatal: bool, is_first: bool) -> int:
        own = f"{random.getrandbits(32):08x}:810"
        headers = {
            "Pimentolink-Model": "m",
            "Pimentolink-Token-Counts": "1460,22",
            "Pimentolink-Prompt-Prefix": ",".join([*parts, own]),
        }
        caller = Caller(self.rig, self._next_gateway())
        await caller.open()
        body = f"prompt {random.getrandbits(64)}".encode()
        name = caller.send("POST", "/summary/x", TIME_BUDGET_MS, headers, body)
        sent_at = self.rig.record.now()
        if is_fatal:
            self.fatal_ids.add(name)
        answer = await caller.receive(name, TIME_BUDGET_MS / 1000 + 1)
        caller.close()
        status = 0 if answer is None else answer.status
        if is_first and not is_fatal:
            self.first_attempts.append((sent_at, name, status))
        return status

    async def come(
        self, parts: list[str], is_fatal: bool, interval: float, until: float
    ) -> None:
        """Send requests at even intervals."""
        asking = []
        while self.rig.record.now() < until:
            asking.append(asyncio.create_task(self.ask(parts, is_fatal)))
            await asyncio.sleep(interval)
        await asyncio.gather(*asking)


async def case(rig: Rig, has_trouble: bool) -> bool:
    """Have requests with a fatal part come as prompts get a new common part."""
    await rig.start_store()
    prompts = Prompts(rig)
    writers = []
    for number in range(6):
        phase = "prefill" if number < 2 else "decode"
        engine = WritingEngine(rig, f"i-{number}", "llm", prompts.generate, 64, phase)
        engine.crashes = prompts.crashes
        rig.engines.append(engine)
        await engine.start()
        writers.append(engine)
    settings = {
        "sticky": True,
        "resumable": True,
        "maxAttempts": 2,
        "timeoutMs": 6000,
        "targetLatencyMs": 500,
    }
    service = {"slots": 64, "kvTokens": 457705, "kvBytes": 18432, "linkMbps": 180000.0}
    await rig.configure(
        [route("summary", "streaming", "llm", **settings)],
        [{"name": "llm", "maxConnections": 360, "engine": service}],
    )
    for number, name in enumerate(prompts.gateways, start=1):
        await rig.start_gateway(name, number)
    await asyncio.sleep(3.5)
    interval = 1 / SOUND_RATE
    begin = rig.record.now()
    await prompts.come([FIRST, FORMER], False, interval, begin + LENGTH_BEFORE)
    rig.record.note("prompts have a new common part from now on")
    until = rig.record.now() + LENGTH_AFTER
    fatal = asyncio.create_task(
        prompts.come([FIRST, NEW, FATAL], True, FATAL_INTERVAL, until)
    )
    await asyncio.sleep(interval)
    prompts.loses_next = has_trouble
    await prompts.come([FIRST, NEW], False, interval, until)
    await fatal
    last = prompts.crashes[:5][-1] if prompts.crashes else 0.0
    before = [
        item for item in prompts.first_attempts if item[0] < begin + LENGTH_BEFORE
    ]
    after = [item for item in prompts.first_attempts if item[0] > last + 2 * CONTACT]
    shares = []
    for label, items in (("before", before), ("after", after)):
        begun = sum(status == 200 for _, _, status in items)
        shares.append(begun / max(1, len(items)))
        statuses = Counter(status for _, _, status in items)
        rig.record.note(f"sound first attempts {label}: {len(items)}, {dict(statuses)}")
    rig.record.note(
        f"engines that crashed or were lost: {len(prompts.crashes)}, "
        f"shares served: {shares[0]:.2f} and {shares[1]:.2f}"
    )
    return len(before) < 20 or len(after) < 20 or shares[1] >= shares[0] / 2


main(str(FOLDER), case)
