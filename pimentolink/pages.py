"""Pages of a gateway itself: whether it is ready, and its metrics."""

from __future__ import annotations

from collections.abc import Callable

from pimentolink.callerhttp import CallerConnection
from pimentolink.httptypes import HttpRequest


class Page:
    """Answers every request with one page."""

    def __init__(self, page: Callable[[], tuple[int, bytes]]) -> None:
        """
        Prepare.

        :param page: makes status and body anew for each request.
        """
        self._page = page

    async def handle(self, http: HttpRequest, responder: CallerConnection) -> None:
        """Answer with the page."""
        status, body = self._page()
        responder.answer(status, ((b"Content-Type", b"text/plain"),), body)
