"""Plays a trace against entries, open loop, and records what callers see."""

from __future__ import annotations

import asyncio
import json
import sys
import time
from pathlib import Path
from typing import Any

from standins.engine import whole_answer
from tools.traces import Arrival, load

LAST_ANSWERS = 8.0
TOKEN_MARK = b'"finish_reason":null'


class Caller(asyncio.Protocol):
    """One request: times its tokens and keeps its answer."""

    def __init__(self, request: bytes, due: float) -> None:
        """Ask as soon as the connection is there."""
        self._request = request
        self._due = due
        self._data = bytearray()
        self._last = 0.0
        self._transport: Any = None
        self.first: float | None = None
        self.gaps: list[float] = []
        self.is_done = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Ask."""
        self._transport = transport
        self._transport.write(self._request)

    def data_received(self, data: bytes) -> None:
        """Time what comes."""
        now = time.monotonic()
        self._data += data
        count = data.count(TOKEN_MARK)
        if count and self.first is None:
            self.first = now - self._due
        elif count:
            self.gaps += [now - self._last] + [0.0] * (count - 1)
        if count:
            self._last = now
        if data.endswith(b"0\r\n\r\n") or b"[DONE]" in data or not self._is_stream():
            self.is_done = True
            self._transport.close()

    def _is_stream(self) -> bool:
        return self._data.startswith(b"HTTP/1.1 200")

    def result(self, arrival: Arrival, prompt: str) -> dict[str, Any]:
        """Judge the answer."""
        status = int(self._data[9:12] or b"0") if len(self._data) > 12 else 0
        text = b"".join(
            json.loads(line[6:])["choices"][0]["text"].encode()
            for line in bytes(self._data).split(b"\n")
            if line.startswith(b"data: {") and b'"choices"' in line
        ).decode()
        gaps = sorted(self.gaps)
        p95 = gaps[min(len(gaps) - 1, int(len(gaps) * 0.95))] if gaps else 0.0
        is_whole = text == whole_answer(prompt, arrival.tokens)
        return {
            "work": arrival.work,
            "caller": arrival.caller,
            "at": arrival.at,
            "is_long": arrival.text >= 0,
            "status": status,
            "is_whole": is_whole and b"[DONE]" in self._data,
            "first": self.first,
            "gap_p95": p95,
            "tokens": len(self.gaps) + 1,
        }


async def play(
    arrivals: list[Arrival], model: str, addresses: list[str]
) -> list[dict[str, Any]]:
    """Send every request when it is due, whatever became of earlier ones."""
    loop = asyncio.get_running_loop()
    start = time.monotonic() + 0.5
    asked: list[tuple[Caller | None, Arrival, str]] = []

    async def ask(number: int, arrival: Arrival) -> None:
        prompt = arrival.prompt(number)
        due = start + arrival.at
        caller = Caller(_request(arrival, prompt, model), due)
        place = len(asked)
        asked.append((caller, arrival, prompt))
        for turn in range(len(addresses)):
            address = addresses[(number + turn) % len(addresses)]
            host, _, port = address.rpartition(":")
            try:
                await loop.create_connection(lambda: caller, host, int(port))
                return
            except OSError:
                # The balancer passes over an entry that takes no connections.
                continue
        asked[place] = (caller, arrival, prompt)

    tasks = []
    for number, arrival in enumerate(arrivals):
        await asyncio.sleep(max(0.0, start + arrival.at - time.monotonic()))
        tasks.append(asyncio.ensure_future(ask(number, arrival)))
    end = time.monotonic() + LAST_ANSWERS
    while time.monotonic() < end:
        await asyncio.sleep(0.1)
        if all(caller is None or caller.is_done for caller, _, _ in asked):
            break
    return [
        caller.result(arrival, prompt) for caller, arrival, prompt in asked if caller
    ]


def _request(arrival: Arrival, prompt: str, model: str) -> bytes:
    body = json.dumps(
        {
            "model": model,
            "prompt": prompt,
            "max_tokens": arrival.tokens,
            "stream": True,
        }
    ).encode()
    lines = [
        "POST /v1/completions HTTP/1.1",
        "host: entry",
        f"pimentolink-work: {arrival.work}",
        f"pimentolink-caller: {arrival.caller}",
        f"content-length: {len(body)}",
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def main() -> None:
    """Play the trace of a file; write results to another."""
    trace, model, out, *addresses = sys.argv[1:]
    arrivals = load(Path(trace).read_text())
    results = asyncio.run(play(arrivals, model, addresses))
    Path(out).write_text(json.dumps(results))


if __name__ == "__main__":
    main()
