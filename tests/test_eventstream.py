"""Event streams in any segmentation."""

import time

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pimentolink.errors import ReplyInvalid
from pimentolink.eventstream import (
    MAX_IDLE_BYTES,
    MAX_IDLE_EVENTS,
    EventSplitter,
    is_after,
)
from tests.gatewaybuilders import make_event, split_at

LINE_ENDS = (b"\n", b"\r\n", b"\r")


def make_events(line_end):
    return [make_event(number, line_end) for number in range(1, 8)]


@settings(max_examples=10_000, deadline=None)
@given(
    cuts=st.lists(st.integers(0, 200), max_size=12), line_end=st.sampled_from(LINE_ENDS)
)
def test_any_pieces_give_the_same_events(cuts, line_end):
    # Guards against streams whose lines end in CR, whose events were only relayed at
    # the end of the stream.
    expected = make_events(line_end)
    splitter = EventSplitter()
    events = [
        event
        for piece in split_at(b"".join(expected), cuts)
        for event in splitter.feed(piece)
    ]
    assert [event.data for event in events] == expected
    assert [event.event_id for event in events] == [b"%d" % n for n in range(1, 8)]
    assert splitter.rest() == b""


class TestEndlessStreams:
    """
    A target in trouble writes bytes that are no response until it is cut off.

    Its stream held a whole core until the route's timeout, and responses to others came
    up to 0.8 s late: all that was buffered was joined and searched again at each read.
    """

    @pytest.mark.parametrize("piece", [b"x" * 4096, b": ping\n\n" * 512, b"\n" * 4096])
    def test_without_data_ends_in_a_failure(self, piece):
        splitter = EventSplitter()
        with pytest.raises(ReplyInvalid, match="with(out)? data"):
            for _ in range(2 + MAX_IDLE_BYTES // len(piece)):
                splitter.feed(piece)
        assert len(splitter.rest()) <= MAX_IDLE_BYTES + len(piece)

    def test_comments_between_events_are_no_reason_to_end(self):
        splitter = EventSplitter()
        comments = b": ping\n\n" * (MAX_IDLE_EVENTS - 1)
        for number in range(4):
            splitter.feed(comments)
            splitter.feed(b"id: %d\n\n" % number)

    def test_event_without_an_end_is_searched_once(self):
        # Otherwise small pieces would take hundreds of times as long as large ones.
        def time_pieces(size):
            splitter = EventSplitter()
            began_at = time.process_time()
            for _ in range(900_000 // size):
                splitter.feed(b"x" * size)
            return time.process_time() - began_at

        few = min(time_pieces(90_000) for _ in range(3))
        assert min(time_pieces(900) for _ in range(3)) < 20 * few + 0.02


class TestLineEnds:
    def test_each_event_is_complete_with_its_empty_line(self):
        splitter = EventSplitter()
        for event in make_events(b"\r\n"):
            assert splitter.feed(event[:-1]) == []
            (found,) = splitter.feed(event[-1:])
            assert found.data == event

    @pytest.mark.parametrize("end", [b"\r\n\n", b"\n\r\n", b"\n\n", b"\r\r"])
    def test_lines_of_one_event_may_end_differently(self, end):
        splitter = EventSplitter()
        assert [event.event_id for event in splitter.feed(b"id: 1" + end)] == [b"1"]
        assert splitter.rest() == b""

    @pytest.mark.parametrize("line_end", LINE_ENDS)
    def test_line_end_within_an_event_does_not_end_it(self, line_end):
        splitter = EventSplitter()
        assert splitter.feed(b"id: 1" + line_end) == []
        assert splitter.feed(b"data: x") == []

    def test_further_empty_lines_are_passed_on(self):
        splitter = EventSplitter()
        events = splitter.feed(b"\nid: 1\n\n\n")
        assert b"".join(event.data for event in events) == b"\nid: 1\n\n\n"
        assert splitter.rest() == b""


class TestRest:
    def test_torn_event_is_kept_back(self):
        splitter = EventSplitter()
        assert splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")[0].event_id == b"1"
        assert splitter.rest() == b"id: 2\nda"

    def test_empty_lines_are_no_event(self):
        splitter = EventSplitter()
        splitter.feed(b"\n\n\n")
        assert not splitter.has_event
        splitter.feed(b"id: 1\n\n")
        assert splitter.has_event


class TestOrder:
    def test_only_later_events_are_news(self):
        assert is_after(b"3", b"2")
        assert not is_after(b"2", b"2")
        assert is_after(b"10", b"9")
        assert is_after(None, b"9")
