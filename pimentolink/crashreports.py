"""Detects crashes of targets, and reports the requests in flight to other gateways."""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from typing import Any

from twisted.internet.defer import Deferred

from pimentolink.crashhistory import MIN_SUSPECT_CRASHES
from pimentolink.dialect import CallerRequest
from pimentolink.logs import Log, LogEvent
from pimentolink.peermessages import (
    MAX_CRASH_FINGERPRINTS,
    MAX_CRASHES,
    ExchangesBroken,
    PeerPublisher,
    SuspectCleared,
    SuspectMessage,
    SuspectTried,
    crash_messages,
)
from pimentolink.suspects import BrokenExchanges, SuspectTracker
from pimentolink.targetestimate import Target, TargetEstimate
from pimentolink.timers import Timers, pause
from pimentolink.traits import is_trait

# Seconds between the announcement of a trial and its start, in which announcements of
# other gateways arrive.
TRIAL_NOTICE = 0.05

# Messages of a gateway that stops about exchanges whose crash is not settled. Those of
# trials come first, then the newest.
MAX_UNSETTLED_MESSAGES = 16

# Seconds for which a target has to outlive a complete response, before that shows the
# traits of the request to be harmless.
RESPONSE_GRACE = 0.5

IsListening = Callable[[TargetEstimate], Coroutine[Any, Any, bool]]


class CrashReports:
    """
    Detects crashes of targets, and exchanges reports of them with other gateways.

    A broken connection alone is not a crash, since targets also reset connections and
    send malformed responses. The gateway then tries to open new connections. The target
    has crashed if they are refused, or closed at once by a proxy before it, or if its
    entry in the list of targets is soon removed or replaced.
    """

    def __init__(
        self,
        suspects: SuspectTracker,
        publisher: PeerPublisher,
        timers: Timers,
        log: Log,
    ) -> None:
        """
        Prepare.

        :param suspects: decides which requests may be sent.
        :param publisher: sends messages to other gateways.
        :param timers: the timer service.
        :param log: receives log events.
        """
        self._suspects = suspects
        self._publisher = publisher
        self._timers = timers
        self._log = log
        self._checking: set[int] = set()
        self.is_listening: IsListening | None = None
        # Called after a crash was counted, with whether this gateway saw it itself.
        self.on_crash_recorded: Callable[[bool], None] = lambda is_own: None
        self.on_cleared: Callable[[SuspectCleared], None] = lambda cleared: None

    async def admit(self, request: CallerRequest) -> None:
        """
        Check that a request may be sent to a target.

        For a suspect this begins a trial, which is announced to the other gateways
        before the request may be sent.

        :raises Quarantined: if it may not be sent now.
        """
        self._raise_if_refused(request)
        now = self._timers.now()
        fingerprint, request_id = request.fingerprint, request.request_id
        tested = self._suspects.begin_trial(
            fingerprint, request_id, now, request.traits
        )
        if tested:
            self._publisher.broadcast(SuspectTried(fingerprint))
            self._log.write(
                LogEvent.SUSPECT_TRIED,
                request=request_id,
                fingerprint=fingerprint,
                tested=tested,
                crashes=max(len(self._suspects.crashes(name, now)) for name in tested),
            )
            await pause(self._timers, TRIAL_NOTICE)
            self._raise_if_refused(request)
            self._suspects.trial_sent(request_id)

    def _raise_if_refused(self, request: CallerRequest) -> None:
        now = self._timers.now()
        refused = self._suspects.refusal(
            request.fingerprint, request.request_id, now, request.traits
        )
        if refused is not None:
            raise refused

    def cut_off(
        self,
        request: CallerRequest,
        estimate: TargetEstimate,
        opened_at: float = 0.0,
        began_at: float | None = None,
    ) -> None:
        """
        Record that a request's exchange with a target was cut off.

        :param estimate: of the incarnation that was listed when it was chosen.
        :param opened_at: when the connection began to be opened, in seconds of the
            timer service; 0 if that incarnation is known to have accepted it.
        :param began_at: when the request was sent; ``None`` if it is not known.
        """
        incarnation = self._find_incarnation(estimate, opened_at)
        if incarnation is None:
            self._suspects.unlisted_exchange_broken(
                request.fingerprint,
                request.request_id,
                estimate.target,
                opened_at,
                self._timers.now(),
                request.traits,
                began_at,
            )
            return
        estimate = incarnation
        if estimate.target.is_leaving or estimate.missing_since is not None:
            # A target that announced its shutdown cuts off what is left when it exits.
            return
        key = estimate.target.key
        recorded = self._suspects.exchange_broken(
            request.fingerprint,
            request.request_id,
            key,
            self._timers.now(),
            request.traits,
            began_at,
        )
        if recorded:
            self._publish_crash(key, recorded)

    def _find_incarnation(
        self, estimate: TargetEstimate, opened_at: float
    ) -> TargetEstimate | None:
        """
        Find the incarnation that accepted a connection.

        :param estimate: of the incarnation that was listed when it was chosen.
        :returns: ``None`` if its entry has not been read yet.
        """
        incarnations = self._suspects.incarnations
        while True:
            successor = estimate.successor
            has_ended = incarnations.has_ended_before(estimate.target, opened_at)
            if not has_ended and not self._had_started(successor, opened_at):
                return estimate
            if successor is None or successor.target.address != estimate.target.address:
                return None
            estimate = successor

    def _had_started(self, estimate: TargetEstimate | None, opened_at: float) -> bool:
        """
        Tell by the wall clocks whether an incarnation had started at a certain time.

        They may differ by less than a restart takes: connections of the incarnation
        before it were opened earlier than its end.
        """
        if estimate is None or not opened_at:
            return False
        wall_time = self._timers.wall_time() - (self._timers.now() - opened_at)
        return estimate.target.born <= wall_time * 1000

    def target_listed(self, estimate: TargetEstimate) -> None:
        """Attribute exchanges cut off by an incarnation before it was listed."""
        target = estimate.target
        if self._suspects.target_listed(target, self._timers.now()):
            self.connection_lost(estimate)

    def connection_lost(self, estimate: TargetEstimate) -> None:
        """Check whether a target that broke a connection still listens."""
        while estimate.successor is not None:
            estimate = estimate.successor
        key = estimate.target.key
        if self.is_listening is None or key in self._checking:
            return
        self._checking.add(key)
        Deferred.fromCoroutine(self._check_listening(estimate, self.is_listening))

    async def _check_listening(
        self, estimate: TargetEstimate, is_listening: IsListening
    ) -> None:
        try:
            has_ended = not await is_listening(estimate)
        finally:
            self._checking.discard(estimate.target.key)
        if has_ended:
            self.target_ended(estimate.target, "nothing listens")

    @property
    def is_checking(self) -> bool:
        """Return whether it is being checked if a target has ended."""
        return bool(self._checking)

    def unsettled_messages(self) -> list[ExchangesBroken]:
        """
        Describe the exchanges that were cut off and may turn out to be a crash.

        Other gateways need them if this one stops before it learns of the crash.
        """
        now = self._timers.now()
        unsettled = self._suspects.unsettled(now)
        unsettled.sort(key=lambda item: (item.is_trial, item.at), reverse=True)
        messages = [
            ExchangesBroken(
                item.target,
                item.fingerprints[begin : begin + MAX_CRASH_FINGERPRINTS],
                item.is_trial,
                int((now - item.at) * 1000),
            )
            for item in unsettled
            for begin in range(0, len(item.fingerprints), MAX_CRASH_FINGERPRINTS)
        ]
        return messages[:MAX_UNSETTLED_MESSAGES]

    def target_removed(self, target: Target, sign: str) -> None:
        """
        Report a crash if a target's entry went without an announced shutdown.

        :param sign: whether it was removed, or replaced by that of a later start.
        """
        self._suspects.incarnations.record_removal(target.key, self._timers.now())
        self.target_ended(target, sign)

    def target_ended(self, target: Target, sign: str) -> None:
        """
        Report a crash if a target ended without having announced it.

        :param sign: how the end was detected.
        """
        if target.is_leaving:
            return
        recorded = self._suspects.target_ended(target.key, self._timers.now())
        if not recorded:
            return
        requests = [name for name in recorded if not is_trait(name)]
        traits = [name for name in recorded if is_trait(name)]
        self._log.write(
            LogEvent.TARGET_CRASHED,
            target=target.target_id,
            sign=sign,
            requests=len(requests),
            fingerprints=requests[:MAX_CRASH_FINGERPRINTS],
            traits=traits[:MAX_CRASH_FINGERPRINTS],
        )
        self._publish_crash(target.key, recorded)

    def _publish_crash(self, target: int, recorded: list[str]) -> None:
        for is_trial in (True, False):
            fingerprints = [
                fingerprint
                for fingerprint in recorded
                if self._suspects.is_blamed(fingerprint, target) is is_trial
            ]
            if is_trial:
                fingerprints = self._suspects.with_tested(target, fingerprints)
            depths = self._suspects.depths(target, fingerprints)
            for message in crash_messages(target, fingerprints, is_trial, depths):
                self._publisher.broadcast(message)
        self._log_suspects(target, recorded, "own")
        self.on_crash_recorded(True)

    def request_succeeded(
        self, request: CallerRequest, estimate: TargetEstimate
    ) -> None:
        """
        Clear a request that got its complete response, and later its traits.

        :param estimate: of the target that responded.
        """
        self.request_ended(request)
        if self._suspects.traits.is_answer_news(request.traits, self._timers.now()):
            Deferred.fromCoroutine(self._clear_traits(request, estimate))
        fingerprint = request.fingerprint
        crashes = self._suspects.answered(
            fingerprint, request.request_id, self._timers.now()
        )
        if len(crashes) < MIN_SUSPECT_CRASHES:
            return
        cleared = SuspectCleared(fingerprint, crashes[:MAX_CRASHES])
        self._publisher.broadcast(cleared)
        self._log_cleared(cleared, "answered")
        self.on_cleared(cleared)

    def request_ended(self, request: CallerRequest) -> None:
        """End the trial of traits that a request was, however it ended."""
        if self._suspects.end_own_test(request.request_id):
            self._publisher.broadcast(SuspectTried(request.fingerprint, is_over=True))

    async def _clear_traits(
        self, request: CallerRequest, estimate: TargetEstimate
    ) -> None:
        """
        Clear the traits of a request, unless its target ends right after its response.

        A short response may be complete before its target crashes.
        """
        await pause(self._timers, RESPONSE_GRACE)
        target, now = estimate.target, self._timers.now()
        suspects = self._suspects.traits.suspects_among(request.traits, now)
        if suspects and self.is_listening is not None:
            if not await self.is_listening(estimate):
                self.target_ended(target, "nothing listens")
            now = self._timers.now()
        if self._suspects.incarnations.has_ended(target):
            recorded = self._suspects.record_crash(target.key, request.traits, now)
            if recorded:
                self._publish_crash(target.key, recorded)
            return
        for trait, crashes in self._suspects.answered_with(request.traits, now).items():
            cleared = SuspectCleared(trait, crashes[:MAX_CRASHES])
            self._publisher.broadcast(cleared)
            if len(crashes) >= MIN_SUSPECT_CRASHES:
                self._log_cleared(cleared, "answered")
                self.on_cleared(cleared)

    def receive(self, message: SuspectMessage, source: str) -> None:
        """
        Apply a message from another gateway.

        :param source: how the message arrived: "peer" or "store".
        """
        now = self._timers.now()
        if isinstance(message, SuspectTried):
            if message.is_over:
                self._suspects.peer_trial_ended(message.fingerprint)
            else:
                self._suspects.peer_trial_begun(message.fingerprint, now)
            return
        if isinstance(message, SuspectCleared):
            if self._suspects.clear(message.fingerprint, message.targets, now):
                self._log_cleared(message, source)
            return
        if isinstance(message, ExchangesBroken):
            broken = BrokenExchanges(
                message.target,
                message.fingerprints,
                message.is_tried,
                now - message.age_ms / 1000,
            )
            recorded = self._suspects.peer_exchanges_broken(broken, now)
        else:
            self._suspects.incarnations.record_end(message.target, now)
            recorded = self._suspects.record_crash(
                message.target,
                message.fingerprints,
                now,
                message.is_tried,
                message.depths,
            )
        if recorded:
            self._log_suspects(message.target, recorded, source)
            self.on_crash_recorded(False)

    def _log_suspects(self, target: int, recorded: list[str], source: str) -> None:
        now = self._timers.now()
        traits = self._suspects.traits
        if any(is_trait(name) and traits.is_blamed(name, target) for name in recorded):
            candidates = sorted(traits.candidates(target, now))
            self._log.write(
                LogEvent.TRIAL_FAILED,
                crash=target,
                tested=traits.tested_at(target),
                candidates=candidates,
                wait=round(traits.remaining_quarantine(candidates, now), 1),
                source=source,
            )
        for fingerprint in recorded:
            if self._suspects.is_suspect(fingerprint, now):
                self._log.write(
                    LogEvent.SUSPECT_STRUCK,
                    fingerprint=fingerprint,
                    crashes=len(self._suspects.crashes(fingerprint, now)),
                    wait=round(
                        self._suspects.remaining_quarantine(fingerprint, now), 1
                    ),
                    source=source,
                )

    def _log_cleared(self, cleared: SuspectCleared, source: str) -> None:
        self._log.write(
            LogEvent.SUSPECT_CLEARED,
            fingerprint=cleared.fingerprint,
            crashes=len(cleared.targets),
            source=source,
        )
