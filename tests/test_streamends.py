"""Streams of engines that end in every way, as a caller receives them."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.defer import CancelledError

from pimentolink.errors import Failure
from pimentolink.httptypes import BodyFraming
from tests.gatewaybuilders import make_event
from tests.scriptedengines import Response, StreamRun

LINE_ENDS = (b"\n", b"\r\n", b"\r")
# A part of the second event of a stream: within a line, after its id, and without the
# empty line that ends it.
PARTS_OF_AN_EVENT = (3, 6, len(make_event(2)) - 1)
FIRST_EVENT = len(make_event(1))


def stream(first, last, line_end=b"\n"):
    return b"".join(make_event(n, line_end) for n in range(first, last + 1))


def broken(sent, framing=BodyFraming.CLOSE, **fields):
    return Response(framing, sent, **fields)


class TestStreamThatEndsWithinAnEvent:
    """
    Engines broke streams off and ended their connections without a reset.

    A response with neither a length nor chunks ends with its connection, so that the
    part of an event was relayed, and the response completed.
    """

    @pytest.mark.parametrize("part", PARTS_OF_AN_EVENT)
    def test_is_resumed_at_another_engine(self, part):
        run = StreamRun([broken(FIRST_EVENT + part)])
        assert run.responder.body == stream(1, 4)
        assert run.responder.is_complete
        assert [call.last_event for call in run.calls] == [0, 1]

    @pytest.mark.parametrize("part", PARTS_OF_AN_EVENT)
    def test_does_not_look_complete_if_it_may_not_be_resumed(self, part):
        run = StreamRun([broken(FIRST_EVENT + part)], is_resumable=False)
        assert run.responder.body == stream(1, 1)
        assert not run.responder.is_complete
        assert len(run.calls) == 1

    def test_counts_as_broken_off_by_its_engine(self):
        run = StreamRun([broken(FIRST_EVENT + 3)], is_resumable=False)
        assert run.watcher.cut_off_count == 1
        assert run.watcher.success_count == 0

    @pytest.mark.parametrize("framing", [BodyFraming.LENGTH, BodyFraming.CHUNKED])
    def test_is_broken_off_even_if_its_framing_is_whole(self, framing):
        response = broken(FIRST_EVENT + 3, framing, is_framed_whole=True)
        run = StreamRun([response])
        assert run.responder.body == stream(1, 4)
        assert [call.last_event for call in run.calls] == [0, 1]

    def test_at_several_engines_is_resumed_after_the_last_complete_event(self):
        run = StreamRun([broken(FIRST_EVENT + 3), broken(len(make_event(2)) + 3)])
        assert run.responder.body == stream(1, 4)
        assert [call.last_event for call in run.calls] == [0, 1, 2]


class TestStreamWithoutAnEvent:
    """An engine that ends before its first event seems to send an empty stream."""

    def test_that_ends_with_its_connection_is_sent_to_another_engine(self):
        run = StreamRun([broken(0)])
        assert run.responder.body == stream(1, 4)
        assert len(run.calls) == 2

    def test_that_ends_with_its_connection_fails_if_it_may_not_be_repeated(self):
        run = StreamRun([broken(0)], is_resumable=False)
        assert isinstance(run.failure, Failure)
        assert not run.responder.has_begun

    def test_that_was_to_be_resumed_is_not_taken_for_its_end(self):
        run = StreamRun([broken(FIRST_EVENT + 3), broken(0)])
        assert run.responder.body == stream(1, 4)

    @pytest.mark.parametrize("framing", [BodyFraming.LENGTH, BodyFraming.CHUNKED])
    def test_is_complete_if_its_framing_is_whole(self, framing):
        run = StreamRun([broken(0, framing, is_framed_whole=True)])
        assert run.responder.body == b""
        assert run.responder.is_complete


class TestStreamWhoseEngineEndsBetweenTwoEvents:
    """
    An engine ended, and its streams with neither a length nor chunks with it.

    Nothing in such a response tells that events are missing, so that it was completed.
    """

    def test_is_resumed_at_another_engine(self):
        run = StreamRun([broken(FIRST_EVENT, is_crash=True)])
        assert run.responder.body == stream(1, 4)
        assert [call.last_event for call in run.calls] == [0, 1]

    def test_does_not_look_complete_if_it_may_not_be_resumed(self):
        run = StreamRun([broken(FIRST_EVENT, is_crash=True)], is_resumable=False)
        assert run.responder.body == stream(1, 1)
        assert not run.responder.is_complete
        assert run.watcher.cut_off_count == 1

    def test_is_complete_if_its_framing_is_whole(self):
        response = Response(BodyFraming.CHUNKED, is_crash=True)
        run = StreamRun([response], is_resumable=False)
        assert run.responder.is_complete


class TestCallerThatLeaves:
    """A request was sent to another engine though its caller had left."""

    def test_while_an_engine_is_connected_to_ends_its_request(self):
        run = StreamRun([], silent_connect=1, leaves_after=0.1)
        assert run.calls == []
        assert isinstance(run.failure, CancelledError)

    def test_while_the_end_is_confirmed_ends_its_request(self):
        # The second connection shows whether the engine still lives.
        run = StreamRun([broken(FIRST_EVENT)], silent_connect=2, leaves_after=0.1)
        assert len(run.calls) == 1
        assert not run.responder.is_complete
        assert isinstance(run.failure, CancelledError)

    def test_while_the_connection_is_held_ends_its_request(self):
        run = StreamRun([broken(FIRST_EVENT)], leaves_after=0.03)
        assert run.engines.connect_count == 2
        assert len(run.calls) == 1
        assert isinstance(run.failure, CancelledError)


class TestEngineThatCannotBeReached:
    def test_does_not_complete_its_response(self):
        run = StreamRun([broken(FIRST_EVENT)], silent_connect=2)
        assert run.responder.body == stream(1, 4)
        assert [call.last_event for call in run.calls] == [0, 1]


class TestPrefillReplyThatEndsEarly:
    def test_counts_as_broken_off_by_its_engine(self):
        # Guards against an engine that ended during a prefill, which nobody was
        # suspected of since the reply had ended with its connection.
        run = StreamRun([], prefill_replies=[b'{"kvHandle": "h", "tok'])
        assert run.watcher.cut_off_count == 1
        assert run.engines.prefill_count == 2
        assert run.responder.body == stream(1, 4)


class TestWholeStream:
    @pytest.mark.parametrize("line_end", LINE_ENDS)
    @pytest.mark.parametrize("framing", BodyFraming)
    def test_is_complete_with_any_framing_and_any_line_ends(self, framing, line_end):
        run = StreamRun([Response(framing, line_end=line_end)])
        assert run.responder.body == stream(1, 4, line_end)
        assert run.responder.is_complete
        assert len(run.calls) == 1
        assert run.watcher.success_count == 1

    @pytest.mark.parametrize("line_end", LINE_ENDS)
    def test_is_resumed_after_the_last_event_with_any_line_ends(self, line_end):
        part = len(make_event(1, line_end)) + 3
        run = StreamRun([broken(part, line_end=line_end)])
        assert run.responder.body == make_event(1, line_end) + stream(2, 4)


RESPONSES = st.lists(
    st.builds(
        Response,
        st.sampled_from(BodyFraming),
        st.none() | st.integers(0, 100),
        st.booleans(),
        st.booleans(),
        st.lists(st.integers(0, 300), max_size=6).map(tuple),
        st.sampled_from(LINE_ENDS),
        st.booleans(),
    ),
    max_size=4,
)


@settings(max_examples=1_000, deadline=None)
@given(responses=RESPONSES, is_resumable=st.booleans())
def test_caller_gets_whole_events_and_completes_only_whole_streams(
    responses, is_resumable
):
    run = StreamRun(responses, is_resumable=is_resumable)
    events = [event for call in run.calls for event in call.complete_events]
    assert run.responder.body == b"".join(events)
    assert run.responder.is_complete == run.calls[-1].looks_whole
    assert run.responder.is_complete == (run.failure is None)
    assert not any(call.looks_whole for call in run.calls[:-1])
    assert run.watcher.cut_off_count == len(run.calls) - run.responder.is_complete
