"""Decodes JSON documents from sources that are not trusted to be valid."""

from __future__ import annotations

from typing import TypeVar

import msgspec
from result import Err, Ok, Result

from pimentolink.errors import DocumentInvalid
from pimentolink.logs import Log, LogEvent

T = TypeVar("T")


def read_entry(key: str, document: bytes, kind: type[T], log: Log) -> T | None:
    """
    Decode a document that a gateway wrote to the store.

    :param key: the key of the document in the store.
    :param log: records an invalid document.
    :returns: the value, or ``None`` if the document is invalid.
    """
    found = read_json(document, kind)
    if isinstance(found, Err):
        detail = f"{key}: {found.err_value.detail}"
        log.write(LogEvent.PEER_MESSAGE_INVALID, detail=detail)
        return None
    return found.ok_value


def read_json(document: bytes, kind: type[T]) -> Result[T, DocumentInvalid]:
    """
    Decode a document to a typed value.

    :param document: any bytes; nesting may be deeper than the interpreter's recursion
        limit.
    :param kind: type of the value, with its constraints.
    :returns: the value, or a failure that says why the document is invalid.
    """
    try:
        return Ok(msgspec.json.decode(document, type=kind))
    except (msgspec.DecodeError, RecursionError) as error:
        return Err(DocumentInvalid(str(error)))
