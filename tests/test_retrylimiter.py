"""Tests that every repeated call to a target has a grant of the retry budget."""

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pimentolink.gatewaysettings import BudgetSettings
from pimentolink.sharedbudget import RetryDecision, RetryGrant
from pimentolink.targetestimate import EngineRole
from tests.gatewaybuilders import target
from tests.requesthandlers import NEVER_ARRIVES, Gateway, Outcome
from tests.retrywindows import describe_excess

BUDGET = BudgetSettings(ratio=0.2, slack=20.0, window=10.0)


def repeats(arrivals):
    """
    Return the calls of one request that use the retry budget.

    The first prefill that an engine accepts does not count, nor does the first of all
    other calls. Rejected calls count.
    """
    accepted = [item for item in arrivals if item.is_prefill and item.is_accepted]
    return [item for item in arrivals if item not in accepted[:1]][1:]


def all_repeats(gateway):
    """Return the calls of all requests that use the retry budget."""
    arrivals_by_request_id = gateway.engines.arrivals_by_request_id
    return [
        item
        for arrivals in arrivals_by_request_id.values()
        for item in repeats(arrivals)
    ]


class CountingBudgets:
    """Grants or denies retries as given, and counts those that were not refunded."""

    def __init__(self, decisions):
        self._decisions = iter(decisions)
        self.granted = 0

    def earn(self, service):
        pass

    def spend(self, service):
        grant = None
        if next(self._decisions, False):
            self.granted += 1
            grant = RetryGrant(self, is_earned=False, spent_at=0.0)
        return RetryDecision(grant, earned=0.0, spent=0, gateways=1, part=0.0)

    def refund(self, grant):
        self.granted -= 1


def gateway_with_checks(outcomes, decisions):
    """Create a gateway; each repeated call that arrives is checked for its grant."""
    gateway = Gateway(outcomes, CountingBudgets(decisions))

    def check():
        assert len(all_repeats(gateway)) <= gateway.budgets.granted

    gateway.engines.on_arrival = check
    return gateway


def serve_one(outcomes, grants=0):
    """Serve a request to model engines; return its calls and the grants used."""
    gateway = gateway_with_checks([(item, False) for item in outcomes], [True] * grants)
    gateway.serve("r")
    return gateway.engines.arrivals_by_request_id["r"], gateway.budgets.granted


class TestCallsThatNeedGrants:
    def test_run_after_a_rejected_prefill(self):
        # Guards against a run that was sent without a grant after the first prefill,
        # which an engine had rejected and which therefore was not free.
        gateway = gateway_with_checks([(Outcome.REJECTED, True)], [])
        gateway.fleet.remove("prefill-1")
        gateway.serve("r")
        (arrival,) = gateway.engines.arrivals_by_request_id["r"]
        assert arrival.is_prefill

    def test_rejected_prefill_after_a_run(self):
        # Guards against a prefill that was sent without a grant, as the first one of
        # its request, after a run that was rejected as well.
        gateway = gateway_with_checks([(Outcome.REJECTED, False)] * 2, [])
        for name in ("prefill-0", "prefill-1", "decode-1"):
            gateway.fleet.remove(name)
        serving = gateway.start("r")
        gateway.fleet.remove("decode-0")
        gateway.fleet.put(target("prefill-0", EngineRole.PREFILL))
        gateway.fleet.put(target("decode-1", EngineRole.DECODE))
        gateway.advance_until(serving)
        (arrival,) = gateway.engines.arrivals_by_request_id["r"]
        assert not arrival.is_prefill

    def test_prefill_after_a_lost_one(self):
        arrivals, _ = serve_one([Outcome.CUT_OFF])
        assert len(arrivals) == 1


class TestFreeCalls:
    def test_prefill_and_run(self):
        arrivals, granted = serve_one([])
        assert [arrival.is_prefill for arrival in arrivals] == [True, False]
        assert granted == 0

    def test_call_that_was_not_sent_does_not_count(self):
        arrivals, granted = serve_one([Outcome.REFUSED, Outcome.ANSWERED])
        assert [arrival.is_prefill for arrival in arrivals] == [True, False]
        assert granted == 0

    def test_run_uses_the_grant_of_a_prefill_that_turned_out_free(self):
        arrivals, granted = serve_one([Outcome.REJECTED], grants=2)
        assert [arrival.is_prefill for arrival in arrivals] == [True, True, False]
        assert granted == 1


class TestRandomOutcomes:
    @settings(max_examples=2_000, deadline=None)
    @given(
        outcomes=st.lists(
            st.tuples(st.sampled_from(Outcome), st.booleans()), max_size=12
        ),
        decisions=st.lists(st.booleans(), max_size=8),
        is_generation=st.booleans(),
    )
    def test_each_repeated_call_of_one_request_has_a_grant(
        self, outcomes, decisions, is_generation
    ):
        gateway = gateway_with_checks(outcomes, decisions)
        gateway.serve("r", is_generation)
        arrivals = gateway.engines.arrivals_by_request_id.get("r", [])
        calls = gateway.calls_by_request_id["r"]
        assert calls.sent >= len(arrivals)
        assert calls.grants == gateway.budgets.granted
        accepted = [item for item in arrivals if item.is_prefill and item.is_accepted]
        assert calls.sent - calls.grants <= 1 + len(accepted[:1])

    @pytest.mark.parametrize("seed", range(5))
    def test_repeated_calls_of_many_requests_stay_within_the_budget(self, seed):
        random = Random(seed)
        arriving = [outcome for outcome in Outcome if outcome not in NEVER_ARRIVES]
        outcomes = (
            (random.choice(arriving * 3 + [*Outcome]), random.random() < 0.1)
            for _ in range(100_000)
        )
        gateway = Gateway(outcomes, engines_per_role=20)
        gateway.budgets.settings = BUDGET
        sent_at = []
        for number in range(1000):
            gateway.budgets.share.lease_renewed(gateway.timers.boot_time())
            sent_at.append(gateway.timers.now())
            gateway.start(f"r{number}")
            gateway.timers.advance(random.choice([0.0, 0.02, 0.1]))
        gateway.timers.advance(5.0)
        repeated_at = [item.at for item in all_repeats(gateway)]
        assert len(repeated_at) > BUDGET.ratio * len(sent_at) / 2
        assert describe_excess(repeated_at, sent_at, BUDGET) is None
