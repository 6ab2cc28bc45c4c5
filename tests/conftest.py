import pytest

from tools.fleet import Fleet


@pytest.fixture
def fleet():
    with Fleet() as running:
        yield running
        faults = running.faults()
    assert faults == []
