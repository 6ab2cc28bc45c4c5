"""Tests of a service's process."""

import subprocess
import sys

import pytest

# Runs a service that stops after 0.3 s, and steps the wall clock before that.
STEPPED_CLOCK_PROGRAM = """
import sys, time

step, wall_clock = 0.0, time.time
# Twisted binds this function when it is imported.
time.time = lambda: wall_clock() + step

if sys.argv[2] == "asyncio":
    from twisted.internet import asyncioreactor

    asyncioreactor.install()
from twisted.internet import reactor

from pimentolink.process import Process
from pimentolink.timers import ReactorTimers


class Service:
    def __init__(self, reactor):
        self.timers = ReactorTimers(reactor)

    async def start(self):
        global step
        self.timers.call_later(0.3, process.stop)
        step = float(sys.argv[1])

    async def stop(self):
        pass


process = Process(reactor, Service)
reactor.callWhenRunning(process.start)
began_at = time.monotonic()
reactor.run()
print(time.monotonic() - began_at)
"""


# Runs a command, and steps the wall clock back once it waits for the store.
SILENT_STORE_PROGRAM = """
import json, socket, sys, threading, time

step, wall_clock = 0.0, time.time
time.time = lambda: wall_clock() + step

from pimentolink import cli

store, connections = socket.create_server(("127.0.0.1", 0)), []
address = f"127.0.0.1:{store.getsockname()[1]}"
with open(sys.argv[1], "w") as file:
    json.dump({"key_value": address, "instance_list": address, "timeout": 0.5}, file)

def set_back():
    global step
    connections.append(store.accept())
    step = -60.0

threading.Thread(target=set_back, daemon=True).start()
sys.argv[1:] = ["config", "show", "--platform", sys.argv[1]]
began_at = time.monotonic()
try:
    cli.main()
except SystemExit:
    print(time.monotonic() - began_at)
"""


def test_command_ends_on_time_when_the_wall_clock_steps(tmp_path):
    # Guards against a command that waited a minute for a store that does not respond.
    completed = subprocess.run(
        [sys.executable, "-c", SILENT_STORE_PROGRAM, str(tmp_path / "platform.json")],
        capture_output=True,
        text=True,
        timeout=90,
        check=True,
    )
    assert 0.5 <= float(completed.stdout.splitlines()[-1]) < 10.0


@pytest.mark.parametrize("reactor", ["default", "asyncio"])
@pytest.mark.parametrize("step", [-60.0, 60.0])
def test_timers_are_on_time_when_the_wall_clock_steps(step, reactor):
    # Guards against a gateway that took requests until it was killed, since the clock
    # of its instance was set back during its stop.
    completed = subprocess.run(
        [sys.executable, "-c", STEPPED_CLOCK_PROGRAM, str(step), reactor],
        capture_output=True,
        text=True,
        timeout=20,
        check=True,
    )
    assert 0.3 <= float(completed.stdout) < 10.0
