"""Strict validation of the head of a caller's HTTP/1.1 request."""

from __future__ import annotations

import re

from result import Err, Ok, Result

from pimentolink.errors import HeadTooLarge, InvalidRequest

HEAD_END = b"\r\n\r\n"
_FOLDED = re.compile(rb"\r\n[ \t]")
_BARE_LINE_END = re.compile(rb"(?<!\r)\n|\r(?!\n)")
_FORBIDDEN_BYTE = re.compile(rb"[\x00-\x08\x0b\x0c\x0e-\x1f\x7f-\xff]")
_REQUEST_LINE = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+ /[!-~]* HTTP/1\.[01]")
_FIELD = re.compile(rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+):[ \t]*(.*?)[ \t]*")


def split_head(
    received: bytes, max_bytes: int
) -> Result[int, InvalidRequest | HeadTooLarge]:
    """
    Find the end of a request's head.

    :param received: the bytes received so far.
    :param max_bytes: maximum size of a head.
    :returns: length of the head in bytes; 0 while it is incomplete.
    """
    end = received.find(HEAD_END)
    if end > max_bytes or (end < 0 and len(received) > max_bytes):
        return Err(HeadTooLarge(f"the head is over {max_bytes} bytes"))
    if end >= 0:
        return Ok(end + len(HEAD_END))
    # The LF after a CR at the end may not have been received yet.
    if _BARE_LINE_END.search(received.removesuffix(b"\r")):
        return Err(InvalidRequest("a line ends with a bare CR or LF"))
    return Ok(0)


def check_head(head: bytes) -> InvalidRequest | None:
    """
    Reject a head that two HTTP parsers could interpret differently.

    With ambiguous framing, a request could hide a second one from this gateway
    (request smuggling).

    :param head: request line and header fields, with the empty line that ends them.
    :returns: why the head is rejected, or ``None``.
    :source: RFC 9112, sections 2.2, 3, 5.2 and 6.3.
    """
    if _BARE_LINE_END.search(head):
        return InvalidRequest("a line ends with a bare CR or LF")
    if _FOLDED.search(head):
        return InvalidRequest("a header is folded")
    if _FORBIDDEN_BYTE.search(head):
        return InvalidRequest("the head holds a control character or one above 0x7e")
    request_line, *lines = head[: -len(HEAD_END)].split(b"\r\n")
    if not _REQUEST_LINE.fullmatch(request_line):
        return InvalidRequest("the request line is malformed")
    values_by_name: dict[bytes, list[bytes]] = {}
    for line in lines:
        field = _FIELD.fullmatch(line)
        if field is None:
            return InvalidRequest("a header line is malformed")
        values_by_name.setdefault(field[1].lower(), []).append(field[2])
    return _check_framing(request_line, values_by_name)


def _check_framing(
    request_line: bytes, values_by_name: dict[bytes, list[bytes]]
) -> InvalidRequest | None:
    lengths = values_by_name.get(b"content-length", [])
    encodings = values_by_name.get(b"transfer-encoding", [])
    if len(values_by_name.get(b"host", [])) != 1:
        return InvalidRequest("there is not exactly one Host")
    if lengths and encodings:
        return InvalidRequest("both a length and a transfer encoding")
    if len(lengths) > 1 or (lengths and not re.fullmatch(rb"\d{1,15}", lengths[0])):
        return InvalidRequest("the length is malformed")
    if encodings and [value.lower() for value in encodings] != [b"chunked"]:
        return InvalidRequest("the transfer encoding is not exactly 'chunked'")
    if encodings and request_line.endswith(b"HTTP/1.0"):
        return InvalidRequest("a transfer encoding in HTTP/1.0")
    return None
