"""Test processes: the ports that they choose, and when they are there."""

import socket
import subprocess
import sys

import pytest

from tools.fleet import Process, free_port

CHOOSE = """
import sys, tools.fleet as fleet
fleet.FIRST_PORT, fleet.LAST_PORT = int(sys.argv[1]), int(sys.argv[1]) + 19
print(*(fleet.free_port() for _ in range(15)))
"""


def test_two_processes_never_choose_the_same_port():
    """The other process is left twenty ports, of which this one has chosen one."""
    port = free_port()
    words = [sys.executable, "-c", CHOOSE, str(port)]
    chosen = subprocess.run(words, capture_output=True, text=True, check=True)
    assert str(port) not in chosen.stdout.split()


def test_process_is_there_once_all_its_addresses_are(tmp_path):
    """A gateway was asked whether it is ready before that address was open."""
    first, second = (f"127.0.0.1:{free_port()}" for _ in range(2))
    arguments = ["http.server", first.rpartition(":")[2], "--bind", "127.0.0.1"]
    process = Process("p", arguments, first, tmp_path, (second,))
    try:
        while True:
            try:
                socket.create_connection(("127.0.0.1", int(arguments[1]))).close()
                break
            except OSError:
                assert process.is_running
        with pytest.raises(OSError, match="refused"):
            process.listens()
    finally:
        process.kill()
