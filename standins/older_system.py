"""Stand-in for the older serving system: answers everything by itself."""

from __future__ import annotations

from collections import Counter

from twisted.web.server import Request

from standins.engine import prompt_of, whole_answer
from standins.web import Routes, answer, body_of, listen, parse


class OlderSystemStandIn:
    """Counts what it is asked and answers at once."""

    def __init__(self) -> None:
        """Start with nothing asked."""
        self._asked: Counter[str] = Counter()
        self.routes = Routes()
        self.routes.add("GET", "/asked", lambda request: answer(request, self._asked))
        self.routes.add("POST", "/v1/", self.complete)
        self.routes.add("POST", "/", self.call)

    def complete(self, request: Request) -> None:
        """Answer a completion as a whole."""
        body = body_of(request)
        self._asked["completions"] += 1
        text = whole_answer(prompt_of(body), int(body.get("max_tokens") or 16))
        answer(request, {"choices": [{"index": 0, "text": text}]})

    def call(self, request: Request) -> None:
        """Answer a plain call."""
        self._asked[request.path.decode()] += 1
        answer(request, {"older": True})


if __name__ == "__main__":
    listen(OlderSystemStandIn().routes, parse(__doc__).listen)
