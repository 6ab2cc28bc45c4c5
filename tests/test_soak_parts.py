"""Short runs of the soak with a part of a prompt that crashes engines."""

import pytest

from tests import soak, soak_parts


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_fatal_part_is_held_and_nothing_else(seed, monkeypatch):
    monkeypatch.setattr(soak, "FAULTS_FOR", 8.0)
    assert soak_parts.play_seed(seed) == []
