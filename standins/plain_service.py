"""Stand-in for a plain service that counts how often each call ran."""

from __future__ import annotations

from collections import Counter

from twisted.web.server import Request

from standins.web import Routes, answer, body_of, content_of, listen, parse, reactor


class PlainServiceStandIn:
    """Runs a call after a while, whether or not its asker still waits."""

    def __init__(self, duration: float) -> None:
        """
        Start with nothing run.

        :param duration: seconds that a call takes.
        """
        self.duration = duration
        self._runs: Counter[str] = Counter()
        self.routes = Routes()
        self.routes.add("GET", "/health", lambda request: answer(request, {}))
        self.routes.add("GET", "/runs", lambda request: answer(request, self._runs))
        self.routes.add("PUT", "/duration", self.set_duration)
        self.routes.add("POST", "/", self.call)
        self.routes.add("GET", "/", self.call)

    def set_duration(self, request: Request) -> None:
        """Change how long calls take."""
        self.duration = float(body_of(request))
        answer(request, {})

    def call(self, request: Request) -> None:
        """Run one call."""
        content = content_of(request).decode()
        self._runs[content or request.path.decode()] += 1
        echo = request.getHeader("x-request-id") or ""
        request.notifyFinish().addErrback(lambda _: None)
        value = {"ran": content, "path": request.uri.decode()}
        reactor.callLater(
            self.duration, answer, request, value, 200, {"x-request-id": echo}
        )


if __name__ == "__main__":
    options = parse(__doc__, duration=0.01)
    listen(PlainServiceStandIn(options.duration).routes, options.listen)
