"""Leases, watches and lost history of ``KeyspaceStore``, in virtual time."""

import pytest

from pimentolink.keyspacestore import KeyspaceStore
from pimentolink.memorykeyspace import MemoryKeyspace
from pimentolink.timers import ManualTimers

LEASE = 5.0


class Processes:
    """Two processes that share one keyspace."""

    def __init__(self):
        self.timers = ManualTimers()
        self.keyspace = MemoryKeyspace(self.timers)
        self.first = KeyspaceStore(self.keyspace, self.timers)
        self.second = KeyspaceStore(self.keyspace, self.timers)

    def hold(self, store, holder):
        return store.hold_lease("k", holder, LEASE).result


@pytest.fixture
def processes():
    return Processes()


class TestLease:
    def test_is_refused_to_another_process(self, processes):
        assert processes.hold(processes.first, "one") is True
        assert processes.hold(processes.second, "two") is False

    def test_goes_on_as_long_as_it_is_renewed(self, processes):
        for _ in range(5):
            assert processes.hold(processes.first, "one") is True
            processes.timers.advance(LEASE - 1)
        assert processes.hold(processes.second, "two") is False

    def test_passes_on_once_it_has_lapsed(self, processes):
        assert processes.hold(processes.first, "one") is True
        processes.timers.advance(LEASE + 1)
        assert processes.hold(processes.second, "two") is True
        assert processes.hold(processes.first, "one") is False


class TestWatch:
    def test_value_is_read_when_history_is_lost(self, processes):
        revision = processes.first.compare_and_swap("k", b"1", 0).result
        waiting = processes.first.watch("k", revision, 5.0)
        processes.second.compare_and_swap("other", b"1", 0)
        processes.keyspace.compact()
        assert waiting.result[:2] == (b"1", revision)

    def test_removal_is_told(self, processes):
        revision = processes.first.compare_and_swap("k", b"1", 0).result
        waiting = processes.first.watch("k", revision, 5.0)
        processes.keyspace.remove("k")
        assert waiting.result.data is None

    def test_wait_ends_with_the_value_as_it_is(self, processes):
        revision = processes.first.compare_and_swap("k", b"1", 0).result
        waiting = processes.first.watch("k", revision, 5.0)
        processes.timers.advance(5.1)
        assert waiting.result[:2] == (b"1", revision)
