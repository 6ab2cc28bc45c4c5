"""The breaker before the key-value service."""

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


class Site:
    def __init__(self):
        self.timers = ManualTimers()
        self.memory = MemoryStore()
        self.store = BreakerStore(self.memory, SETTINGS, self.timers, Random(1))

    def ask(self):
        outcome = []
        self.store.get("a").addBoth(outcome.append)
        return not hasattr(outcome[0], "value")


@pytest.fixture
def site():
    return Site()


def test_outage_costs_few_calls_and_ends_by_itself(site):
    site.memory.set_down(True)
    for _ in range(600):
        assert not site.ask()
        site.timers.advance(0.1)
    assert site.memory.calls <= 16
    site.memory.set_down(False)
    site.timers.advance(8.0)
    assert site.ask()
    assert not site.store.is_open


def test_single_failures_do_not_open_it(site):
    for _ in range(20):
        site.memory.set_down(True)
        assert not site.ask()
        site.memory.set_down(False)
        assert site.ask()
    assert not site.store.is_open


def test_one_call_at_a_time_tries_an_open_one(site):
    site.memory.set_down(True)
    for _ in range(3):
        site.ask()
    site.timers.advance(2.0)
    before = site.memory.calls
    for _ in range(10):
        site.ask()
    assert site.memory.calls == before + 1
