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
