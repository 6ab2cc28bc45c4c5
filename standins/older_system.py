"""Stand-in for the older serving system; it serves every request itself."""

from __future__ import annotations

import json
from collections import Counter

from twisted.web.server import Request

from standins.engine import prompt_of, token_at
from standins.web import Routes, answer, body_of, listen, parse, raw_body


class OlderSystemStandIn:
    """Counts requests and responds to each immediately."""

    def __init__(self) -> None:
        """Create a system that has received no requests."""
        self._request_counts: Counter[str] = Counter()
        self.routes = Routes()
        self.routes.add(
            "GET", "/asked", lambda request: answer(request, self._request_counts)
        )
        self.routes.add("POST", "/v1/", self.complete)
        self.routes.add("POST", "/", self.call)

    def complete(self, request: Request) -> None:
        """Stream a completion in server-sent events."""
        body = body_of(request)
        self._request_counts["completions"] += 1
        token_count = int(body.get("max_tokens") or 16)
        request.setHeader("content-type", "text/event-stream")
        for index in range(token_count):
            choice = {"index": 0, "text": token_at(prompt_of(body), index)}
            request.write(b"data: " + json.dumps({"choices": [choice]}).encode())
            request.write(b"\n\n")
        request.write(b"data: [DONE]\n\n")
        request.finish()

    def call(self, request: Request) -> None:
        """Respond to a call of a plain service."""
        self._request_counts[raw_body(request).decode()] += 1
        answer(request, {"older": True})


if __name__ == "__main__":
    listen(OlderSystemStandIn().routes, parse(__doc__).listen)
