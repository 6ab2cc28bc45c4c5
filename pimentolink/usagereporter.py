"""Reports each window's usage once, by the gateway that leads."""

from __future__ import annotations

import enum
from collections.abc import Coroutine
from typing import Any, NamedTuple, Protocol

import msgspec
from twisted.internet.defer import Deferred

from pimentolink.clocksync import SynchronizedClock
from pimentolink.errors import Failure, KeyValueUnavailable, LeaseLost, ReportRefused
from pimentolink.gatewaysettings import UsageSettings
from pimentolink.jsondocument import read_entry
from pimentolink.keyspace import Change, Item, Keyspace, Write, epoch_of
from pimentolink.leadership import LEADER_KEY, READ_AGE, Leadership
from pimentolink.logs import Log, LogEvent
from pimentolink.timers import Timers, in_background, pause, with_timeout
from pimentolink.usagepublisher import UsagePublisher

USAGE_KEY = "pimentolink/usage"
# Seconds between two looks at what is due.
LOOK_INTERVAL = 0.25
# Seconds after a window's end until its counts are committed, so that the last ones
# have been told, also if one telling was lost.
SETTLE_TIME = 1.5
# Seconds of the API's silence, while the store is reached, after which another gateway
# is to lead; and for how long this one does not.
SILENCE = 3.0
STAND_BACK = 20.0
# Seconds of the first pause after a report without an answer, and of the longest.
PAUSE_FIRST = 0.3
PAUSE_MOST = 1.5


class UsageReport(msgspec.Struct, frozen=True):
    """
    The usage of one window, as it was committed.

    :ivar counts: requests that began to run, by organisation.
    :ivar epoch: of the store that it was committed in.
    """

    window: int
    counts: dict[str, int]
    epoch: int = 0


class UsageApi(Protocol):
    """Takes usage reports; it gives nothing back."""

    def report(
        self, report: UsageReport, leader: str, fence: int
    ) -> Coroutine[Any, Any, None]:
        """
        Report a window's usage.

        :param leader: instance that reports.
        :param fence: its fencing token.
        :raises ReportRefused: if it was not taken, and may be sent again.
        :raises Failure: without an answer; it may have been taken.
        """


class _Step(enum.Enum):
    """What came of one look."""

    IDLE = "idle"
    DONE = "done"
    FAILED = "failed"


class _Committed(NamedTuple):
    """
    The newest report that was committed.

    :ivar is_own: whether this gateway committed it.
    """

    report: UsageReport
    is_own: bool


class UsageReporter:
    """
    Commits each window's counts in the store, then reports them.

    Guards that no window is reported with two different counts: what is sent was
    committed before, under the condition that this gateway leads, and is sent again as
    it was committed. What the store committed in an earlier epoch may be lost, so a
    window that ended before this gateway saw the epoch is only reported if the report
    is known here.
    """

    def __init__(
        self,
        settings: UsageSettings,
        leadership: Leadership,
        keyspace: Keyspace,
        api: UsageApi,
        publisher: UsagePublisher,
        clock: SynchronizedClock,
        timers: Timers,
        log: Log,
    ) -> None:
        """
        Prepare; :meth:`start` begins.

        :param settings: windows and patience.
        :param leadership: tells whether this gateway leads.
        :param keyspace: the store.
        :param api: takes reports.
        :param publisher: knows the counts.
        :param clock: the time of day.
        :param timers: the timer service.
        :param log: where events go.
        """
        self._settings = settings
        self._leadership = leadership
        self._keyspace = keyspace
        self._api = api
        self._publisher = publisher
        self._clock = clock
        self._timers = timers
        self._log = log
        # A report of the last leader ends within its time-out, or is given up.
        self._wait = max(leadership.lease_time / 2, settings.timeout) + 2 * READ_AGE
        self._committed: _Committed | None = None
        self._key_revision = 0
        self._is_key_known = False
        self._epoch: int | None = None
        self._reported = -1
        self._first = 0
        self._pause = PAUSE_FIRST
        self._silent_since: float | None = None
        self._running: Deferred[None] | None = None

    def start(self) -> None:
        """Report whenever this gateway leads."""
        self._first = self._publisher.window_of(self._clock.now())
        self._running = in_background(self._run())

    def stop(self) -> None:
        """Report no more."""
        if self._running is not None:
            self._running.cancel()

    def key_changed(self, change: Change) -> None:
        """Learn what was committed."""
        self._learn_epoch(epoch_of(change.revision))
        if change.value is None:
            return
        self._take(Item(change.key, change.value, change.revision))

    def _learn_epoch(self, epoch: int) -> None:
        if self._epoch is None or epoch > self._epoch:
            # Reports that were committed just before may be missing from now on.
            self._first = self._publisher.window_of(self._clock.now())
            self._is_key_known = False
            self._epoch = epoch

    def _take(self, item: Item) -> None:
        report = read_entry(item.key, item.value, UsageReport, self._log)
        if report is None:
            return
        self._key_revision = item.revision
        self._is_key_known = True
        if report.epoch == epoch_of(item.revision):
            # All later windows are uncommitted: this one ended after the last restore.
            self._first = min(self._first, report.window + 1)
        if self._committed is None or report.window >= self._committed.report.window:
            is_known = self._committed is not None and self._committed.report == report
            if not is_known:
                self._committed = _Committed(report, is_own=False)
        self._publisher.closed_before(report.window)

    async def _run(self) -> None:
        while True:
            step = _Step.IDLE
            self._learn_epoch(self._keyspace.epoch)
            if self._leadership.may_act(self._wait):
                step = await self._try_step()
            if step is _Step.DONE:
                self._pause = PAUSE_FIRST
                continue
            seconds = LOOK_INTERVAL
            if step is _Step.FAILED:
                seconds = self._pause
                self._pause = min(PAUSE_MOST, 2 * self._pause)
            await pause(self._timers, seconds)

    async def _try_step(self) -> _Step:
        try:
            return await self._step()
        except LeaseLost as failure:
            self._leadership.lost(failure)
        except KeyValueUnavailable:
            # A commitment may have been made though its answer was lost.
            self._is_key_known = False
        return _Step.FAILED

    async def _step(self) -> _Step:
        """Do what is due next: send what is committed, or commit the next window."""
        if not self._is_key_known:
            await self._read_key()
        committed = self._committed
        if committed is not None and committed.report.window > self._reported:
            return await self._send(committed.report)
        return await self._commit_next()

    async def _read_key(self) -> None:
        found = await self._keyspace.read(USAGE_KEY)
        self._is_key_known = True
        if found is None:
            self._key_revision = 0
            return
        self._learn_epoch(epoch_of(found.revision))
        self._take(found)

    async def _commit_next(self) -> _Step:
        now = self._clock.now()
        window = max(self._first, self._next_window())
        oldest = self._publisher.window_of(now - self._settings.late)
        if window < oldest:
            self._missed(window, oldest - 1, "their time has passed")
            window = oldest
        if now < self._end_of(window) + SETTLE_TIME:
            return _Step.IDLE
        counts = self._publisher.book.totals(window)
        report = UsageReport(window, counts, self._keyspace.epoch)
        guard = (LEADER_KEY, self._leadership.fence)
        value = msgspec.json.encode(report)
        write = Write(USAGE_KEY, value, self._key_revision, guard=guard)
        revision = await self._keyspace.write(write)
        if revision is None:
            self._is_key_known = False
            await self._leadership.is_confirmed()
            return _Step.FAILED
        self._key_revision = revision
        self._committed = _Committed(report, is_own=True)
        self._log.write(
            LogEvent.USAGE_COMMITTED,
            window=window,
            organisations=len(report.counts),
            requests=sum(report.counts.values()),
            revision=revision,
        )
        return await self._send(report, is_confirmed=True)

    def _next_window(self) -> int:
        committed = self._committed
        known = committed.report.window if committed is not None else -1
        return max(known, self._reported) + 1

    async def _send(self, report: UsageReport, is_confirmed: bool = False) -> _Step:
        if self._is_late(report.window, self._clock.now()):
            self._give_up(report.window)
            return _Step.DONE
        if not is_confirmed and not await self._leadership.is_confirmed():
            return _Step.FAILED
        if not self._leadership.may_act(self._wait):
            return _Step.FAILED
        fence = self._leadership.fence
        sending = self._api.report(report, self._leadership.instance, fence)
        try:
            await with_timeout(self._timers, self._settings.timeout, sending)
        except (Failure, TimeoutError) as failure:
            self._unanswered(report, failure)
            return _Step.FAILED
        self._silent_since = None
        self._reported = max(self._reported, report.window)
        late = self._clock.now() - self._end_of(report.window)
        self._log.write(
            LogEvent.USAGE_REPORTED,
            window=report.window,
            fence=fence,
            after_end=round(late, 3),
        )
        return _Step.DONE

    def _unanswered(self, report: UsageReport, failure: Exception) -> None:
        now = self._timers.now()
        self._log.write(
            LogEvent.USAGE_UNREPORTED, window=report.window, detail=str(failure)
        )
        if isinstance(failure, ReportRefused):
            self._silent_since = None
            return
        if self._silent_since is None:
            self._silent_since = now
        elif now - self._silent_since >= SILENCE:
            # Another gateway may reach what this one does not.
            self._silent_since = None
            self._leadership.stand_back(STAND_BACK)

    def _give_up(self, window: int) -> None:
        """Send a committed report no more."""
        known = self._committed
        if known is not None and known.is_own:
            self._missed(window, window, "no report was answered in time")
            return
        # The leader that committed it may have had an answer.
        self._reported = max(self._reported, window)

    def _missed(self, first: int, last: int, reason: str) -> None:
        self._reported = max(self._reported, last)
        self._log.write(LogEvent.USAGE_MISSED, window=first, last=last, reason=reason)

    def _end_of(self, window: int) -> float:
        return (window + 1) * self._settings.window

    def _is_late(self, window: int, now: float) -> bool:
        return now > self._end_of(window) + self._settings.late
