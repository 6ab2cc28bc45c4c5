"""Crashes of suspects outlive the gateways that recorded them."""

from random import Random

import pytest
from hypothesis import given, settings

from pimentolink.crashhistory import CRASH_TTL, FAILED_TRIAL_QUARANTINE
from pimentolink.crashreports import CrashReports
from pimentolink.failedtests import FAILED_TRAIT_QUARANTINE
from pimentolink.keyspace import Change
from pimentolink.memorykeyspace import MemoryKeyspace
from pimentolink.peermessages import SuspectCleared, TargetCrashed
from pimentolink.retry import Backoff
from pimentolink.suspects import SuspectTracker
from pimentolink.suspectstore import (
    BATCH_DELAY,
    MAX_DOCUMENT_MESSAGES,
    RELAYED_WRITE_DELAY,
    RELAYED_WRITE_JITTER,
    SUSPECT_PREFIX,
    SuspectStore,
)
from pimentolink.timers import ManualTimers
from tests.jsonvalues import DOCUMENTS

FATAL, OTHER = "f" * 32, "0" * 32
TRAIT, OTHER_TRAIT = "p" + "e" * 32, "p" + "d" * 32


class Gateway:
    """One gateway's suspects and their documents, in a store shared with others."""

    def __init__(self, name, keyspace, timers):
        self.keyspace, self.timers, self.lines = keyspace, timers, []
        self.suspects = SuspectTracker(Random(name))
        self.reports = CrashReports(self.suspects, self, timers, self)
        self.store = SuspectStore(
            name,
            keyspace,
            self.suspects,
            timers,
            Backoff(0.1, 1.0, Random(name)),
            Random(name),
            self,
        )
        self.store.on_message = self.reports.receive
        self.reports.on_crash_recorded = self.store.crash_recorded
        self.reports.on_cleared = self.store.cleared

    def broadcast(self, message):
        pass

    def write(self, event, **fields):
        self.lines.append((event.number, fields))

    def receive_crash(self, target, *names, depth=1):
        depths = [depth] * len(names)
        self.reports.receive(TargetCrashed(target, list(names), False, depths), "peer")

    def detect_crash(self, target, *names):
        now = self.timers.now()
        self.store.crash_recorded(bool(self.suspects.record_crash(target, names, now)))

    def read_documents(self):
        for item in documents(self.keyspace):
            self.store.key_changed(Change(item.key, item.value, item.revision))

    def crashes(self, name=FATAL):
        return sorted(self.suspects.crashes(name, self.timers.now()))


def documents(keyspace):
    found = []
    keyspace.read_all(SUSPECT_PREFIX).addCallback(lambda all_: found.extend(all_.items))
    return found


class World:
    def __init__(self):
        self.timers = ManualTimers()
        self.keyspace = MemoryKeyspace(self.timers)

    def gateway(self, name):
        return Gateway(name, self.keyspace, self.timers)


@pytest.fixture
def world():
    return World()


class TestWriting:
    def test_one_crash_costs_no_call(self, world):
        gateway = world.gateway("g1")
        gateway.detect_crash(1, FATAL, OTHER)
        world.timers.advance(10.0)
        assert world.keyspace.revision == 0

    def test_suspect_is_known_to_a_gateway_that_starts_later(self, world):
        gateway = world.gateway("g1")
        gateway.receive_crash(1, FATAL, OTHER)
        gateway.detect_crash(2, FATAL)
        world.timers.advance(BATCH_DELAY)
        later = world.gateway("g2")
        later.read_documents()
        assert later.crashes() == [1, 2]
        assert later.crashes(OTHER) == []

    def test_who_is_to_blame_is_known_to_it_too(self, world):
        gateway = world.gateway("g1")
        for target in (1, 2):
            gateway.detect_crash(target, FATAL)
        world.timers.advance(1.0)
        gateway.reports.receive(TargetCrashed(3, [FATAL], True), "peer")
        world.timers.advance(RELAYED_WRITE_DELAY + RELAYED_WRITE_JITTER)
        later = world.gateway("g2")
        later.read_documents()
        assert (
            later.suspects.remaining_quarantine(FATAL, world.timers.now())
            >= FAILED_TRIAL_QUARANTINE
        )

    def test_trait_to_blame_is_known_after_a_restart(self, world):
        gateway = world.gateway("g1")
        for target in (1, 2, 3, 4):
            gateway.receive_crash(target, TRAIT, depth=target)
        gateway.reports.receive(TargetCrashed(4, [TRAIT], True), "peer")
        world.timers.advance(RELAYED_WRITE_DELAY + RELAYED_WRITE_JITTER)
        later = world.gateway("g2")
        later.read_documents()
        now = world.timers.now()
        assert later.crashes(TRAIT) == [1, 2, 3, 4]
        assert later.suspects.is_suspect(TRAIT, now)
        wait = later.suspects.remaining_quarantine(TRAIT, now)
        assert wait >= FAILED_TRAIT_QUARANTINE

    def test_test_is_stored_as_a_whole(self, world):
        """One trait of it would be blamed alone by those that read a part."""
        gateway = world.gateway("g1")
        tested = [TRAIT, OTHER_TRAIT]
        for target in (1, 2, 3, 4):
            gateway.receive_crash(target, *tested, depth=target)
        gateway.reports.receive(TargetCrashed(4, tested, True), "peer")
        world.timers.advance(RELAYED_WRITE_DELAY + RELAYED_WRITE_JITTER)
        gateway.receive_crash(4, TRAIT, depth=5)
        gateway.receive_crash(5, OTHER)
        world.timers.advance(RELAYED_WRITE_DELAY + RELAYED_WRITE_JITTER)
        later = world.gateway("g2")
        later.read_documents()
        for name in tested:
            assert later.suspects.is_blamed(name, 4)

    def test_between_cells_the_first_crash_is_known(self, world):
        gateway = world.gateway("g1")
        gateway.store.has_several_cells = lambda: True
        gateway.detect_crash(1, FATAL)
        world.timers.advance(BATCH_DELAY)
        later = world.gateway("g2")
        later.read_documents()
        assert later.crashes() == [1]

    def test_documents_of_several_gateways_add_up(self, world):
        first, second = world.gateway("g1"), world.gateway("g2")
        for gateway, targets in ((first, (1, 2)), (second, (2, 3))):
            for target in targets:
                gateway.detect_crash(target, FATAL)
        world.timers.advance(1.0)
        later = world.gateway("g3")
        later.read_documents()
        assert later.crashes() == [1, 2, 3]

    def test_who_only_heard_writes_if_nobody_else_has(self, world):
        heard = world.gateway("g2")
        for target in (1, 2):
            heard.receive_crash(target, FATAL)
        world.timers.advance(0.9 * RELAYED_WRITE_DELAY)
        assert documents(world.keyspace) == []
        world.timers.advance(0.1 * RELAYED_WRITE_DELAY + RELAYED_WRITE_JITTER)
        assert len(documents(world.keyspace)) == 1

    def test_who_only_heard_leaves_it_to_who_saw(self, world):
        saw, heard = world.gateway("g1"), world.gateway("g2")
        for gateway in (saw, heard):
            gateway.receive_crash(1, FATAL)
        saw.detect_crash(2, FATAL)
        heard.receive_crash(2, FATAL)
        world.timers.advance(BATCH_DELAY)
        heard.read_documents()
        world.timers.advance(RELAYED_WRITE_DELAY + RELAYED_WRITE_JITTER)
        assert len(documents(world.keyspace)) == 1

    def test_store_that_is_away_is_written_when_it_is_back(self, world):
        gateway = world.gateway("g1")
        world.keyspace.is_down = True
        for target in (1, 2):
            gateway.detect_crash(target, FATAL)
        world.timers.advance(5.0)
        assert any(number == "E1422" for number, _ in gateway.lines)
        world.keyspace.is_down = False
        world.timers.advance(2.0)
        later = world.gateway("g2")
        later.read_documents()
        assert later.crashes() == [1, 2]

    def test_lost_answer_of_a_write_is_made_up_for(self, world):
        gateway = world.gateway("g1")
        world.keyspace.answers_to_lose = 1
        for target in (1, 2):
            gateway.detect_crash(target, FATAL)
        world.timers.advance(3.0)
        gateway.detect_crash(3, FATAL)
        world.timers.advance(3.0)
        later = world.gateway("g2")
        later.read_documents()
        assert later.crashes() == [1, 2, 3]

    def test_documents_lapse(self, world):
        gateway = world.gateway("g1")
        for target in (1, 2):
            gateway.detect_crash(target, FATAL)
        world.timers.advance(CRASH_TTL + 1.0)
        assert documents(world.keyspace) == []


class TestClearing:
    @pytest.mark.parametrize("is_cleared_first", [True, False])
    def test_holds_in_whichever_order_it_is_read(self, world, is_cleared_first):
        names = ["b", "a"] if is_cleared_first else ["a", "b"]
        saw, answered = (world.gateway(name) for name in names)
        for target in (1, 2):
            saw.detect_crash(target, FATAL)
        world.timers.advance(BATCH_DELAY)
        answered.read_documents()
        answered.store.cleared(SuspectCleared(FATAL, [1, 2]))
        world.timers.advance(BATCH_DELAY)
        later = world.gateway("g3")
        later.read_documents()
        assert later.crashes() == []

    def test_while_the_store_is_away_is_bounded_and_written_later(self, world):
        gateway = world.gateway("g1")
        world.keyspace.is_down = True
        for number in range(2 * MAX_DOCUMENT_MESSAGES):
            gateway.store.cleared(SuspectCleared(f"{number:032x}", [1]))
        world.timers.advance(5.0)
        world.keyspace.is_down = False
        world.timers.advance(5.0)
        later = world.gateway("g2")
        later.read_documents()
        newest = f"{2 * MAX_DOCUMENT_MESSAGES - 1:032x}"
        assert later.suspects.record_crash(1, [newest], 0.0) == []
        assert world.keyspace.revision == 1


class TestForeignDocuments:
    @settings(max_examples=300, deadline=None)
    @given(DOCUMENTS)
    def test_whatever_is_written_changes_nothing(self, data):
        gateway = World().gateway("g1")
        gateway.store.key_changed(Change(SUSPECT_PREFIX + "x", data, 1))
        assert gateway.suspects.unstored(1, 0.0) == []
