"""The time of day that gateways agree on."""

import pytest

from pimentolink.clocksync import KEEP, SynchronizedClock
from pimentolink.timers import ManualTimers


class Clock(ManualTimers):
    """Timers whose wall clock can jump."""

    def __init__(self):
        super().__init__()
        self.jump = 0.0

    def wall_time(self):
        return super().wall_time() + self.jump


@pytest.fixture
def clock():
    return Clock()


def true_now(clock):
    return clock.wall_time() - clock.jump


class TestMedian:
    def test_alone_the_own_clock_counts(self, clock):
        assert SynchronizedClock(clock).now() == clock.wall_time()

    @pytest.mark.parametrize("jumps", [[2.0, -2.0], [3.0, 3.0, 0, 0, 0], [0, 0, 9.0]])
    def test_minority_that_jumped_moves_nothing(self, clock, jumps):
        time = SynchronizedClock(clock)
        for number, jump in enumerate(jumps):
            time.told(f"life-{number}", true_now(clock) + jump)
        assert time.now() == pytest.approx(true_now(clock))

    def test_own_jump_moves_nothing_at_once(self, clock):
        time = SynchronizedClock(clock)
        for number in range(2):
            time.told(f"life-{number}", true_now(clock))
        clock.advance(4.0)
        clock.jump = -2.0
        assert time.now() == pytest.approx(true_now(clock))

    def test_suspended_instance_keeps_the_time(self, clock):
        time = SynchronizedClock(clock)
        before = time.now()
        clock.suspend(3.0)
        clock.jump = 3.0
        assert time.now() == pytest.approx(before + 3.0)

    def test_gateway_that_is_gone_is_forgotten(self, clock):
        time = SynchronizedClock(clock)
        for number in range(2):
            time.told(f"life-{number}", true_now(clock) + 5.0)
        clock.advance(KEEP + 1.0)
        assert time.now() == pytest.approx(true_now(clock))
