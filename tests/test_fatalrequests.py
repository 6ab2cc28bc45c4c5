"""
A request that crashes every target that runs it, repeated by its callers.

Callers sent the same request 18 times within 12 s, under new ids and to all gateways.
Each time, the decode engine crashed 30 to 90 ms after it had begun to generate the
response, and up to eight responses to other requests broke off with it. No gateway
recognized the request, so the next engine got it as well. All decode engines were down
at once, three times:

    70.487 attempt_failed target=i-19a55bf3af reply_invalid "peer closed connection"
    70.609 attempt_failed target=i-c8a687f0f2 reply_invalid "peer closed connection"
    70.821 attempt_failed target=i-b49df0f51c reply_invalid "peer closed connection"

Meanwhile 136 other requests were refused, 0.36 of all. At each of eight crashes, a
request of the same size was in flight.

A gateway identified a request only by its id, which was new each time, and kept nothing
about it after the response. With two gateways, the request was sent to targets 32 times
while callers repeated it 8 times after its third crash.
"""

import http.client
import json
import time

import pytest

from tools.fleet import wait_until
from tools.platformworld import PlatformWorld

FATAL = "fatal"
GATEWAYS = ("gateway-1", "gateway-2")
MODELS, PLAIN = ("writer-1", "writer-2", "writer-3"), ("plain-1", "plain-2")
# Crashes after which a request is known to be fatal.
CRASHES = 3
# Seconds in which they happen, including its quarantine between them.
CRASH_TIMEOUT = 20.0
# Seconds in which all gateways learn of the last crash.
PROPAGATION_TIME = 3.0
# Seconds in which an operator's commands end.
COMMAND_TIMEOUT = 30.0
# How often it may still be sent to targets after that, by all gateways together.
MAX_SENT = 3


class FatalWorld(PlatformWorld):
    """Targets that a certain request body crashes, restarted under the same names."""

    def __init__(self, fleet):
        super().__init__(fleet)
        self.target("reader", "llm", "prefill")
        for name in MODELS:
            self.target(name, "llm", "decode")
        for name in PLAIN:
            self.target(name, "plain")
        fleet.settle()
        for name in (*MODELS, *PLAIN):
            self.fault(name, fatal=FATAL)
        self.configure(1)
        for name in GATEWAYS:
            self.gateway(name)
        self.request_count = 0

    def ask(self, path, body=FATAL):
        """Send a request, to the gateways in turn; return its status, 0 without one."""
        gateway = GATEWAYS[self.request_count % len(GATEWAYS)]
        self.request_count += 1
        headers = {}
        if path.startswith("/resume"):
            headers["Pimentolink-Token-Counts"] = "1200,50"
            headers["Pimentolink-Prompt-Prefix"] = "aa:1000,bb:200"
        try:
            found, _ = self.request(path, "POST", body.encode(), headers, gateway)
        except (OSError, http.client.HTTPException):
            return 0
        return found.status

    def count_events(self, event):
        """Count the events logged by all incarnations of all targets."""
        names = ("reader", *MODELS, *PLAIN)
        return sum(len(self.log_lines(name, event=event)) for name in names)

    def count_sent(self):
        """Count the requests that reached targets, for prefill or to be run."""
        return self.count_events("read") + self.count_events("run")

    def restart_crashed(self):
        """Restart the targets that ended, each as a new incarnation."""
        for name in (*MODELS, *PLAIN):
            process = self.fleet.processes_by_name[name]
            if not process.is_running:
                self.fleet.start_again(name)
                self.fleet.settle()
                self.fault(name, fatal=FATAL)
                is_model = name in MODELS
                self.list_target(
                    name, "llm" if is_model else "plain", "decode" if is_model else ""
                )

    def crash(self, path):
        """Send the request until enough targets crashed and all gateways know of it."""
        self.ask_until(path, lambda: self.count_events("crash") >= CRASHES)

    def crash_in_a_trial(self, path):
        """
        Crash targets until one crashed in a trial of the request.

        Only then is its quarantine longer than what commands take on a busy machine.
        """
        self.crash(path)
        self.ask_until(path, lambda: self.longest_quarantine() > COMMAND_TIMEOUT)

    def ask_until(self, path, condition):
        """Send the request until a condition holds and all gateways know why."""
        end = time.monotonic() + CRASH_TIMEOUT
        while not condition() and time.monotonic() < end:
            self.ask(path)
            time.sleep(0.2)
            self.restart_crashed()
        assert condition()
        time.sleep(PROPAGATION_TIME)
        self.restart_crashed()

    def longest_quarantine(self):
        """Return the longest quarantine that a gateway has logged, in seconds."""
        lines = [
            line
            for name in GATEWAYS
            for line in self.log_lines(name, event="suspect_struck")
        ]
        return max((line["wait"] for line in lines), default=0.0)


@pytest.fixture
def world(fleet):
    return FatalWorld(fleet)


class TestFatalRequest:
    @pytest.mark.parametrize("path", ["/resume/x", "/read/x"])
    def test_reaches_few_targets_once_three_have_crashed(self, world, path):
        world.crash(path)
        before = world.count_sent()
        for _ in range(2 * MAX_SENT + 2):
            world.ask(path)
            time.sleep(0.1)
            world.restart_crashed()
        assert world.count_sent() - before <= MAX_SENT

    def test_is_known_to_gateways_that_started_since(self, world):
        world.crash("/resume/x")
        for name in GATEWAYS:
            world.fleet.processes_by_name[name].kill()
        for name in GATEWAYS:
            world.fleet.start_again(name)
        world.fleet.settle()
        wait_until(lambda: all(world.is_ready(name) for name in GATEWAYS))
        before = world.count_sent()
        for _ in range(2 * MAX_SENT + 2):
            world.ask("/resume/x")
            time.sleep(0.1)
            world.restart_crashed()
        assert world.count_sent() - before <= MAX_SENT

    def test_is_found_and_released_by_an_operator(self, world):
        world.crash_in_a_trial("/read/x")
        settings = str(world.fleet.folder / "gateway-1.json")
        listed = world.fleet.command("gateway", "status", settings, "--json")
        (suspect,) = json.loads(listed.stdout)["suspects"]
        assert suspect["crashes"] >= CRASHES
        for name in PLAIN:
            world.fault(name, fatal="")
        assert world.ask("/read/x") == 503
        name = suspect["fingerprint"]
        released = world.fleet.command("gateway", "release", settings, name)
        assert released.returncode == 0, released.stderr
        time.sleep(1.0)
        assert [world.ask("/read/x") for _ in GATEWAYS] == [200, 200]
        again = world.fleet.command("gateway", "release", settings, name)
        assert again.returncode == 1

    def test_others_on_its_route_are_served(self, world):
        world.crash("/resume/x")
        for number in range(4):
            assert world.ask("/resume/x", f"harmless {number}") == 200
