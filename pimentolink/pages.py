"""Serves pages about the gateway itself: readiness and metrics."""

from __future__ import annotations

from collections.abc import Callable

from pimentolink.callerhttp import CallerConnection
from pimentolink.httptypes import HttpRequest


class Page:
    """Answers every request with the same generated page."""

    def __init__(self, render: Callable[[], tuple[int, bytes]]) -> None:
        """
        Create a handler.

        :param render: generates status and body; called for each request.
        """
        self._render = render

    async def handle(self, http: HttpRequest, responder: CallerConnection) -> None:
        """Answer a request with the page."""
        status, body = self._render()
        responder.answer(status, ((b"Content-Type", b"text/plain"),), body)
