"""Queries engines for their prefix cache contents when a gateway starts."""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from random import Random
from typing import Any

from result import Err
from twisted.internet.defer import Deferred

from pimentolink.dialect import Dialect
from pimentolink.errors import Failure
from pimentolink.fleet import Fleet
from pimentolink.httptypes import HttpReply, HttpRequest
from pimentolink.logs import Log, LogEvent
from pimentolink.targetestimate import TargetEstimate
from pimentolink.timers import Timers, pause, with_timeout

# Maximum random delay of a query in seconds, so that gateways that start together do
# not query an engine at the same time.
MAX_JITTER = 1.0
# Seconds to wait for the response to a query.
QUERY_TIMEOUT = 1.0

Send = Callable[[TargetEstimate, HttpRequest], Coroutine[Any, Any, HttpReply]]


class CacheLearning:
    """
    Queries each engine once for the contents of its prefix cache.

    Without this, after a gateway restart, engines recompute shared parts that other
    engines still have cached, until each of these parts has been requested again.
    """

    def __init__(
        self,
        dialect: Dialect,
        fleet: Fleet,
        send: Send,
        timers: Timers,
        random: Random,
        log: Log,
    ) -> None:
        """
        Create a learner; no query is sent yet.

        :param dialect: encodes queries and decodes responses.
        :param fleet: the engines.
        :param send: sends an HTTP request to an engine.
        :param timers: the timer service.
        :param random: seeded random source for the jitter.
        :param log: receives log events.
        """
        self._dialect = dialect
        self._fleet = fleet
        self._send = send
        self._timers = timers
        self._random = random
        self._log = log

    def query_all(self) -> None:
        """Query every engine that is currently known."""
        for estimate in self._fleet.targets_by_id.values():
            if self._fleet.model(estimate.target.service) is not None:
                task = Deferred.fromCoroutine(self._query(estimate))
                task.addErrback(lambda failure: failure.trap(Failure, TimeoutError))

    async def _query(self, estimate: TargetEstimate) -> None:
        await pause(self._timers, self._random.uniform(0.0, MAX_JITTER))
        query = self._dialect.cache_contents_request(estimate)
        try:
            call = self._send(estimate, query)
            reply = await with_timeout(self._timers, QUERY_TIMEOUT, call)
        except (Failure, TimeoutError) as error:
            self._log_result(estimate, 0, str(error))
            return
        parsed = self._dialect.read_cache_contents(reply)
        if isinstance(parsed, Err):
            self._log_result(estimate, 0, str(parsed.err_value))
            return
        estimate.fetched(parsed.ok_value)
        self._log_result(estimate, len(parsed.ok_value), "")

    def _log_result(self, estimate: TargetEstimate, parts: int, detail: str) -> None:
        self._log.write(
            LogEvent.CACHE_LEARNED,
            target=estimate.target.target_id,
            parts=parts,
            detail=detail,
        )
