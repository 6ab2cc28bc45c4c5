"""Tests of the time of day estimated from the clocks of several gateways."""

import pytest

from pimentolink.clocksync import SAMPLE_LIFETIME, SynchronizedClock
from pimentolink.timers import ManualTimers


class JumpingTimers(ManualTimers):
    """Timers whose wall clock can jump."""

    def __init__(self):
        super().__init__()
        self.jump = 0.0

    def wall_time(self):
        return super().wall_time() + self.jump


@pytest.fixture
def clock():
    return JumpingTimers()


def true_now(clock):
    return clock.wall_time() - clock.jump


class TestMedian:
    def test_alone_the_own_clock_counts(self, clock):
        assert SynchronizedClock(clock).now() == clock.wall_time()

    @pytest.mark.parametrize("jumps", [[2.0, -2.0], [3.0, 3.0, 0, 0, 0], [0, 0, 9.0]])
    def test_minority_that_jumped_moves_nothing(self, clock, jumps):
        synchronized = SynchronizedClock(clock)
        for number, jump in enumerate(jumps):
            synchronized.add_sample(f"life-{number}", true_now(clock) + jump)
        assert synchronized.now() == pytest.approx(true_now(clock))

    def test_own_jump_moves_nothing_at_once(self, clock):
        synchronized = SynchronizedClock(clock)
        for number in range(2):
            synchronized.add_sample(f"life-{number}", true_now(clock))
        clock.advance(4.0)
        clock.jump = -2.0
        assert synchronized.now() == pytest.approx(true_now(clock))

    def test_suspended_instance_keeps_the_time(self, clock):
        synchronized = SynchronizedClock(clock)
        before = synchronized.now()
        clock.suspend(3.0)
        clock.jump = 3.0
        assert synchronized.now() == pytest.approx(before + 3.0)

    def test_gateway_that_is_gone_is_forgotten(self, clock):
        synchronized = SynchronizedClock(clock)
        for number in range(2):
            synchronized.add_sample(f"life-{number}", true_now(clock) + 5.0)
        clock.advance(SAMPLE_LIFETIME + 1.0)
        assert synchronized.now() == pytest.approx(true_now(clock))
