"""Background tasks on the timer service."""

import pytest
from twisted.internet.defer import Deferred
from twisted.logger import globalLogPublisher

from pimentolink.timers import run_in_background


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
    def test_failure_is_logged_while_the_owner_keeps_the_task(self, logged_failures):
        error = RuntimeError("unexpected")

        async def fail():
            raise error

        running = run_in_background(fail())
        assert logged_failures == [error]
        assert running.called

    def test_cancellation_is_not_logged(self, logged_failures):
        async def wait():
            await Deferred()

        run_in_background(wait()).cancel()
        assert logged_failures == []
