"""Finds out which requests were under way at crashes of targets, and tells others."""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from typing import Any

from twisted.internet.defer import Deferred

from pimentolink.dialect import CallerRequest
from pimentolink.logs import Log, LogEvent
from pimentolink.peermessages import (
    MAX_CRASH_FINGERPRINTS,
    MAX_CRASHES,
    PeerPublisher,
    SuspectCleared,
    SuspectMessage,
    SuspectTried,
    crash_messages,
)
from pimentolink.suspects import Suspects
from pimentolink.suspicion import SUSPECT_FROM
from pimentolink.targetestimate import Target, TargetEstimate
from pimentolink.timers import Timers, pause

# Seconds from telling others of a try until it begins, in which theirs are heard of.
TRY_NOTICE = 0.05

IsListening = Callable[[TargetEstimate], Coroutine[Any, Any, bool]]


class CrashReports:
    """
    Watches calls to targets for crashes, and passes on what is known of suspects.

    A broken connection alone is no crash: targets reset connections and garble answers
    too. Its target is asked for a new connection, and has crashed if nothing listens
    there any more, or if its entry goes or is replaced soon.
    """

    def __init__(
        self, suspects: Suspects, news: PeerPublisher, timers: Timers, log: Log
    ) -> None:
        """
        Prepare.

        :param suspects: decides.
        :param news: tells other gateways.
        :param timers: the timer service.
        :param log: where events go.
        """
        self._suspects = suspects
        self._news = news
        self._timers = timers
        self._log = log
        self._asked: set[int] = set()
        self.is_listening: IsListening | None = None
        # Called with whether this gateway saw the crash itself.
        self.on_struck: Callable[[bool], None] = lambda is_own: None
        self.on_cleared: Callable[[SuspectCleared], None] = lambda cleared: None

    async def admit(self, request: CallerRequest) -> None:
        """
        Let a request be sent to a target; a suspect only once all know of its try.

        :raises Quarantined: if it may not be sent now.
        """
        self._refuse(request)
        now = self._timers.now()
        name, request_id = request.fingerprint, request.request_id
        if self._suspects.try_again(name, request_id, now):
            self._news.broadcast(SuspectTried(name))
            crashes = len(self._suspects.crashes(name, now))
            self._log.write(
                LogEvent.SUSPECT_TRIED,
                request=request_id,
                fingerprint=name,
                crashes=crashes,
            )
            await pause(self._timers, TRY_NOTICE)
            self._refuse(request)
            self._suspects.try_sent(request_id)

    def _refuse(self, request: CallerRequest) -> None:
        now = self._timers.now()
        refused = self._suspects.refusal(request.fingerprint, request.request_id, now)
        if refused is not None:
            raise refused

    def cut_off(self, request: CallerRequest, estimate: TargetEstimate) -> None:
        """Learn that a request's exchange with a target did not come to its end."""
        if estimate.target.is_leaving or estimate.missing_since is not None:
            # It cuts off what is left when it goes, as it said.
            return
        name, key = request.fingerprint, estimate.target.key
        if self._suspects.broke(name, request.request_id, key, self._timers.now()):
            self._tell_struck(key, [name])

    def connection_lost(self, estimate: TargetEstimate) -> None:
        """Find out whether a target that broke a connection off still listens."""
        key = estimate.target.key
        if self.is_listening is None or key in self._asked:
            return
        self._asked.add(key)
        Deferred.fromCoroutine(self._ask(estimate, self.is_listening))

    async def _ask(self, estimate: TargetEstimate, is_listening: IsListening) -> None:
        try:
            has_ended = not await is_listening(estimate)
        finally:
            self._asked.discard(estimate.target.key)
        if has_ended:
            self.target_ended(estimate.target, "nothing listens")

    def target_ended(self, target: Target, sign: str) -> None:
        """
        Learn that a target's life ended.

        :param sign: by which it is known.
        """
        if target.is_leaving:
            return
        struck = self._suspects.ended(target.key, self._timers.now())
        if not struck:
            return
        self._log.write(
            LogEvent.TARGET_CRASHED,
            target=target.target_id,
            sign=sign,
            requests=len(struck),
            fingerprints=struck[:MAX_CRASH_FINGERPRINTS],
        )
        self._tell_struck(target.key, struck)

    def _tell_struck(self, target: int, struck: list[str]) -> None:
        for is_tried in (True, False):
            names = [
                name
                for name in struck
                if self._suspects.is_blamed(name, target) is is_tried
            ]
            for message in crash_messages(target, names, is_tried):
                self._news.broadcast(message)
        self._log_suspects(struck, "own")
        self.on_struck(True)

    def answered(self, request: CallerRequest) -> None:
        """Learn that a request got its whole answer, which clears it."""
        name = request.fingerprint
        crashes = self._suspects.answered(name, self._timers.now())
        if len(crashes) < SUSPECT_FROM:
            return
        cleared = SuspectCleared(name, crashes[:MAX_CRASHES])
        self._news.broadcast(cleared)
        self._log_cleared(cleared, "answered")
        self.on_cleared(cleared)

    def take(self, message: SuspectMessage, source: str) -> None:
        """
        Learn from another gateway.

        :param source: how its message came.
        """
        now = self._timers.now()
        if isinstance(message, SuspectTried):
            self._suspects.tried(message.fingerprint, now)
            return
        if isinstance(message, SuspectCleared):
            if self._suspects.clear(message.fingerprint, message.targets, now):
                self._log_cleared(message, source)
            return
        struck = self._suspects.strike(
            message.target, message.fingerprints, now, message.is_tried
        )
        if struck:
            self._log_suspects(struck, source)
            self.on_struck(False)

    def _log_suspects(self, struck: list[str], source: str) -> None:
        now = self._timers.now()
        for name in struck:
            if self._suspects.is_suspect(name, now):
                self._log.write(
                    LogEvent.SUSPECT_STRUCK,
                    fingerprint=name,
                    crashes=len(self._suspects.crashes(name, now)),
                    wait=round(self._suspects.wait(name, now), 1),
                    source=source,
                )

    def _log_cleared(self, cleared: SuspectCleared, source: str) -> None:
        self._log.write(
            LogEvent.SUSPECT_CLEARED,
            fingerprint=cleared.fingerprint,
            crashes=len(cleared.targets),
            source=source,
        )
