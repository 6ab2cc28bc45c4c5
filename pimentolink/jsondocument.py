"""Reads JSON documents whose writer may be faulty."""

from __future__ import annotations

from typing import TypeVar

import msgspec
from result import Err, Ok, Result

from pimentolink.errors import DocumentInvalid

Read = TypeVar("Read")


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
