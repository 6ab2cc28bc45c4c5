"""The timer service: the only source of time and delayed calls for all components."""

from __future__ import annotations

import heapq
import itertools
import time
from collections.abc import Callable, Coroutine, Iterable
from typing import Any, Protocol, TypeVar

from twisted.internet.defer import CancelledError, Deferred
from twisted.logger import Logger

Awaited = TypeVar("Awaited")

# Seconds after which a background task that failed is started again.
RESTART_DELAY = 1.0

_logger = Logger()


class Timer(Protocol):
    """A scheduled call that can be cancelled."""

    def cancel(self) -> None:
        """Cancel the call; has no effect once the call was made."""


class Timers(Protocol):
    """Clocks and delayed calls, on real or virtual time."""

    def now(self) -> float:
        """
        Read the monotonic clock.

        :returns: seconds since an arbitrary start.
        """

    def wall_time(self) -> float:
        """
        Read the wall clock, which may differ between instances.

        :returns: seconds since 1970.
        """

    def boot_time(self) -> float:
        """
        Read the monotonic clock that also counts time while the instance is suspended.

        :returns: seconds since an arbitrary start.
        """

    def call_later(self, delay: float, callback: Callable[[], object]) -> Timer:
        """
        Schedule a call.

        :param delay: seconds from now; not negative.
        :param callback: called once, on the event loop.
        """


def pause(timers: Timers, seconds: float) -> Deferred[None]:
    """
    Wait for a given time.

    :param timers: the timer service.
    :param seconds: how long to wait.
    :returns: a Deferred that fires when the time has passed.
    """
    pending: Deferred[None] = Deferred()
    timers.call_later(seconds, lambda: pending.callback(None))
    return pending


def run_in_background(
    timers: Timers, work: Callable[[], Coroutine[Any, Any, None]]
) -> Deferred[None]:
    """
    Start a task in the background, to run until it returns or is cancelled.

    A task that raises an exception is started again after a delay: without it the
    process would go on serving requests from a state that is no longer updated.

    :param timers: the timer service.
    :param work: returns a coroutine that awaits Deferreds; called for each start.
    :returns: a Deferred that cancels the task; its cancellation is not an error.
    """
    running = Deferred.fromCoroutine(_run_until_done(timers, work))
    running.addErrback(lambda failure: failure.trap(CancelledError))
    return running


def call_logging_errors(callback: Callable[..., object], *arguments: object) -> None:
    """
    Call a function; log an exception instead of raising it.

    Tasks that follow a store use it for their listeners: what one of them fails to
    handle must not keep it from later changes.
    """
    try:
        callback(*arguments)
    except Exception:
        _logger.failure("a change could not be handled")


async def _run_until_done(
    timers: Timers, work: Callable[[], Coroutine[Any, Any, None]]
) -> None:
    while True:
        try:
            await work()
        except CancelledError:
            raise
        except Exception:
            _logger.failure("a background task failed and is started again")
            await pause(timers, RESTART_DELAY)
        else:
            return


class Timeout:
    """Waits for a coroutine, and cancels it on a timeout, which can be extended."""

    def __init__(self, timers: Timers, seconds: float) -> None:
        """
        Start the timeout.

        :param timers: the timer service.
        :param seconds: time until the timeout.
        """
        self._timers = timers
        self._seconds = seconds
        self._due_at = timers.now() + seconds
        self._has_expired = False

    def extend(self, seconds: float) -> None:
        """Move the timeout to ``seconds`` from now, unless it is due later."""
        self._due_at = max(self._due_at, self._timers.now() + seconds)

    async def wait_for(self, work: Coroutine[Any, Any, Awaited]) -> Awaited:
        """
        Wait for a coroutine.

        :param work: a coroutine that awaits Deferreds.
        :returns: the result of the coroutine.
        :raises TimeoutError: if the timeout expired.
        """
        pending: Deferred[Awaited] = Deferred.fromCoroutine(work)
        self._schedule(self._seconds, pending)
        try:
            return await pending
        except CancelledError:
            if self._has_expired:
                raise TimeoutError(f"not done within {self._seconds:g} s") from None
            pending.cancel()
            raise
        finally:
            self._timer.cancel()

    def _schedule(self, seconds: float, pending: Deferred[Any]) -> None:
        self._timer = self._timers.call_later(seconds, lambda: self._on_timer(pending))

    def _on_timer(self, pending: Deferred[Any]) -> None:
        remaining = self._due_at - self._timers.now()
        if remaining > 0:
            self._schedule(remaining, pending)
            return
        self._has_expired = True
        pending.cancel()


async def with_timeout(
    timers: Timers, seconds: float, work: Coroutine[Any, Any, Awaited]
) -> Awaited:
    """
    Wait for a coroutine, and cancel it on a timeout.

    :param timers: the timer service.
    :param seconds: timeout.
    :param work: a coroutine that awaits Deferreds.
    :returns: the result of the coroutine.
    :raises TimeoutError: if the timeout expired.
    """
    return await Timeout(timers, seconds).wait_for(work)


async def await_all(
    coroutines: Iterable[Coroutine[Any, Any, Awaited]],
) -> list[Awaited]:
    """
    Run coroutines concurrently and wait for all of them.

    :param coroutines: coroutines that await Deferreds and do not raise.
    :returns: their results, in the same order.
    """
    pending = [Deferred.fromCoroutine(work) for work in coroutines]
    return [await item for item in pending]


async def repeat_until_outcome(
    timers: Timers,
    interval: float,
    make_attempt: Callable[[], Coroutine[Any, Any, Awaited]],
    may_repeat: Callable[[], bool],
) -> Awaited:
    """
    Start further attempts at an interval beside those that have no outcome yet.

    :param timers: the timer service.
    :param interval: seconds between two attempts.
    :param make_attempt: creates a coroutine that awaits Deferreds.
    :param may_repeat: returns whether a further attempt may start.
    :returns: the result of the first attempt to end; the others are cancelled.
    :raises Exception: that of the first attempt to end, if it failed.
    """
    outcome: Deferred[Awaited] = Deferred()
    attempts: list[Deferred[None]] = []

    def start() -> None:
        attempt = Deferred.fromCoroutine(make_attempt())
        attempts.append(
            attempt.addCallbacks(
                lambda result: None if outcome.called else outcome.callback(result),
                lambda failure: None if outcome.called else outcome.errback(failure),
            )
        )

    def repeat() -> None:
        if may_repeat():
            start()

    start()
    repeater = Repeater(timers, interval, repeat)
    try:
        return await outcome
    finally:
        repeater.cancel()
        for attempt in attempts:
            attempt.cancel()


class Repeater:
    """Calls a function at a fixed interval until cancelled."""

    def __init__(
        self, timers: Timers, interval: float, callback: Callable[[], object]
    ) -> None:
        """
        Schedule the first call.

        :param timers: the timer service.
        :param interval: seconds between calls.
        :param callback: called repeatedly, first after one interval.
        """
        self._timers = timers
        self._interval = interval
        self._callback = callback
        self._timer: Timer = timers.call_later(interval, self._run)

    def _run(self) -> None:
        self._timer = self._timers.call_later(self._interval, self._run)
        self._callback()

    def cancel(self) -> None:
        """Stop the calls."""
        self._timer.cancel()


class _ReactorTimer:
    """A delayed call of the reactor that can be cancelled even after it was made."""

    def __init__(self, delayed_call: Any) -> None:
        self._delayed_call = delayed_call

    def cancel(self) -> None:
        if self._delayed_call.active():
            self._delayed_call.cancel()


class ReactorTimers:
    """Real time, with delayed calls on a Twisted reactor."""

    def __init__(self, reactor: Any) -> None:
        """
        Use a reactor.

        :param reactor: provides ``callLater``.
        """
        self._reactor = reactor

    def now(self) -> float:
        """Read the monotonic clock, in seconds."""
        return time.monotonic()

    def wall_time(self) -> float:
        """Read the wall clock, in seconds since 1970."""
        return time.time()

    def boot_time(self) -> float:
        """Read the monotonic clock that includes suspended time, in seconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def call_later(self, delay: float, callback: Callable[[], object]) -> Timer:
        """Schedule a call in ``delay`` seconds."""
        return _ReactorTimer(self._reactor.callLater(delay, callback))


class _ManualTimer:
    """A scheduled call in virtual time."""

    def __init__(self, callback: Callable[[], object]) -> None:
        self.callback: Callable[[], object] | None = callback

    def cancel(self) -> None:
        self.callback = None


class ManualTimers:
    """Virtual time for tests, which only moves when told to."""

    def __init__(self) -> None:
        """Start the virtual clock at zero."""
        self._now = 0.0
        self.suspended = 0.0
        self._order = itertools.count()
        self._heap: list[tuple[float, int, _ManualTimer]] = []

    def now(self) -> float:
        """Read the virtual clock, in seconds."""
        return self._now

    def wall_time(self) -> float:
        """Read the virtual wall clock, in seconds since 1970; it starts in 2027."""
        return 1_800_000_000.0 + self._now

    def boot_time(self) -> float:
        """Read the virtual clock including suspended time, in seconds."""
        return self._now + self.suspended

    def suspend(self, seconds: float) -> None:
        """Simulate a suspension, which the monotonic clock does not count."""
        self.suspended += seconds

    def call_later(self, delay: float, callback: Callable[[], object]) -> Timer:
        """Schedule a call in ``delay`` seconds of virtual time."""
        timer = _ManualTimer(callback)
        heapq.heappush(self._heap, (self._now + delay, next(self._order), timer))
        return timer

    def advance(self, seconds: float) -> None:
        """
        Advance the clock and make all calls that become due, in order.

        :param seconds: how far to advance.
        """
        end = self._now + seconds
        while self._heap and self._heap[0][0] <= end:
            due_at, _, timer = heapq.heappop(self._heap)
            self._now = due_at
            if timer.callback is not None:
                timer.callback()
        self._now = end
