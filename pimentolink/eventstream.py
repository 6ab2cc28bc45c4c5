"""Cuts a stream of server-sent events into whole events."""

from __future__ import annotations

from typing import NamedTuple

EVENT_END = b"\n\n"
_ID_FIELD = b"id:"


class Event(NamedTuple):
    """
    One event.

    :ivar data: all its bytes, with the empty line that ends it.
    :ivar event_id: ``None`` if it names none.
    """

    data: bytes
    event_id: bytes | None


class EventSplitter:
    """
    Collects bytes until an event is whole.

    Only whole events are passed on, so that a stream that breaks inside an event can
    go on at another target without its caller seeing a torn one.
    """

    def __init__(self) -> None:
        """Start before the first event."""
        self._pending = b""

    def feed(self, data: bytes) -> list[Event]:
        """
        Take bytes.

        :returns: the events that are whole now.
        """
        whole, separator, self._pending = (self._pending + data).rpartition(EVENT_END)
        if not separator:
            return []
        pieces = (whole + separator).split(EVENT_END)[:-1]
        return [Event(piece + EVENT_END, _event_id(piece)) for piece in pieces]

    def rest(self) -> bytes:
        """Return what came of an event that is not whole."""
        return self._pending


def _event_id(piece: bytes) -> bytes | None:
    for line in piece.split(b"\n"):
        if line.startswith(_ID_FIELD):
            return line[len(_ID_FIELD) :].strip()
    return None


def is_after(event_id: bytes | None, last: bytes | None) -> bool:
    """
    Tell whether an event is one that the caller does not have yet.

    :param event_id: of the event; ids are rising numbers.
    :param last: that the caller has.
    """
    if event_id is None or last is None:
        return True
    try:
        return int(event_id) > int(last)
    except ValueError:
        return event_id != last
