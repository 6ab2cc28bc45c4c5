"""Finds the requests that crash the targets that run them, and quarantines them."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Mapping, Sequence
from itertools import chain, repeat
from random import Random
from typing import NamedTuple

from pimentolink.crashhistory import (
    MIN_SUSPECT_CRASHES,
    QUARANTINE_JITTER,
    SUSPECT_QUARANTINE,
    CrashHistory,
    evict_oldest,
    quarantine_time,
)
from pimentolink.errors import Quarantined
from pimentolink.incarnations import IncarnationTracker, UnlistedExchange
from pimentolink.targetestimate import Target
from pimentolink.traitcrashes import TraitCrash, TraitTracker
from pimentolink.traits import is_trait

# Seconds after which a trial counts as over without an outcome; long enough for a
# prefill and the first event.
TRIAL_TIME = 3.0
# Seconds for which a broken exchange is kept until its target is found to have ended;
# the target's entry lapses after it has missed a few heartbeats.
BROKEN_EXCHANGE_TTL = 15.0
# Seconds for which a complete response shows that a request is harmless.
SUCCESS_TTL = 60.0
# Capacity of each table, beyond which the oldest entries are evicted: requests with one
# known crash, requests with more, requests answered lately, crashes cleared of a
# request, targets.
MAX_SINGLE_CRASH_REQUESTS = 4096
MAX_SUSPECTS = 1024
MAX_SUCCESSES = 4096
MAX_CLEARED = 4096
MAX_TARGETS = 1024
# Broken exchanges kept per target until it is known whether the target ended.
MAX_BROKEN_PER_TARGET = 1024
# Trials of this gateway kept as sent. They run one at a time, so that any more of them
# never had an outcome.
MAX_SENT_TRIALS = 64


class UnstoredCrash(NamedTuple):
    """
    A crash, with requests against which other gateways cannot read it in the store yet.

    :ivar fingerprints: of requests and of their traits.
    :ivar is_trial: whether the target crashed during a trial of each of them.
    :ivar depths: of the crash for each of them; see :class:`TraitCrash`.
    """

    target: int
    fingerprints: list[str]
    is_trial: bool
    depths: list[int]


class BrokenExchanges(NamedTuple):
    """
    Exchanges with a target that were cut off, and may yet turn out to be a crash.

    :ivar is_trial: whether each of them was a trial.
    :ivar at: when the newest of them was cut off.
    """

    target: int
    fingerprints: list[str]
    is_trial: bool
    at: float


class _BrokenExchange(NamedTuple):
    """
    An exchange with a target that was cut off.

    :ivar is_trial: whether it was a trial of what it is kept for.
    :ivar began_at: when it was sent; ``None`` if it is not known.
    """

    at: float
    is_trial: bool
    began_at: float | None = None


class _Trial(NamedTuple):
    """
    The sending of a suspect on its own, to find out whether it crashes its target.

    :ivar request_id: of the request that is sent; empty if another gateway sends it.
    :ivar tested: all traits of the request if one is a suspect; empty if the request
        itself is tested.
    """

    fingerprint: str
    request_id: str
    ends_at: float
    tested: frozenset[str] = frozenset()


class SuspectTracker:
    """
    Tracks which requests were in flight at targets that crashed.

    Load pattern: a request crashes each target that begins to run it, and callers
    repeat it under new ids; each crash also breaks off tens of responses to other
    requests. One crash does not tell which request caused it, but the cause is in
    flight at every crash. So a request that was in flight at two crashes is a suspect
    and is quarantined. Then one suspect is tried at a time: other requests that many
    callers repeat were in flight at each crash as well, and if they were tried together
    with the cause, its next crash would count against them too.

    A complete response clears a suspect. A suspect whose trial crashes its target is
    blamed and quarantined for longer and longer; all its crashes are attributed to it
    and no longer count against other requests. If a target crashes during two trials,
    begun by gateways that had not yet heard of each other's, neither is blamed.

    A request is identified by its fingerprint, an incarnation of a target by its key.
    Wherever a fingerprint is taken, that of a trait may be given, which stands for all
    requests with it; a crash counts against the traits of a request as well.

    :ivar incarnations: which incarnations of targets are known to have ended.
    :ivar traits: the crashes that count against traits.
    """

    def __init__(self, random: Random) -> None:
        """
        Start without suspects.

        :param random: seeded source for the jitter of quarantines.
        """
        self._random = random
        self.incarnations = IncarnationTracker()
        self._single_crash_by_fingerprint: OrderedDict[str, CrashHistory] = (
            OrderedDict()
        )
        self._suspect_by_fingerprint: OrderedDict[str, CrashHistory] = OrderedDict()
        self._answered_at: OrderedDict[str, float] = OrderedDict()
        self._cleared: OrderedDict[tuple[str, int], None] = OrderedDict()
        self._broken_by_target: OrderedDict[int, OrderedDict[str, _BrokenExchange]]
        self._broken_by_target = OrderedDict()
        self._ended_at_by_target: OrderedDict[int, float] = OrderedDict()
        self._blamed_by_target: OrderedDict[int, str] = OrderedDict()
        self._trial_by_target: OrderedDict[int, str] = OrderedDict()
        self._ambiguous_crashes: OrderedDict[int, None] = OrderedDict()
        self._sent_trials: OrderedDict[str, frozenset[str]] = OrderedDict()
        self._trial: _Trial | None = None
        self.traits = TraitTracker(
            random, self._blamed_by_target.__contains__, self._suspects_at
        )

    def exchange_broken(
        self,
        fingerprint: str,
        request_id: str,
        target: int,
        now: float,
        traits: Sequence[str] = (),
        began_at: float | None = None,
    ) -> list[str]:
        """
        Record that a request's exchange with a target was cut off.

        :param request_id: id of the request, new each time that a caller repeats it.
        :param traits: of the request.
        :param began_at: when it was sent; ``None`` if it is not known.
        :returns: the fingerprint of the request, and its traits, if the target is known
            to have crashed and the crash counts against them from now on.
        """
        tested = self._end_broken_trial(fingerprint, request_id, now)
        broken = {
            name: _BrokenExchange(now, _is_tested(name, tested), began_at)
            for name in (fingerprint, *traits)
        }
        ended_at = self._ended_at_by_target.get(target)
        if ended_at is not None and now - ended_at <= BROKEN_EXCHANGE_TTL:
            return self._record_broken(target, broken, now)
        for name, exchange in broken.items():
            self._add_broken(name, target, exchange)
        return []

    def unlisted_exchange_broken(
        self,
        fingerprint: str,
        request_id: str,
        target: Target,
        opened_at: float,
        now: float,
        traits: Sequence[str] = (),
        began_at: float | None = None,
    ) -> None:
        """
        Record that an incarnation not listed yet cut off a request's exchange.

        :param target: an earlier incarnation, which was known to have ended.
        :param opened_at: when the connection began to be opened.
        :param traits: of the request.
        :param began_at: when it was sent; ``None`` if it is not known.
        """
        tested = self._end_broken_trial(fingerprint, request_id, now)
        for name in (fingerprint, *traits):
            is_trial = _is_tested(name, tested)
            exchange = UnlistedExchange(name, opened_at, now, is_trial, began_at)
            self.incarnations.keep(target, exchange)

    def target_listed(self, target: Target, now: float) -> bool:
        """
        Attribute kept exchanges to an incarnation whose entry was read.

        One whose entry had been removed has not ended after all. The crash counts once
        the incarnation is known to have ended: it may also have started after another
        one that was never listed.

        :returns: whether there are any.
        """
        if self.incarnations.record_listed(target.key):
            self._ended_at_by_target.pop(target.key, None)
        found = self.incarnations.take(target, now)
        for exchange in found:
            broken = _BrokenExchange(
                exchange.broken_at, exchange.is_trial, exchange.began_at
            )
            self._add_broken(exchange.fingerprint, target.key, broken)
        return bool(found)

    def _end_broken_trial(
        self, fingerprint: str, request_id: str, now: float
    ) -> frozenset[str] | None:
        """
        End the trial that a request's exchange was.

        :returns: the traits that it tested, none for a trial of the request itself;
            ``None`` if it was no trial.
        """
        tested = self._sent_trials.pop(request_id, None)
        if self._trial is not None and self._is_tried_as(request_id):
            tested = self._trial.tested
        if tested is None:
            return None
        self._end_trial(fingerprint)
        # It may take seconds until the target is known to have crashed.
        self.traits.test_broken(tested, now)
        history = self._suspect_by_fingerprint.get(fingerprint)
        if history is not None:
            history.quarantined_until = max(
                history.quarantined_until, now + SUSPECT_QUARANTINE
            )
        return tested

    def _add_broken(
        self, fingerprint: str, target: int, exchange: _BrokenExchange
    ) -> None:
        """Keep a broken exchange, and remove those too old to be caused by a crash."""
        broken = self._broken_by_target.setdefault(target, OrderedDict())
        broken[fingerprint] = exchange
        broken.move_to_end(fingerprint)
        evict_oldest(broken, MAX_BROKEN_PER_TARGET)
        while exchange.at - next(iter(broken.values())).at > BROKEN_EXCHANGE_TTL:
            broken.popitem(last=False)
        self._broken_by_target.move_to_end(target)
        evict_oldest(self._broken_by_target, MAX_TARGETS)

    def unsettled(self, now: float) -> list[BrokenExchanges]:
        """List the exchanges cut off lately at targets not known to have ended."""
        found = []
        for target, broken in self._broken_by_target.items():
            for is_trial in (True, False):
                recent = {
                    fingerprint: exchange.at
                    for fingerprint, exchange in broken.items()
                    if exchange.is_trial is is_trial
                    and now - exchange.at <= BROKEN_EXCHANGE_TTL
                }
                if recent:
                    newest = max(recent.values())
                    found.append(BrokenExchanges(target, [*recent], is_trial, newest))
        return found

    def peer_exchanges_broken(self, broken: BrokenExchanges, now: float) -> list[str]:
        """
        Record exchanges that were cut off at another gateway.

        :returns: fingerprints of the requests against which a crash counts from now on.
        """
        ended_at = self._ended_at_by_target.get(broken.target)
        if ended_at is not None and now - ended_at <= BROKEN_EXCHANGE_TTL:
            return self.record_crash(
                broken.target, broken.fingerprints, now, broken.is_trial
            )
        own = self._broken_by_target.get(broken.target, OrderedDict())
        exchange = _BrokenExchange(broken.at, broken.is_trial)
        for fingerprint in broken.fingerprints:
            if fingerprint not in own or (
                broken.is_trial and not own[fingerprint].is_trial
            ):
                self._add_broken(fingerprint, broken.target, exchange)
        return []

    def target_ended(self, target: int, now: float) -> list[str]:
        """
        Record that a target ended without having announced it.

        :returns: fingerprints of the requests that it cut off and against which the
            crash counts.
        """
        self.incarnations.record_end(target, now)
        self._ended_at_by_target[target] = now
        evict_oldest(self._ended_at_by_target, MAX_TARGETS)
        broken = self._broken_by_target.pop(target, OrderedDict())
        recent = {
            fingerprint: exchange
            for fingerprint, exchange in broken.items()
            if now - exchange.at <= BROKEN_EXCHANGE_TTL
        }
        self._record_broken(target, recent, now)
        return [
            fingerprint
            for fingerprint in broken
            if target in self.crashes(fingerprint, now)
        ]

    def _record_broken(
        self, target: int, broken: Mapping[str, _BrokenExchange], now: float
    ) -> list[str]:
        """Count a crash against what was in flight at a target of this gateway."""
        found = [
            name
            for name, exchange in broken.items()
            if self._record_one(
                name,
                target,
                TraitCrash(self.traits.depth(name, exchange.began_at), exchange.at),
                now,
                exchange.is_trial,
            )
        ]
        tried = [name for name, exchange in broken.items() if exchange.is_trial]
        return [*dict.fromkeys(found + self._record_failed_test(target, tried, now))]

    def record_crash(
        self,
        target: int,
        fingerprints: Sequence[str],
        now: float,
        is_trial: bool = False,
        depths: Sequence[int] = (),
    ) -> list[str]:
        """
        Count a crash against requests, whichever gateway saw it.

        It does not count against a request that was answered lately: such a request is
        harmless, and in flight at many targets because many callers repeat it.

        :param is_trial: whether the target crashed during their trial, which blames
            them.
        :param depths: of the crash for each of them, 1 if not given; see
            :class:`TraitCrash`.
        :returns: fingerprints of those against which it did not count before.
        """
        found = [
            name
            for name, depth in zip(fingerprints, chain(depths, repeat(1)), strict=False)
            if self._record_one(name, target, TraitCrash(depth, now), now, is_trial)
        ]
        tried = fingerprints if is_trial else ()
        return [*dict.fromkeys(found + self._record_failed_test(target, tried, now))]

    def _record_one(
        self, name: str, target: int, crash: TraitCrash, now: float, is_trial: bool
    ) -> bool:
        """Count a crash against a request or a trait; tell whether it is new."""
        if is_trait(name):
            return self.traits.record(name, target, crash, now)
        return self._record_crash(name, target, now, is_trial)

    def _record_failed_test(
        self, target: int, tried: Iterable[str], now: float
    ) -> list[str]:
        """Record a crash during a test of the traits among what was tried."""
        tested = frozenset(name for name in tried if is_trait(name))
        return self.traits.record_failed_test(target, tested, now) if tested else []

    def _record_crash(
        self, fingerprint: str, target: int, now: float, is_trial: bool
    ) -> bool:
        if now - self._answered_at.get(fingerprint, -SUCCESS_TTL) < SUCCESS_TTL:
            return False
        if (fingerprint, target) in self._cleared:
            return False
        history = self._unexpired(fingerprint, now) or CrashHistory()
        is_failed_trial = is_trial and target not in history.failed_trials
        if target in history.recorded_at_by_target and not is_failed_trial:
            return False
        history.recorded_at_by_target[target] = now
        history.stored.discard(target)
        self._end_trial(fingerprint)
        self._put(fingerprint, history)
        if is_failed_trial:
            history.failed_trials.add(target)
            self._attribute_crash(fingerprint, target, now)
        elif self._is_attributed_to_other(fingerprint, target):
            return False
        self._quarantine(history, now)
        return True

    def _attribute_crash(self, fingerprint: str, target: int, now: float) -> None:
        """Blame a request for a crash during its trial, if no other was tried then."""
        first = self._trial_by_target.setdefault(target, fingerprint)
        evict_oldest(self._trial_by_target, MAX_TARGETS)
        if first != fingerprint:
            self._ambiguous_crashes[target] = None
            evict_oldest(self._ambiguous_crashes, MAX_TARGETS)
            self._withdraw_blame(first, now)
        self._blame(fingerprint)

    def _withdraw_blame(self, fingerprint: str, now: float) -> None:
        """Stop blaming a request all of whose failed trials are ambiguous."""
        history = self._unexpired(fingerprint, now)
        if history is None or self._count_failed_trials(history):
            return
        attributed = [
            target
            for target, blamed in self._blamed_by_target.items()
            if blamed == fingerprint
        ]
        for target in attributed:
            del self._blamed_by_target[target]
        self._quarantine(history, now)

    def _blame(self, fingerprint: str) -> None:
        """Attribute all crashes of a request to it if a trial of it failed."""
        history = self._get(fingerprint)
        if history is not None and self._count_failed_trials(history):
            for target in history.recorded_at_by_target:
                self._blamed_by_target[target] = fingerprint
            evict_oldest(self._blamed_by_target, MAX_TARGETS)

    def _count_failed_trials(self, history: CrashHistory) -> int:
        """Count the failed trials of a request during which no other was tried."""
        return len(history.failed_trials - self._ambiguous_crashes.keys())

    def _is_attributed_to_other(self, fingerprint: str, target: int) -> bool:
        """Tell whether another request is blamed for a crash."""
        return self._blamed_by_target.get(target, fingerprint) != fingerprint

    def _remove_crashes(
        self, fingerprint: str, history: CrashHistory, targets: Iterable[int]
    ) -> bool:
        """Stop counting crashes against a request; tell whether any did count."""
        removed = history.recorded_at_by_target.keys() & set(targets)
        for target in removed:
            history.remove(target)
        if not history.recorded_at_by_target:
            self._remove(fingerprint)
        return bool(removed)

    def _unexpired(self, fingerprint: str, now: float) -> CrashHistory | None:
        history = self._get(fingerprint)
        if history is not None:
            history.expire(now)
        return history

    def _get(self, fingerprint: str) -> CrashHistory | None:
        history = self._suspect_by_fingerprint.get(fingerprint)
        return history or self._single_crash_by_fingerprint.get(fingerprint)

    def _put(self, fingerprint: str, history: CrashHistory) -> None:
        """
        Keep a request's history as the newest.

        Suspects have a table of their own, so that the many requests that were in
        flight at a single crash do not evict them.
        """
        self._remove(fingerprint)
        if len(history.recorded_at_by_target) < MIN_SUSPECT_CRASHES:
            self._single_crash_by_fingerprint[fingerprint] = history
            evict_oldest(self._single_crash_by_fingerprint, MAX_SINGLE_CRASH_REQUESTS)
        else:
            self._suspect_by_fingerprint[fingerprint] = history
            evict_oldest(self._suspect_by_fingerprint, MAX_SUSPECTS)

    def _remove(self, fingerprint: str) -> None:
        self._single_crash_by_fingerprint.pop(fingerprint, None)
        self._suspect_by_fingerprint.pop(fingerprint, None)

    def _quarantine(self, history: CrashHistory, now: float) -> None:
        crashes = len(history.recorded_at_by_target)
        wait = quarantine_time(crashes, self._count_failed_trials(history))
        history.quarantined_until = now + wait * self._random.uniform(
            1.0, 1.0 + QUARANTINE_JITTER
        )

    def _end_trial(self, fingerprint: str) -> None:
        if self._trial is not None and self._trial.fingerprint == fingerprint:
            self._trial = None

    def crashes(self, fingerprint: str, now: float) -> list[int]:
        """List the targets whose crash counts against a request."""
        if is_trait(fingerprint):
            return self.traits.crashes(fingerprint, now)
        history = self._unexpired(fingerprint, now)
        return self._counted(fingerprint, history) if history is not None else []

    def _counted(self, fingerprint: str, history: CrashHistory) -> list[int]:
        return [
            target
            for target in history.recorded_at_by_target
            if not self._is_attributed_to_other(fingerprint, target)
        ]

    def _suspects_at(self, target: int) -> dict[str, int]:
        """Return the suspects that may be to blame for a crash, with their crashes."""
        return {
            fingerprint: len(history.recorded_at_by_target)
            for fingerprint, history in self._suspect_by_fingerprint.items()
            if target in history.recorded_at_by_target
            and not self._is_attributed_to_other(fingerprint, target)
        }

    def is_suspect(self, fingerprint: str, now: float) -> bool:
        """Tell whether enough crashes count against a request to quarantine it."""
        if is_trait(fingerprint):
            return self.traits.is_suspect(fingerprint, now)
        return len(self.crashes(fingerprint, now)) >= MIN_SUSPECT_CRASHES

    def remaining_quarantine(self, fingerprint: str, now: float) -> float:
        """
        Compute how long a request is still quarantined.

        :returns: seconds.
        """
        if is_trait(fingerprint):
            return self.traits.remaining_quarantine([fingerprint], now)
        history = self._suspect_by_fingerprint.get(fingerprint)
        return max(0.0, history.quarantined_until - now) if history is not None else 0.0

    def refusal(
        self,
        fingerprint: str,
        request_id: str,
        now: float,
        traits: Sequence[str] = (),
    ) -> Quarantined | None:
        """
        Tell why a request may not be sent now.

        :param request_id: id of the request, new each time that a caller repeats it.
        :param traits: of the request.
        :returns: ``None`` if it may be sent.
        """
        suspects = self.traits.suspects_among(traits, now)
        wait = self.traits.remaining_quarantine(traits, now, fingerprint)
        if self.is_suspect(fingerprint, now):
            suspects.append(fingerprint)
            wait = max(wait, self.remaining_quarantine(fingerprint, now))
        if not suspects or self._is_tried_as(request_id):
            return None
        if self._trial is not None:
            wait = max(wait, self._trial.ends_at - now)
        if wait <= 0:
            return None
        crashes = max(len(self.crashes(name, now)) for name in suspects)
        what = "it" if suspects[0] == fingerprint else f"one with {suspects[0]}"
        return Quarantined(
            f"{crashes} targets crashed while {what} was under way there", wait
        )

    def _is_tried_as(self, request_id: str) -> bool:
        return self._trial is not None and self._trial.request_id == request_id

    def begin_trial(
        self,
        fingerprint: str,
        request_id: str,
        now: float,
        traits: Sequence[str] = (),
    ) -> list[str]:
        """
        Begin a trial if a request, which may be sent, or a trait of it is a suspect.

        A trial tests either the request or its traits: if both are suspects, the crash
        of a target would not tell which of them caused it.

        :param traits: of the request.
        :returns: what the trial tests, during which no other suspect should be sent;
            empty if none began.
        """
        tests_traits = bool(self.traits.suspects_among(traits, now))
        is_suspect = tests_traits or self.is_suspect(fingerprint, now)
        if not is_suspect or self._is_tried_as(request_id):
            return []
        # One that is no suspect yet may be to blame as well.
        tested = frozenset(traits if tests_traits else ())
        self._trial = _Trial(fingerprint, request_id, now + TRIAL_TIME, tested)
        return sorted(tested) or [fingerprint]

    def trial_sent(self, request_id: str) -> None:
        """Record that an own trial was sent, so that no other can supersede it."""
        tested: frozenset[str] = frozenset()
        if self._trial is not None and self._is_tried_as(request_id):
            tested = self._trial.tested
        self._sent_trials[request_id] = tested
        evict_oldest(self._sent_trials, MAX_SENT_TRIALS)

    def end_own_test(self, request_id: str) -> bool:
        """
        End the trial that a request was, if it tested traits.

        Many requests wait for such a trial, whereas for one of a single request only
        its own repetitions do.

        :returns: whether it was one.
        """
        if self._trial is None or not self._is_tried_as(request_id):
            return False
        has_traits = bool(self._trial.tested)
        if has_traits:
            self._end_trial(self._trial.fingerprint)
        return has_traits

    def peer_trial_ended(self, fingerprint: str) -> None:
        """Record that the trial of another gateway is over."""
        if self._trial is not None and not self._trial.request_id:
            self._end_trial(fingerprint)

    def peer_trial_begun(self, fingerprint: str, now: float) -> None:
        """
        Record that another gateway began a trial of a suspect.

        Of trials that begin at the same moment, each gateway keeps the one with the
        least fingerprint. With two at once, a crash would not tell which is to blame.
        """
        current = self._trial
        is_under_way = current is not None and now < current.ends_at
        if current is None or not is_under_way or fingerprint < current.fingerprint:
            self._trial = _Trial(fingerprint, "", now + TRIAL_TIME)

    def answered(self, fingerprint: str, request_id: str, now: float) -> list[int]:
        """
        Record that a request got its complete response, which clears it.

        A trial of it goes on unless it was the one that got the response.

        :returns: the targets whose crash counted against it until now.
        """
        self._answered_at[fingerprint] = now
        self._answered_at.move_to_end(fingerprint)
        evict_oldest(self._answered_at, MAX_SUCCESSES)
        crashes = self.crashes(fingerprint, now)
        if self._is_tried_as(request_id):
            self._end_trial(fingerprint)
        self._clear(fingerprint, crashes, now)
        return crashes

    def answered_with(self, traits: Iterable[str], now: float) -> dict[str, list[int]]:
        """
        Record that a request with these traits got its complete response.

        :returns: the targets whose crash counted against each trait until now.
        """
        traits = [*traits]
        self.traits.record_answer(traits, now)
        cleared = {}
        for trait in self.traits.accused_among(traits, now):
            cleared[trait] = self.traits.crashes(trait, now)
            self.traits.clear(trait, cleared[trait], now)
        return cleared

    def clear(self, fingerprint: str, targets: Iterable[int], now: float) -> bool:
        """
        Stop counting certain crashes against a request, also if they are reported late.

        :returns: whether any of them counted against it.
        """
        if is_trait(fingerprint):
            return self.traits.clear(fingerprint, targets, now)
        self._end_trial(fingerprint)
        return self._clear(fingerprint, targets, now)

    def _clear(self, fingerprint: str, targets: Iterable[int], now: float) -> bool:
        attributed = {
            target
            for target in targets
            if self._blamed_by_target.get(target) == fingerprint
        }
        if attributed:
            self._remove_from_others(fingerprint, attributed)
        for target in targets:
            self._cleared[fingerprint, target] = None
        evict_oldest(self._cleared, MAX_CLEARED)
        history = self._unexpired(fingerprint, now)
        return history is not None and self._remove_crashes(
            fingerprint, history, targets
        )

    def _remove_from_others(self, fingerprint: str, targets: set[int]) -> None:
        """Remove crashes attributed to a request from the histories of all others."""
        for histories in (
            self._single_crash_by_fingerprint,
            self._suspect_by_fingerprint,
        ):
            for other, history in [*histories.items()]:
                if other != fingerprint and not history.failed_trials:
                    self._remove_crashes(other, history, targets)
        for target in targets:
            del self._blamed_by_target[target]

    def mark_stored(self, fingerprint: str, target: int, is_trial: bool) -> None:
        """Record that other gateways can read a request's crash in the store."""
        if is_trait(fingerprint):
            self.traits.mark_stored(fingerprint, target, is_trial)
            return
        history = self._get(fingerprint)
        if history is not None and is_trial == (target in history.failed_trials):
            history.stored.add(target)

    def is_blamed(self, fingerprint: str, target: int) -> bool:
        """Tell whether a target crashed during a trial of a request there."""
        if is_trait(fingerprint):
            return self.traits.is_blamed(fingerprint, target)
        history = self._get(fingerprint)
        return history is not None and target in history.failed_trials

    def unstored(self, min_crashes: int, now: float) -> list[UnstoredCrash]:
        """
        List the crashes that other gateways cannot read in the store yet.

        :param min_crashes: crashes of a request from which on they are listed.
        """
        tables = [self._suspect_by_fingerprint]
        if min_crashes < MIN_SUSPECT_CRASHES:
            tables.append(self._single_crash_by_fingerprint)
        listed: dict[tuple[int, bool], list[str]] = {}
        for histories in tables:
            for fingerprint, history in histories.items():
                history.expire(now)
                counted = self._counted(fingerprint, history)
                if len(counted) < min_crashes:
                    continue
                for target in set(counted) - history.stored:
                    crash = (target, target in history.failed_trials)
                    listed.setdefault(crash, []).append(fingerprint)
        for trait, target in self.traits.unstored(min_crashes, now):
            crash = (target, self.traits.is_blamed(trait, target))
            listed.setdefault(crash, []).append(trait)
        found = []
        for (target, is_trial), names in listed.items():
            fingerprints = self.with_tested(target, names) if is_trial else names
            depths = self.depths(target, fingerprints)
            found.append(UnstoredCrash(target, fingerprints, is_trial, depths))
        return found

    def with_tested(self, target: int, fingerprints: Sequence[str]) -> list[str]:
        """
        Complete what was tried at a target by all traits that were tested there.

        Other gateways would take a part of a test for another test.
        """
        if not any(map(is_trait, fingerprints)):
            return [*fingerprints]
        return [*dict.fromkeys([*fingerprints, *self.traits.tested_at(target)])]

    def depths(self, target: int, fingerprints: Iterable[str]) -> list[int]:
        """Return the depth of a crash for each trait, and 1 for requests."""
        return [
            self.traits.depth_of(name, target) if is_trait(name) else 1
            for name in fingerprints
        ]


def _is_tested(name: str, tested: frozenset[str] | None) -> bool:
    """
    Tell whether a trial was one of a request or of a trait.

    :param tested: the traits that it tested, none for a trial of the request itself;
        ``None`` if there was no trial.
    """
    return tested is not None and (name in tested if tested else not is_trait(name))
