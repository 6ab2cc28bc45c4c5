"""Connects the components that quarantine requests that crash targets."""

from __future__ import annotations

from random import Random

from pimentolink.crashreports import CrashReports
from pimentolink.gatewaysettings import GatewaySettings
from pimentolink.keyspace import Keyspace
from pimentolink.logs import Log
from pimentolink.peers import PeerProtocol
from pimentolink.retry import Backoff
from pimentolink.suspects import SuspectTracker
from pimentolink.suspectstore import SuspectStore
from pimentolink.timers import Timers


class Quarantine:
    """
    The components by which one gateway quarantines requests that crash targets.

    :ivar reports: detects crashes, and exchanges reports of them with other gateways.
    :ivar store: writes and reads the stored documents of suspects.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        incarnation: str,
        keyspace: Keyspace,
        peers: PeerProtocol,
        timers: Timers,
        random: Random,
        log: Log,
    ) -> None:
        """
        Make the components and connect them.

        :param settings: of the gateway.
        :param incarnation: unique identifier of this process.
        :param keyspace: the store.
        :param peers: sends messages to other gateways and receives theirs.
        :param timers: the timer service.
        :param random: seeded source for the jitter of quarantines and writes.
        :param log: receives log events.
        """
        store_settings = settings.store
        suspects = SuspectTracker(random)
        self.reports = CrashReports(suspects, peers, timers, log)
        self.store = SuspectStore(
            f"{settings.instance}/{incarnation}",
            keyspace,
            suspects,
            timers,
            Backoff(store_settings.backoff_first, store_settings.backoff_most, random),
            random,
            log,
        )
        self.store.on_message = self.reports.receive
        self.reports.on_crash_recorded = self.store.crash_recorded
        self.reports.on_cleared = self.store.cleared
        peers.on_suspects = self.reports.receive
