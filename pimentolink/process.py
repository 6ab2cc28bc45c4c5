"""Runs one service as a process until it receives a stop signal."""

from __future__ import annotations

import signal
import time
from collections.abc import Callable
from typing import Any, Protocol

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure as TwistedFailure

from pimentolink import logs

EXIT_SLOT_TAKEN = 3
EXIT_FAILED = 1


def use_monotonic_clock(reactor: Any) -> None:
    """
    Let a reactor time its delayed calls by the monotonic clock.

    Twisted uses the wall clock: once that is set back, all delayed calls are late by
    the step, and once it is set forward, those within the step are made at once.

    :param reactor: the event loop, before any call is scheduled on it.
    """
    reactor.seconds = time.monotonic


class Service(Protocol):
    """A service that a process runs."""

    async def start(self) -> bool | None:
        """Start; returns ``False`` if another process holds its slot."""

    async def stop(self) -> None:
        """Stop gracefully."""


class Process:
    """Starts one service, handles signals and stops the service gracefully."""

    def __init__(self, reactor: Any, make_service: Callable[[Any], Service]) -> None:
        """
        Create a process; :meth:`start` starts its service.

        :param reactor: the event loop.
        :param make_service: creates the service on the event loop.
        """
        use_monotonic_clock(reactor)
        self._reactor = reactor
        self._make_service = make_service
        self._is_stopping = False
        self.exit_code = 0

    def start(self) -> None:
        """Install signal handlers and start the service on the event loop."""
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self._on_stop_signal)
        signal.signal(signal.SIGHUP, self._on_hangup)
        self._service = self._make_service(self._reactor)
        started = Deferred.fromCoroutine(self._service.start())
        started.addCallbacks(self._on_started, self._on_failure)

    def _on_stop_signal(self, number: int, frame: object) -> None:
        self._reactor.callFromThread(self.stop)

    def _on_hangup(self, number: int, frame: object) -> None:
        reload = getattr(self._service, "reload", None)
        if reload is not None:
            self._reactor.callFromThread(reload)

    def stop(self) -> None:
        """Stop gracefully; further calls do nothing."""
        if self._is_stopping:
            return
        self._is_stopping = True
        stopped = Deferred.fromCoroutine(self._service.stop())
        stopped.addErrback(self._on_failure)
        stopped.addBoth(lambda _: self._reactor.stop())

    def _on_started(self, is_running: bool | None) -> None:
        if is_running is False:
            self.exit_code = EXIT_SLOT_TAKEN
            self._reactor.stop()

    def _on_failure(self, failure: TwistedFailure) -> None:
        # A failed start or stop is a fault of this process. Without this line it would
        # exit without any log.
        traceback = failure.getTraceback()
        logs.Log().write(logs.LogEvent.UNHANDLED_ERROR, traceback=traceback)
        self.exit_code = EXIT_FAILED
        if not self._is_stopping:
            self._reactor.stop()
