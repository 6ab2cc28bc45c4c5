"""Holds many streamed completions open at one entry and counts their tokens."""

from __future__ import annotations

import asyncio
import json
import sys
import time


class Stream(asyncio.Protocol):
    """One caller: asks again as soon as its answer has ended."""

    def __init__(self, counts: list[int], request: bytes) -> None:
        """Share the counters ``[tokens, answers, failures]``."""
        self._counts = counts
        self._request = request
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Ask."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.write(self._request)

    def data_received(self, data: bytes) -> None:
        """Count tokens; ask again after the end."""
        self._counts[0] += data.count(b'"finish_reason":null')
        if b"[DONE]" in data:
            self._counts[1] += 1
            assert self._transport is not None
            self._transport.write(self._request)

    def connection_lost(self, exc: Exception | None) -> None:
        """Count a failure."""
        self._counts[2] += 1


async def run(address: str, streams: int, tokens: int, seconds: float) -> None:
    """Hold streams for a while; print the steady rate as JSON."""
    host, _, port = address.rpartition(":")
    body = json.dumps(
        {"model": "m", "prompt": "p", "max_tokens": tokens, "stream": True}
    ).encode()
    head = f"POST /v1/completions HTTP/1.1\r\nhost: a\r\ncontent-length: {len(body)}"
    request = head.encode() + b"\r\n\r\n" + body
    counts = [0, 0, 0]
    loop = asyncio.get_running_loop()
    for _ in range(streams):
        await loop.create_connection(lambda: Stream(counts, request), host, int(port))
    await asyncio.sleep(seconds / 3)
    start, before = time.monotonic(), list(counts)
    await asyncio.sleep(seconds)
    took = time.monotonic() - start
    result = {
        "tokens_per_second": (counts[0] - before[0]) / took,
        "answers": counts[1] - before[1],
        "failures": counts[2] - before[2],
    }
    print(json.dumps(result), flush=True)


if __name__ == "__main__":
    address, streams, tokens, seconds = sys.argv[1:]
    asyncio.run(run(address, int(streams), int(tokens), float(seconds)))
