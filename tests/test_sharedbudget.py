"""Bounds on repeated attempts over all gateways."""

from pimentolink.gatewaysettings import BudgetSettings
from pimentolink.retry import SharedBudgets
from pimentolink.timers import ManualTimers


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
