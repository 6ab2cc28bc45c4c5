"""
A request that crashes every target that runs it, asked again and again.

Callers asked the same thing 18 times within 12 s, under new ids and at all gateways.
Each time the engine that wrote the answer ended 30 to 90 ms after it had begun, and
with it up to eight answers to others; the next engine was given the same request,
because no gateway knew it again. All writers were down at once, three times:

    70.487 attempt_failed target=i-19a55bf3af reply_invalid "peer closed connection"
    70.609 attempt_failed target=i-c8a687f0f2 reply_invalid "peer closed connection"
    70.821 attempt_failed target=i-b49df0f51c reply_invalid "peer closed connection"

136 requests of others were refused meanwhile, 0.36 of all. At each of eight crashes a
request of one and the same size was aboard.

Nothing outlived an attempt: its id, which is new each time, was all that a request was
known by, and what a gateway had learned of it ended with its answer. With two gateways
the request was sent to targets 32 times in 8 askings after its third crash.
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
# Crashes after which a request is known for what it does.
CRASHES = 3
# Seconds in which they happen, though it has to wait between them.
CRASH_WITHIN = 20.0
# Seconds in which all gateways learn of the last of them.
LEARN_TIME = 3.0
# How often it may still be sent to targets from then on, over all gateways.
MAX_SENT = 3


class FatalWorld(PlatformWorld):
    """Targets that a certain body ends, and that come back under their names."""

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
        self.asked = 0

    def ask(self, path, body=FATAL):
        """Ask at one gateway after the other; return the status, 0 without one."""
        gateway = GATEWAYS[self.asked % len(GATEWAYS)]
        self.asked += 1
        headers = {}
        if path.startswith("/resume"):
            headers["Pimentolink-Token-Counts"] = "1200,50"
            headers["Pimentolink-Prompt-Prefix"] = "aa:1000,bb:200"
        try:
            found, _ = self.request(path, "POST", body.encode(), headers, gateway)
        except (OSError, http.client.HTTPException):
            return 0
        return found.status

    def told(self, event):
        """Count what all lives of all targets told."""
        count = 0
        for name in ("reader", *MODELS, *PLAIN):
            text = self.fleet.processes_by_name[name].log_path.read_text()
            lines = [json.loads(line) for line in text.splitlines() if line[:1] == "{"]
            count += sum(line["event"] == event for line in lines)
        return count

    def sent(self):
        """Count what reached targets, to be read or to be run."""
        return self.told("read") + self.told("run")

    def bring_back(self):
        """Start the targets that ended again, each as a new life of it."""
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
        """Ask until targets have crashed often enough, and let all learn of it."""
        end = time.monotonic() + CRASH_WITHIN
        while self.told("crash") < CRASHES and time.monotonic() < end:
            self.ask(path)
            time.sleep(0.2)
            self.bring_back()
        assert self.told("crash") >= CRASHES
        time.sleep(LEARN_TIME)
        self.bring_back()


@pytest.fixture
def world(fleet):
    return FatalWorld(fleet)


class TestFatalRequest:
    @pytest.mark.parametrize("path", ["/resume/x", "/read/x"])
    def test_reaches_few_targets_once_three_have_crashed(self, world, path):
        world.crash(path)
        before = world.sent()
        for _ in range(2 * MAX_SENT + 2):
            world.ask(path)
            time.sleep(0.1)
            world.bring_back()
        assert world.sent() - before <= MAX_SENT

    def test_is_known_to_gateways_that_started_since(self, world):
        world.crash("/resume/x")
        for name in GATEWAYS:
            world.fleet.processes_by_name[name].kill()
        for name in GATEWAYS:
            world.fleet.start_again(name)
        world.fleet.settle()
        wait_until(lambda: all(world.is_ready(name) for name in GATEWAYS))
        before = world.sent()
        for _ in range(2 * MAX_SENT + 2):
            world.ask("/resume/x")
            time.sleep(0.1)
            world.bring_back()
        assert world.sent() - before <= MAX_SENT

    def test_is_found_and_released_by_an_operator(self, world):
        world.crash("/read/x")
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
