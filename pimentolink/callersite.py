"""Callers' connections to an entry, with limits on size and time of requests."""

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
# Seconds that an idle connection stays open after its timeout, so that bytes that have
# already arrived are read first. Enough for several iterations of the event loop, each
# of which reads the bytes received.
FINAL_READ_WAIT = 0.1


class BoundedRequest(WebRequest):
    """A request that is refused if it is too large or takes too long to arrive."""

    limits: CallerLimits
    timers: Timers

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        """Start the timer for the deadline of receiving the whole request."""
        super().__init__(*args, **kwargs)
        self._received = 0
        self._is_refused = False
        # The setting limits the time for the whole request, not only for its head.
        self._deadline: Timer = self.timers.call_later(
            self.limits.request_head, self._handle_deadline
        )

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Refuse a body whose declared length is over the limit, before reading it."""
        super().gotLength(length)
        if length is not None and length > self.limits.body_bytes:
            self._refuse(b"413 Content Too Large", errors.BodyTooLarge())

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Refuse a body once the bytes received are over the limit."""
        self._received += len(data)
        if self._received > self.limits.body_bytes and not self._is_refused:
            self._refuse(b"413 Content Too Large", errors.BodyTooLarge())
        if not self._is_refused:
            super().handleContentChunk(data)

    def process(self) -> None:
        """Handle the request once all of it has been received."""
        self._deadline.cancel()
        if self._is_refused:
            self._transport().loseConnection()
            return
        super().process()

    def connectionLost(self, reason: Any) -> None:  # noqa: N802
        """Cancel the timer when the caller has disconnected."""
        self._deadline.cancel()
        super().connectionLost(reason)

    def _handle_deadline(self) -> None:
        if self._is_refused:
            # The response was sent when the request was refused.
            self._transport().abortConnection()
            return
        failure = errors.RequestTooSlow("the request did not come whole in time")
        self._refuse(b"408 Request Timeout", failure)
        self._transport().loseConnection()

    def _refuse(self, status: bytes, failure: errors.Failure) -> None:
        # The rest of the body is read and discarded until the deadline: closing with
        # unread data would reset the connection before the caller has the response.
        self._is_refused = True
        body = completions.error_body(failure)
        head = b"HTTP/1.1 %s\r\ncontent-type: %s\r\ncontent-length: %d\r\n"
        head += b"connection: close\r\n\r\n"
        self._transport().write(head % (status, JSON, len(body)) + body)

    def _transport(self) -> Any:
        return self.channel.transport


class CallerChannel(HTTPChannel):
    """
    A caller's connection, closed once it is idle.

    After a stall of the entry's process, the idle timeout may expire before bytes that
    arrived during the stall are read. The connection therefore stays open for another
    short wait; otherwise such a caller would lose it without a response.
    """

    _is_final_wait = False

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Handle received bytes; the connection is no longer idle."""
        self._is_final_wait = False
        super().dataReceived(data)

    def timeoutConnection(self) -> None:  # noqa: N802
        """Close an idle connection if no bytes arrive during another short wait."""
        if self.requests:
            return  # a request is being received, with its own deadline, or processed
        if self._is_final_wait:
            super().timeoutConnection()
            return
        self._is_final_wait = True
        self.setTimeout(FINAL_READ_WAIT)


def make_site(resource: Resource, limits: CallerLimits, timers: Timers) -> Site:
    """
    Create the factory of callers' connections.

    :param resource: root resource, which handles the requests.
    :param limits: limits on requests; ``request_head`` is also the idle timeout of a
        connection.
    :param timers: the timer service.
    """
    attributes = {"limits": limits, "timers": timers}
    request_type = type("CallerRequest", (BoundedRequest,), attributes)
    site: Any = Site(resource, requestFactory=request_type, timeout=limits.request_head)
    site.protocol = CallerChannel
    site.displayTracebacks = False
    return cast(Site, site)
