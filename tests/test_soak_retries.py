"""Tests of the budget check of the retry soak, and a run of the soak with one seed."""

import pytest

from tests import soak_retries
from tests.soak import ClientRequest, TargetEvent
from tests.soak_retries import BUDGET, problems_of_retries


def client_requests(count, at=0.0):
    return [ClientRequest(f"r{n}", "read", 200, True, b"", at) for n in range(count)]


def target_events(count, at=0.0, event="run"):
    return [TargetEvent("t", event, f"r{n}", at, 0) for n in range(count)]


class TestProblemsOfRetries:
    def test_retries_within_the_budget_pass(self):
        # The budget is 0.2 * 20 requests + slack of 36 = 40 retries.
        assert problems_of_retries(client_requests(20), 3 * target_events(20)) == []

    def test_one_retry_beyond_the_budget_is_reported(self):
        arrivals = 3 * target_events(20) + target_events(1)
        (found,) = problems_of_retries(client_requests(20), arrivals)
        assert found == "41 retries for 20 requests, 40.0 allowed"

    def test_retries_of_separate_windows_are_not_summed(self):
        arrivals = (
            target_events(20)
            + target_events(20, 0.1)
            + target_events(20, 0.1 + BUDGET.window)
            + target_events(5, 0.2)
        )
        assert problems_of_retries(client_requests(20), arrivals) == []

    def test_requests_of_the_previous_window_count(self):
        requests = client_requests(20, -BUDGET.window / 2)
        assert problems_of_retries(requests, 3 * target_events(20)) == []
        early = client_requests(20, -2 * BUDGET.window)
        assert problems_of_retries(early, 3 * target_events(20))[0].startswith(
            "40 retries for 0"
        )

    def test_only_the_first_accepted_prefill_of_a_request_is_free(self):
        requests = client_requests(20)
        prefills = target_events(20, event="read")
        rejected = target_events(20, 0.1, event="reject")
        arrivals = rejected + prefills + 2 * target_events(20, 0.2)
        assert problems_of_retries(requests, arrivals) == []
        (found,) = problems_of_retries(requests, arrivals + prefills[:1])
        assert found == "41 retries for 20 requests, 40.0 allowed"


# Guards against a restarted gateway using its share of the slack a second time, and
# against calls without a grant while engines reject prefills.
@pytest.mark.parametrize("seed", [5])
def test_seed(seed):
    assert soak_retries.play(seed) == []
