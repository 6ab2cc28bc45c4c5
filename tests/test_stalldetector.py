"""A process that stood still notices it."""

import pytest

from pimentolink.logs import Log
from pimentolink.stalldetector import StallDetector
from pimentolink.timers import ManualTimers


class Late(ManualTimers):
    """Timers whose calls can be held up, as by a stopped process."""

    stopped = 0.0

    def now(self):
        return super().now() + self.stopped

    def boot_time(self):
        return super().boot_time() + self.stopped


@pytest.fixture
def timers():
    return Late()


@pytest.fixture
def thawed(timers):
    found = []
    watch = StallDetector(timers, Log(), lambda: found.append(timers.now()))
    watch.start()
    timers.advance(1.0)
    return found


def test_steady_pace_is_no_freeze(timers, thawed):
    timers.advance(10.0)
    assert thawed == []


def test_stopped_process_is_noticed_once(timers, thawed):
    timers.stopped = 2.0
    timers.advance(1.0)
    assert len(thawed) == 1


def test_suspended_instance_is_noticed_by_the_boot_clock(timers, thawed):
    timers.suspend(2.0)
    timers.advance(1.0)
    assert len(thawed) == 1
