"""Reports the usage of each window from the gateway that leads."""

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
from pimentolink.leadership import LEADER_KEY, MAX_READ_AGE, Leadership
from pimentolink.logs import Log, LogEvent
from pimentolink.timers import Timers, pause, run_in_background, with_timeout
from pimentolink.usagepublisher import UsagePublisher

USAGE_KEY = "pimentolink/usage"
# Seconds between two checks for a report that is due.
POLL_INTERVAL = 0.25
# Seconds from a window's end until its counts are committed. The last counts have
# arrived by then, even if one message was lost.
SETTLE_TIME = 1.5
# Seconds without a response from the API, while the store is reachable, after which
# this gateway steps down as leader, and seconds until it may lead again.
API_SILENCE_LIMIT = 3.0
STEP_DOWN_TIME = 20.0
# Minimum and maximum delay in seconds before a failed report is retried.
RETRY_DELAY_MIN = 0.3
RETRY_DELAY_MAX = 1.5


class UsageReport(msgspec.Struct, frozen=True):
    """
    The usage of one window, as it was committed.

    :ivar window: number of the window.
    :ivar counts: requests that started to run, by organisation.
    :ivar epoch: epoch of the store in which the report was committed.
    """

    window: int
    counts: dict[str, int]
    epoch: int = 0


class UsageApi(Protocol):
    """Receives usage reports. Past reports cannot be queried from it."""

    def report(
        self, report: UsageReport, leader: str, fence: int
    ) -> Coroutine[Any, Any, None]:
        """
        Report a window's usage.

        :param leader: name of the reporting instance.
        :param fence: its fencing token.
        :raises ReportRefused: if the API refused the report; it may be sent again.
        :raises Failure: without a response; the API may have accepted the report.
        """


class _StepResult(enum.Enum):
    """Result of one step of the reporting loop."""

    IDLE = "idle"
    DONE = "done"
    FAILED = "failed"


class _CommittedReport(NamedTuple):
    """
    The newest committed report.

    :ivar is_own: whether this gateway committed it.
    """

    report: UsageReport
    is_own: bool


class UsageReporter:
    """
    Commits each window's counts in the store, then reports them.

    This ensures that no window is reported with two different counts: a report is sent
    only after it was committed on the condition that this gateway leads, and retries
    send it unchanged. A restore of the store starts a new epoch and may lose commits of
    earlier ones. A window that ended before this gateway learned of the current epoch
    is therefore reported only if its committed report is known here.
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
        Create a reporter; :meth:`start` activates it.

        :param settings: window length, reporting deadline and time-out.
        :param leadership: leader election among the gateways.
        :param keyspace: the store.
        :param api: receives the reports.
        :param publisher: has the counts of all gateways.
        :param clock: time of day that the gateways agree on.
        :param timers: the timer service.
        :param log: the event log.
        """
        self._settings = settings
        self._leadership = leadership
        self._keyspace = keyspace
        self._api = api
        self._publisher = publisher
        self._clock = clock
        self._timers = timers
        self._log = log
        # After this time every report of the previous leader has ended or timed out.
        self._takeover_wait = (
            max(leadership.lease_time / 2, settings.timeout) + 2 * MAX_READ_AGE
        )
        self._committed: _CommittedReport | None = None
        self._key_revision = 0
        self._is_key_current = False
        self._epoch: int | None = None
        self._last_reported = -1
        self._first_window = 0
        self._retry_delay = RETRY_DELAY_MIN
        self._silent_since: float | None = None
        self._running: Deferred[None] | None = None

    def start(self) -> None:
        """Start reporting; reports are sent only while this gateway leads."""
        self._first_window = self._publisher.window_of(self._clock.now())
        self._running = run_in_background(self._timers, self._run)

    def stop(self) -> None:
        """Stop reporting."""
        if self._running is not None:
            self._running.cancel()

    def key_changed(self, change: Change) -> None:
        """Apply a change of the key that holds the newest committed report."""
        self._learn_epoch(epoch_of(change.revision))
        if change.value is None:
            return
        self._apply_item(Item(change.key, change.value, change.revision))

    def _learn_epoch(self, epoch: int) -> None:
        if self._epoch is None or epoch > self._epoch:
            # The store may have been restored and have lost the last committed reports.
            self._first_window = self._publisher.window_of(self._clock.now())
            self._is_key_current = False
            self._epoch = epoch

    def _apply_item(self, item: Item) -> None:
        report = read_entry(item.key, item.value, UsageReport, self._log)
        if report is None:
            return
        self._key_revision = item.revision
        self._is_key_current = True
        if report.epoch == epoch_of(item.revision):
            # It was committed after the last restore, so no later window has been
            # committed and lost.
            self._first_window = min(self._first_window, report.window + 1)
        if self._committed is None or report.window >= self._committed.report.window:
            is_unchanged = (
                self._committed is not None and self._committed.report == report
            )
            if not is_unchanged:
                self._committed = _CommittedReport(report, is_own=False)
        self._publisher.close_before(report.window)

    async def _run(self) -> None:
        while True:
            step = _StepResult.IDLE
            self._learn_epoch(self._keyspace.epoch)
            if self._leadership.may_act(self._takeover_wait):
                step = await self._try_step()
            if step is _StepResult.DONE:
                self._retry_delay = RETRY_DELAY_MIN
                continue
            seconds = POLL_INTERVAL
            if step is _StepResult.FAILED:
                seconds = self._retry_delay
                self._retry_delay = min(RETRY_DELAY_MAX, 2 * self._retry_delay)
            await pause(self._timers, seconds)

    async def _try_step(self) -> _StepResult:
        try:
            return await self._step()
        except LeaseLost as failure:
            self._leadership.on_lease_lost(failure)
        except KeyValueUnavailable:
            # The write may have been applied although its response was lost.
            self._is_key_current = False
        return _StepResult.FAILED

    async def _step(self) -> _StepResult:
        """Send the newest committed report if it is unsent, else commit a window."""
        if not self._is_key_current:
            await self._read_key()
        committed = self._committed
        if committed is not None and committed.report.window > self._last_reported:
            return await self._send(committed.report)
        return await self._commit_next()

    async def _read_key(self) -> None:
        found = await self._keyspace.read(USAGE_KEY)
        self._is_key_current = True
        if found is None:
            self._key_revision = 0
            return
        self._learn_epoch(epoch_of(found.revision))
        self._apply_item(found)

    async def _commit_next(self) -> _StepResult:
        now = self._clock.now()
        window = max(self._first_window, self._next_window())
        oldest = self._publisher.window_of(now - self._settings.late)
        if window < oldest:
            self._skip_windows(window, oldest - 1, "the deadline for reporting passed")
            window = oldest
        if now < self._window_end(window) + SETTLE_TIME:
            return _StepResult.IDLE
        counts = self._publisher.counters.totals(window)
        report = UsageReport(window, counts, self._keyspace.epoch)
        guard = (LEADER_KEY, self._leadership.fence)
        value = msgspec.json.encode(report)
        write = Write(USAGE_KEY, value, self._key_revision, guard=guard)
        revision = await self._keyspace.write(write)
        if revision is None:
            self._is_key_current = False
            await self._leadership.is_confirmed()
            return _StepResult.FAILED
        self._key_revision = revision
        self._committed = _CommittedReport(report, is_own=True)
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
        return max(known, self._last_reported) + 1

    async def _send(
        self, report: UsageReport, is_confirmed: bool = False
    ) -> _StepResult:
        if self._is_late(report.window, self._clock.now()):
            self._give_up(report.window)
            return _StepResult.DONE
        if not is_confirmed and not await self._leadership.is_confirmed():
            return _StepResult.FAILED
        if not self._leadership.may_act(self._takeover_wait):
            return _StepResult.FAILED
        fence = self._leadership.fence
        request = self._api.report(report, self._leadership.instance, fence)
        try:
            await with_timeout(self._timers, self._settings.timeout, request)
        except (Failure, TimeoutError) as failure:
            self._report_failed(report, failure)
            return _StepResult.FAILED
        self._silent_since = None
        self._last_reported = max(self._last_reported, report.window)
        delay = self._clock.now() - self._window_end(report.window)
        self._log.write(
            LogEvent.USAGE_REPORTED,
            window=report.window,
            fence=fence,
            after_end=round(delay, 3),
        )
        return _StepResult.DONE

    def _report_failed(self, report: UsageReport, failure: Exception) -> None:
        now = self._timers.now()
        self._log.write(
            LogEvent.USAGE_UNREPORTED, window=report.window, detail=str(failure)
        )
        if isinstance(failure, ReportRefused):
            self._silent_since = None
            return
        if self._silent_since is None:
            self._silent_since = now
        elif now - self._silent_since >= API_SILENCE_LIMIT:
            # Another gateway may be able to reach the API.
            self._silent_since = None
            self._leadership.resign(STEP_DOWN_TIME)

    def _give_up(self, window: int) -> None:
        """Stop sending a committed report whose deadline has passed."""
        committed = self._committed
        if committed is not None and committed.is_own:
            self._skip_windows(
                window, window, "the API confirmed no report before the deadline"
            )
            return
        # The leader that committed it may have received a response.
        self._last_reported = max(self._last_reported, window)

    def _skip_windows(self, first: int, last: int, reason: str) -> None:
        self._last_reported = max(self._last_reported, last)
        self._log.write(LogEvent.USAGE_MISSED, window=first, last=last, reason=reason)

    def _window_end(self, window: int) -> float:
        return (window + 1) * self._settings.window

    def _is_late(self, window: int, now: float) -> bool:
        return now > self._window_end(window) + self._settings.late
