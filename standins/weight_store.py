"""Stand-in for the store of model weights, which limits concurrent downloads."""

from __future__ import annotations

from twisted.web.server import Request

from standins.web import Routes, answer, listen, parse, reactor


class WeightStoreStandIn:
    """Serves a bounded number of concurrent downloads."""

    def __init__(self, seconds: float, max_downloads: int) -> None:
        """
        Create a store without downloads.

        :param seconds: duration of one download.
        :param max_downloads: concurrent downloads; others are rejected with 429.
        """
        self._seconds = seconds
        self._max_downloads = max_downloads
        self._download_count = 0
        self.routes = Routes()
        self.routes.add("GET", "/weights/", self.download)

    def download(self, request: Request) -> None:
        """Serve the weights of one model."""
        if self._download_count >= self._max_downloads:
            answer(request, {"error": "rate limit"}, 429, {"retry-after": "1"})
            return
        self._download_count += 1
        reactor.callLater(self._seconds, self._finish_download, request)

    def _finish_download(self, request: Request) -> None:
        self._download_count -= 1
        answer(request, {"weights": request.path.decode()})


if __name__ == "__main__":
    options = parse(__doc__, seconds=1.0, most=2)
    listen(WeightStoreStandIn(options.seconds, options.most).routes, options.listen)
