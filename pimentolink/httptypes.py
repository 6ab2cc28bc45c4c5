"""HTTP messages as typed values, apart from connections."""

from __future__ import annotations

from typing import NamedTuple

Headers = tuple[tuple[bytes, bytes], ...]

# What concerns one connection only.
# :source: RFC 9110, section 7.6.1.
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
    Look a header up.

    :param name: in lower case.
    :returns: the first value, or ``None``.
    """
    for found, value in headers:
        if found.lower() == name:
            return value
    return None


def end_to_end(headers: Headers) -> Headers:
    """Drop the headers that concern one connection, and those that it lists."""
    listed = header_value(headers, b"connection") or b""
    dropped = {name.strip().lower() for name in listed.split(b",")}
    dropped |= CONNECTION_HEADERS
    return tuple(item for item in headers if item[0].lower() not in dropped)


class HttpRequest(NamedTuple):
    """
    A whole request.

    :ivar path: path and query as sent.
    :ivar headers: names as sent, in order, without those of the connection.
    """

    method: bytes
    path: bytes
    headers: Headers
    body: bytes = b""

    def header(self, name: bytes) -> bytes | None:
        """Look a header up by its name in lower case."""
        return header_value(self.headers, name)


class ReplyHead(NamedTuple):
    """Status and headers of an answer."""

    status: int
    headers: Headers

    def header(self, name: bytes) -> bytes | None:
        """Look a header up by its name in lower case."""
        return header_value(self.headers, name)


class HttpReply(NamedTuple):
    """A whole answer."""

    head: ReplyHead
    body: bytes
