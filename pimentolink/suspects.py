"""Tells which requests crash the targets that run them."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from random import Random
from typing import Any

from pimentolink.errors import Quarantined

# Seconds for which a crash is held against the requests that were under way; as long
# as the store's longest lease.
KEEP = 600.0
# Crashes from which on a request waits before it is sent again. One proves nothing: it
# befalls all that were under way.
SUSPECT_FROM = 2
# Seconds that it waits then: targets that crashed are back, so that the next crash does
# not take the last one.
FIRST_PAUSE = 5.0
# Seconds that it waits after one crash more; doubled with each further one.
LONG_PAUSE = 60.0
# Share by which pauses differ between gateways, so that not all try it at one moment.
PAUSE_SPREAD = 0.5
# Seconds in which a try shows what comes of it.
TRY_TIME = 10.0
# Seconds in which a target that broke a request off is found to have ended; its entry
# lapses after a few of its heartbeats.
BREAK_KEEP = 15.0
# Seconds for which an answer proves that a request is harmless.
SUCCESS_KEEP = 60.0
# How many are kept of each, the newest: requests of which one crash is known, of which
# more are, of which an answer is, crashes held against one no more, targets.
MOST_STRUCK_ONCE = 4096
MOST_SUSPECTS = 1024
MOST_SUCCESSES = 4096
MOST_CLEARED = 4096
MOST_TARGETS = 1024


def pause_after(crashes: int) -> float:
    """
    Tell how long a request waits after it was under way at crashes of targets.

    :returns: seconds.
    """
    if crashes < SUSPECT_FROM:
        return 0.0
    if crashes == SUSPECT_FROM:
        return FIRST_PAUSE
    return float(LONG_PAUSE * 2 ** (crashes - SUSPECT_FROM - 1))


class _Suspicion:
    """
    What is held against one request.

    :ivar struck_at_by_target: when each crash was learned of.
    :ivar stored: those of these crashes that others can read in the store.
    :ivar held_until: when it may be sent again.
    :ivar tried_by: id under which it is being tried; empty if it is not tried here.
    """

    def __init__(self) -> None:
        self.struck_at_by_target: dict[int, float] = {}
        self.stored: set[int] = set()
        self.held_until = 0.0
        self.tried_by = ""

    def forget(self, now: float) -> None:
        """Hold crashes of long ago against it no more."""
        begin = now - KEEP
        old = [key for key, at in self.struck_at_by_target.items() if at < begin]
        for key in old:
            del self.struck_at_by_target[key]


class Suspects:
    """
    Requests that were under way at targets that crashed.

    Load pattern: a request that ends each target that begins to run it, and that is
    asked again and again under new ids; with each target, tens of answers to others
    break off. Which of them is to blame cannot be told from one crash, so crashes of
    different targets are counted for each request: the one to blame is there each
    time. The more there were, the longer it waits before it is sent again, and then it
    is tried once at a time. An answer clears it.

    A request is known by its fingerprint, a target's life by its key.
    """

    def __init__(self, random: Random) -> None:
        """
        Start without suspicion.

        :param random: seeded source, which spreads pauses.
        """
        self._random = random
        self._once_by_fingerprint: OrderedDict[str, _Suspicion] = OrderedDict()
        self._again_by_fingerprint: OrderedDict[str, _Suspicion] = OrderedDict()
        self._answered_at: OrderedDict[str, float] = OrderedDict()
        self._cleared: OrderedDict[tuple[str, int], None] = OrderedDict()
        self._broken_by_target: OrderedDict[int, dict[str, float]] = OrderedDict()
        self._ended_at_by_target: OrderedDict[int, float] = OrderedDict()

    def broke(self, fingerprint: str, target: int, now: float) -> bool:
        """
        Learn that a request broke off at a target.

        :returns: whether the target is known to have crashed, so that the request is
            struck at once.
        """
        ended_at = self._ended_at_by_target.get(target)
        if ended_at is not None and now - ended_at <= BREAK_KEEP:
            return bool(self.strike(target, [fingerprint], now))
        broken = self._broken_by_target.setdefault(target, {})
        broken[fingerprint] = now
        self._broken_by_target.move_to_end(target)
        _bound(self._broken_by_target, MOST_TARGETS)
        return False

    def ended(self, target: int, now: float) -> list[str]:
        """
        Learn that a target's life ended without having been announced.

        :returns: the requests that it broke off, which are struck.
        """
        self._ended_at_by_target[target] = now
        _bound(self._ended_at_by_target, MOST_TARGETS)
        broken = self._broken_by_target.pop(target, {})
        recent = [name for name, at in broken.items() if now - at <= BREAK_KEEP]
        return self.strike(target, recent, now)

    def strike(self, target: int, fingerprints: Iterable[str], now: float) -> list[str]:
        """
        Hold a crash against requests, whoever saw it.

        One that was answered lately is not to blame: many callers ask it, and some were
        under way at each target that crashed.

        :returns: those against which it was not held yet.
        """
        struck = []
        for fingerprint in fingerprints:
            if now - self._answered_at.get(fingerprint, -SUCCESS_KEEP) < SUCCESS_KEEP:
                continue
            found = self._find(fingerprint, now) or _Suspicion()
            is_cleared = (fingerprint, target) in self._cleared
            if is_cleared or target in found.struck_at_by_target:
                continue
            found.struck_at_by_target[target] = now
            self._keep(fingerprint, found)
            self._hold(found, now)
            struck.append(fingerprint)
        return struck

    def _find(self, fingerprint: str, now: float) -> _Suspicion | None:
        found = self._again_by_fingerprint.get(fingerprint)
        found = found or self._once_by_fingerprint.get(fingerprint)
        if found is not None:
            found.forget(now)
        return found

    def _keep(self, fingerprint: str, found: _Suspicion) -> None:
        """Keep suspects apart from the many that one crash befell."""
        self._forget(fingerprint)
        if len(found.struck_at_by_target) < SUSPECT_FROM:
            self._once_by_fingerprint[fingerprint] = found
            _bound(self._once_by_fingerprint, MOST_STRUCK_ONCE)
        else:
            self._again_by_fingerprint[fingerprint] = found
            _bound(self._again_by_fingerprint, MOST_SUSPECTS)

    def _forget(self, fingerprint: str) -> None:
        self._once_by_fingerprint.pop(fingerprint, None)
        self._again_by_fingerprint.pop(fingerprint, None)

    def _hold(self, found: _Suspicion, now: float) -> None:
        wait = pause_after(len(found.struck_at_by_target))
        found.held_until = now + wait * self._random.uniform(1.0, 1.0 + PAUSE_SPREAD)
        found.tried_by = ""

    def crashes(self, fingerprint: str, now: float) -> list[int]:
        """List the targets at whose crash a request was under way."""
        found = self._find(fingerprint, now)
        return list(found.struck_at_by_target) if found is not None else []

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
        found = self._again_by_fingerprint.get(fingerprint)
        if found is None:
            return None
        crashes = len(self.crashes(fingerprint, now))
        if crashes < SUSPECT_FROM or found.tried_by == request_id:
            return None
        if now >= found.held_until:
            return None
        return Quarantined(
            f"{crashes} targets crashed while it was under way there",
            found.held_until - now,
        )

    def try_again(self, fingerprint: str, request_id: str, now: float) -> bool:
        """
        Begin to send a request that may be sent.

        :returns: whether it is a suspect that nobody else should try meanwhile.
        """
        found = self._again_by_fingerprint.get(fingerprint)
        if found is None or found.tried_by == request_id:
            return False
        if not self.is_suspect(fingerprint, now):
            return False
        self.tried(fingerprint, now)
        found.tried_by = request_id
        return True

    def tried(self, fingerprint: str, now: float) -> None:
        """Learn that a suspect is being tried, here or by another gateway."""
        found = self._again_by_fingerprint.get(fingerprint)
        if found is not None:
            found.held_until = max(found.held_until, now + TRY_TIME)

    def answered(self, fingerprint: str, now: float) -> list[int]:
        """
        Learn that a request got its whole answer.

        :returns: the crashes that were held against it and are no more.
        """
        self._answered_at[fingerprint] = now
        self._answered_at.move_to_end(fingerprint)
        _bound(self._answered_at, MOST_SUCCESSES)
        crashes = self.crashes(fingerprint, now)
        self.clear(fingerprint, crashes, now)
        return crashes

    def clear(self, fingerprint: str, targets: Iterable[int], now: float) -> bool:
        """
        Hold certain crashes against a request no more, also if they are told later.

        :returns: whether any was held against it.
        """
        found = self._find(fingerprint, now)
        is_news = False
        for target in targets:
            self._cleared[fingerprint, target] = None
            if found is not None and target in found.struck_at_by_target:
                del found.struck_at_by_target[target]
                is_news = True
        _bound(self._cleared, MOST_CLEARED)
        if found is not None and not found.struck_at_by_target:
            self._forget(fingerprint)
        return is_news

    def stored(self, fingerprint: str, target: int) -> None:
        """Learn that others can read in the store of a crash held against a request."""
        found = self._again_by_fingerprint.get(fingerprint)
        found = found or self._once_by_fingerprint.get(fingerprint)
        if found is not None:
            found.stored.add(target)

    def unstored(self, least: int, now: float) -> dict[int, list[str]]:
        """
        List what others cannot read in the store yet.

        :param least: crashes of a request from which on it is listed.
        :returns: requests by the target at whose crash they were under way.
        """
        kept = [self._again_by_fingerprint]
        if least < SUSPECT_FROM:
            kept.append(self._once_by_fingerprint)
        listed: dict[int, list[str]] = {}
        for suspicions in kept:
            for fingerprint, found in suspicions.items():
                found.forget(now)
                if len(found.struck_at_by_target) < least:
                    continue
                for target in found.struck_at_by_target.keys() - found.stored:
                    listed.setdefault(target, []).append(fingerprint)
        return listed


def _bound(kept: OrderedDict[Any, Any], most: int) -> None:
    """Drop the oldest of what is kept beyond a bound."""
    while len(kept) > most:
        kept.popitem(last=False)
