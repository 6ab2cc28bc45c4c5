"""Tests of the limit on retries over all gateways."""

import json
import signal
import time
from contextlib import suppress
from urllib.error import URLError

import pytest

from pimentolink.errors import NotListening
from pimentolink.gatewaysettings import BudgetSettings
from pimentolink.requestcalls import RequestCalls
from pimentolink.sharedbudget import EarnedRetryCredit, SharedBudgets
from pimentolink.slackshare import ListedGatewayCount
from pimentolink.timers import ManualTimers
from tests.gatewaybuilders import gateway_settings
from tools.fleet import wait_until
from tools.platformworld import PlatformWorld

LEASE = 10.0


def new_budgets(timers, gateways=4, **budget):
    """Create the retry budgets of a gateway that does not hold a lease yet."""
    settings = gateway_settings(budget=BudgetSettings(**budget))
    budgets = SharedBudgets(settings, timers)
    budgets.share.listed_count.update(gateways)
    return budgets


def renew_leases(timers, *budgets, seconds=21.0):
    """Advance the clock, renewing the lease of each gateway every second."""
    for _ in range(int(seconds)):
        for gateway_budgets in budgets:
            gateway_budgets.share.lease_renewed(timers.boot_time())
        timers.advance(1.0)


def established_budgets(timers, gateways=4, **budget):
    """Create the retry budgets of a gateway that may use its part of the slack."""
    budgets = new_budgets(timers, gateways, **budget)
    renew_leases(timers, budgets)
    budgets.share.lease_renewed(timers.boot_time())
    return budgets


def count_granted(budgets, attempts, service="s"):
    return sum(budgets.spend(service).grant is not None for _ in range(attempts))


def make_refused_call(grant):
    """Make a call under a grant that reaches no target."""
    with pytest.raises(NotListening), RequestCalls().start(grant):
        raise NotListening("refused")


class TestSharedBudgets:
    def test_storm_of_failures_stays_inside_the_deployments_budget(self):
        timers = ManualTimers()
        settings = {"ratio": 0.2, "slack": 54.0, "window": 10.0}
        gateways = [new_budgets(timers, **settings) for _ in range(4)]
        renew_leases(timers, *gateways)
        granted = []
        for _ in range(300):
            timers.advance(0.1)
            for budgets in gateways:
                budgets.share.lease_renewed(timers.boot_time())
                budgets.earn("s")
                for _ in range(3):
                    if budgets.spend("s").grant:
                        granted.append(timers.now())
        for start in granted:
            inside = [at for at in granted if start <= at < start + 10.0]
            requests = 4 * 100
            assert len(inside) <= 0.2 * requests + 54

    def test_nothing_is_saved_up_for_a_later_storm(self):
        timers = ManualTimers()
        budgets = established_budgets(timers, ratio=0.2, slack=54.0, window=10.0)
        for _ in range(600):
            timers.advance(0.1)
            budgets.share.lease_renewed(timers.boot_time())
            budgets.earn("s")
        assert 0 < count_granted(budgets, 200) <= 0.2 * 100 + 54 / 4

    def test_quiet_gateway_may_repeat_at_once(self):
        budgets = established_budgets(ManualTimers(), slack=54.0)
        assert budgets.spend("s").grant

    def test_services_do_not_spend_each_others_budget(self):
        budgets = established_budgets(ManualTimers(), slack=16.0)
        while budgets.spend("a").grant:
            pass
        assert budgets.spend("b").grant

    def test_attempt_that_reached_no_target_costs_nothing(self):
        budgets = established_budgets(ManualTimers(), slack=16.0)
        for _ in range(100):
            grant = budgets.spend("a").grant
            assert grant
            make_refused_call(grant)

    def test_refund_goes_to_the_grant_of_the_failed_attempt(self):
        # Guards against refunding another grant, whose retry reached its target.
        timers = ManualTimers()
        budgets = established_budgets(timers, ratio=0.2, slack=10.0, window=10.0)
        first = budgets.spend("s").grant
        timers.advance(8.0)
        budgets.share.lease_renewed(timers.boot_time())
        second = budgets.spend("s").grant
        assert first and second
        make_refused_call(first)
        timers.advance(4.0)
        assert count_granted(budgets, 10) == 1


class TestRestarts:
    def test_restarted_gateways_stay_inside_the_deployments_budget(self):
        # Guards against each restart granting the gateway's part of the slack again.
        timers = ManualTimers()
        settings = {"ratio": 0.2, "slack": 56.0, "window": 10.0}
        gateways = [new_budgets(timers, 5, **settings) for _ in range(5)]
        renew_leases(timers, *gateways)
        granted, requests = [], []
        for step in range(400):
            timers.advance(0.05)
            if step % 50 == 49:
                gateways = [new_budgets(timers, 5, **settings) for _ in range(5)]
            for budgets in gateways:
                budgets.share.lease_renewed(timers.boot_time())
                budgets.earn("s")
                requests.append(timers.now())
                granted += [timers.now()] * count_granted(budgets, 3)
        for start in granted:
            inside = [at for at in granted if start <= at < start + 10.0]
            arrived = [at for at in requests if start <= at < start + 10.0]
            assert len(inside) <= 0.2 * len(arrived) + 56

    def test_restarts_after_a_calm_time_stay_inside_the_deployments_budget(self):
        # Guards against spending the credit of a window without failures in the next
        # window, in addition to that window's own credit, and against spending the
        # latter again after a restart.
        timers = ManualTimers()
        settings = {"ratio": 0.2, "slack": 56.0, "window": 10.0}
        gateways = [new_budgets(timers, 5, **settings) for _ in range(5)]
        renew_leases(timers, *gateways)
        granted = []
        for step in range(400):
            timers.advance(0.05)
            if step in (250, 300, 350):
                gateways = [new_budgets(timers, 5, **settings) for _ in range(5)]
            for budgets in gateways:
                budgets.share.lease_renewed(timers.boot_time())
                budgets.earn("s")
                if step >= 200:
                    granted += [timers.now()] * count_granted(budgets, 3)
        for start in granted:
            inside = [at for at in granted if start <= at < start + 10.0]
            assert len(inside) <= 0.2 * 5 * 200 + 56

    def test_gateway_with_few_requests_keeps_credit_for_one_repeated_attempt(self):
        timers = ManualTimers()
        budgets = new_budgets(timers, ratio=0.2, slack=0.0, window=10.0)
        for _ in range(20):
            budgets.earn("s")
            timers.advance(1.0)
        assert count_granted(budgets, 5) == 1
        timers.advance(10.0)
        assert count_granted(budgets, 5) == 0

    def test_requests_expire_while_no_attempt_is_repeated(self):
        # Guards against unbounded memory use when no attempt fails.
        timers = ManualTimers()
        credit = EarnedRetryCredit(timers)
        settings = BudgetSettings(ratio=0.2, window=10.0)
        stored_counts = []
        for _ in range(1_000):
            credit.add(settings)
            timers.advance(0.1)
            stored_counts.append(len(credit))
        assert max(stored_counts) <= 26

    def test_refunded_credit_keeps_its_age(self):
        # Guards against credit that never expires while a target refuses connections.
        timers = ManualTimers()
        budgets = new_budgets(timers, ratio=1.0, slack=0.0, window=10.0)
        for _ in range(2):
            budgets.earn("s")
        for _ in range(4):
            grant = budgets.spend("s").grant
            assert grant
            make_refused_call(grant)
            timers.advance(0.6)
        timers.advance(0.2)
        assert count_granted(budgets, 3) == 0

    def test_earned_credit_expires_during_suspension(self):
        timers = ManualTimers()
        budgets = new_budgets(timers, ratio=0.2, slack=0.0, window=10.0)
        for _ in range(50):
            budgets.earn("s")
        timers.suspend(11.0)
        assert count_granted(budgets, 5) == 0

    def test_new_gateway_repeats_a_share_of_its_own_requests(self):
        timers = ManualTimers()
        budgets = new_budgets(timers, ratio=0.2, slack=54.0)
        budgets.share.lease_renewed(timers.boot_time())
        assert not budgets.spend("s").grant
        for _ in range(50):
            budgets.earn("s")
        assert count_granted(budgets, 50) == 8

    def test_new_gateway_uses_slack_after_the_window_and_the_lease(self):
        timers = ManualTimers()
        budgets = new_budgets(timers, slack=54.0, window=10.0)
        renew_leases(timers, budgets, seconds=19.0)
        assert not budgets.spend("s").grant
        renew_leases(timers, budgets, seconds=2.0)
        assert budgets.spend("s").grant


class TestUnlistedGateways:
    def test_slack_is_still_divided_by_gateways_that_were_recently_listed(self):
        # Guards against dividing the slack by fewer gateways than still serve.
        timers = ManualTimers()
        gateways = [established_budgets(timers, 5, slack=56.0) for _ in range(5)]
        for listed in (4, 3, 2, 1, 0):
            for budgets in gateways:
                budgets.share.listed_count.update(listed)
        for budgets in gateways:
            budgets.share.lease_renewed(timers.boot_time())
        granted = sum(count_granted(budgets, 60) for budgets in gateways)
        assert 5 <= granted <= 56

    def test_part_of_an_unlisted_gateway_is_reassigned_after_the_window_and_the_lease(
        self,
    ):
        timers = ManualTimers()
        budgets = established_budgets(timers, 5, slack=50.0)
        budgets.share.listed_count.update(2)
        renew_leases(timers, budgets, seconds=19.0)
        assert count_granted(budgets, 60) == 8
        renew_leases(timers, budgets, seconds=12.0)
        assert count_granted(budgets, 60) == 20

    def test_maximum_covers_only_counts_within_the_window(self):
        timers = ManualTimers()
        listed_count = ListedGatewayCount(timers)
        for count in (5, 1, 4, 2, 3, 1):
            listed_count.update(count)
            timers.advance(1.0)
        # Counts end: five at 1 s, four at 3 s, three at 5 s. The clock is at 6 s.
        maxima = [
            listed_count.maximum_within(length) for length in (5.5, 4.0, 2.0, 0.5)
        ]
        assert maxima == [5, 4, 3, 1]


class TestLeaseExpiry:
    def test_gateway_that_cannot_renew_its_lease_uses_no_slack(self):
        # Guards against using slack that the other gateways divide among themselves.
        timers = ManualTimers()
        budgets = established_budgets(timers, slack=54.0)
        timers.advance(LEASE - 0.1)
        assert budgets.spend("s").grant
        timers.advance(0.2)
        assert not budgets.spend("s").grant

    def test_slack_is_not_used_immediately_after_an_expired_lease_is_renewed(self):
        timers = ManualTimers()
        budgets = established_budgets(timers, slack=54.0)
        timers.advance(LEASE + 1.0)
        renew_leases(timers, budgets, seconds=19.0)
        assert not budgets.spend("s").grant
        renew_leases(timers, budgets, seconds=2.0)
        assert budgets.spend("s").grant

    def test_gateway_suspended_beyond_its_lease_uses_no_slack(self):
        timers = ManualTimers()
        budgets = established_budgets(timers, slack=54.0)
        timers.suspend(LEASE + 0.1)
        assert not budgets.spend("s").grant

    def test_gateway_that_lost_its_lease_uses_no_slack(self):
        timers = ManualTimers()
        budgets = established_budgets(timers, slack=54.0)
        budgets.share.lease_lost()
        assert not budgets.spend("s").grant


FAILING_PATH = "/read/x"
RATIO = 0.2
SLACK = 10.0
WINDOW = 10.0


def start_with_failing_targets(fleet, *gateways, lease=10.0, window=WINDOW):
    """Start gateways in front of two targets that fail every request."""
    world = PlatformWorld(fleet)
    for name in ("plain-1", "plain-2"):
        world.target(name, "plain")
        world.fault(name, status=500)
    world.configure(1)
    budget = {"ratio": RATIO, "slack": SLACK, "window": window}
    store = {"address": fleet.address("store"), "timeout": 0.5, "lease": lease}
    for name in gateways:
        world.gateway(name, budget=budget, store=store)
    return world


def count_retries(world, requests):
    """Return how many runs at the targets exceed the number of requests."""
    arrivals = sum(
        sum(world.runs(name)["runs"].values()) for name in ("plain-1", "plain-2")
    )
    return arrivals - requests


class TestGatewayProcesses:
    def test_restarted_gateway_does_not_get_its_part_of_the_slack_again(self, fleet):
        # Guards against a restart granting the part again within the same window.
        world = start_with_failing_targets(fleet, "gateway")
        for restarts in range(4):
            if restarts:
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
        # Guards against not counting a stopping gateway that still serves requests.
        world = start_with_failing_targets(fleet, "gateway", "gateway-2")
        requests = send_requests_while_one_stops(world)
        assert count_retries(world, requests) <= RATIO * requests + SLACK

    def test_part_of_a_stopping_gateway_is_not_reassigned_while_it_serves(self, fleet):
        # Guards against the remaining gateway using all the slack while the stopping
        # one still uses its part. Both may use slack once the window and one lease
        # period have passed since their start.
        world = start_with_failing_targets(
            fleet, "gateway", "gateway-2", lease=2.0, window=2.0
        )
        time.sleep(5.0)
        requests = send_requests_while_one_stops(world)
        retries = count_retries(world, requests)
        assert RATIO * requests < retries <= RATIO * requests + SLACK


def send_requests_while_one_stops(world):
    """Send requests to both gateways once one is unlisted; return their number."""
    for name, other in (("gateway", "gateway-2"), ("gateway-2", "gateway")):
        wait_until(lambda n=name, o=other: has_logged_listing(world, n, o, True))
    world.fleet.processes_by_name["gateway-2"].send(signal.SIGTERM)
    wait_until(lambda: has_logged_listing(world, "gateway", "gateway-2", False))
    requests = 0
    for _ in range(20):
        for name in ("gateway", "gateway-2"):
            # The stopping gateway exits after 3 s if no connection is open.
            with suppress(URLError):
                world.request(FAILING_PATH, gateway=name)
                requests += 1
    return requests


def has_logged_listing(world, gateway, peer, is_listed):
    lines = world.fleet.processes_by_name[gateway].log_path.read_text().splitlines()
    events = [json.loads(line) for line in lines if '"peer_listed"' in line]
    return any(
        event["peer"] == peer and event["listed"] is is_listed for event in events
    )
