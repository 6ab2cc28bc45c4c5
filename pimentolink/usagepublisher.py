"""Sends this gateway's usage counts to the gateways that may report them."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from typing import Protocol

import xxhash

from pimentolink.clocksync import REPORT_INTERVAL as CLOCK_INTERVAL
from pimentolink.clocksync import SynchronizedClock
from pimentolink.peermessages import ClockReport, Message, UsageCounts
from pimentolink.timers import Repeater, Timers
from pimentolink.usage import (
    MAX_WINDOWS,
    Counts,
    UsageCounters,
    WindowTotals,
    changed_counts,
)

# Seconds between two messages with changed counts. A gateway that is killed loses the
# requests that it counted since the last one.
PUBLISH_INTERVAL = 0.2
# Seconds between two messages with all counts of open windows, which make up for lost
# datagrams.
FULL_PUBLISH_INTERVAL = 0.6
# Gateways besides the leader that receive the counts, in case the leader fails.
STANDBY_RECIPIENTS = 2
# Maximum bytes of the counts in one message, so that it fits into a datagram, and the
# bytes of one count in addition to the organisation's name.
MAX_MESSAGE_BYTES = 1000
COUNT_BYTES = 8


class UsagePeers(Protocol):
    """Sends messages to other gateways."""

    def broadcast(self, message: Message) -> None:
        """Send a message to all gateways."""

    def send_to(self, gateways: Iterable[str], messages: list[Message]) -> None:
        """Send messages to the gateways with the given names."""


class UsagePublisher:
    """
    Counts the requests of this gateway and replicates the counts to the leader.

    A few other gateways receive them too, so that one of them can take over. Designed
    for tens to hundreds of organisations, most of them with one or two requests per
    window, and for gateways that may be killed at any moment.
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
        Create a publisher; :meth:`start` activates it.

        :param instance: name of this gateway's instance.
        :param life: identity of this process.
        :param window: length of a reporting window in seconds.
        :param peers: sends the counts.
        :param clock: time of day that the gateways agree on.
        :param timers: the timer service.
        """
        self._instance = instance
        self._life = life
        self._window = window
        self._peers = peers
        self._clock = clock
        self._timers = timers
        self._sent_by_window: dict[int, Counts] = {}
        self._last_full_publish = 0.0
        self._first_open = 0
        self._repeaters: list[Repeater] = []
        self.counters = UsageCounters()
        self.leader: Callable[[], str] = str
        self.gateways: Callable[[], Iterable[str]] = tuple

    def start(self) -> None:
        """Start sending counts and the time of the wall clock."""
        self._broadcast_clock()
        self._repeaters = [
            Repeater(self._timers, PUBLISH_INTERVAL, self._publish_due),
            Repeater(self._timers, CLOCK_INTERVAL, self._broadcast_clock),
        ]

    def stop(self) -> None:
        """Send all known counts, including those of other gateways, and stop."""
        self._publish(self.counters.all_totals(self.counters.windows()))
        for repeater in self._repeaters:
            repeater.cancel()

    def window_of(self, moment: float) -> int:
        """Return the number of the window of a time, in seconds since 1970."""
        return int(moment // self._window)

    def request_started(self, organisation: str, started_at: float) -> None:
        """
        Count a request that started to run.

        :param started_at: when it started, in seconds of the timer service.
        """
        moment = self._clock.now() - (self._timers.now() - started_at)
        self.counters.add(self._life, self.window_of(moment), organisation)

    def receive(self, life: str, message: ClockReport | UsageCounts) -> None:
        """
        Handle a message from another gateway.

        :param life: identity of the sending process.
        """
        if isinstance(message, ClockReport):
            self._clock.add_sample(life, message.wall_ms / 1000)
            return
        newest = self.window_of(self._clock.now()) + 1
        if max(self._first_open, newest - MAX_WINDOWS) <= message.window <= newest:
            totals = WindowTotals(message.life, message.window, message.counts)
            self.counters.merge(totals)

    def close_before(self, window: int) -> None:
        """Accept no more counts of windows before the given one."""
        self._first_open = max(self._first_open, window)
        self._discard_settled()

    def send_to_leader(self) -> None:
        """Send a new leader all known counts, including those of other gateways."""
        leader = self.leader()
        if not leader or leader == self._instance:
            return
        known = self.counters.all_totals(self.counters.windows())
        self._peers.send_to([leader], _to_messages(known))

    def _publish_due(self) -> None:
        self._discard_settled()
        now = self._timers.now()
        if now - self._last_full_publish >= FULL_PUBLISH_INTERVAL:
            self._last_full_publish = now
            self._publish(self._own_totals())
            return
        self._publish(
            item._replace(counts=changed)
            for item in self._own_totals()
            if (changed := changed_counts(self._sent(item.window), item.counts))
        )

    def _own_totals(self) -> list[WindowTotals]:
        known = self.counters.all_totals(self.counters.windows())
        return [item for item in known if item.life == self._life]

    def _sent(self, window: int) -> Counts:
        return self._sent_by_window.setdefault(window, {})

    def _publish(self, totals: Iterable[WindowTotals]) -> None:
        sent = list(totals)
        for item in sent:
            if item.life == self._life:
                self._sent(item.window).update(item.counts)
        if sent:
            self._peers.send_to(self._recipients(), _to_messages(sent))

    def _recipients(self) -> list[str]:
        """Choose the leader and some others; stable while the gateways are the same."""
        others = [name for name in self.gateways() if name != self._instance]
        others.sort(key=lambda name: _rank(self._instance, name))
        leader = self.leader()
        standbys = [name for name in others if name != leader][:STANDBY_RECIPIENTS]
        return standbys + ([leader] if leader in others else [])

    def _discard_settled(self) -> None:
        newest = self.window_of(self._clock.now())
        first = max(self._first_open, newest - MAX_WINDOWS)
        self.counters.forget_before(first)
        for window in [window for window in self._sent_by_window if window < first]:
            del self._sent_by_window[window]

    def _broadcast_clock(self) -> None:
        self._peers.broadcast(ClockReport(int(self._timers.wall_time() * 1000)))


def _rank(gateway: str, other: str) -> int:
    """Rank another gateway by a hash, so that each gateway has its own order."""
    return int(xxhash.xxh3_64_intdigest(f"{gateway}|{other}".encode()))


def _to_messages(totals: Iterable[WindowTotals]) -> list[Message]:
    """Encode totals as messages that each fit into a datagram."""
    return [
        UsageCounts(item.life, item.window, counts)
        for item in totals
        for counts in _split_counts(item.counts)
    ]


def _split_counts(counts: Counts) -> Iterator[Counts]:
    """Split counts into chunks that each fit into a message."""
    chunk: Counts = {}
    size = 0
    for name, count in counts.items():
        size += len(name.encode()) + COUNT_BYTES
        if chunk and size > MAX_MESSAGE_BYTES:
            yield chunk
            chunk, size = {}, len(name.encode()) + COUNT_BYTES
        chunk[name] = count
    if chunk:
        yield chunk
