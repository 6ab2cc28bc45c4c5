"""Background tasks and timers on the timer service."""

import signal
import socket
import subprocess
import sys
import time

import pytest
from twisted.internet.defer import Deferred
from twisted.logger import globalLogPublisher

from pimentolink.timers import (
    RESTART_DELAY,
    ManualTimers,
    repeat_until_outcome,
    run_in_background,
)
from tests.virtual import VirtualNetwork, VirtualProcess

# Prints what it handles: data on a socket, which cancels a timer, or that timer.
RACE_SCRIPT = """
import socket, sys
from twisted.internet import reactor
from twisted.internet.protocol import Factory, Protocol
from pimentolink.timers import ReactorTimers

class Response(Protocol):
    def dataReceived(self, data):
        print("response", flush=True)
        timeout.cancel()

timers = ReactorTimers(reactor)
timeout = timers.call_later(0.2, lambda: print("timeout", flush=True))
timers.call_later(0.8, reactor.stop)
factory = Factory.forProtocol(Response)
reactor.adoptStreamConnection(int(sys.argv[1]), socket.AF_UNIX, factory)
print("ready", flush=True)
reactor.run()
"""


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


class TestPausedProcess:
    """A response arrives and a timeout falls due while a process is paused."""

    @pytest.mark.parametrize("delay", [0.0, 0.04, 0.08])
    def test_reactor_makes_no_call_that_the_response_cancelled(self, delay):
        here, there = socket.socketpair()
        with here, there:
            there.setblocking(False)
            process = subprocess.Popen(
                [sys.executable, "-c", RACE_SCRIPT, str(there.fileno())],
                pass_fds=[there.fileno()],
                stdout=subprocess.PIPE,
                text=True,
            )
            assert process.stdout is not None
            process.stdout.readline()
            time.sleep(delay)
            process.send_signal(signal.SIGSTOP)
            here.send(b"response")
            time.sleep(0.4)
            process.send_signal(signal.SIGCONT)
            printed, _ = process.communicate(timeout=20.0)
        assert printed.split() in (["response"], ["timeout", "response"])

    def test_virtual_process_makes_no_call_that_another_cancelled(self):
        """Guards against a harness that reports a second outcome of a request."""
        network = VirtualNetwork()
        process, made = VirtualProcess(network, "one"), []
        process.pause()
        process.later(1.0, lambda: (made.append("response"), timeout.cancel()))
        timeout = process.later(2.0, lambda: made.append("timeout"))
        network.clock.advance(3.0)
        process.resume()
        assert made == ["response"]


class TestRepeatUntilOutcome:
    @pytest.fixture
    def timers(self):
        return ManualTimers()

    def start(self, timers, may_repeat=lambda: True):
        """Start attempts that never end; return them, and what the caller gets."""
        attempts, outcomes = [], []

        async def attempt():
            attempts.append(Deferred())
            return await attempts[-1]

        work = repeat_until_outcome(timers, 1.0, attempt, may_repeat)
        Deferred.fromCoroutine(work).addBoth(outcomes.append)
        return attempts, outcomes

    def test_first_result_counts_and_ends_the_other_attempts(self, timers):
        attempts, outcomes = self.start(timers)
        timers.advance(2.5)
        first, second, third = attempts
        second.callback("result")
        timers.advance(5.0)
        assert outcomes == ["result"]
        assert len(attempts) == 3
        assert first.called
        assert third.called

    def test_failure_of_an_attempt_ends_the_others(self, timers):
        attempts, outcomes = self.start(timers)
        timers.advance(1.5)
        attempts[0].errback(ValueError("no"))
        assert outcomes[0].check(ValueError)
        assert attempts[1].called

    def test_no_attempt_starts_that_may_not(self, timers):
        attempts, outcomes = self.start(timers, lambda: False)
        timers.advance(5.0)
        assert len(attempts) == 1
        attempts[0].callback("result")
        assert outcomes == ["result"]
