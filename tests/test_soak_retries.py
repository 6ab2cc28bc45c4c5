"""Tests of the retry soak's budget check, and one seed of the soak."""

import pytest

from tests import soak_retries
from tests.soak import Asked, Ran
from tests.soak_retries import WINDOW, problems_of_retries


def asked(count, at=0.0):
    return [Asked(f"r{n}", "read", 200, True, b"", at) for n in range(count)]


def ran(count, at=0.0):
    return [Ran("t", "run", f"r{n}", at, 0) for n in range(count)]


class TestProblemsOfRetries:
    def test_retries_within_the_budget_pass(self):
        # The budget is 0.2 * 20 requests + slack of 36 = 40 retries.
        assert problems_of_retries(asked(20), 3 * ran(20)) == []

    def test_one_retry_beyond_the_budget_is_reported(self):
        arrivals = 3 * ran(20) + ran(1)
        (found,) = problems_of_retries(asked(20), arrivals)
        assert found == "41 retries for 20 requests, 40.0 allowed"

    def test_retries_of_separate_windows_are_not_summed(self):
        arrivals = ran(20) + ran(20, 0.1) + ran(20, 0.1 + WINDOW) + ran(5, 0.2)
        assert problems_of_retries(asked(20), arrivals) == []

    def test_requests_of_the_previous_window_count(self):
        requests = asked(20, -WINDOW / 2)
        assert problems_of_retries(requests, 3 * ran(20)) == []
        early = asked(20, -2 * WINDOW)
        assert problems_of_retries(early, 3 * ran(20))[0].startswith("40 retries for 0")


# Guards against restarted gateways using their part of the slack again.
@pytest.mark.parametrize("seed", [5])
def test_seed(seed):
    assert soak_retries.play(seed) == []
