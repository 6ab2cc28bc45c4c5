"""When a link is given up for silence, in virtual time."""

import pytest
from twisted.internet.testing import StringTransport

from pimentolink import link_pb2
from pimentolink.links import CHECKS_IN_SILENCE, LinkConnection
from pimentolink.logs import LogEvent
from pimentolink.settings import LinkSettings
from pimentolink.timers import ManualTimers

SETTINGS = LinkSettings(silence=4.0)
CHECK = SETTINGS.silence / CHECKS_IN_SILENCE


class LateTimers(ManualTimers):
    """A loop that stood still: calls are made after the moment they were due."""

    stood = 0.0

    def now(self):
        return super().now() + self.stood


class Connection(LinkConnection):
    received_type = link_pb2.SidecarMessage

    def greeting_received(self, message):
        pass


class Transport(StringTransport):
    def setTcpNoDelay(self, enabled):  # noqa: N802
        pass


class Lines:
    def __init__(self):
        self.lines = []

    def write(self, event, **fields):
        self.lines.append((event, fields))


@pytest.fixture
def log():
    return Lines()


@pytest.fixture
def timers():
    return LateTimers()


@pytest.fixture
def connection(timers, log):
    made = Connection(SETTINGS, timers, log)
    made.makeConnection(Transport())
    return made


class TestSilence:
    def test_bound_follows_from_the_settings(self, connection, timers, log):
        """Links of paused processes were still up 20 s later."""
        timers.advance(SETTINGS.silence)
        assert not connection.transport.disconnecting
        timers.advance(CHECK)
        assert connection.transport.disconnecting
        ((event, fields),) = log.lines
        assert event is LogEvent.LINK_SILENT
        assert fields["silent"] <= SETTINGS.silence + CHECK

    def test_part_of_a_long_message_is_a_sign_of_life(self, connection, timers):
        timers.advance(SETTINGS.silence)
        connection.dataReceived(b"\0\0\1\0part")
        timers.advance(SETTINGS.silence)
        assert not connection.transport.disconnecting

    def test_bytes_that_wait_after_a_standstill_keep_the_link(self, connection, timers):
        """A process that stood still ended all its links, though peers had sent."""
        timers.stood = 10.0
        timers.call_later(CHECK, lambda: connection.dataReceived(b"\0\0\0\0"))
        timers.advance(CHECK)
        assert not connection.transport.disconnecting

    def test_silent_link_ends_right_after_a_standstill(self, connection, timers, log):
        timers.stood = 10.0
        timers.advance(CHECK)
        assert connection.transport.disconnecting
        assert log.lines[0][1]["late"] == 10.0
