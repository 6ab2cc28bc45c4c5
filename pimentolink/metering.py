"""Puts the parts together that count and report the usage of organisations."""

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
    """Counts what begins to run here, and reports for all gateways as their leader."""

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
        Prepare; :meth:`start` begins.

        :param settings: windows and patience.
        :param life: of this process.
        :param leadership: tells whether this gateway reports.
        :param keyspace: the store.
        :param api: takes reports.
        :param peers: the other gateways.
        :param timers: the timer service.
        :param log: where events go.
        """
        clock = SynchronizedClock(timers)
        self.publisher = UsagePublisher(
            leadership.instance, life, settings.window, peers, clock, timers
        )
        self.publisher.leader = lambda: leadership.leader
        self.reporter = UsageReporter(
            settings, leadership, keyspace, api, self.publisher, clock, timers, log
        )
        leadership.on_leader = self.publisher.tell_leader
        peers.on_usage = self.publisher.take

    def start(self) -> None:
        """Count and report."""
        self.publisher.start()
        self.reporter.start()

    def stop(self) -> None:
        """Tell the others what was counted here, and report no more."""
        self.reporter.stop()
        self.publisher.stop()

    def begun(self, organisation: str, began_at: float) -> None:
        """Count a request; see :meth:`UsagePublisher.begun`."""
        self.publisher.begun(organisation, began_at)

    def key_changed(self, change: Change) -> None:
        """Learn of a change of the key of reports."""
        self.reporter.key_changed(change)
