"""Calls of a sidecar to its target, on sockets."""

import socket
import threading

import pytest
from twisted.internet import reactor

from pimentolink.errors import TargetFailed
from pimentolink.targets import HttpTarget, TargetCall

HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
EVENT = b'data: {"choices": [{"text": "a"}]}\n\n'
DONE = b"data: [DONE]\n\n"
TIMEOUT = 5.0


class Listener:
    """Keeps what a call delivers."""

    def __init__(self):
        self.received = []
        self.failure = None
        self.has_ended = threading.Event()

    def tokens(self, tokens):
        self.received += tokens

    def finished(self, answer, finish_reason):
        self.has_ended.set()

    def failed(self, failure):
        self.failure = failure
        self.has_ended.set()


def stream_from(response):
    """Call a target that sends a response and closes its connection."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        address = f"127.0.0.1:{server.getsockname()[1]}"
        call = TargetCall("a", "POST", "/v1/completions", {}, b"{}", 0, [], True)
        listener = Listener()
        target = HttpTarget(reactor, address, TIMEOUT)
        reactor.callFromThread(target.start_stream, call, listener)
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
