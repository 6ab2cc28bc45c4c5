"""Keeps requests that crash targets from them: its parts, put together."""

from __future__ import annotations

from random import Random

from pimentolink.crashreports import CrashReports
from pimentolink.gatewaysettings import GatewaySettings
from pimentolink.keyspace import Keyspace
from pimentolink.logs import Log
from pimentolink.peers import PeerProtocol
from pimentolink.retry import Backoff
from pimentolink.suspects import Suspects
from pimentolink.suspectstore import SuspectStore
from pimentolink.timers import Timers


class Quarantine:
    """
    What one gateway knows of such requests, tells others and hears from them.

    :ivar reports: watches calls to targets.
    :ivar store: reads and writes documents for gateways that start later.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        life: str,
        keyspace: Keyspace,
        peers: PeerProtocol,
        timers: Timers,
        random: Random,
        log: Log,
    ) -> None:
        """
        Prepare.

        :param settings: of the gateway.
        :param life: of its process.
        :param keyspace: the store.
        :param peers: carries messages to other gateways, and theirs here.
        :param timers: the timer service.
        :param random: seeded source, which spreads tries and writes.
        :param log: where events go.
        """
        pauses = settings.store
        suspects = Suspects(random)
        self.reports = CrashReports(suspects, peers, timers, log)
        self.store = SuspectStore(
            f"{settings.instance}/{life}",
            keyspace,
            suspects,
            timers,
            Backoff(pauses.backoff_first, pauses.backoff_most, random),
            random,
            log,
        )
        self.store.on_news = self.reports.take
        self.reports.on_struck = self.store.struck
        self.reports.on_cleared = self.store.cleared
        peers.on_suspects = self.reports.take
