"""Tests of the circuit breaker of the key-value service."""

from random import Random

import pytest

from pimentolink.breaker import BreakerStore
from pimentolink.kvstore import MemoryStore
from pimentolink.settings import PlatformSettings
from pimentolink.timers import ManualTimers

SETTINGS = PlatformSettings(
    key_value="127.0.0.1:1",
    instance_list="127.0.0.1:2",
    breaker_failures=3,
    backoff_first=1.0,
    backoff_most=8.0,
)


class Harness:
    def __init__(self):
        self.timers = ManualTimers()
        self.memory = MemoryStore()
        self.store = BreakerStore(self.memory, SETTINGS, self.timers, Random(1))

    def get_succeeds(self):
        outcome = []
        self.store.get("a").addBoth(outcome.append)
        return not hasattr(outcome[0], "value")


@pytest.fixture
def harness():
    return Harness()


def test_outage_costs_few_calls_and_ends_by_itself(harness):
    harness.memory.set_down(True)
    for _ in range(600):
        assert not harness.get_succeeds()
        harness.timers.advance(0.1)
    assert harness.memory.calls <= 16
    harness.memory.set_down(False)
    harness.timers.advance(8.0)
    assert harness.get_succeeds()
    assert not harness.store.is_open


def test_single_failures_do_not_open_it(harness):
    for _ in range(20):
        harness.memory.set_down(True)
        assert not harness.get_succeeds()
        harness.memory.set_down(False)
        assert harness.get_succeeds()
    assert not harness.store.is_open


def test_one_call_at_a_time_tries_an_open_one(harness):
    harness.memory.set_down(True)
    for _ in range(3):
        harness.get_succeeds()
    harness.timers.advance(2.0)
    before = harness.memory.calls
    for _ in range(10):
        harness.get_succeeds()
    assert harness.memory.calls == before + 1
