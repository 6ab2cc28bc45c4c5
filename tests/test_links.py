"""Ending links whose peer sends nothing, in virtual time."""

import pytest
from twisted.internet.testing import StringTransport

from pimentolink import link_pb2
from pimentolink.links import CHECKS_PER_SILENCE_TIMEOUT, LinkConnection
from pimentolink.logs import LogEvent
from pimentolink.settings import LinkSettings
from pimentolink.timers import ManualTimers
from tests.recordinglog import RecordingLog

SETTINGS = LinkSettings(silence=4.0)
CHECK_INTERVAL = SETTINGS.silence / CHECKS_PER_SILENCE_TIMEOUT


class StalledTimers(ManualTimers):
    """A process that was stalled: timers fire after the time they were due."""

    stalled_for = 0.0

    def now(self):
        return super().now() + self.stalled_for


class Connection(LinkConnection):
    received_type = link_pb2.SidecarMessage

    def handshake_received(self, message):
        pass


class Transport(StringTransport):
    def setTcpNoDelay(self, enabled):  # noqa: N802
        pass


@pytest.fixture
def log():
    return RecordingLog()


@pytest.fixture
def timers():
    return StalledTimers()


@pytest.fixture
def connection(timers, log):
    link_connection = Connection(SETTINGS, timers, log)
    link_connection.makeConnection(Transport())
    return link_connection


class TestSilence:
    def test_bound_follows_from_the_settings(self, connection, timers, log):
        """Links to paused processes were still up after 20 s."""
        timers.advance(SETTINGS.silence)
        assert not connection.transport.disconnecting
        timers.advance(CHECK_INTERVAL)
        assert connection.transport.disconnecting
        ((event, fields),) = log.lines
        assert event is LogEvent.LINK_SILENT
        assert fields["silent"] <= SETTINGS.silence + CHECK_INTERVAL

    def test_part_of_a_long_message_is_a_sign_of_life(self, connection, timers):
        timers.advance(SETTINGS.silence)
        connection.dataReceived(b"\0\0\1\0part")
        timers.advance(SETTINGS.silence)
        assert not connection.transport.disconnecting

    def test_bytes_that_wait_after_a_standstill_keep_the_link(self, connection, timers):
        """A stalled process ended all its links, although peers had sent data."""
        timers.stalled_for = 10.0
        timers.call_later(CHECK_INTERVAL, lambda: connection.dataReceived(b"\0\0\0\0"))
        timers.advance(CHECK_INTERVAL)
        assert not connection.transport.disconnecting

    def test_silent_link_ends_right_after_a_standstill(self, connection, timers, log):
        timers.stalled_for = 10.0
        timers.advance(CHECK_INTERVAL)
        assert connection.transport.disconnecting
        assert log.lines[0][1]["late"] == 10.0
