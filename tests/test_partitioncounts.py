"""The number of claim partitions, agreed on through the store."""

import pytest
from result import Err
from twisted.internet.defer import Deferred

from pimentolink.claimtable import call_digest, partition_of
from pimentolink.errors import ClaimUnavailable
from pimentolink.kvstore import MemoryStore
from pimentolink.logs import Log
from pimentolink.partitioncounts import PartitionCounts
from tests.worlds import VirtualWorld


class Harness:
    def __init__(self):
        self.store = MemoryStore()

    def counts(self, configured):
        log = Log(instance="one", role="sidecar")
        return PartitionCounts(self.store, lambda service: configured, log)

    def find(self, counts):
        found = []
        Deferred.fromCoroutine(counts.find("dispatch")).addCallback(found.append)
        return found[0]


@pytest.fixture
def harness():
    return Harness()


class TestAgreement:
    def test_first_number_is_kept_by_all(self, harness):
        first = harness.counts(8)
        assert harness.find(first).ok_value == 8
        assert harness.find(harness.counts(16)).ok_value == 8
        assert harness.find(harness.counts(None)).ok_value == 8

    def test_number_is_read_once(self, harness):
        counts = harness.counts(8)
        harness.find(counts)
        before = harness.store.calls
        harness.find(counts)
        assert harness.store.calls == before

    def test_lost_answer_to_the_write_is_found_out_at_the_next_try(self, harness):
        harness.store.answers_to_lose = 1
        counts = harness.counts(8)
        assert isinstance(harness.find(counts).err_value, ClaimUnavailable)
        assert harness.find(counts).ok_value == 8

    def test_sidecar_without_a_configuration_refuses(self, harness):
        """Guards against a claim in a partition that nobody else looks at."""
        found = harness.find(harness.counts(None))
        assert isinstance(found.err_value, ClaimUnavailable)

    @pytest.mark.parametrize("data", [b"", b"{}", b'{"partitions": 0}'])
    def test_unreadable_number_refuses(self, harness, data):
        path = "pimentolink/claims/dispatch/partitions"
        harness.store.compare_and_swap(path, data, 0)
        found = harness.find(harness.counts(8))
        assert isinstance(found, Err)
        assert found.err_value.ran is False

    def test_outage_refuses_as_not_run(self, harness):
        harness.store.set_down(True)
        counts = harness.counts(8)
        assert harness.find(counts).err_value.ran is False
        harness.store.set_down(False)
        assert harness.find(counts).ok_value == 8


class TestChangedConfiguration:
    @pytest.mark.parametrize(("before", "after"), [(1, 8), (8, 1), (8, 7)])
    def test_call_that_ran_is_not_run_again(self, before, after):
        """Guards against a key that is looked up where nobody has claimed it."""
        world = VirtualWorld()
        world.document["services"]["dispatch"]["claim_partitions"] = before
        world._apply(world.document)
        world.start_entry("one", "north")
        key = _key_that_moves(before, after)
        world.send("first", "dispatch", "one", key, None)
        world.pass_time(5.0)
        assert world.is_outcome("first", "whole")
        world.document["services"]["dispatch"]["claim_partitions"] = after
        world._apply(world.document)
        for name in ("sidecar-dispatch-1", "sidecar-dispatch-2"):
            world.kill(name)
            world.restart(name)
        world.pass_time(20.0)
        world.send("second", "dispatch", "one", key, None)
        world.pass_time(20.0)
        assert world.runs("dispatch", key) == 1
        assert world.is_outcome("second", "unknown")


def _key_that_moves(before, after):
    """Find an idempotency key whose partition the change moves."""
    for number in range(1000):
        digest = call_digest("", "dispatch", f"key-{number}")
        if partition_of(digest, before) != partition_of(digest, after):
            return f"key-{number}"
    raise AssertionError("no key moves")
