"""Event streams in any segmentation."""

from hypothesis import given, settings
from hypothesis import strategies as st

from pimentolink.eventstream import EventSplitter, is_after

EVENTS = [f"id: {number}\ndata: {'x' * number}\n\n".encode() for number in range(1, 8)]


@settings(max_examples=10_000, deadline=None)
@given(cuts=st.lists(st.integers(0, sum(map(len, EVENTS))), max_size=12))
def test_any_pieces_give_the_same_events(cuts):
    whole = b"".join(EVENTS)
    offsets = sorted({0, len(whole), *cuts})
    splitter = EventSplitter()
    events = [
        event
        for start, end in zip(offsets, offsets[1:], strict=False)
        for event in splitter.feed(whole[start:end])
    ]
    assert [event.data for event in events] == EVENTS
    assert [event.event_id for event in events] == [b"%d" % n for n in range(1, 8)]
    assert splitter.rest() == b""


class TestRest:
    def test_torn_event_is_kept_back(self):
        splitter = EventSplitter()
        assert splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")[0].event_id == b"1"
        assert splitter.rest() == b"id: 2\nda"


class TestOrder:
    def test_only_later_events_are_news(self):
        assert is_after(b"3", b"2")
        assert not is_after(b"2", b"2")
        assert is_after(b"10", b"9")
        assert is_after(None, b"9")
