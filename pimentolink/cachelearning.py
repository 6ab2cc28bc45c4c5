"""Learns what engines hold when a gateway starts into a running deployment."""

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

# Seconds over which a gateway spreads its questions, so that many that start together
# do not ask an engine at the same moment.
SPREAD = 1.0
# Seconds until a question counts as unanswered.
TIMEOUT = 1.0

Send = Callable[[TargetEstimate, HttpRequest], Coroutine[Any, Any, HttpReply]]


class CacheLearning:
    """
    Asks each engine once what its memory holds.

    Without it a restarted gateway has shared parts read again that engines still hold,
    for as long as it takes until all were asked for once more.
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
        Prepare.

        :param dialect: writes the question and reads the answer.
        :param fleet: the engines.
        :param send: makes one call.
        :param timers: the timer service.
        :param random: seeded source for jitter.
        :param log: where events go.
        """
        self._dialect = dialect
        self._fleet = fleet
        self._send = send
        self._timers = timers
        self._random = random
        self._log = log

    def ask_all(self) -> None:
        """Ask every engine known by now."""
        for estimate in self._fleet.targets_by_id.values():
            if self._fleet.model(estimate.target.service) is not None:
                asking = Deferred.fromCoroutine(self._ask(estimate))
                asking.addErrback(lambda failure: failure.trap(Failure, TimeoutError))

    async def _ask(self, estimate: TargetEstimate) -> None:
        await pause(self._timers, self._random.uniform(0.0, SPREAD))
        question = self._dialect.ask_parts(estimate)
        try:
            sending = self._send(estimate, question)
            reply = await with_timeout(self._timers, TIMEOUT, sending)
        except (Failure, TimeoutError) as error:
            self._tell(estimate, 0, str(error))
            return
        found = self._dialect.read_parts(reply)
        if isinstance(found, Err):
            self._tell(estimate, 0, str(found.err_value))
            return
        estimate.fetched(found.ok_value)
        self._tell(estimate, len(found.ok_value), "")

    def _tell(self, estimate: TargetEstimate, parts: int, detail: str) -> None:
        self._log.write(
            LogEvent.CACHE_LEARNED,
            target=estimate.target.target_id,
            parts=parts,
            detail=detail,
        )
