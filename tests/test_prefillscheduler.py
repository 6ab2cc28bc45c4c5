"""Tests for the delay estimate and the open prefills of a gateway."""

import pytest

from pimentolink.gatewaydelay import GatewayDelay
from pimentolink.logs import Log
from pimentolink.peermessages import OpenPrefills
from pimentolink.prefillscheduler import PrefillScheduler
from pimentolink.timers import ManualTimers
from tests.gatewaybuilders import engines, fleet, make_prefill_queue, prompt


class RecordingPublisher:
    """Records broadcast messages."""

    def __init__(self):
        self.messages = []

    def broadcast(self, message):
        self.messages.append(message)


class SchedulerHarness:
    """A prefill scheduler in front of idle engines."""

    def __init__(self, has_measured_costs):
        self.timers = ManualTimers()
        self.gateway_delay = GatewayDelay()
        self.publisher = RecordingPublisher()
        queue = make_prefill_queue(
            fleet(*engines(2, 1), has_measured_costs=has_measured_costs)
        )
        self.scheduler = PrefillScheduler(
            queue, self.publisher, self.timers, Log(), "life", self.gateway_delay
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
        return self.gateway_delay.seconds(self.timers.now())


class TestOwnDelay:
    def test_readings_that_end_late_are_expected_to(self):
        assert SchedulerHarness(has_measured_costs=True).run_late_prefills() > 0.05

    @pytest.mark.parametrize(
        ("has_measured_costs", "is_good"),
        [(False, True), (True, False)],
        ids=["predicted before readings were timed", "failed"],
    )
    def test_reading_that_tells_nothing_teaches_nothing(
        self, has_measured_costs, is_good
    ):
        harness = SchedulerHarness(has_measured_costs)
        ticket = harness.start("first")
        harness.timers.advance(1.0)
        harness.scheduler.end(ticket, is_good)
        assert harness.gateway_delay.seconds(harness.timers.now()) == 0.0


class TestOpenReadings:
    @pytest.mark.parametrize("is_good", [True, False])
    def test_reading_is_open_until_its_end(self, is_good):
        harness = SchedulerHarness(has_measured_costs=True)
        ticket = harness.start("first")
        assert harness.scheduler.open_prefills() == OpenPrefills(1, [0])
        harness.scheduler.end(ticket, is_good)
        assert harness.scheduler.open_prefills() == OpenPrefills(1, [])
