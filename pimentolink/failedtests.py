"""Crashes of targets during tests of traits, and what may be to blame for them."""

from __future__ import annotations

from collections import Counter, OrderedDict
from collections.abc import Callable, Iterable, Mapping
from functools import cached_property
from typing import NamedTuple, Protocol

from pimentolink.crashhistory import CRASH_TTL, SUSPECT_QUARANTINE, evict_oldest

# Seconds of quarantine once a test has crashed a target; doubled with each further
# one. Long, as a trait comes with ever new requests, and each test takes a target.
FAILED_TRAIT_QUARANTINE = 300.0
# Crashes that a complete response lately outweighs; targets also end for other reasons.
ANSWER_WEIGHT = 2
# Crashes and failed tests by which a trait has to be ahead of another candidate to be
# blamed without it.
LEAD = 3
# Seconds for which an assessment is used again, unless what is known of traits changes.
# Each request that is held needs one.
ASSESSMENT_TTL = 0.1
# Capacity, beyond which the oldest entries are evicted; bounds an assessment's work.
MAX_FAILED_TESTS = 64

SuspectsAt = Callable[[int], Mapping[str, int]]


class FailedTest(NamedTuple):
    """
    A crash of a target during a test.

    :ivar tested: all traits of the request that was sent, or of all requests if the
        target crashed during several tests.
    :ivar at: when this gateway learned of it.
    :ivar jitter: factor by which the quarantine is longer.
    """

    tested: frozenset[str]
    at: float
    jitter: float


class TraitEvidence(Protocol):
    """What is known of traits, other than the tests that failed."""

    def crashes(self, trait: str, now: float) -> list[int]:
        """List the targets whose crash counts against a trait."""

    def is_suspect(self, trait: str, now: float) -> bool:
        """Tell whether requests with a trait are held."""

    def is_answered(self, trait: str, now: float) -> bool:
        """Tell whether a request with a trait had a complete response lately."""

    def is_cleared(self, trait: str, target: int) -> bool:
        """Tell whether a response showed that a trait did not crash a target."""


class FailedTests:
    """
    Keeps the crashes of targets during tests, and tells which requests they concern.

    A crash shows that one of the traits of the request that was sent is to blame, or
    the request itself, unless the target ended for another reason. Traits are left out
    once a response has cleared them. Only a request that has all that is left is held
    for long. Another one may be tested soon, which tells them apart.
    """

    def __init__(self, evidence: TraitEvidence, suspects_at: SuspectsAt) -> None:
        """
        Start without failed tests.

        :param evidence: what else is known of traits.
        :param suspects_at: returns the single requests that are suspected of a crash,
            with the number of crashes that count against each.
        """
        self._evidence = evidence
        self._suspects_at = suspects_at
        self._test_by_target: OrderedDict[int, FailedTest] = OrderedDict()
        self._assessment: _Assessment | None = None

    def evidence_changed(self) -> None:
        """Assess what may be to blame anew, as what is known of traits has changed."""
        self._assessment = None

    def _assess(self, now: float) -> _Assessment:
        found = self._assessment
        if found is None or not 0 <= now - found.at < ASSESSMENT_TTL:
            remaining_by_target = {
                target: self.remaining(target) for target in self._test_by_target
            }
            found = _Assessment(
                remaining_by_target, self._evidence, self._suspects_at, now
            )
            self._assessment = found
        return found

    def record(
        self, target: int, tested: Iterable[str], now: float, jitter: float
    ) -> frozenset[str]:
        """
        Record a crash during a test.

        :param tested: all traits of the request that was sent.
        :param jitter: factor by which the quarantine is longer, of a new test.
        :returns: the traits that were not known to have been tested there.
        """
        self._expire(now)
        new = FailedTest(frozenset(), now, jitter)
        test = self._test_by_target.get(target, new)
        added = frozenset(tested) - test.tested
        self._test_by_target[target] = test._replace(tested=test.tested | added)
        evict_oldest(self._test_by_target, MAX_FAILED_TESTS)
        self.evidence_changed()
        return added

    def _expire(self, now: float) -> None:
        for target, test in [*self._test_by_target.items()]:
            if now - test.at > CRASH_TTL:
                del self._test_by_target[target]

    def remaining(self, target: int) -> frozenset[str]:
        """Return the traits tested at a crash that no response has cleared of it."""
        test = self._test_by_target.get(target)
        if test is None:
            return frozenset()
        is_cleared = self._evidence.is_cleared
        return frozenset(
            trait for trait in test.tested if not is_cleared(trait, target)
        )

    def candidates(self, target: int, now: float) -> frozenset[str]:
        """Return what may be to blame for a crash: traits, and single requests."""
        return self._assess(now).candidates(target)

    def blamed_until(
        self, names: frozenset[str], suspects: Iterable[str], now: float
    ) -> float:
        """
        Compute until when a request is held for the tests that failed.

        :param names: the request's fingerprint and all its traits.
        :param suspects: those of its traits that are suspects.
        :returns: in seconds of the timer service; 0 if it is not held.
        """
        assessment = self._assess(now)
        targets = {
            target
            for trait in suspects
            for target in self._evidence.crashes(trait, now)
            if trait in assessment.remaining_by_target.get(target, ())
        }
        blamed = [
            target for target in targets if assessment.candidates(target) <= names
        ]
        until = 0.0
        for target in blamed:
            failures = len(blamed)
            if not assessment.prime_suspects_by_target[target]:
                failures -= ANSWER_WEIGHT
            test = self._test_by_target[target]
            until = max(until, test.at + _quarantine_time(failures) * test.jitter)
        return until


class _Assessment:
    """
    What may be to blame for each failed test, by what is known at one moment.

    :ivar at: that moment, in seconds of the timer service.
    :ivar remaining_by_target: the tested traits that no response has cleared.
    """

    def __init__(
        self,
        remaining_by_target: Mapping[int, frozenset[str]],
        evidence: TraitEvidence,
        suspects_at: SuspectsAt,
        at: float,
    ) -> None:
        self.at = at
        self.remaining_by_target = remaining_by_target
        self._evidence = evidence
        self._requests_by_target = {
            target: suspects_at(target) for target in remaining_by_target
        }
        self._candidates_by_target: dict[int, frozenset[str]] = {}

    def candidates(self, target: int) -> frozenset[str]:
        """Return what may be to blame for a crash; see :meth:`_find_candidates`."""
        if target not in self._candidates_by_target:
            self._candidates_by_target[target] = self._find_candidates(target)
        return self._candidates_by_target[target]

    def _find_candidates(self, target: int) -> frozenset[str]:
        """
        Find what may be to blame for a crash during a test.

        What explains far fewer crashes than another candidate is left out. Otherwise a
        fatal trait would never be blamed if each request with it had other traits that
        no other request has.
        """
        remaining = self.remaining_by_target.get(target)
        if not remaining:
            return frozenset()
        requests = self._requests_by_target[target]
        crashes_by_name: dict[str, int] = {}
        leaders = self.prime_suspects_by_target[target]
        if leaders:
            failures_by_name = self._failures_by_name
            crashes_by_name |= requests
            crashes_by_name |= {
                name: self._weighted_crashes(name) for name in remaining
            }
        else:
            # Crashes alone do not tell common traits apart from fatal ones: those of
            # targets that ended for another reason count against the former.
            failures_by_name = self._unexplained_failures_by_name
            leaders = [*remaining]
        weight_by_name = {
            name: crashes_by_name.get(name, 0) + failures_by_name.get(name, 0)
            for name in (*remaining, *requests)
        }
        most = max(weight_by_name[trait] for trait in leaders)
        return frozenset(
            name for name, weight in weight_by_name.items() if most - weight < LEAD
        )

    def _weighted_crashes(self, trait: str) -> int:
        """Count the crashes against a trait, fewer if it had a response lately."""
        crashes = len(self._evidence.crashes(trait, self.at))
        if self._evidence.is_answered(trait, self.at):
            return crashes - ANSWER_WEIGHT
        return crashes

    @cached_property
    def prime_suspects_by_target(self) -> dict[int, list[str]]:
        """The suspects without a response that were tested at each crash."""
        evidence, now = self._evidence, self.at
        return {
            target: [
                trait
                for trait in remaining
                if evidence.is_suspect(trait, now)
                and not evidence.is_answered(trait, now)
            ]
            for target, remaining in self.remaining_by_target.items()
        }

    @cached_property
    def _failures_by_name(self) -> dict[str, int]:
        """The failed tests, by trait or single request."""
        return self._count_failures(self.remaining_by_target)

    @cached_property
    def _unexplained_failures_by_name(self) -> dict[str, int]:
        """The failed tests without a prime suspect, by trait or single request."""
        return self._count_failures(
            target
            for target, prime_suspects in self.prime_suspects_by_target.items()
            if not prime_suspects
        )

    def _count_failures(self, targets: Iterable[int]) -> dict[str, int]:
        return Counter(
            name
            for target in targets
            for name in (
                *self.remaining_by_target[target],
                *self._requests_by_target[target],
            )
        )


def _quarantine_time(failures: int) -> float:
    """Compute for how many seconds a request is held after failed tests."""
    if failures < 1:
        return SUSPECT_QUARANTINE
    return float(FAILED_TRAIT_QUARANTINE * 2 ** (failures - 1))
