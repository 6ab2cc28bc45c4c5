"""Splits a stream of server-sent events into complete events."""

from __future__ import annotations

import re
from typing import NamedTuple

from pimentolink.errors import ReplyInvalid

# The end of a line and the empty line after it. A CR that may be the first half of a
# CRLF is waited for, so that events do not depend on how the stream is split.
# :source: WHATWG HTML, section 9.2.5, allows LF, CRLF and CR.
_EVENT_END = re.compile(rb"\n\n|\r\r|\n\r\n|\n\r(?=[^\n])")
# Bytes of the longest match, before which no event can end in what was searched before.
_MAX_EVENT_END = 3
_LINE_ENDS = b"\r\n"
_ONLY_LINE_ENDS = re.compile(rb"[\r\n]*\Z")
_ID_FIELD = b"id:"
_DATA_FIELD = b"data"
# Largest number of bytes, and of events, without an event that has an id or data.
# Comments keep a stream alive, but one that has nothing else is no response.
MAX_IDLE_BYTES = 1_000_000
MAX_IDLE_EVENTS = 1_000


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
        self._pending = bytearray()
        self._idle_bytes = 0
        self._idle_events = 0
        self.has_event = False

    def feed(self, data: bytes) -> list[Event]:
        """
        Add the next bytes of the stream.

        :returns: the events that these bytes complete.
        :raises ReplyInvalid: if too many bytes or events came without an event that has
            an id or data.
        """
        searched = max(0, len(self._pending) - _MAX_EVENT_END)
        self._pending += data
        self._idle_bytes += len(data)
        events = []
        start = 0
        ends = [match.end() for match in _EVENT_END.finditer(self._pending, searched)]
        for end in ends:
            piece = bytes(self._pending[start:end])
            event = Event(piece, _event_id(piece))
            events.append(event)
            self.has_event = self.has_event or bool(piece.strip(_LINE_ENDS))
            self._idle_events += 1
            if event.event_id is not None or _DATA_FIELD in piece:
                self._idle_bytes = len(self._pending) - end
                self._idle_events = 0
            elif self._idle_events > MAX_IDLE_EVENTS:
                raise ReplyInvalid(f"{self._idle_events} events without data")
            start = end
        del self._pending[:start]
        if self._idle_bytes > MAX_IDLE_BYTES:
            raise ReplyInvalid(f"no event with data in {self._idle_bytes} bytes")
        if self._pending and _ONLY_LINE_ENDS.match(self._pending):
            # Empty lines between events belong to none of them.
            events.append(Event(bytes(self._pending), None))
            self._pending.clear()
        return events

    def rest(self) -> bytes:
        """Return the buffered bytes of an incomplete event."""
        return bytes(self._pending)


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
