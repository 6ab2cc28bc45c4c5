"""Callers' requests in any segmentation and with any damage, without sockets."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pimentolink.callerhttp import CallerFactory
from pimentolink.logs import Log
from pimentolink.metrics import Metrics
from pimentolink.routes import CallerBounds
from pimentolink.timers import ManualTimers
from tests.gatewaybuilders import SocketTransport, split_at

HEAD = b"POST /p HTTP/1.1\r\nHost: x\r\n"
PIECES = st.lists(st.binary(min_size=1, max_size=40), max_size=5)
CUTS = st.lists(st.integers(0, 400), max_size=8)


class RecordingHandler:
    """Records requests and answers each at once."""

    def __init__(self):
        self.requests = []

    async def handle(self, http, responder):
        self.requests.append(http)
        responder.answer(200, (), b"")


class CallerHarness:
    """A caller's connection, with the requests that reached the handler."""

    def __init__(self, **bounds):
        self.handler = RecordingHandler()
        limits = {"head_bytes": 1000, "body_bytes": 10_000} | bounds
        caller_bounds = CallerBounds(**limits, head_time=1.0, idle_time=5.0)
        factory = CallerFactory(
            self.handler,
            lambda: caller_bounds,
            lambda headers: "",
            ManualTimers(),
            Log(instance="g"),
            Metrics(),
        )
        self.transport = SocketTransport()
        self.connection = factory.buildProtocol(None)
        self.connection.makeConnection(self.transport)

    def send(self, data, cuts=()):
        for piece in split_at(data, cuts):
            if self.transport.disconnecting:
                return
            self.connection.dataReceived(piece)

    @property
    def bodies(self):
        return [request.body for request in self.handler.requests]


def chunked_request(pieces, end=b"0\r\n\r\n"):
    """Encode a request with a chunked body."""
    chunks = [b"%x\r\n%s\r\n" % (len(piece), piece) for piece in pieces]
    return HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + b"".join(chunks) + end


def request_with_length(body):
    return HEAD + b"Content-Length: %d\r\n\r\n%s" % (len(body), body)


@settings(max_examples=10_000, deadline=None)
@given(pieces=PIECES, cuts=CUTS, is_chunked=st.booleans())
def test_any_pieces_give_the_same_body(pieces, cuts, is_chunked):
    caller = CallerHarness()
    whole = (
        chunked_request(pieces) if is_chunked else request_with_length(b"".join(pieces))
    )
    caller.send(whole, cuts)
    assert caller.bodies == [b"".join(pieces)]


@settings(max_examples=10_000, deadline=None)
@given(pieces=PIECES, cuts=CUTS, missing=st.integers(1, 400))
def test_part_of_a_body_is_not_handed_on(pieces, cuts, missing):
    caller = CallerHarness()
    whole = chunked_request(pieces)
    caller.send(whole[: max(0, len(whole) - missing)], cuts)
    assert caller.bodies == []


@settings(max_examples=10_000, deadline=None)
@given(
    pieces=PIECES,
    cuts=CUTS,
    noise=st.binary(min_size=1, max_size=6),
    at=st.integers(0, 300),
)
def test_damaged_request_ends_in_one_refusal_or_is_taken(pieces, cuts, noise, at):
    """Each accepted request gets one response, and an error response is the last."""
    caller = CallerHarness()
    whole = chunked_request(pieces)
    caller.send(whole[:at] + noise + whole[at:], cuts)
    answers = caller.transport.value().split(b"HTTP/1.1 ")[1:]
    refused = [answer for answer in answers if answer[:1] == b"4"]
    assert len(answers) - len(refused) == len(caller.handler.requests)
    assert refused in ([], answers[-1:])
    if refused:
        assert caller.transport.disconnecting


class TestChunks:
    @pytest.mark.parametrize(
        "bad",
        [b"g\r\n", b"-1\r\na\r\n", b"+1\r\na\r\n", b"1\r\nab\r\n", b"0x1\r\na\r\n"],
    )
    def test_malformed_chunk_is_refused(self, bad):
        caller = CallerHarness()
        caller.send(chunked_request([b"abc"], end=bad))
        assert caller.transport.value().startswith(b"HTTP/1.1 400")
        assert caller.bodies == []

    def test_body_that_grows_over_the_bound_is_refused(self):
        caller = CallerHarness(body_bytes=100)
        caller.send(chunked_request([b"a" * 60, b"b" * 60]))
        assert caller.transport.value().startswith(b"HTTP/1.1 413")
        assert caller.bodies == []
