"""Ports of test processes that run side by side."""

import subprocess
import sys

from tools.fleet import free_port

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
