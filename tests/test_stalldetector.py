"""Tests that a process detects that it was stopped or suspended."""

import pytest

from pimentolink.logs import Log
from pimentolink.stalldetector import StallDetector
from pimentolink.timers import ManualTimers


class StallingTimers(ManualTimers):
    """Timers whose clocks can jump ahead, as after the process was stopped."""

    stalled_for = 0.0

    def now(self):
        return super().now() + self.stalled_for

    def boot_time(self):
        return super().boot_time() + self.stalled_for


@pytest.fixture
def timers():
    return StallingTimers()


@pytest.fixture
def stalls(timers):
    stalled_at = []
    detector = StallDetector(timers, Log(), lambda: stalled_at.append(timers.now()))
    detector.start()
    timers.advance(1.0)
    return stalled_at


def test_steady_pace_is_no_freeze(timers, stalls):
    timers.advance(10.0)
    assert stalls == []


def test_stopped_process_is_noticed_once(timers, stalls):
    timers.stalled_for = 2.0
    timers.advance(1.0)
    assert len(stalls) == 1


def test_suspended_instance_is_noticed_by_the_boot_clock(timers, stalls):
    timers.suspend(2.0)
    timers.advance(1.0)
    assert len(stalls) == 1
