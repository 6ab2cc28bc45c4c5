"""Runs one service as a process until it is told to stop."""

from __future__ import annotations

import signal
from collections.abc import Callable
from typing import Any, Protocol

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure as TwistedFailure

from pimentolink import logs

EXIT_SLOT_TAKEN = 3
EXIT_FAILED = 1


class Service(Protocol):
    """What a process runs."""

    async def start(self) -> bool | None:
        """Begin; ``False`` says that it cannot."""

    async def stop(self) -> None:
        """End gracefully."""


class Process:
    """One service between its start and its stop."""

    def __init__(self, reactor: Any, make_service: Callable[[Any], Service]) -> None:
        """
        Prepare.

        :param reactor: the loop.
        :param make_service: makes the service on the loop.
        """
        self._reactor = reactor
        self._make_service = make_service
        self._is_stopping = False
        self.exit_code = 0

    def start(self) -> None:
        """Begin, on the loop."""
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self._signalled)
        signal.signal(signal.SIGHUP, self._hung_up)
        self._service = self._make_service(self._reactor)
        started = Deferred.fromCoroutine(self._service.start())
        started.addCallbacks(self._started, self._broke)

    def _signalled(self, number: int, frame: object) -> None:
        self._reactor.callFromThread(self.stop)

    def _hung_up(self, number: int, frame: object) -> None:
        reload = getattr(self._service, "reload", None)
        if reload is not None:
            self._reactor.callFromThread(reload)

    def stop(self) -> None:
        """End gracefully; does nothing when called again."""
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
        # A start or stop that fails is a fault of the process itself; without this line
        # it would end without a word.
        traceback = failure.getTraceback()
        logs.Log().write(logs.LogEvent.UNHANDLED_ERROR, traceback=traceback)
        self.exit_code = EXIT_FAILED
        if not self._is_stopping:
            self._reactor.stop()
