"""The timer service: the one source of time that every part subscribes to."""

from __future__ import annotations

import heapq
import itertools
import time
from collections.abc import Callable, Coroutine, Iterable
from typing import Any, Protocol, TypeVar

from twisted.internet.defer import CancelledError, Deferred

Awaited = TypeVar("Awaited")


class Timer(Protocol):
    """A pending call."""

    def cancel(self) -> None:
        """Drop the call; does nothing once it has been made."""


class Timers(Protocol):
    """What decisions may know of time."""

    def now(self) -> float:
        """
        Read the monotonic clock.

        :returns: seconds since an arbitrary start.
        """

    def wall_time(self) -> float:
        """
        Read the calendar clock, which differs between instances.

        :returns: seconds since 1970.
        """

    def boot_time(self) -> float:
        """
        Read the clock that goes on while the instance is suspended.

        :returns: seconds since an arbitrary start.
        """

    def call_later(self, delay: float, callback: Callable[[], object]) -> Timer:
        """
        Subscribe to one moment.

        :param delay: seconds from now, not negative.
        :param callback: called once on the loop.
        """


def pause(timers: Timers, seconds: float) -> Deferred[None]:
    """
    Wait.

    :param timers: the timer service.
    :param seconds: how long.
    """
    pending: Deferred[None] = Deferred()
    timers.call_later(seconds, lambda: pending.callback(None))
    return pending


def in_background(work: Coroutine[Any, Any, None]) -> Deferred[None]:
    """
    Begin work that goes on until it is cancelled.

    :param work: a coroutine that awaits Deferreds.
    :returns: what cancels it; being cancelled is no failure of it.
    """
    running = Deferred.fromCoroutine(work)
    running.addErrback(lambda failure: failure.trap(CancelledError))
    return running


async def with_timeout(
    timers: Timers, seconds: float, work: Coroutine[Any, Any, Awaited]
) -> Awaited:
    """
    Wait for work that is cancelled when it takes too long.

    :param timers: the timer service.
    :param seconds: how long it may take.
    :param work: a coroutine that awaits Deferreds.
    :raises TimeoutError: if it took longer.
    """
    pending: Deferred[Awaited] = Deferred.fromCoroutine(work)
    expired = False

    def expire() -> None:
        nonlocal expired
        expired = True
        pending.cancel()

    timer = timers.call_later(seconds, expire)
    try:
        return await pending
    except CancelledError:
        if expired:
            raise TimeoutError(f"not done within {seconds:g} s") from None
        pending.cancel()
        raise
    finally:
        timer.cancel()


async def together(works: Iterable[Coroutine[Any, Any, Awaited]]) -> list[Awaited]:
    """
    Do several things at a time and wait for all.

    :param works: coroutines that await Deferreds and raise nothing.
    :returns: what came of each, in their order.
    """
    pending = [Deferred.fromCoroutine(work) for work in works]
    return [await item for item in pending]


class Repeater:
    """Calls back at a fixed interval until cancelled."""

    def __init__(
        self, timers: Timers, interval: float, callback: Callable[[], object]
    ) -> None:
        """
        Start repeating.

        :param timers: the timer service.
        :param interval: seconds between calls.
        :param callback: called on each turn, first after one interval.
        """
        self._timers = timers
        self._interval = interval
        self._callback = callback
        self._timer: Timer = timers.call_later(interval, self._turn)

    def _turn(self) -> None:
        self._timer = self._timers.call_later(self._interval, self._turn)
        self._callback()

    def cancel(self) -> None:
        """Stop repeating."""
        self._timer.cancel()


class _ReactorTimer:
    """A delayed call of the reactor, safe to cancel at any time."""

    def __init__(self, delayed_call: Any) -> None:
        self._delayed_call = delayed_call

    def cancel(self) -> None:
        if self._delayed_call.active():
            self._delayed_call.cancel()


class ReactorTimers:
    """Timers on a Twisted reactor."""

    def __init__(self, reactor: Any) -> None:
        """
        Bind to the loop.

        :param reactor: provides ``callLater``.
        """
        self._reactor = reactor

    def now(self) -> float:
        """Read the monotonic clock, in seconds."""
        return time.monotonic()

    def wall_time(self) -> float:
        """Read the calendar clock, in seconds since 1970."""
        return time.time()

    def boot_time(self) -> float:
        """Read the clock that goes on in a suspension, in seconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def call_later(self, delay: float, callback: Callable[[], object]) -> Timer:
        """Subscribe to one moment ``delay`` seconds away."""
        return _ReactorTimer(self._reactor.callLater(delay, callback))


class _ManualTimer:
    """A pending call in virtual time."""

    def __init__(self, callback: Callable[[], object]) -> None:
        self.callback: Callable[[], object] | None = callback

    def cancel(self) -> None:
        self.callback = None


class ManualTimers:
    """Timers in virtual time, moved by hand; the twin for tests."""

    def __init__(self) -> None:
        """Start at zero."""
        self._now = 0.0
        self.suspended = 0.0
        self._order = itertools.count()
        self._heap: list[tuple[float, int, _ManualTimer]] = []

    def now(self) -> float:
        """Read the virtual clock, in seconds."""
        return self._now

    def wall_time(self) -> float:
        """Read the virtual calendar, which starts in 2027."""
        return 1_800_000_000.0 + self._now

    def boot_time(self) -> float:
        """Read the virtual clock with the suspensions, in seconds."""
        return self._now + self.suspended

    def suspend(self, seconds: float) -> None:
        """Let time pass that the monotonic clock does not count."""
        self.suspended += seconds

    def call_later(self, delay: float, callback: Callable[[], object]) -> Timer:
        """Subscribe to one virtual moment ``delay`` seconds away."""
        timer = _ManualTimer(callback)
        heapq.heappush(self._heap, (self._now + delay, next(self._order), timer))
        return timer

    def advance(self, seconds: float) -> None:
        """
        Move time forward and make every call that falls due, in order.

        :param seconds: how far.
        """
        end = self._now + seconds
        while self._heap and self._heap[0][0] <= end:
            moment, _, timer = heapq.heappop(self._heap)
            self._now = moment
            if timer.callback is not None:
                timer.callback()
        self._now = end
