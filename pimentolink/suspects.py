"""Tells which requests crash the targets that run them."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from random import Random
from typing import Any, NamedTuple

from pimentolink.errors import Quarantined
from pimentolink.suspicion import FIRST_PAUSE, SUSPECT_FROM, Suspicion, pause_after

# Share by which pauses differ between gateways, so that not all try it at one moment.
PAUSE_SPREAD = 0.5
# Seconds in which a try shows what comes of it; it takes a reading and a first event.
TRY_TIME = 3.0
# Seconds in which a target that broke a request off is found to have ended; its entry
# lapses after a few of its heartbeats.
BREAK_KEEP = 15.0
# Seconds for which an answer proves that a request is harmless.
SUCCESS_KEEP = 60.0
# How many are kept of each, the newest: requests of which one crash is known, of which
# more are, of which an answer is, crashes held against one no more, targets.
MAX_STRUCK_ONCE = 4096
MAX_SUSPECTS = 1024
MAX_SUCCESSES = 4096
MAX_CLEARED = 4096
MAX_TARGETS = 1024
# Requests that one target cut off, which are kept until it is known whether it ended.
MAX_BROKEN = 1024
# Own tries under way; they are made one at a time, so more are ones without an outcome.
MAX_SENT_TRIES = 64


class Unstored(NamedTuple):
    """
    A crash, with requests against which others cannot read that it is held.

    :ivar is_tried: whether each of them was the one that was tried there.
    """

    target: int
    fingerprints: list[str]
    is_tried: bool


class _Break(NamedTuple):
    """A request's exchange that was cut off, and whether it was being tried."""

    at: float
    is_tried: bool


class _Try(NamedTuple):
    """
    The sending of a suspect, whose outcome tells whether it is to blame.

    :ivar request_id: under which it is sent; empty if another gateway sends it.
    """

    fingerprint: str
    request_id: str
    ends_at: float


class Suspects:
    """
    Requests that were under way at targets that crashed.

    Load pattern: a request that ends each target that begins to run it, and that is
    asked again and again under new ids; with each target, tens of answers to others
    break off. Which of them is to blame cannot be told from one crash, but the one to
    blame is there each time: what was there twice is a suspect and waits. Then one
    suspect is tried at a time: others that were there each time as well, since many ask
    them, would be struck again by its crashes. An answer clears a suspect. One whose
    try crashes its target is to blame and waits longer and longer; it explains its
    crashes, which are then held against nobody else. A crash under two tries, begun by
    gateways that had not heard of each other's, blames neither.

    A request is known by its fingerprint, a target's life by its key.
    """

    def __init__(self, random: Random) -> None:
        """
        Start without suspicion.

        :param random: seeded source, which spreads pauses.
        """
        self._random = random
        self._once_by_fingerprint: OrderedDict[str, Suspicion] = OrderedDict()
        self._again_by_fingerprint: OrderedDict[str, Suspicion] = OrderedDict()
        self._answered_at: OrderedDict[str, float] = OrderedDict()
        self._cleared: OrderedDict[tuple[str, int], None] = OrderedDict()
        self._broken_by_target: OrderedDict[int, OrderedDict[str, _Break]]
        self._broken_by_target = OrderedDict()
        self._ended_at_by_target: OrderedDict[int, float] = OrderedDict()
        self._blamed_by_target: OrderedDict[int, str] = OrderedDict()
        self._tried_by_target: OrderedDict[int, str] = OrderedDict()
        self._contested_targets: OrderedDict[int, None] = OrderedDict()
        self._sent_tries: OrderedDict[str, None] = OrderedDict()
        self._try: _Try | None = None

    def broke(self, fingerprint: str, request_id: str, target: int, now: float) -> bool:
        """
        Learn that a request's exchange with a target was cut off.

        :param request_id: under which it came this time.
        :returns: whether the target is known to have crashed, so that the request is
            struck at once.
        """
        is_tried = self._is_tried_by(request_id) or request_id in self._sent_tries
        if is_tried:
            self._sent_tries.pop(request_id, None)
            self._end_try(fingerprint)
            # Whether it crashed its target may come to light seconds later.
            found = self._again_by_fingerprint.get(fingerprint)
            if found is not None:
                found.held_until = max(found.held_until, now + FIRST_PAUSE)
        ended_at = self._ended_at_by_target.get(target)
        if ended_at is not None and now - ended_at <= BREAK_KEEP:
            return bool(self.strike(target, [fingerprint], now, is_tried))
        self._keep_break(fingerprint, target, _Break(now, is_tried))
        return False

    def _keep_break(self, fingerprint: str, target: int, found: _Break) -> None:
        """Keep a break, and forget those that are too old to show a crash."""
        broken = self._broken_by_target.setdefault(target, OrderedDict())
        broken[fingerprint] = found
        broken.move_to_end(fingerprint)
        _bound(broken, MAX_BROKEN)
        while found.at - next(iter(broken.values())).at > BREAK_KEEP:
            broken.popitem(last=False)
        self._broken_by_target.move_to_end(target)
        _bound(self._broken_by_target, MAX_TARGETS)

    def ended(self, target: int, now: float) -> list[str]:
        """
        Learn that a target's life ended without having been announced.

        :returns: the requests that it cut off, which are struck.
        """
        self._ended_at_by_target[target] = now
        _bound(self._ended_at_by_target, MAX_TARGETS)
        broken = self._broken_by_target.pop(target, OrderedDict())
        for name, found in broken.items():
            if now - found.at <= BREAK_KEEP:
                self._strike(name, target, now, found.is_tried)
        return [name for name in broken if target in self.crashes(name, now)]

    def strike(
        self,
        target: int,
        fingerprints: Iterable[str],
        now: float,
        is_tried: bool = False,
    ) -> list[str]:
        """
        Hold a crash against requests, whoever saw it.

        One that was answered lately is not to blame: many callers ask it, and some were
        under way at each target that crashed.

        :param is_tried: whether they were being tried there, which blames them.
        :returns: those against which it was not held yet.
        """
        return [
            fingerprint
            for fingerprint in fingerprints
            if self._strike(fingerprint, target, now, is_tried)
        ]

    def _strike(
        self, fingerprint: str, target: int, now: float, is_tried: bool
    ) -> bool:
        if now - self._answered_at.get(fingerprint, -SUCCESS_KEEP) < SUCCESS_KEEP:
            return False
        if (fingerprint, target) in self._cleared:
            return False
        found = self._find(fingerprint, now) or Suspicion()
        is_failed_try = is_tried and target not in found.failed_tries
        if target in found.struck_at_by_target and not is_failed_try:
            return False
        found.struck_at_by_target[target] = now
        found.stored.discard(target)
        self._end_try(fingerprint)
        self._keep(fingerprint, found)
        if is_failed_try:
            found.failed_tries.add(target)
            self._judge(fingerprint, target, now)
        elif self._is_explained(fingerprint, target):
            return False
        self._hold(found, now)
        return True

    def _judge(self, fingerprint: str, target: int, now: float) -> None:
        """Blame a request for the crash under its try, unless another was tried too."""
        first = self._tried_by_target.setdefault(target, fingerprint)
        _bound(self._tried_by_target, MAX_TARGETS)
        if first != fingerprint:
            self._contested_targets[target] = None
            _bound(self._contested_targets, MAX_TARGETS)
            self._acquit(first, now)
        self._blame(fingerprint)

    def _acquit(self, fingerprint: str, now: float) -> None:
        """Blame a request no more if a contested crash was all that spoke for it."""
        found = self._find(fingerprint, now)
        if found is None or self._failed_tries(found):
            return
        explained = [
            key for key, name in self._blamed_by_target.items() if name == fingerprint
        ]
        for key in explained:
            del self._blamed_by_target[key]
        self._hold(found, now)

    def _blame(self, fingerprint: str) -> None:
        """Let a request whose own try failed explain its crashes."""
        found = self._kept(fingerprint)
        if found is not None and self._failed_tries(found):
            for target in found.struck_at_by_target:
                self._blamed_by_target[target] = fingerprint
            _bound(self._blamed_by_target, MAX_TARGETS)

    def _failed_tries(self, found: Suspicion) -> int:
        """Count the crashes under a request's own tries that no other explains."""
        return len(found.failed_tries - self._contested_targets.keys())

    def _is_explained(self, fingerprint: str, target: int) -> bool:
        """Tell whether another request is to blame for a crash."""
        return self._blamed_by_target.get(target, fingerprint) != fingerprint

    def _drop(self, fingerprint: str, found: Suspicion, targets: Iterable[int]) -> bool:
        """Hold crashes against a request no more; tell whether any was."""
        dropped = found.struck_at_by_target.keys() & set(targets)
        for target in dropped:
            found.drop(target)
        if not found.struck_at_by_target:
            self._forget(fingerprint)
        return bool(dropped)

    def _find(self, fingerprint: str, now: float) -> Suspicion | None:
        found = self._kept(fingerprint)
        if found is not None:
            found.forget(now)
        return found

    def _kept(self, fingerprint: str) -> Suspicion | None:
        found = self._again_by_fingerprint.get(fingerprint)
        return found or self._once_by_fingerprint.get(fingerprint)

    def _keep(self, fingerprint: str, found: Suspicion) -> None:
        """Keep suspects apart from the many that one crash befell."""
        self._forget(fingerprint)
        if len(found.struck_at_by_target) < SUSPECT_FROM:
            self._once_by_fingerprint[fingerprint] = found
            _bound(self._once_by_fingerprint, MAX_STRUCK_ONCE)
        else:
            self._again_by_fingerprint[fingerprint] = found
            _bound(self._again_by_fingerprint, MAX_SUSPECTS)

    def _forget(self, fingerprint: str) -> None:
        self._once_by_fingerprint.pop(fingerprint, None)
        self._again_by_fingerprint.pop(fingerprint, None)

    def _hold(self, found: Suspicion, now: float) -> None:
        crashes = len(found.struck_at_by_target)
        wait = pause_after(crashes, self._failed_tries(found))
        found.held_until = now + wait * self._random.uniform(1.0, 1.0 + PAUSE_SPREAD)

    def _end_try(self, fingerprint: str) -> None:
        if self._try is not None and self._try.fingerprint == fingerprint:
            self._try = None

    def crashes(self, fingerprint: str, now: float) -> list[int]:
        """List the targets whose crash is held against a request."""
        found = self._find(fingerprint, now)
        return self._held(fingerprint, found) if found is not None else []

    def _held(self, fingerprint: str, found: Suspicion) -> list[int]:
        return [
            target
            for target in found.struck_at_by_target
            if not self._is_explained(fingerprint, target)
        ]

    def is_suspect(self, fingerprint: str, now: float) -> bool:
        """Tell whether a request waits before it is sent again."""
        return len(self.crashes(fingerprint, now)) >= SUSPECT_FROM

    def wait(self, fingerprint: str, now: float) -> float:
        """Tell how many seconds a request waits before it may be sent."""
        found = self._again_by_fingerprint.get(fingerprint)
        return max(0.0, found.held_until - now) if found is not None else 0.0

    def refusal(
        self, fingerprint: str, request_id: str, now: float
    ) -> Quarantined | None:
        """
        Tell why a request may not be sent now.

        :param request_id: under which it came this time.
        :returns: ``None`` if it may be.
        """
        crashes = len(self.crashes(fingerprint, now))
        if crashes < SUSPECT_FROM or self._is_tried_by(request_id):
            return None
        wait = self.wait(fingerprint, now)
        if self._try is not None:
            wait = max(wait, self._try.ends_at - now)
        if wait <= 0:
            return None
        return Quarantined(
            f"{crashes} targets crashed while it was under way there", wait
        )

    def _is_tried_by(self, request_id: str) -> bool:
        return self._try is not None and self._try.request_id == request_id

    def try_again(self, fingerprint: str, request_id: str, now: float) -> bool:
        """
        Begin to send a request that may be sent.

        :returns: whether it is a suspect, so that no other should be tried meanwhile.
        """
        if not self.is_suspect(fingerprint, now) or self._is_tried_by(request_id):
            return False
        self._try = _Try(fingerprint, request_id, now + TRY_TIME)
        return True

    def try_sent(self, request_id: str) -> None:
        """Learn that an own try is on its way, which another's news do not undo."""
        self._sent_tries[request_id] = None
        _bound(self._sent_tries, MAX_SENT_TRIES)

    def tried(self, fingerprint: str, now: float) -> None:
        """
        Learn that another gateway tries a suspect.

        Of tries that begin at the same moment the one of the least fingerprint goes on,
        at all gateways alike; with two at once a crash would not tell who is to blame.
        """
        current = self._try
        is_under_way = current is not None and now < current.ends_at
        if current is None or not is_under_way or fingerprint < current.fingerprint:
            self._try = _Try(fingerprint, "", now + TRY_TIME)

    def answered(self, fingerprint: str, now: float) -> list[int]:
        """
        Learn that a request got its whole answer.

        :returns: the crashes that were held against it and are no more.
        """
        self._answered_at[fingerprint] = now
        self._answered_at.move_to_end(fingerprint)
        _bound(self._answered_at, MAX_SUCCESSES)
        crashes = self.crashes(fingerprint, now)
        self.clear(fingerprint, crashes, now)
        return crashes

    def clear(self, fingerprint: str, targets: Iterable[int], now: float) -> bool:
        """
        Hold certain crashes against a request no more, also if they are told later.

        :returns: whether any was held against it.
        """
        self._end_try(fingerprint)
        explained = {
            target
            for target in targets
            if self._blamed_by_target.get(target) == fingerprint
        }
        if explained:
            self._drop_others(fingerprint, explained)
        for target in targets:
            self._cleared[fingerprint, target] = None
        _bound(self._cleared, MAX_CLEARED)
        found = self._find(fingerprint, now)
        return found is not None and self._drop(fingerprint, found, targets)

    def _drop_others(self, fingerprint: str, targets: set[int]) -> None:
        """Hold crashes that a request explained against no other from now on."""
        for kept in (self._once_by_fingerprint, self._again_by_fingerprint):
            for other, found in [*kept.items()]:
                if other != fingerprint and not found.failed_tries:
                    self._drop(other, found, targets)
        for target in targets:
            del self._blamed_by_target[target]

    def stored(self, fingerprint: str, target: int, is_tried: bool) -> None:
        """Learn that others can read in the store of a crash held against a request."""
        found = self._kept(fingerprint)
        if found is not None and is_tried == (target in found.failed_tries):
            found.stored.add(target)

    def is_blamed(self, fingerprint: str, target: int) -> bool:
        """Tell whether a target crashed as a request was tried there."""
        found = self._kept(fingerprint)
        return found is not None and target in found.failed_tries

    def unstored(self, least: int, now: float) -> list[Unstored]:
        """
        List what others cannot read in the store yet.

        :param least: crashes of a request from which on it is listed.
        """
        kept = [self._again_by_fingerprint]
        if least < SUSPECT_FROM:
            kept.append(self._once_by_fingerprint)
        listed: dict[tuple[int, bool], list[str]] = {}
        for suspicions in kept:
            for fingerprint, found in suspicions.items():
                found.forget(now)
                held = self._held(fingerprint, found)
                if len(held) < least:
                    continue
                for target in set(held) - found.stored:
                    crash = (target, target in found.failed_tries)
                    listed.setdefault(crash, []).append(fingerprint)
        return [
            Unstored(target, names, is_tried)
            for (target, is_tried), names in listed.items()
        ]


def _bound(kept: OrderedDict[Any, Any], most: int) -> None:
    """Drop the oldest of what is kept beyond a bound."""
    while len(kept) > most:
        kept.popitem(last=False)
