"""Background tasks on the timer service."""

import pytest
from twisted.internet.defer import Deferred
from twisted.logger import globalLogPublisher

from pimentolink.timers import RESTART_DELAY, ManualTimers, run_in_background


@pytest.fixture
def logged_failures():
    failures = []

    def observe(event):
        if "log_failure" in event:
            failures.append(event["log_failure"].value)

    globalLogPublisher.addObserver(observe)
    yield failures
    globalLogPublisher.removeObserver(observe)


class TestBackgroundTask:
    def test_failure_is_logged_and_the_task_started_again(self, logged_failures):
        error = RuntimeError("unexpected")

        async def fail():
            raise error

        timers = ManualTimers()
        running = run_in_background(timers, fail)
        assert logged_failures == [error]
        timers.advance(RESTART_DELAY)
        assert logged_failures == [error, error]
        running.cancel()
        timers.advance(RESTART_DELAY)
        assert logged_failures == [error, error]

    def test_cancellation_is_not_logged(self, logged_failures):
        async def wait():
            await Deferred()

        run_in_background(ManualTimers(), wait).cancel()
        assert logged_failures == []
