"""Tells the counts of this gateway to those that may report them."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from typing import Protocol

import xxhash

from pimentolink.clocksync import TELL_INTERVAL as CLOCK_INTERVAL
from pimentolink.clocksync import SynchronizedClock
from pimentolink.peermessages import ClockReport, Message, UsageCounts
from pimentolink.timers import Repeater, Timers
from pimentolink.usage import (
    MAX_WINDOWS,
    Counts,
    UsageBook,
    WindowTotals,
    changed_counts,
)

# Seconds between two tellings of counts that have changed: what a gateway that is
# killed takes with it.
TELL_INTERVAL = 0.2
# Seconds between two tellings of all counts of open windows, in case one was lost.
REPEAT_INTERVAL = 0.6
# Gateways besides the leader that are told, in case it ends.
DEPUTIES = 2
# Bytes of the counts of one message, so that it fits into a datagram, and of one count
# besides the organisation's name.
MAX_BYTES = 1000
COUNT_BYTES = 8


class UsagePeers(Protocol):
    """Sends messages to some gateways."""

    def broadcast(self, message: Message) -> None:
        """Tell all gateways."""

    def send_to(self, gateways: Iterable[str], messages: list[Message]) -> None:
        """Tell some gateways, by name."""


class UsagePublisher:
    """
    Counts here, and keeps the leader's and its deputies' counts up to date.

    Load pattern: tens to hundreds of organisations, most with one or two requests in
    a window, at gateways that may be killed at any moment.
    """

    def __init__(
        self,
        instance: str,
        life: str,
        window: float,
        peers: UsagePeers,
        clock: SynchronizedClock,
        timers: Timers,
    ) -> None:
        """
        Prepare; :meth:`start` begins.

        :param instance: this gateway's.
        :param life: of this process.
        :param window: seconds that are reported together.
        :param peers: carry the counts.
        :param clock: the time of day.
        :param timers: the timer service.
        """
        self._instance = instance
        self._life = life
        self._window = window
        self._peers = peers
        self._clock = clock
        self._timers = timers
        self._told_by_window: dict[int, Counts] = {}
        self._repeated_at = 0.0
        self._open_from = 0
        self._repeaters: list[Repeater] = []
        self.book = UsageBook()
        self.leader: Callable[[], str] = str
        self.gateways: Callable[[], Iterable[str]] = tuple

    def start(self) -> None:
        """Tell from now on."""
        self._tell_clock()
        self._repeaters = [
            Repeater(self._timers, TELL_INTERVAL, self._turn),
            Repeater(self._timers, CLOCK_INTERVAL, self._tell_clock),
        ]

    def stop(self) -> None:
        """Tell all that is known here, also of other gateways, and nothing more."""
        self._tell_open(self.book.all_totals(self.book.windows()))
        for repeater in self._repeaters:
            repeater.cancel()

    def window_of(self, moment: float) -> int:
        """Number the window of a time of day, in seconds since 1970."""
        return int(moment // self._window)

    def begun(self, organisation: str, began_at: float) -> None:
        """
        Count a request that began to run.

        :param began_at: seconds of the timer service.
        """
        moment = self._clock.now() - (self._timers.now() - began_at)
        self.book.add(self._life, self.window_of(moment), organisation)

    def take(self, life: str, message: ClockReport | UsageCounts) -> None:
        """
        Learn from another gateway.

        :param life: of the process that tells.
        """
        if isinstance(message, ClockReport):
            self._clock.told(life, message.wall_ms / 1000)
            return
        newest = self.window_of(self._clock.now()) + 1
        if max(self._open_from, newest - MAX_WINDOWS) <= message.window <= newest:
            totals = WindowTotals(message.life, message.window, message.counts)
            self.book.take(totals)

    def closed_before(self, window: int) -> None:
        """Learn that the counts of earlier windows are settled."""
        self._open_from = max(self._open_from, window)
        self._forget()

    def tell_leader(self) -> None:
        """Tell a new leader all that is known here, also of other gateways."""
        leader = self.leader()
        if not leader or leader == self._instance:
            return
        known = self.book.all_totals(self.book.windows())
        self._peers.send_to([leader], _messages(known))

    def _turn(self) -> None:
        self._forget()
        now = self._timers.now()
        if now - self._repeated_at >= REPEAT_INTERVAL:
            self._repeated_at = now
            self._tell_open(self._all_own())
            return
        self._tell_open(
            item._replace(counts=changed)
            for item in self._all_own()
            if (changed := changed_counts(self._told(item.window), item.counts))
        )

    def _all_own(self) -> list[WindowTotals]:
        known = self.book.all_totals(self.book.windows())
        return [item for item in known if item.life == self._life]

    def _told(self, window: int) -> Counts:
        return self._told_by_window.setdefault(window, {})

    def _tell_open(self, totals: Iterable[WindowTotals]) -> None:
        told = list(totals)
        for item in told:
            if item.life == self._life:
                self._told(item.window).update(item.counts)
        if told:
            self._peers.send_to(self._listeners(), _messages(told))

    def _listeners(self) -> list[str]:
        """Choose the leader and some others, by their names, the same each time."""
        others = [name for name in self.gateways() if name != self._instance]
        others.sort(key=lambda name: _distance(self._instance, name))
        leader = self.leader()
        deputies = [name for name in others if name != leader][:DEPUTIES]
        return deputies + ([leader] if leader in others else [])

    def _forget(self) -> None:
        newest = self.window_of(self._clock.now())
        first = max(self._open_from, newest - MAX_WINDOWS)
        self.book.forget_before(first)
        for window in [window for window in self._told_by_window if window < first]:
            del self._told_by_window[window]

    def _tell_clock(self) -> None:
        self._peers.broadcast(ClockReport(int(self._timers.wall_time() * 1000)))


def _distance(gateway: str, other: str) -> int:
    """Order other gateways differently for each."""
    return int(xxhash.xxh3_64_intdigest(f"{gateway}|{other}".encode()))


def _messages(totals: Iterable[WindowTotals]) -> list[Message]:
    """Write totals as messages that each fit into a datagram."""
    return [
        UsageCounts(item.life, item.window, counts)
        for item in totals
        for counts in _split(item.counts)
    ]


def _split(counts: Counts) -> Iterator[Counts]:
    """Divide counts by their size in a message."""
    chunk: Counts = {}
    size = 0
    for name, count in counts.items():
        size += len(name.encode()) + COUNT_BYTES
        if chunk and size > MAX_BYTES:
            yield chunk
            chunk, size = {}, len(name.encode()) + COUNT_BYTES
        chunk[name] = count
    if chunk:
        yield chunk
