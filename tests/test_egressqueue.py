"""Tests for the predicted transmission delay over the link of an instance."""

import pytest

from pimentolink.egressqueue import EgressQueue
from pimentolink.timers import ManualTimers


@pytest.fixture
def timers():
    return ManualTimers()


class TestUplink:
    def test_bytes_leave_at_the_rate_of_the_link(self, timers):
        assert EgressQueue(5.0, timers).delay(9_200) == pytest.approx(0.01472)

    def test_bytes_wait_for_those_written_before(self, timers):
        egress_queue = EgressQueue(5.0, timers)
        egress_queue.record_sent(62_500)
        assert egress_queue.delay(62_500) == pytest.approx(0.2)
        timers.advance(0.06)
        assert egress_queue.delay(0) == pytest.approx(0.04)

    def test_link_is_free_once_all_have_left(self, timers):
        egress_queue = EgressQueue(5.0, timers)
        egress_queue.record_sent(62_500)
        timers.advance(9.0)
        assert egress_queue.delay(0) == 0.0
        egress_queue.record_sent(62_500)
        assert egress_queue.delay(0) == pytest.approx(0.1)

    def test_link_that_is_not_known_delays_nothing(self, timers):
        egress_queue = EgressQueue(0.0, timers)
        egress_queue.record_sent(10**9)
        assert egress_queue.delay(10**9) == 0.0
