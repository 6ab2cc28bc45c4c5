"""Test processes: their ports, when they are there, and what is left of them."""

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


TESTS = """
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
    """The logs of failures that were seen once were gone before they were read."""
    path = tmp_path / "test_some.py"
    path.write_text(TESTS)
    words = [sys.executable, "-m", "pytest", "-p", "tests.conftest"]
    words += ["-p", "no:cacheprovider", f"--basetemp={tmp_path / 'base'}", str(path)]
    done = subprocess.run(words, capture_output=True, text=True, check=False)
    kept = {file.stem: file.parent for file in tmp_path.glob("base/**/*.json")}
    assert kept.keys() == {"ended", "shared", "listed"}
    for folder in kept.values():
        assert f"logs in {folder}" in done.stdout
