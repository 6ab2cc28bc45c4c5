"""
A target that crashes behind a proxy which still listens.

Between gateways and targets stood proxies that accept connections also while their
target is down, and then reset them. So nothing refused a connection, and a crash came
to light 8 to 15 s later, when the list of targets told of the target's next start.
Until then, gateways sent the request that had crashed it to the next targets, which it
crashed as well.
"""

import json
import signal
import threading
import time

import pytest

from pimentolink.gateway import FINAL_ACCEPT_TIME, IDLE_CLOSE_DELAY
from tests.faultproxy import NO_FAULT, REFUSE
from tools.fleet import call, free_port, wait_until
from tools.platformworld import PlatformWorld

FATAL = "fatal"
# Seconds within which a gateway must have found out, without the list.
DETECTION_TIME = 3.0
# Seconds that a call takes, in which another needs a connection of its own.
CALL_TIME = 0.6


class ProxiedWorld(PlatformWorld):
    """A target behind a proxy, and one gateway."""

    def __init__(self, fleet):
        super().__init__(fleet)
        fleet.start("plain", "standins.platform_engine", "--instance=plain")
        fleet.settle()
        self.fault("plain", fatal=FATAL)
        front = f"127.0.0.1:{free_port()}"
        target = fleet.address("plain")
        fleet.start(
            "proxy", "tests.faultproxy", f"--front={front}", f"--target={target}"
        )
        fleet.settle()
        entry = {"service": "plain", "address": front, "zone": "north", "slots": 8}
        born = self.born("plain")
        self.put("servers/plain", entry | {"state": "ready", "born": born})
        self.configure(1)
        self.gateway("gateway")

    def set_mode(self, mode):
        call(self.fleet.url("proxy", "/mode"), "PUT", mode)

    def ask(self, body="harmless"):
        return self.request("/once/x", "POST", body.encode())[0].status

    def lines(self, event, gateway="gateway"):
        text = self.fleet.processes_by_name[gateway].log_path.read_text()
        found = [json.loads(line) for line in text.splitlines() if line[:1] == "{"]
        return [line for line in found if line.get("event") == event]

    def crashes(self):
        return self.lines("target_crashed")


@pytest.fixture
def world(fleet):
    return ProxiedWorld(fleet)


class TestCrashBehindProxy:
    def test_is_found_without_the_list(self, world):
        assert world.ask() == 200
        world.ask(FATAL)
        (crash,) = wait_until(world.crashes, DETECTION_TIME, "the crash")
        assert crash["requests"] == 1


class TestStop:
    def test_gateway_that_stops_finishes_its_check(self, world):
        """A request sent just before the stop, whose crash shows only after it."""
        assert world.ask() == 200
        gateway = world.fleet.processes_by_name["gateway"]
        gateway.send(signal.SIGTERM)
        time.sleep(IDLE_CLOSE_DELAY + FINAL_ACCEPT_TIME / 4)
        assert world.ask() == 200
        world.ask(FATAL)
        gateway.popen.wait(10.0)
        assert len(world.crashes()) == 1


class TestNoCrash:
    def test_reset_of_a_target_that_serves(self, world):
        world.fault("plain", silent=True)
        asking = threading.Thread(target=world.ask, daemon=True)
        asking.start()
        time.sleep(CALL_TIME / 2)
        world.set_mode("reset")
        asking.join()
        world.fault("plain", silent=False)
        wait_until(lambda: world.lines("attempt_failed"))
        time.sleep(DETECTION_TIME)
        assert world.crashes() == []

    def test_new_connections_turned_away_while_an_old_one_serves(self, world):
        assert world.ask() == 200
        world.fault("plain", silent=True)
        asking = threading.Thread(target=world.ask, daemon=True)
        asking.start()
        time.sleep(CALL_TIME / 2)
        world.set_mode(REFUSE)
        world.ask()
        assert world.lines("attempt_failed")
        time.sleep(DETECTION_TIME)
        assert world.crashes() == []
        world.set_mode(NO_FAULT)

    def test_all_connections_turned_away(self, world):
        world.set_mode(REFUSE)
        world.ask()
        assert world.lines("attempt_failed")
        time.sleep(DETECTION_TIME)
        assert world.crashes() == []
        world.set_mode(NO_FAULT)
