"""Tests of the checks of the configuration soak, and a run of it with one seed."""

import pytest

from tests import soak_configuration
from tests.soak_configuration import Interval, Probe, problems

INTERVALS = [Interval(5, 10.0, 11.0)]


def probe(version, status, at=10.5, life=1):
    return Probe("g", life, version, status, at)


class TestPlantedFaults:
    def test_newest_version_passes(self):
        assert problems([probe(5, 200), probe(4, 404)], INTERVALS) == []

    def test_added_route_that_is_refused(self):
        assert problems([probe(5, 404)], INTERVALS)
        assert problems([probe(5, 404, at=9.9)], INTERVALS) == []

    def test_dropped_route_that_is_served(self):
        assert problems([probe(4, 200)], INTERVALS)

    def test_return_to_an_older_version(self):
        newer_then_older = [probe(3, 200, 1.0), probe(2, 200, 2.0)]
        assert problems(newer_then_older, [])
        assert problems([newer_then_older[0], probe(2, 200, 2.0, life=2)], []) == []


# Guards against watches that are lost without a failed call.
@pytest.mark.parametrize("seed", [1])
def test_seed(seed):
    assert soak_configuration.play(seed) == []
