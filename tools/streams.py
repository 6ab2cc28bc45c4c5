"""Load generator that measures the token rate of concurrent streamed completions."""

from __future__ import annotations

import asyncio
import json
import sys
import time


class StreamingClient(asyncio.Protocol):
    """Client that sends its request again as soon as the response has ended."""

    def __init__(self, counts: list[int], request: bytes) -> None:
        """
        Prepare a client.

        :param counts: counters ``[tokens, answers, failures]``, shared by all clients.
        :param request: the HTTP request to send.
        """
        self._counts = counts
        self._request = request
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the first request."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.write(self._request)

    def data_received(self, data: bytes) -> None:
        """Count tokens; send the request again when the response has ended."""
        self._counts[0] += data.count(b'"finish_reason":null')
        if b"[DONE]" in data:
            self._counts[1] += 1
            assert self._transport is not None
            self._transport.write(self._request)

    def connection_lost(self, exc: Exception | None) -> None:
        """Count the lost connection as a failure."""
        self._counts[2] += 1


async def run(address: str, streams: int, tokens: int, seconds: float) -> None:
    """
    Run concurrent streams and print their throughput as JSON.

    The measurement starts after a warm-up of a third of its duration.

    :param address: host and port of the entry.
    :param streams: number of concurrent connections.
    :param tokens: tokens of each answer.
    :param seconds: duration of the measurement.
    """
    host, _, port = address.rpartition(":")
    body = json.dumps(
        {"model": "m", "prompt": "p", "max_tokens": tokens, "stream": True}
    ).encode()
    head = f"POST /v1/completions HTTP/1.1\r\nhost: a\r\ncontent-length: {len(body)}"
    request = head.encode() + b"\r\n\r\n" + body
    counts = [0, 0, 0]
    loop = asyncio.get_running_loop()
    for _ in range(streams):
        await loop.create_connection(
            lambda: StreamingClient(counts, request), host, int(port)
        )
    await asyncio.sleep(seconds / 3)
    start, counts_before = time.monotonic(), list(counts)
    await asyncio.sleep(seconds)
    elapsed = time.monotonic() - start
    result = {
        "tokens_per_second": (counts[0] - counts_before[0]) / elapsed,
        "answers": counts[1] - counts_before[1],
        "failures": counts[2] - counts_before[2],
    }
    print(json.dumps(result), flush=True)


if __name__ == "__main__":
    address, streams, tokens, seconds = sys.argv[1:]
    asyncio.run(run(address, int(streams), int(tokens), float(seconds)))
