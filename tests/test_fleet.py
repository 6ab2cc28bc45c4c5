"""Processes that tests start: choice of ports, readiness and kept logs."""

import socket
import subprocess
import sys

import pytest

from tools.fleet import Process, free_port

CHOOSE_PORTS_SCRIPT = """
import sys, tools.fleet as fleet
fleet.FIRST_PORT, fleet.LAST_PORT = int(sys.argv[1]), int(sys.argv[1]) + 19
print(*(fleet.free_port() for _ in range(15)))
"""


def test_two_processes_never_choose_the_same_port():
    """The other process chooses from twenty ports, one of which is taken here."""
    port = free_port()
    command = [sys.executable, "-c", CHOOSE_PORTS_SCRIPT, str(port)]
    completed = subprocess.run(command, capture_output=True, text=True, check=True)
    assert str(port) not in completed.stdout.split()


def test_process_is_there_once_all_its_addresses_are(tmp_path):
    """
    A process counts as listening only once all of its addresses accept connections.

    Otherwise a gateway was asked for its readiness before that address was open.
    """
    listen_address, readiness_address = (f"127.0.0.1:{free_port()}" for _ in range(2))
    arguments = [
        "http.server",
        listen_address.rpartition(":")[2],
        "--bind",
        "127.0.0.1",
    ]
    process = Process("p", arguments, listen_address, tmp_path, (readiness_address,))
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


TEST_MODULE = """
import pytest
from tools.fleet import Fleet

@pytest.fixture(scope="module")
def shared():
    with Fleet() as fleet:
        yield fleet

def test_passes():
    with Fleet() as fleet:
        fleet.write("passed", {})

def test_fails_after_its_fleet_ended():
    with Fleet() as fleet:
        fleet.write("ended", {})
    assert False

def test_fails_beside_a_fleet_of_its_module(shared):
    shared.write("shared", {})
    assert False

@pytest.mark.xfail
def test_listed():
    with Fleet() as fleet:
        fleet.write("listed", {})
        assert False
"""


def test_logs_of_failed_tests_alone_are_kept(tmp_path):
    """
    Logs of failed tests are kept, since a rare failure can't be studied without them.

    Without this, they were deleted before anybody had read them.
    """
    test_module = tmp_path / "test_some.py"
    test_module.write_text(TEST_MODULE)
    command = [sys.executable, "-m", "pytest", "-p", "tests.conftest"]
    command += [
        "-p",
        "no:cacheprovider",
        f"--basetemp={tmp_path / 'base'}",
        str(test_module),
    ]
    completed = subprocess.run(command, capture_output=True, text=True, check=False)
    folder_by_log = {file.stem: file.parent for file in tmp_path.glob("base/**/*.json")}
    assert folder_by_log.keys() == {"ended", "shared", "listed"}
    for folder in folder_by_log.values():
        assert f"logs in {folder}" in completed.stdout
