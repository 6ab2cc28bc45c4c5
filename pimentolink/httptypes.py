"""HTTP messages as typed values, independent of connections."""

from __future__ import annotations

import enum
from typing import NamedTuple

Headers = tuple[tuple[bytes, bytes], ...]

# Headers that apply to one connection only: the hop-by-hop headers, and those that say
# how a body is transferred (``trailer``, ``content-length``, ``expect``).
# :source: RFC 9110, section 7.6.1, for the hop-by-hop headers.
CONNECTION_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)


def header_value(headers: Headers, name: bytes) -> bytes | None:
    """
    Return the value of a header.

    :param name: in lower case.
    :returns: the first value, or ``None`` if the header is missing.
    """
    for header_name, value in headers:
        if header_name.lower() == name:
            return value
    return None


def end_to_end(headers: Headers) -> Headers:
    """Remove ``CONNECTION_HEADERS`` and the headers listed in ``Connection``."""
    listed = header_value(headers, b"connection") or b""
    dropped = {name.strip().lower() for name in listed.split(b",")}
    dropped |= CONNECTION_HEADERS
    return tuple(item for item in headers if item[0].lower() not in dropped)


class HttpRequest(NamedTuple):
    """
    A complete request.

    :ivar path: path and query as sent.
    :ivar headers: in order, with the names as sent; a request to a target contains none
        of ``CONNECTION_HEADERS``, and is given a ``Content-Length`` when it is sent.
    """

    method: bytes
    path: bytes
    headers: Headers
    body: bytes = b""

    def header(self, name: bytes) -> bytes | None:
        """Return the value of a header, given its name in lower case."""
        return header_value(self.headers, name)


class ReplyHead(NamedTuple):
    """Status and headers of a response."""

    status: int
    headers: Headers

    def header(self, name: bytes) -> bytes | None:
        """Return the value of a header, given its name in lower case."""
        return header_value(self.headers, name)


class BodyFraming(enum.Enum):
    """
    How a response delimits its body.

    A body that is delimited by the end of its connection may lack a part without any
    sign of it, since the connection also ends if the sender does.
    """

    LENGTH = "length"
    CHUNKED = "chunked"
    CLOSE = "close"


# Statuses of responses that never have a body.
_BODILESS_STATUSES = frozenset({204, 304})


def body_framing(method: bytes, head: ReplyHead) -> BodyFraming:
    """
    Return how a final response delimits its body.

    :param method: of the request.
    :source: RFC 9112, section 6.3.
    """
    if method == b"HEAD" or head.status in _BODILESS_STATUSES:
        return BodyFraming.LENGTH
    if head.header(b"transfer-encoding") is not None:
        return BodyFraming.CHUNKED
    if head.header(b"content-length") is not None:
        return BodyFraming.LENGTH
    return BodyFraming.CLOSE


class HttpReply(NamedTuple):
    """A complete response."""

    head: ReplyHead
    body: bytes
