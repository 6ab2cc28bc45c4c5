"""
A part of a prompt that crashes every target that writes an answer on it.

No two requests with the part were alike, and they came to all gateways. A gateway knew
only whole requests, so that none was ever seen at crashes of two targets but as it was
sent on to a second one, which it crashed too:

    28.444 target_crashed target=i-99e275d2b3 fingerprints=bd23…,0a8b…
    28.612 target_crashed target=i-da9c62bfc8 fingerprints=bd23…,fac2…,232c…
    32.008 target_crashed target=i-4997b09ae9 fingerprints=c653…
    32.125 target_crashed target=i-53a4ab8179 fingerprints=067d…,c653…

Twenty engines crashed one after the other, while requests without the part, which had
their caller and their first part in common with those, were answered.
"""

import http.client
import threading
import time
from typing import NamedTuple

import pytest

from tools.fleet import wait_until
from tools.platformworld import PlatformWorld

FATAL_PART = "ee01"
COMMON, HARMLESS = "aa:800", ("bb02:400", "bb03:400")
GATEWAYS = ("gateway-1", "gateway-2")
WRITERS = ("writer-1", "writer-2", "writer-3")
# Crashes after which the part is to be known.
CRASHES = 5
# Seconds after the last of them within which all gateways have to know it.
PROPAGATION_TIME = 3.0
# How often requests with the part may still reach targets after that, in all.
MAX_SENT = 3
# Share of the harmless requests that have to be served from then on.
MIN_SERVED = 0.5
# Seconds between the requests of one caller.
REQUEST_INTERVAL = 0.15
# Seconds during which requests with the part come.
FATAL_TIME = 22.0
# Seconds from a target's crash until it is back.
RESTART_TIME = 1.5
# Low traffic: seconds between two harmless requests, between two with the part, and
# until one that failed comes again.
HARMLESS_INTERVAL, FATAL_INTERVAL, REPEATED_AFTER = 1.0, 2.0, 0.3
# Seconds until a target is lost for another reason, from then until requests with the
# part come, and until the end.
LOST_AT, FATAL_AFTER, LOW_TRAFFIC_TIME = 8.3, 0.2, 34.0
# Seconds between two events of a response.
EVENT_GAP = 0.15


class Sent(NamedTuple):
    """A request of a caller; ``status`` is 0 if its response was cut off."""

    at: float
    is_fatal: bool
    status: int


class FatalPartWorld(PlatformWorld):
    """Targets that a part of a prompt crashes, and callers of each gateway."""

    def __init__(self, fleet, **writer_options):
        super().__init__(fleet)
        self.target("reader", "llm", "prefill")
        for name in WRITERS:
            self.target(name, "llm", "decode", **writer_options)
        fleet.settle()
        for name in WRITERS:
            self.fault(name, fatal_part=FATAL_PART)
        self.configure(1)
        for name in GATEWAYS:
            self.gateway(name)
        self.sent = []
        self.down_since = {}

    def ask(self, number, gateway, path, other_parts):
        """Send a request of its own body and last part; keep its outcome."""
        is_fatal = any(part.startswith(FATAL_PART) for part in other_parts)
        parts = [COMMON, *other_parts, f"cc{number:06x}:200"]
        headers = {
            "Pimentolink-Token-Counts": "1400,20",
            "Pimentolink-Prompt-Prefix": ",".join(parts),
        }
        began_at = time.time()
        try:
            reply, _ = self.request(
                path, "POST", f"request {number}".encode(), headers, gateway
            )
            status = reply.status
        except (OSError, http.client.HTTPException):
            status = 0
        self.sent.append(Sent(began_at, is_fatal, status))
        return status

    def call_for(self, seconds, first_number, gateway, path, choose_parts):
        """Send requests to a gateway one after the other."""
        end = time.monotonic() + seconds
        number = first_number
        while time.monotonic() < end:
            self.ask(number, gateway, path, choose_parts(number))
            number += 1
            time.sleep(REQUEST_INTERVAL)

    def restart_crashed(self):
        """Restart the targets that ended some time ago, as new incarnations."""
        for name in WRITERS:
            if self.fleet.processes_by_name[name].is_running:
                continue
            since = self.down_since.setdefault(name, time.monotonic())
            if time.monotonic() - since >= RESTART_TIME:
                del self.down_since[name]
                self.fleet.start_again(name)
                self.fleet.settle()
                self.fault(name, fatal_part=FATAL_PART)
                self.list_target(name, "llm", "decode")

    def play(self, path, choose_parts, seconds=FATAL_TIME):
        """Let a caller of each gateway send requests, and restart what crashes."""
        callers = [
            threading.Thread(
                target=self.call_for,
                args=(seconds, 100_000 * (index + 1), gateway, path, choose_parts),
            )
            for index, gateway in enumerate(GATEWAYS)
        ]
        for caller in callers:
            caller.start()
        while any(caller.is_alive() for caller in callers):
            self.restart_crashed()
            time.sleep(0.05)
        for caller in callers:
            caller.join()

    def send_at_fixed_rate(self, first_number, interval, until, other_parts):
        """
        Send requests at a fixed rate, at both gateways by turns.

        One with the fatal part comes once more if it fails, at the other gateway.
        """
        is_fatal = any(part.startswith(FATAL_PART) for part in other_parts)

        def ask(number):
            gateway = GATEWAYS[number % len(GATEWAYS)]
            if self.ask(number, gateway, "/resume/x", other_parts) != 200 and is_fatal:
                time.sleep(REPEATED_AFTER)
                gateway = GATEWAYS[(number + 1) % len(GATEWAYS)]
                self.ask(number, gateway, "/resume/x", other_parts)

        callers = []
        begin = time.monotonic()
        while (at := begin + len(callers) * interval) < until:
            time.sleep(max(0.0, at - time.monotonic()))
            number = first_number + len(callers)
            callers.append(threading.Thread(target=ask, args=(number,)))
            callers[-1].start()
        for caller in callers:
            caller.join()

    def lose_busy_writer(self):
        """Kill the writer that was the last to begin a response."""
        runs = [
            (line["at"], name)
            for name in WRITERS
            for line in self.log_lines(name, event="run")
        ]
        self.fleet.processes_by_name[max(runs)[1]].kill()

    def crash_times(self):
        lines = [
            line for name in WRITERS for line in self.log_lines(name, event="crash")
        ]
        return sorted(line["at"] for line in lines)

    def count_fatal_sent_after(self, at):
        """Count how often requests with the part reached targets after some time."""
        lines = [
            line
            for name in ("reader", *WRITERS)
            for event in ("read", "run")
            for line in self.log_lines(name, event=event)
        ]
        return sum(FATAL_PART in line["parts"] for line in lines if line["at"] > at)


def every_third(number):
    return [FATAL_PART + ":400"] if number % 3 == 0 else [HARMLESS[number % 2]]


def every_third_within_common(number):
    """Put the part between two others that harmless requests have as well."""
    middle = f"{FATAL_PART}:100" if number % 3 == 0 else "dd04:100"
    return ["bb05:300", middle, "bb06:300"]


def every_second(number):
    return [FATAL_PART + ":400"] if number % 2 else [HARMLESS[0]]


@pytest.fixture
def world(fleet):
    return FatalPartWorld(fleet)


class TestFatalPart:
    @pytest.mark.parametrize("path", ["/resume/x", "/stream/x"])
    @pytest.mark.parametrize("choose", [every_third, every_third_within_common])
    def test_reaches_few_targets_once_five_have_crashed(self, world, path, choose):
        world.play(path, choose)
        crashes = world.crash_times()
        known_at = crashes[:CRASHES][-1] + PROPAGATION_TIME
        assert world.count_fatal_sent_after(known_at) <= MAX_SENT
        harmless = [
            item for item in world.sent if not item.is_fatal and item.at > known_at
        ]
        assert len(harmless) > 20
        served = sum(item.status == 200 for item in harmless)
        assert served >= MIN_SERVED * len(harmless)

    def test_is_known_to_gateways_that_started_since(self, world):
        world.play("/resume/x", every_third, seconds=12.0)
        for name in GATEWAYS:
            world.fleet.processes_by_name[name].kill()
        for name in GATEWAYS:
            world.fleet.start_again(name)
        world.fleet.settle()
        wait_until(lambda: all(world.is_ready(name) for name in GATEWAYS))
        restarted_at = time.time()
        world.play("/resume/x", every_second, seconds=6.0)
        assert world.count_fatal_sent_after(restarted_at) <= MAX_SENT
        harmless = [
            item for item in world.sent if not item.is_fatal and item.at > restarted_at
        ]
        served = sum(item.status == 200 for item in harmless)
        assert served >= MIN_SERVED * len(harmless)


class TestLowTraffic:
    def test_harmless_requests_are_served_though_another_target_was_lost(self, fleet):
        """
        Guards against holding harmless requests for another request's part.

        No response came between the loss of a target, which counted against harmless
        parts alone, and the test of a request with the fatal part: the former were
        blamed, and no request with them was sent for 300 s.
        """
        world = FatalPartWorld(fleet, gap=EVENT_GAP)
        end = time.monotonic() + LOW_TRAFFIC_TIME
        lost_at = time.monotonic() + LOST_AT
        harmless = threading.Thread(
            target=world.send_at_fixed_rate,
            args=(
                100_000,
                HARMLESS_INTERVAL,
                end,
                ["bb05:300", "dd04:100", "bb06:300"],
            ),
        )
        fatal_parts = ["bb05:300", f"{FATAL_PART}:100", "bb06:300"]
        fatal = threading.Thread(
            target=world.send_at_fixed_rate,
            args=(200_000, FATAL_INTERVAL, end, fatal_parts),
        )
        harmless.start()
        time.sleep(lost_at - time.monotonic())
        world.lose_busy_writer()
        time.sleep(FATAL_AFTER)
        fatal.start()
        while harmless.is_alive() or fatal.is_alive():
            world.restart_crashed()
            time.sleep(0.05)
        crashes = world.crash_times()
        last = crashes[:CRASHES][-1]
        requests = [item for item in world.sent if not item.is_fatal]
        before = [item.status == 200 for item in requests if item.at < crashes[0] - 1.0]
        after = [
            item.status == 200
            for item in requests
            if item.at > last + 2 * PROPAGATION_TIME
        ]
        assert min(len(before), len(after)) >= 5
        assert sum(after) / len(after) >= MIN_SERVED * sum(before) / len(before)
        assert world.count_fatal_sent_after(last + PROPAGATION_TIME) <= MAX_SENT
