"""Crashes of targets that count against what several requests have in common."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Iterable, Sequence
from random import Random
from typing import NamedTuple

from pimentolink.crashhistory import (
    CRASH_TTL,
    QUARANTINE_JITTER,
    SUSPECT_QUARANTINE,
    evict_oldest,
)
from pimentolink.failedtests import FailedTests, SuspectsAt
from pimentolink.peermessages import MAX_DEPTH

# Crashes in a row from which on a trait is a suspect: a request that broke off twice
# because it was sent on to a second target is not enough.
MIN_TRAIT_CRASHES = 3
# Of these, crashes for which no single request is blamed.
MIN_UNEXPLAINED = 2
# Seconds for which a suspect is held before it is tested. Responses under way that may
# clear it are complete by then.
TRAIT_QUARANTINE = 1.0
# Seconds for which a complete response makes it less likely that a trait is to blame.
ANSWERED_TTL = CRASH_TTL
# Seconds for which a further response with the same traits adds nothing.
ANSWERED_REFRESH = 60.0
# Capacity of each table, beyond which the oldest entries are evicted: traits with fewer
# crashes than suspects, suspects, crashes cleared of a trait, traits with a complete
# response.
MAX_ACCUSED_TRAITS = 4096
MAX_SUSPECT_TRAITS = 1024
MAX_CLEARED = 4096
MAX_ANSWERED_TRAITS = 4096


class TraitCrash(NamedTuple):
    """
    A crash that counts against a trait.

    :ivar depth: position of the crash in a row in which each exchange began once the
        crash before it had happened. Exchanges under way at the same time are one
        observation, however many targets are lost at once.
    :ivar at: when this gateway saw the exchange break off, or learned of the crash.
    """

    depth: int
    at: float


class TraitHistory:
    """
    The crashes that count against one trait.

    :ivar crashes_by_target: by the key of the target that crashed.
    :ivar stored: targets whose crash other gateways can read from the store.
    :ivar suspect_until: until when a request with the trait is not sent.
    """

    def __init__(self) -> None:
        """Start without crashes."""
        self.crashes_by_target: dict[int, TraitCrash] = {}
        self.stored: set[int] = set()
        self.suspect_until = 0.0

    def expire(self, now: float) -> None:
        """Remove crashes older than their time to live."""
        begin = now - CRASH_TTL
        old = [key for key, crash in self.crashes_by_target.items() if crash.at < begin]
        for key in old:
            self.remove(key)

    def remove(self, target: int) -> None:
        """Remove the crash of a target."""
        self.crashes_by_target.pop(target, None)
        self.stored.discard(target)

    def crashes_in_a_row(self) -> int:
        """Count the crashes that came one after the other."""
        depths = [crash.depth for crash in self.crashes_by_target.values()]
        return min(max(depths, default=0), len(depths))


class TraitTracker:
    """
    Tracks which traits of requests were in flight at targets that crashed.

    Load pattern: requests that are all different have one trait in common, such as a
    part of their prompts, that crashes each target that begins to run them. Harmless
    requests share each of their other traits. A complete response clears the traits of
    its request of all crashes before it, so that those which many requests have are
    cleared all the time, and what crashes targets never is. A trait with several
    crashes in a row and no complete response since is a suspect, and is tested by
    sending one of its requests on its own.

    A test tells of all traits of the request that is sent, whether they are suspects
    or not: the one to blame may have fewer known crashes than another. A response
    clears them all. A crash shows that one of them is to blame, or the request itself,
    unless the target ended for another reason. So only requests that have all of the
    possible causes are then held for long. One that lacks some of them may be tested
    soon, which tells them apart.

    A response also tells against a trait's being the cause of a later crash. A failed
    test that leaves only traits with such a response has to be confirmed by another.
    """

    def __init__(
        self,
        random: Random,
        is_explained: Callable[[int], bool],
        suspects_at: SuspectsAt = lambda target: {},
    ) -> None:
        """
        Start without suspects.

        :param random: seeded source for the jitter of quarantines.
        :param is_explained: tells whether a single request is blamed for a crash.
        :param suspects_at: returns the single requests that are suspected of a crash,
            with the number of crashes that count against each.
        """
        self._random = random
        self._is_explained = is_explained
        self._failed_tests = FailedTests(self, suspects_at)
        self._accused_by_trait: OrderedDict[str, TraitHistory] = OrderedDict()
        self._suspect_by_trait: OrderedDict[str, TraitHistory] = OrderedDict()
        self._cleared: OrderedDict[tuple[str, int], None] = OrderedDict()
        self._answered_at: OrderedDict[str, float] = OrderedDict()

    def depth(self, trait: str, began_at: float | None) -> int:
        """
        Compute the depth of a crash, see :class:`TraitCrash`.

        :param began_at: when the exchange that broke off was sent; ``None`` if it is
            not known.
        """
        history = self._get(trait)
        if history is None or began_at is None:
            return 1
        earlier = [
            crash.depth
            for crash in history.crashes_by_target.values()
            if crash.at <= began_at
        ]
        return min(MAX_DEPTH, 1 + max(earlier, default=0))

    def record(self, trait: str, target: int, crash: TraitCrash, now: float) -> bool:
        """
        Count a crash against a trait, whichever gateway saw it.

        :returns: whether it did not count before.
        """
        if (trait, target) in self._cleared:
            return False
        history = self._unexpired(trait, now) or TraitHistory()
        known = history.crashes_by_target.get(target)
        if known is not None and known.depth >= crash.depth:
            return False
        if known is not None:
            crash = crash._replace(at=min(known.at, crash.at))
        history.crashes_by_target[target] = crash
        history.stored.discard(target)
        self._put(trait, history)
        self._failed_tests.evidence_changed()
        if self._is_suspect(history):
            self._hold(history, now)
        return known is None

    def record_failed_test(
        self, target: int, tested: Iterable[str], now: float
    ) -> list[str]:
        """
        Record that a target crashed during a test.

        If it crashed during several, a trait of any of them may be to blame.

        :param tested: traits of the request that was sent.
        :returns: the traits that were not known to have been tested there.
        """
        added = self._failed_tests.record(target, tested, now, self._jitter())
        found = []
        for trait in sorted(added):
            history = self._unexpired(trait, now)
            if history is not None and target in history.crashes_by_target:
                found.append(trait)
                history.stored.discard(target)
                self._hold(history, now)
        return found

    def _hold(self, history: TraitHistory, now: float) -> None:
        history.suspect_until = now + TRAIT_QUARANTINE * self._jitter()

    def _jitter(self) -> float:
        return self._random.uniform(1.0, 1.0 + QUARANTINE_JITTER)

    def crashes(self, trait: str, now: float) -> list[int]:
        """List the targets whose crash counts against a trait."""
        history = self._unexpired(trait, now)
        return [] if history is None else [*history.crashes_by_target]

    def is_suspect(self, trait: str, now: float) -> bool:
        """Tell whether requests with a trait are held."""
        history = self._unexpired(trait, now)
        return history is not None and self._is_suspect(history)

    def _is_suspect(self, history: TraitHistory) -> bool:
        if history.crashes_in_a_row() < MIN_TRAIT_CRASHES:
            return False
        unexplained = sum(
            not self._is_explained(target) for target in history.crashes_by_target
        )
        return unexplained >= MIN_UNEXPLAINED

    def is_blamed(self, trait: str, target: int) -> bool:
        """Tell whether a target crashed during a test of a trait there."""
        history = self._get(trait)
        return (
            history is not None
            and target in history.crashes_by_target
            and trait in self._failed_tests.remaining(target)
        )

    def tested_at(self, target: int) -> list[str]:
        """List the traits that may be to blame for a crash during a test."""
        return sorted(self._failed_tests.remaining(target))

    def candidates(self, target: int, now: float) -> frozenset[str]:
        """Return what may be to blame for a crash: traits, and single requests."""
        return self._failed_tests.candidates(target, now)

    def suspects_among(self, traits: Iterable[str], now: float) -> list[str]:
        """List those of some traits that are suspects."""
        return [trait for trait in traits if self.is_suspect(trait, now)]

    def remaining_quarantine(
        self, traits: Sequence[str], now: float, fingerprint: str = ""
    ) -> float:
        """
        Compute how long a request is still held.

        :param traits: all traits of the request.
        :param fingerprint: of the request.
        :returns: seconds.
        """
        suspects = self.suspects_among(traits, now)
        if not suspects:
            return 0.0
        names = frozenset((*traits, fingerprint))
        until = max(self._suspect_by_trait[trait].suspect_until for trait in suspects)
        until = max(until, self._failed_tests.blamed_until(names, suspects, now))
        return max(0.0, until - now)

    def test_broken(self, tested: Iterable[str], now: float) -> None:
        """Hold the traits of a test that broke off until the cause is known."""
        for trait in tested:
            history = self._get(trait)
            if history is not None:
                history.suspect_until = max(
                    history.suspect_until, now + SUSPECT_QUARANTINE
                )

    def accused_among(self, traits: Iterable[str], now: float) -> list[str]:
        """List those of some traits against which a crash counts."""
        return [trait for trait in traits if self.crashes(trait, now)]

    def clear(self, trait: str, targets: Iterable[int], now: float) -> bool:
        """
        Stop counting certain crashes against a trait, also if they are reported late.

        :returns: whether any of them counted against it.
        """
        targets = [*targets]
        for target in targets:
            self._cleared[trait, target] = None
        evict_oldest(self._cleared, MAX_CLEARED)
        self.record_answer([trait], now)
        self._failed_tests.evidence_changed()
        history = self._unexpired(trait, now)
        if history is None:
            return False
        removed = history.crashes_by_target.keys() & {*targets}
        for target in removed:
            history.remove(target)
        self._put(trait, history)
        return bool(removed)

    def record_answer(self, traits: Iterable[str], now: float) -> None:
        """Record a complete response to a request with these traits."""
        for trait in traits:
            if not self.is_answered(trait, now):
                self._failed_tests.evidence_changed()
            self._answered_at[trait] = now
            self._answered_at.move_to_end(trait)
        evict_oldest(self._answered_at, MAX_ANSWERED_TRAITS)

    def is_answered(self, trait: str, now: float) -> bool:
        """Tell whether a request with a trait had a complete response lately."""
        return now - self._answered_at.get(trait, -ANSWERED_TTL) < ANSWERED_TTL

    def is_cleared(self, trait: str, target: int) -> bool:
        """Tell whether a response showed that a trait did not crash a target."""
        return (trait, target) in self._cleared

    def is_answer_news(self, traits: Iterable[str], now: float) -> bool:
        """Tell whether a response to a request with these traits would add anything."""
        return any(
            now - self._answered_at.get(trait, -ANSWERED_REFRESH) >= ANSWERED_REFRESH
            or self.crashes(trait, now)
            for trait in traits
        )

    def mark_stored(self, trait: str, target: int, is_trial: bool) -> None:
        """Record that other gateways can read a trait's crash in the store."""
        history = self._get(trait)
        if history is not None and is_trial == self.is_blamed(trait, target):
            history.stored.add(target)

    def unstored(self, min_crashes: int, now: float) -> list[tuple[str, int]]:
        """
        List the crashes that other gateways cannot read in the store yet.

        :param min_crashes: crashes of a trait from which on they are listed.
        :returns: traits, and the key of a target that crashed.
        """
        found = []
        for table in (self._suspect_by_trait, self._accused_by_trait):
            for trait, history in table.items():
                history.expire(now)
                if len(history.crashes_by_target) < min_crashes:
                    continue
                found += [
                    (trait, target)
                    for target in history.crashes_by_target.keys() - history.stored
                ]
        return found

    def depth_of(self, trait: str, target: int) -> int:
        """Return the depth of a crash that counts against a trait."""
        history = self._get(trait)
        crash = history and history.crashes_by_target.get(target)
        return crash.depth if crash else 1

    def _unexpired(self, trait: str, now: float) -> TraitHistory | None:
        history = self._get(trait)
        if history is not None:
            history.expire(now)
            if not history.crashes_by_target:
                self._remove(trait)
                return None
        return history

    def _get(self, trait: str) -> TraitHistory | None:
        return self._suspect_by_trait.get(trait) or self._accused_by_trait.get(trait)

    def _put(self, trait: str, history: TraitHistory) -> None:
        """
        Keep a trait's history as the newest.

        Suspects have a table of their own, so that the many traits that were in flight
        at a single crash do not evict them.
        """
        self._remove(trait)
        if not history.crashes_by_target:
            return
        if history.crashes_in_a_row() >= MIN_TRAIT_CRASHES:
            self._suspect_by_trait[trait] = history
            evict_oldest(self._suspect_by_trait, MAX_SUSPECT_TRAITS)
        else:
            self._accused_by_trait[trait] = history
            evict_oldest(self._accused_by_trait, MAX_ACCUSED_TRAITS)

    def _remove(self, trait: str) -> None:
        self._suspect_by_trait.pop(trait, None)
        self._accused_by_trait.pop(trait, None)
