"""Calls of a sidecar to its target, on sockets."""

import socket
import threading

import pytest
from twisted.internet import reactor

from pimentolink.errors import RejectionUnproven, TargetFailed
from pimentolink.targets import HttpTarget, TargetCall

HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
EVENT = b'data: {"choices": [{"text": "a"}]}\n\n'
DONE = b"data: [DONE]\n\n"
TIMEOUT = 5.0


class Listener:
    """Keeps what a call delivers."""

    def __init__(self):
        self.received = []
        self.answer = None
        self.failure = None
        self.has_ended = threading.Event()

    def tokens(self, tokens):
        self.received += tokens

    def finished(self, answer, finish_reason):
        self.answer = answer
        self.has_ended.set()

    def failed(self, failure):
        self.failure = failure
        self.has_ended.set()


def stream_from(response):
    """Request a stream of a target that sends a response and closes its connection."""
    return respond(HttpTarget.start_stream, response)


def respond(start, response, is_repeatable=True):
    """Start a call to a target that sends a response and closes its connection."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        address = f"127.0.0.1:{server.getsockname()[1]}"
        call = TargetCall("a", "POST", "/v1/completions", {}, b"{}", 0, [], True)
        call = call._replace(is_repeatable=is_repeatable)
        listener = Listener()
        target = HttpTarget(reactor, address, TIMEOUT)
        reactor.callFromThread(start, target, call, listener)
        server.settimeout(TIMEOUT)
        connection, _ = server.accept()
        with connection:
            connection.recv(65536)
            connection.sendall(response)
            connection.shutdown(socket.SHUT_WR)
            assert listener.has_ended.wait(TIMEOUT)
    return listener


@pytest.mark.usefixtures("loop")
class TestStreamThatEndsWithItsConnection:
    def test_is_complete_after_its_last_event(self):
        # Guards against complete streams of engines that send neither a length nor
        # chunks, which were reported as broken off.
        listener = stream_from(HEAD + EVENT + DONE)
        assert listener.received == ["a"]
        assert listener.failure is None

    @pytest.mark.parametrize("rest", [b"", DONE[:-4]])
    def test_is_broken_off_without_it(self, rest):
        listener = stream_from(HEAD + EVENT + rest)
        assert listener.received == ["a"]
        assert isinstance(listener.failure, TargetFailed)


@pytest.mark.usefixtures("loop")
@pytest.mark.parametrize("status", [408, 421, 429, 503])
class TestStatusThatPromises:
    """A target's status was taken for its statement that it did not run the call."""

    def response(self, status):
        return b"HTTP/1.1 %d X\r\nContent-Length: 0\r\n\r\n" % status

    def test_of_an_engine_does_not_say_that_it_did_not_run_the_request(self, status):
        listener = stream_from(self.response(status))
        assert isinstance(listener.failure, RejectionUnproven)

    def test_is_no_answer_to_a_call_that_may_run_once(self, status):
        response = self.response(status)
        listener = respond(HttpTarget.start_plain, response, is_repeatable=False)
        assert isinstance(listener.failure, RejectionUnproven)

    def test_is_passed_on_where_the_call_may_be_repeated(self, status):
        listener = respond(HttpTarget.start_plain, self.response(status))
        assert listener.answer.status == status
