"""What a gateway learns of itself from the readings that it has had made."""

import pytest

from pimentolink.gatewaydelay import GatewayDelay
from pimentolink.logs import Log
from pimentolink.peermessages import OpenPrefills
from pimentolink.prefillscheduler import PrefillScheduler
from pimentolink.timers import ManualTimers
from tests.gatewayparts import engines, fleet, prompt, queue_over


class News:
    """Keeps what was told."""

    def __init__(self):
        self.messages = []

    def broadcast(self, message):
        self.messages.append(message)


class World:
    """The readings of one gateway before idle engines."""

    def __init__(self, is_timed):
        self.timers = ManualTimers()
        self.own_delay = GatewayDelay()
        self.news = News()
        queue = queue_over(fleet(*engines(2, 1), is_timed=is_timed))
        self.readings = PrefillScheduler(
            queue, self.news, self.timers, Log(), "life", self.own_delay
        )

    def begin(self, name):
        tickets = []
        self.readings.wait(prompt(name, at=self.timers.now())).addCallback(
            tickets.append
        )
        return tickets[0]

    def read_late(self):
        for number in range(5):
            ticket = self.begin(f"p{number}")
            self.timers.advance(ticket.expected + 0.3)
            self.readings.end(ticket, is_good=True)
        return self.own_delay.seconds(self.timers.now())


class TestOwnDelay:
    def test_readings_that_end_late_are_expected_to(self):
        assert World(is_timed=True).read_late() > 0.05

    @pytest.mark.parametrize(
        ("is_timed", "is_good"),
        [(False, True), (True, False)],
        ids=["predicted before readings were timed", "failed"],
    )
    def test_reading_that_tells_nothing_teaches_nothing(self, is_timed, is_good):
        world = World(is_timed)
        ticket = world.begin("first")
        world.timers.advance(1.0)
        world.readings.end(ticket, is_good)
        assert world.own_delay.seconds(world.timers.now()) == 0.0


class TestOpenReadings:
    @pytest.mark.parametrize("is_good", [True, False])
    def test_reading_is_open_until_its_end(self, is_good):
        world = World(is_timed=True)
        ticket = world.begin("first")
        assert world.readings.open_prefills() == OpenPrefills(1, [0])
        world.readings.end(ticket, is_good)
        assert world.readings.open_prefills() == OpenPrefills(1, [])
