"""Bounds on repeated attempts over all gateways."""

import json
import signal

from pimentolink.gatewaysettings import BudgetSettings
from pimentolink.retry import SharedBudgets
from pimentolink.timers import ManualTimers
from tools.fleet import wait_until
from tools.platformworld import PlatformWorld


class TestSharedBudgets:
    def test_storm_of_failures_stays_inside_the_deployments_budget(self):
        timers = ManualTimers()
        settings = BudgetSettings(ratio=0.2, slack=54.0, window=10.0)
        gateways = [SharedBudgets(settings, timers) for _ in range(4)]
        granted = []
        for _ in range(300):
            timers.advance(0.1)
            for budgets in gateways:
                budgets.gateways = 4
                budgets.earn("s")
                for _ in range(3):
                    if budgets.spend("s").is_granted:
                        granted.append(timers.now())
        for start in granted:
            inside = [at for at in granted if start <= at < start + 10.0]
            requests = 4 * 100
            assert len(inside) <= 0.2 * requests + 54

    def test_nothing_is_saved_up_for_a_later_storm(self):
        timers = ManualTimers()
        settings = BudgetSettings(ratio=0.2, slack=54.0, window=10.0)
        budgets = SharedBudgets(settings, timers)
        budgets.gateways = 4
        for _ in range(600):
            timers.advance(0.1)
            budgets.earn("s")
        granted = sum(budgets.spend("s").is_granted for _ in range(200))
        assert granted <= 0.2 * 100 + 54 / 4

    def test_quiet_gateway_may_repeat_at_once(self):
        budgets = SharedBudgets(BudgetSettings(slack=54.0), ManualTimers())
        budgets.gateways = 4
        assert budgets.spend("s").is_granted

    def test_services_do_not_spend_each_others_budget(self):
        budgets = SharedBudgets(BudgetSettings(slack=4.0), ManualTimers())
        while budgets.spend("a").is_granted:
            pass
        assert budgets.spend("b").is_granted

    def test_attempt_that_reached_no_target_costs_nothing(self):
        budgets = SharedBudgets(BudgetSettings(slack=4.0), ManualTimers())
        for _ in range(100):
            assert budgets.spend("a").is_granted
            budgets.refund("a")


FAILING_PATH = "/read/x"
RATIO = 0.2
SLACK = 10.0
WINDOW = 10.0


def start_failing_fleet(fleet, *gateways):
    """Start gateways before two targets that fail every request."""
    world = PlatformWorld(fleet)
    for name in ("plain-1", "plain-2"):
        world.target(name, "plain")
        world.fault(name, status=500)
    world.configure(1)
    budget = {"ratio": RATIO, "slack": SLACK, "window": WINDOW}
    for name in gateways:
        world.gateway(name, budget=budget)
    return world


def count_retries(world, requests):
    arrivals = sum(
        sum(world.runs(name)["runs"].values()) for name in ("plain-1", "plain-2")
    )
    return arrivals - requests


class TestGatewayProcesses:
    def test_restarted_gateway_does_not_get_its_part_of_the_slack_again(self, fleet):
        # Each life of a gateway granted its whole part once more, while the window
        # still held the repeated attempts of its earlier lives.
        world = start_failing_fleet(fleet, "gateway")
        for life in range(4):
            if life:
                world.fleet.processes_by_name["gateway"].kill()
                world.fleet.start_again("gateway")
                world.fleet.settle()
                wait_until(lambda: world.is_ready("gateway"))
            for _ in range(12):
                world.request(FAILING_PATH)
        requests = 4 * 12
        assert count_retries(world, requests) <= RATIO * requests + SLACK

    def test_stopping_gateway_still_counts_among_those_that_share_the_slack(
        self, fleet
    ):
        # A gateway that stops leaves the list at once and serves for seconds; all that
        # remained, and itself, divided the slack by those still listed.
        world = start_failing_fleet(fleet, "gateway", "gateway-2")
        for name, other in (("gateway", "gateway-2"), ("gateway-2", "gateway")):
            wait_until(lambda n=name, o=other: has_listed(world, n, o, True))
        world.fleet.processes_by_name["gateway-2"].send(signal.SIGTERM)
        wait_until(lambda: has_listed(world, "gateway", "gateway-2", False))
        for _ in range(20):
            for name in ("gateway", "gateway-2"):
                world.request(FAILING_PATH, gateway=name)
        requests = 2 * 20
        assert count_retries(world, requests) <= RATIO * requests + SLACK


def has_listed(world, gateway, peer, is_listed):
    lines = world.fleet.processes_by_name[gateway].log_path.read_text().splitlines()
    told = [json.loads(line) for line in lines if '"peer_listed"' in line]
    return any(line["peer"] == peer and line["listed"] is is_listed for line in told)
