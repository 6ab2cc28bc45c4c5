"""The proxy that soaks put before targets and the store."""

import socket
import struct

import pytest

from tests.faultproxy import DELAY, NO_FAULT, SILENT
from tools.fleet import call, free_port

TIMEOUT = 5.0
# Seconds in which a blocked connection delivers nothing.
BLOCKED_SECONDS = 0.3


@pytest.fixture
def proxied(fleet):
    """Provide a function that sets the fault, and both ends of a connection."""
    front = f"127.0.0.1:{free_port()}"
    with socket.create_server(("127.0.0.1", 0)) as server:
        target = f"127.0.0.1:{server.getsockname()[1]}"
        fleet.start(
            "proxy", "tests.faultproxy", f"--front={front}", f"--target={target}"
        )
        fleet.settle()
        port = int(front.rpartition(":")[2])
        client = socket.create_connection(("127.0.0.1", port), TIMEOUT)
        served, _ = server.accept()
        with client, served:
            yield (
                lambda mode: call(fleet.url("proxy", "/mode"), "PUT", mode),
                client,
                served,
            )


class TestEndOfAConnection:
    """A stream was cut off between two events, as if its engine had closed it."""

    @pytest.mark.parametrize("mode", [SILENT, DELAY])
    def test_follows_the_data_before_it(self, proxied, mode):
        set_mode, client, served = proxied
        set_mode(mode)
        served.sendall(b"data")
        served.close()
        if mode == SILENT:
            client.settimeout(BLOCKED_SECONDS)
            with pytest.raises(TimeoutError):
                client.recv(10)
            client.settimeout(TIMEOUT)
            set_mode(NO_FAULT)
        assert client.recv(10) == b"data"
        assert client.recv(10) == b""

    def test_is_a_reset_if_it_was_one(self, proxied):
        _, client, served = proxied
        served.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        served.close()
        with pytest.raises(ConnectionResetError):
            client.recv(10)
