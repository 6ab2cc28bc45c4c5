"""Tests for the delay estimate and the open prefills of a gateway."""

import pytest

from pimentolink.gatewaydelay import GatewayDelay
from pimentolink.logs import Log
from pimentolink.peermessages import OpenPrefills
from pimentolink.prefillscheduler import PrefillScheduler
from pimentolink.timers import ManualTimers
from tests.gatewayparts import engines, fleet, prompt, queue_over


class RecordingPublisher:
    """Records broadcast messages."""

    def __init__(self):
        self.messages = []

    def broadcast(self, message):
        self.messages.append(message)


class SchedulerHarness:
    """A prefill scheduler in front of idle engines."""

    def __init__(self, is_timed):
        self.timers = ManualTimers()
        self.own_delay = GatewayDelay()
        self.publisher = RecordingPublisher()
        queue = queue_over(fleet(*engines(2, 1), is_timed=is_timed))
        self.scheduler = PrefillScheduler(
            queue, self.publisher, self.timers, Log(), "life", self.own_delay
        )

    def start(self, name):
        tickets = []
        self.scheduler.wait(prompt(name, at=self.timers.now())).addCallback(
            tickets.append
        )
        return tickets[0]

    def run_late_prefills(self):
        for number in range(5):
            ticket = self.start(f"p{number}")
            self.timers.advance(ticket.expected + 0.3)
            self.scheduler.end(ticket, is_good=True)
        return self.own_delay.seconds(self.timers.now())


class TestOwnDelay:
    def test_readings_that_end_late_are_expected_to(self):
        assert SchedulerHarness(is_timed=True).run_late_prefills() > 0.05

    @pytest.mark.parametrize(
        ("is_timed", "is_good"),
        [(False, True), (True, False)],
        ids=["predicted before readings were timed", "failed"],
    )
    def test_reading_that_tells_nothing_teaches_nothing(self, is_timed, is_good):
        harness = SchedulerHarness(is_timed)
        ticket = harness.start("first")
        harness.timers.advance(1.0)
        harness.scheduler.end(ticket, is_good)
        assert harness.own_delay.seconds(harness.timers.now()) == 0.0


class TestOpenReadings:
    @pytest.mark.parametrize("is_good", [True, False])
    def test_reading_is_open_until_its_end(self, is_good):
        harness = SchedulerHarness(is_timed=True)
        ticket = harness.start("first")
        assert harness.scheduler.open_prefills() == OpenPrefills(1, [0])
        harness.scheduler.end(ticket, is_good)
        assert harness.scheduler.open_prefills() == OpenPrefills(1, [])
