"""Counts the usage of organisations at a gateway and reports it."""

from __future__ import annotations

from pimentolink.clocksync import SynchronizedClock
from pimentolink.gatewaysettings import UsageSettings
from pimentolink.keyspace import Change, Keyspace
from pimentolink.leadership import Leadership
from pimentolink.logs import Log
from pimentolink.peers import PeerProtocol
from pimentolink.timers import Timers
from pimentolink.usagepublisher import UsagePublisher
from pimentolink.usagereporter import UsageApi, UsageReporter


class Metering:
    """Counts requests that run here, and reports for all gateways if this one leads."""

    def __init__(
        self,
        settings: UsageSettings,
        life: str,
        leadership: Leadership,
        keyspace: Keyspace,
        api: UsageApi,
        peers: PeerProtocol,
        timers: Timers,
        log: Log,
    ) -> None:
        """
        Create publisher and reporter; :meth:`start` activates them.

        :param settings: window length, reporting deadline and time-out.
        :param life: identity of this process.
        :param leadership: leader election among the gateways; the leader reports.
        :param keyspace: the store.
        :param api: receives the reports.
        :param peers: exchanges messages with the other gateways.
        :param timers: the timer service.
        :param log: the event log.
        """
        clock = SynchronizedClock(timers)
        self.publisher = UsagePublisher(
            leadership.instance, life, settings.window, peers, clock, timers
        )
        self.publisher.leader = lambda: leadership.leader
        self.reporter = UsageReporter(
            settings, leadership, keyspace, api, self.publisher, clock, timers, log
        )
        leadership.on_leader = self.publisher.send_to_leader
        peers.on_usage = self.publisher.receive

    def start(self) -> None:
        """Start to exchange counts and to report."""
        self.publisher.start()
        self.reporter.start()

    def stop(self) -> None:
        """Stop reporting, and send the counts known here to other gateways."""
        self.reporter.stop()
        self.publisher.stop()

    def request_started(self, organisation: str, started_at: float) -> None:
        """Count a request; see :meth:`UsagePublisher.request_started`."""
        self.publisher.request_started(organisation, started_at)

    def key_changed(self, change: Change) -> None:
        """Apply a change of the key that holds the newest committed report."""
        self.reporter.key_changed(change)
