"""Runs an entry or a sidecar as a single-threaded process with real sockets."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any
from uuid import uuid4

from twisted.internet import asyncioreactor

from pimentolink import logs
from pimentolink.callers import CallerInterface
from pimentolink.callersite import make_site
from pimentolink.directwrite import listen
from pimentolink.engines import HttpEngineControl
from pimentolink.entry import Entry, EntryPorts
from pimentolink.instances import HttpInstanceList
from pimentolink.kvstore import HttpStore
from pimentolink.linkclient import LinkClient
from pimentolink.links import EntryLinkListener, SidecarLinkListener
from pimentolink.linkserver import LinkServer
from pimentolink.process import Process, Service
from pimentolink.settings import EntrySettings, SidecarSettings, split_address
from pimentolink.sidecar import Sidecar, SidecarPorts
from pimentolink.targets import HttpTarget
from pimentolink.timers import ReactorTimers

LISTEN_BACKLOG = 1024


class EntryDaemon:
    """An entry with its listening socket and network clients."""

    def __init__(self, reactor: Any, settings: EntrySettings) -> None:
        """
        Create an entry without opening sockets yet.

        :param reactor: the Twisted reactor.
        :param settings: settings of the entry.
        """
        self._reactor = reactor
        self._settings = settings
        self._timers = ReactorTimers(reactor)
        self._port: Any = None
        ports = EntryPorts(
            timers=self._timers,
            store=HttpStore(reactor, settings.platform),
            instances=HttpInstanceList(reactor, settings.platform),
            open_link=self._open_link,
            incarnation=uuid4().hex,
        )
        self._entry = Entry(settings, ports)

    async def start(self) -> None:
        """Listen for callers and start the entry."""
        interface = CallerInterface(
            self._entry, self._settings.limits, self._timers, self._settings.shared_key
        )
        site = make_site(interface, self._settings.limits, self._timers)
        host, port = split_address(self._settings.listen)
        self._port = listen(
            self._reactor,
            host,
            port,
            site,
            LISTEN_BACKLOG,
            self._settings.limits.buffered_bytes,
        )
        self._entry.start()

    async def stop(self) -> None:
        """Register as leaving, stop listening, then finish requests in flight."""
        await self._entry.leave()
        await self._port.stopListening()
        await self._entry.finish()

    def _open_link(self, address: str, listener: EntryLinkListener) -> LinkClient:
        return LinkClient(
            self._reactor,
            address,
            self._settings.shared_key,
            self._settings.links,
            listener,
            self._timers,
            self._entry.log,
        )


class SidecarDaemon:
    """A sidecar with its listening socket and network clients."""

    def __init__(self, reactor: Any, settings: SidecarSettings) -> None:
        """
        Create a sidecar without opening sockets yet.

        :param reactor: the Twisted reactor.
        :param settings: settings of the sidecar.
        """
        self._reactor = reactor
        self._settings = settings
        self._timers = ReactorTimers(reactor)
        self._log = logs.Log(instance=settings.instance, role="sidecar")
        target = self._open_target(settings.target_address)
        ports = SidecarPorts(
            timers=self._timers,
            store=HttpStore(reactor, settings.platform),
            instances=HttpInstanceList(reactor, settings.platform),
            target=target,
            engine=HttpEngineControl(target, settings.orders),
            open_older_system=self._open_target,
            listening=self._make_link_server,
            incarnation=uuid4().hex,
        )
        self._sidecar = Sidecar(settings, ports)

    async def start(self) -> bool:
        """Listen on the target's slot; return whether it was free."""
        return self._sidecar.start()

    async def stop(self) -> None:
        """Finish running work and deregister."""
        await self._sidecar.stop()

    def _open_target(self, address: str) -> HttpTarget:
        return HttpTarget(self._reactor, address, self._settings.target_timeout)

    def _make_link_server(self, listener: SidecarLinkListener) -> LinkServer:
        return LinkServer(
            self._reactor,
            self._settings.shared_key,
            self._settings.links,
            listener,
            self._timers,
            self._log,
        )


def run(make_service: Callable[[Any], Service]) -> int:
    """
    Run a service until SIGTERM or SIGINT, then stop it gracefully.

    :param make_service: creates the service for a reactor.
    :returns: the process's exit code.
    """
    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    asyncioreactor.install(loop)
    from twisted.internet import reactor as installed_reactor

    reactor: Any = installed_reactor
    logs.configure()
    logs.log_unhandled_errors(logs.Log())
    process = Process(reactor, make_service)
    reactor.callWhenRunning(process.start)
    reactor.run(installSignalHandlers=False)
    return process.exit_code
