"""Short runs of the soak with targets whose refusals are not true."""

import pytest

from tests import soak, soak_refusals


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_nothing_that_ran_is_refused(seed, monkeypatch):
    monkeypatch.setattr(soak, "FAULTS_FOR", 3.0)
    assert soak_refusals.play_seed(seed) == []
