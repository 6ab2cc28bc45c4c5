"""Reads JSON documents whose writer may be faulty."""

from __future__ import annotations

from typing import TypeVar

import msgspec
from result import Err, Ok, Result

from pimentolink.errors import DocumentInvalid
from pimentolink.logs import Log, LogEvent

Read = TypeVar("Read")


def read_entry(key: str, document: bytes, kind: type[Read], log: Log) -> Read | None:
    """
    Read what a gateway wrote under a key of the store.

    :param log: learns of a document that is none.
    :returns: ``None`` for such a document.
    """
    found = read_json(document, kind)
    if isinstance(found, Err):
        detail = f"{key}: {found.err_value.detail}"
        log.write(LogEvent.PEER_MESSAGE_INVALID, detail=detail)
        return None
    return found.ok_value


def read_json(document: bytes, kind: type[Read]) -> Result[Read, DocumentInvalid]:
    """
    Read a document as a typed value.

    :param document: any bytes; nesting may be deeper than the interpreter allows.
    :param kind: type of the value, with its own bounds.
    :returns: the value, or what is wrong with the document.
    """
    try:
        return Ok(msgspec.json.decode(document, type=kind))
    except (msgspec.DecodeError, RecursionError) as error:
        return Err(DocumentInvalid(str(error)))
