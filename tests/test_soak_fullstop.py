"""Short runs of the soak that ends with a full stop of all gateways."""

import pytest

from tests import soak, soak_fullstop


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_service_is_back_in_time_after_a_full_stop(seed, monkeypatch):
    monkeypatch.setattr(soak, "FAULTS_FOR", 3.0)
    assert soak_fullstop.play_seed(seed) == []
