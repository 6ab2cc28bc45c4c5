"""Replays a trace against entries as an open loop and records each response."""

from __future__ import annotations

import asyncio
import json
import sys
import time
from pathlib import Path
from typing import Any

from standins.engine import whole_answer
from tools.traces import Arrival, load

# How long to wait for outstanding responses after the last request.
DRAIN_SECONDS = 8.0
TOKEN_MARKER = b'"finish_reason":null'


class RequestProtocol(asyncio.Protocol):
    """
    Sends one request, times its tokens and keeps the response.

    :ivar first: seconds from the due time until the first token; ``None`` before it.
    :ivar gaps: seconds between consecutive tokens; 0 within one chunk of data.
    :ivar is_done: whether the response is complete, or is an error.
    """

    def __init__(self, request: bytes, due_at: float) -> None:
        """
        Create a protocol that sends its request once it is connected.

        :param request: encoded request.
        :param due_at: monotonic time at which the request was due.
        """
        self._request = request
        self._due_at = due_at
        self._data = bytearray()
        self._last_token_at = 0.0
        self._transport: Any = None
        self.first: float | None = None
        self.gaps: list[float] = []
        self.is_done = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the request."""
        self._transport = transport
        self._transport.write(self._request)

    def data_received(self, data: bytes) -> None:
        """Record when tokens arrive, and close the connection after the response."""
        now = time.monotonic()
        self._data += data
        count = data.count(TOKEN_MARKER)
        if count and self.first is None:
            self.first = now - self._due_at
        elif count:
            self.gaps += [now - self._last_token_at] + [0.0] * (count - 1)
        if count:
            self._last_token_at = now
        if data.endswith(b"0\r\n\r\n") or b"[DONE]" in data or not self._is_stream():
            self.is_done = True
            self._transport.close()

    def _is_stream(self) -> bool:
        return self._data.startswith(b"HTTP/1.1 200")

    def result(self, arrival: Arrival, prompt: str) -> dict[str, Any]:
        """
        Return the measured latencies and whether the response is correct.

        :param arrival: the request of the trace.
        :param prompt: the prompt that was sent.
        """
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


async def replay(
    arrivals: list[Arrival], model: str, addresses: list[str]
) -> list[dict[str, Any]]:
    """
    Send every request when it is due, without waiting for earlier ones.

    :param arrivals: requests of the trace, ordered by arrival time.
    :param model: name of the model to request.
    :param addresses: addresses of the entries, as ``host:port``; used in turn.
    :returns: one result for each request.
    """
    loop = asyncio.get_running_loop()
    start = time.monotonic() + 0.5
    requests: list[tuple[RequestProtocol | None, Arrival, str]] = []

    async def send(number: int, arrival: Arrival) -> None:
        prompt = arrival.prompt(number)
        due_at = start + arrival.at
        protocol = RequestProtocol(_encode_request(arrival, prompt, model), due_at)
        index = len(requests)
        requests.append((protocol, arrival, prompt))
        for attempt in range(len(addresses)):
            address = addresses[(number + attempt) % len(addresses)]
            host, _, port = address.rpartition(":")
            try:
                await loop.create_connection(lambda: protocol, host, int(port))
                return
            except OSError:
                # Like a load balancer, skip an entry that refuses connections.
                continue
        requests[index] = (protocol, arrival, prompt)

    tasks = []
    for number, arrival in enumerate(arrivals):
        await asyncio.sleep(max(0.0, start + arrival.at - time.monotonic()))
        tasks.append(asyncio.ensure_future(send(number, arrival)))
    deadline = time.monotonic() + DRAIN_SECONDS
    while time.monotonic() < deadline:
        await asyncio.sleep(0.1)
        if all(protocol is None or protocol.is_done for protocol, _, _ in requests):
            break
    return [
        protocol.result(arrival, prompt)
        for protocol, arrival, prompt in requests
        if protocol
    ]


def _encode_request(arrival: Arrival, prompt: str, model: str) -> bytes:
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
    """Replay the trace from a file; write the results to another file."""
    trace_path, model, results_path, *addresses = sys.argv[1:]
    arrivals = load(Path(trace_path).read_text())
    results = asyncio.run(replay(arrivals, model, addresses))
    Path(results_path).write_text(json.dumps(results))


if __name__ == "__main__":
    main()
