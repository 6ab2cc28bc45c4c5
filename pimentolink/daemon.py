"""Runs an entry or a sidecar as a process on one loop and one thread."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable
from typing import Any, Protocol

from twisted.internet import asyncioreactor
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure as TwistedFailure

from pimentolink import logs

EXIT_SLOT_TAKEN = 3
EXIT_FAILED = 1


class Service(Protocol):
    """What a daemon runs."""

    async def start(self) -> bool | None:
        """Begin; ``False`` says that it cannot."""

    async def stop(self) -> None:
        """End gracefully."""


def run(make_service: Callable[[Any], Service]) -> int:
    """
    Run a service until SIGTERM or SIGINT, then stop it gracefully.

    :param make_service: makes the service on a reactor.
    :returns: the process's exit code.
    """
    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    asyncioreactor.install(loop)
    from twisted.internet import reactor as installed_reactor

    reactor: Any = installed_reactor
    logs.configure()
    process = _Process(reactor, make_service)
    reactor.callWhenRunning(process.start)
    reactor.run(installSignalHandlers=False)
    return process.exit_code


class _Process:
    """One service between its start and its stop."""

    def __init__(self, reactor: Any, make_service: Callable[[Any], Service]) -> None:
        self._reactor = reactor
        self._make_service = make_service
        self._is_stopping = False
        self.exit_code = 0

    def start(self) -> None:
        loop = asyncio.get_event_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stop)
        self._service = self._make_service(self._reactor)
        started = Deferred.fromCoroutine(self._service.start())
        started.addCallbacks(self._started, self._broke)

    def stop(self) -> None:
        if self._is_stopping:
            return
        self._is_stopping = True
        stopped = Deferred.fromCoroutine(self._service.stop())
        stopped.addErrback(self._broke)
        stopped.addBoth(lambda _: self._reactor.stop())

    def _started(self, is_running: bool | None) -> None:
        if is_running is False:
            self.exit_code = EXIT_SLOT_TAKEN
            self._reactor.stop()

    def _broke(self, failure: TwistedFailure) -> None:
        failure.printTraceback()
        self.exit_code = EXIT_FAILED
        if not self._is_stopping:
            self._reactor.stop()
