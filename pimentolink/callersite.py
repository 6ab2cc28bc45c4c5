"""Connections of callers to an entry, with bounds on what they send and when."""

from __future__ import annotations

from typing import Any, cast

from twisted.web.http import HTTPChannel
from twisted.web.resource import Resource
from twisted.web.server import Request as WebRequest
from twisted.web.server import Site

from pimentolink import completions, errors
from pimentolink.settings import CallerLimits
from pimentolink.timers import Timer, Timers

JSON = b"application/json"
LAST_LOOK = 0.1  # seconds; several turns of the loop, each of which reads what has come


class BoundedRequest(WebRequest):
    """A request that is refused once it is too large or takes too long to come."""

    limits: CallerLimits
    timers: Timers

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        """Start the time that a caller may take to send the request."""
        super().__init__(*args, **kwargs)
        self._received = 0
        self._is_refused = False
        self._deadline: Timer = self.timers.call_later(
            self.limits.request_head, self._too_slow
        )

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Refuse a body that says it is too large before it is read."""
        super().gotLength(length)
        if length is not None and length > self.limits.body_bytes:
            self._refuse(b"413 Content Too Large", errors.BodyTooLarge())

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Refuse a body that grows too large."""
        self._received += len(data)
        if self._received > self.limits.body_bytes and not self._is_refused:
            self._refuse(b"413 Content Too Large", errors.BodyTooLarge())
        if not self._is_refused:
            super().handleContentChunk(data)

    def process(self) -> None:
        """Answer the request, which has come whole."""
        self._deadline.cancel()
        if self._is_refused:
            self._transport().loseConnection()
            return
        super().process()

    def connectionLost(self, reason: Any) -> None:  # noqa: N802
        """Take note that the caller is gone."""
        self._deadline.cancel()
        super().connectionLost(reason)

    def _too_slow(self) -> None:
        if self._is_refused:
            self._transport().abortConnection()
            return
        failure = errors.CallerTooSlow("the request did not come whole in time")
        self._refuse(b"408 Request Timeout", failure)
        self._transport().loseConnection()

    def _refuse(self, status: bytes, failure: errors.Failure) -> None:
        # The rest of the body is read and dropped until the deadline: a close with
        # unread data would reset the connection before the caller has the answer.
        self._is_refused = True
        body = completions.error_body(failure)
        head = b"HTTP/1.1 %s\r\ncontent-type: %s\r\ncontent-length: %d\r\n"
        head += b"connection: close\r\n\r\n"
        self._transport().write(head % (status, JSON, len(body)) + body)

    def _transport(self) -> Any:
        return self.channel.transport


class CallerChannel(HTTPChannel):
    """
    A connection of a caller, closed when it stays idle.

    The time that an entry itself stood still does not make a connection idle: a caller
    whose bytes wait to be read would lose the connection without an answer.
    """

    _has_looked_again = False

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Take bytes, after which the connection is not idle."""
        self._has_looked_again = False
        super().dataReceived(data)

    def timeoutConnection(self) -> None:  # noqa: N802
        """Close an idle connection once a last look has found no bytes."""
        if self.requests:
            return  # the request under way has a deadline of its own
        if self._has_looked_again:
            super().timeoutConnection()
            return
        self._has_looked_again = True
        self.setTimeout(LAST_LOOK)


def make_site(interface: Resource, limits: CallerLimits, timers: Timers) -> Site:
    """
    Make the factory of callers' connections.

    :param interface: answers requests.
    :param limits: bounds on requests.
    :param timers: the timer service.
    """
    bounds = {"limits": limits, "timers": timers}
    request_type = type("CallerRequest", (BoundedRequest,), bounds)
    site: Any = Site(
        interface, requestFactory=request_type, timeout=limits.request_head
    )
    site.protocol = CallerChannel
    site.displayTracebacks = False
    return cast(Site, site)
