"""How long bytes take to leave an instance over its own link."""

import pytest

from pimentolink.egressqueue import Uplink
from pimentolink.timers import ManualTimers


@pytest.fixture
def timers():
    return ManualTimers()


class TestUplink:
    def test_bytes_leave_at_the_rate_of_the_link(self, timers):
        assert Uplink(5.0, timers).delay(9_200) == pytest.approx(0.01472)

    def test_bytes_wait_for_those_written_before(self, timers):
        uplink = Uplink(5.0, timers)
        uplink.sent(62_500)
        assert uplink.delay(62_500) == pytest.approx(0.2)
        timers.advance(0.06)
        assert uplink.delay(0) == pytest.approx(0.04)

    def test_link_is_free_once_all_have_left(self, timers):
        uplink = Uplink(5.0, timers)
        uplink.sent(62_500)
        timers.advance(9.0)
        assert uplink.delay(0) == 0.0
        uplink.sent(62_500)
        assert uplink.delay(0) == pytest.approx(0.1)

    def test_link_that_is_not_known_delays_nothing(self, timers):
        uplink = Uplink(0.0, timers)
        uplink.sent(10**9)
        assert uplink.delay(10**9) == 0.0
