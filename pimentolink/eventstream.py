"""Splits a stream of server-sent events into complete events."""

from __future__ import annotations

from typing import NamedTuple

EVENT_END = b"\n\n"
_ID_FIELD = b"id:"


class Event(NamedTuple):
    """
    A server-sent event.

    :ivar data: all bytes of the event, with the empty line that ends it.
    :ivar event_id: value of its ``id`` field; ``None`` if it has none.
    """

    data: bytes
    event_id: bytes | None


class EventSplitter:
    """
    Buffers bytes until an event is complete.

    Only complete events are relayed, so that a stream that breaks within an event can
    resume at another target without its caller receiving a partial event.
    """

    def __init__(self) -> None:
        """Create a splitter with an empty buffer."""
        self._pending = b""

    def feed(self, data: bytes) -> list[Event]:
        """
        Add the next bytes of the stream.

        :returns: the events that these bytes complete.
        """
        whole, separator, self._pending = (self._pending + data).rpartition(EVENT_END)
        if not separator:
            return []
        pieces = (whole + separator).split(EVENT_END)[:-1]
        return [Event(piece + EVENT_END, _event_id(piece)) for piece in pieces]

    def rest(self) -> bytes:
        """Return the buffered bytes of an incomplete event."""
        return self._pending


def _event_id(piece: bytes) -> bytes | None:
    for line in piece.split(b"\n"):
        if line.startswith(_ID_FIELD):
            return line[len(_ID_FIELD) :].strip()
    return None


def is_after(event_id: bytes | None, last: bytes | None) -> bool:
    """
    Return whether the caller does not have an event yet.

    :param event_id: id of the event; ids are increasing numbers. Others are only
        compared for equality.
    :param last: id of the last event that the caller has.
    """
    if event_id is None or last is None:
        return True
    try:
        return int(event_id) > int(last)
    except ValueError:
        return event_id != last
