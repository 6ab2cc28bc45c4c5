"""Tests for the estimate of the delay that a gateway adds to prefills."""

import pytest

from pimentolink.gatewaydelay import GatewayDelay


class TestOwnDelay:
    def test_nothing_is_expected_before_readings_ended(self):
        assert GatewayDelay().seconds(5.0) == 0.0

    def test_mean_of_the_last_readings_is_expected(self):
        delay = GatewayDelay()
        for _ in range(50):
            delay.learn(0.1, 1.0)
        assert delay.seconds(1.0) == pytest.approx(0.1, rel=0.05)

    def test_one_reading_that_hung_stands_for_little(self):
        delay = GatewayDelay()
        delay.learn(0.3, 1.0)
        assert delay.seconds(1.0) == pytest.approx(0.1)

    def test_it_is_forgotten_without_readings(self):
        delay = GatewayDelay()
        for _ in range(50):
            delay.learn(0.1, 1.0)
        assert delay.seconds(8.0) < 0.01

    def test_readings_shorter_than_predicted_are_no_delay(self):
        delay = GatewayDelay()
        delay.learn(-0.1, 1.0)
        assert delay.seconds(1.0) == 0.0
