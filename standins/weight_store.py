"""Stand-in for the rate-limited weight store."""

from __future__ import annotations

from twisted.web.server import Request

from standins.web import Routes, answer, listen, parse, reactor


class WeightStoreStandIn:
    """Hands out weights, a bounded number at a time."""

    def __init__(self, seconds: float, most: int) -> None:
        """
        Start idle.

        :param seconds: that one download takes.
        :param most: downloads at once; more are refused.
        """
        self._seconds = seconds
        self._most = most
        self._running = 0
        self.routes = Routes()
        self.routes.add("GET", "/weights/", self.download)

    def download(self, request: Request) -> None:
        """Hand one model's weights out."""
        if self._running >= self._most:
            answer(request, {"error": "rate limit"}, 429, {"retry-after": "1"})
            return
        self._running += 1
        reactor.callLater(self._seconds, self._finish, request)

    def _finish(self, request: Request) -> None:
        self._running -= 1
        answer(request, {"weights": request.path.decode()})


if __name__ == "__main__":
    options = parse(__doc__, seconds=1.0, most=2)
    listen(WeightStoreStandIn(options.seconds, options.most).routes, options.listen)
