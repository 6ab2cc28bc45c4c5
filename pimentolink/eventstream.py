"""Splits a stream of server-sent events into complete events."""

from __future__ import annotations

import re
from typing import NamedTuple

# The end of a line and the empty line after it. A CR that may be the first half of a
# CRLF is waited for, so that events do not depend on how the stream is split.
# :source: WHATWG HTML, section 9.2.5, allows LF, CRLF and CR.
_EVENT_END = re.compile(rb"\n\n|\r\r|\n\r\n|\n\r(?=[^\n])")
_LINE_ENDS = b"\r\n"
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
    resume at another target without its caller receiving a partial event. A stream that
    ends while bytes are buffered is truncated.

    :ivar has_event: whether there was a complete event.
    """

    def __init__(self) -> None:
        """Create a splitter with an empty buffer."""
        self._pending = b""
        self.has_event = False

    def feed(self, data: bytes) -> list[Event]:
        """
        Add the next bytes of the stream.

        :returns: the events that these bytes complete.
        """
        received = self._pending + data
        events = []
        start = 0
        for match in _EVENT_END.finditer(received):
            piece = received[start : match.end()]
            events.append(Event(piece, _event_id(piece)))
            self.has_event = self.has_event or bool(piece.strip(_LINE_ENDS))
            start = match.end()
        self._pending = received[start:]
        if self._pending and not self._pending.strip(_LINE_ENDS):
            # Empty lines between events belong to none of them.
            events.append(Event(self._pending, None))
            self._pending = b""
        return events

    def rest(self) -> bytes:
        """Return the buffered bytes of an incomplete event."""
        return self._pending


def _event_id(piece: bytes) -> bytes | None:
    for line in piece.splitlines():
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
