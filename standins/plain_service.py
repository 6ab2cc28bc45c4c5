"""Stand-in for a plain service that counts how often each call ran."""

from __future__ import annotations

from collections import Counter

from twisted.web.server import Request

from standins.web import Routes, answer, body_of, listen, parse, raw_body, reactor


class PlainServiceStandIn:
    """Runs each call to its end, even if its client has disconnected."""

    def __init__(self, duration: float) -> None:
        """
        Create a service that has run no calls.

        :param duration: seconds that a call takes.
        """
        self.duration = duration
        self._run_counts: Counter[str] = Counter()
        self.routes = Routes()
        self.routes.add("GET", "/health", lambda request: answer(request, {}))
        self.routes.add(
            "GET", "/runs", lambda request: answer(request, self._run_counts)
        )
        self.routes.add("PUT", "/duration", self.set_duration)
        self.routes.add("POST", "/", self.call)
        self.routes.add("GET", "/", self.call)

    def set_duration(self, request: Request) -> None:
        """Set how long a call takes, in seconds."""
        self.duration = float(body_of(request))
        answer(request, {})

    def call(self, request: Request) -> None:
        """Count a call and respond after its duration."""
        content = raw_body(request).decode()
        self._run_counts[content or request.path.decode()] += 1
        echo = request.getHeader("x-request-id") or ""
        request.notifyFinish().addErrback(lambda _: None)
        value = {"ran": content, "path": request.uri.decode()}
        reactor.callLater(
            self.duration, answer, request, value, 200, {"x-request-id": echo}
        )


if __name__ == "__main__":
    options = parse(__doc__, duration=0.01)
    listen(PlainServiceStandIn(options.duration).routes, options.listen)
