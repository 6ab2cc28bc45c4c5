"""Configuration changes by compare-and-swap and their distribution as patches."""

import msgspec
import pytest
from result import Ok
from twisted.internet.defer import Deferred

from pimentolink.adoption import Adoption
from pimentolink.configstore import (
    CONFIGURATION_KEY,
    ConfigurationHead,
    ConfigurationStore,
)
from pimentolink.configuration import check
from pimentolink.errors import ConfigurationConflict, KeyValueUnavailable
from pimentolink.kvstore import MemoryStore
from pimentolink.logs import Log
from tests.builders import configuration


def result_of(coroutine):
    """Return the result of a coroutine that completes without waiting."""
    outcome = []
    Deferred.fromCoroutine(coroutine).addBoth(outcome.append)
    if hasattr(outcome[0], "raiseException"):
        outcome[0].raiseException()
    return outcome[0]


def valid_configuration(role="mixed"):
    document = configuration()
    document["targets"]["engine-1"]["role"] = role
    return check(document).unwrap()


def replace(store, role, against, change_id):
    return result_of(
        store.replace(valid_configuration(role), against, change_id, "a", "now")
    )


class TestReplace:
    def test_loser_of_a_race_is_told_against_what(self):
        store = ConfigurationStore(MemoryStore())
        assert isinstance(replace(store, "mixed", 0, "one"), Ok)
        lost = replace(store, "decode", 0, "two")
        assert isinstance(lost.err_value, ConfigurationConflict)
        assert lost.err_value.change_id == "one"

    def test_lost_answer_is_recognised_as_the_own_write(self):
        memory = MemoryStore()
        store = ConfigurationStore(memory)
        replace(store, "mixed", 0, "one")
        swap = memory.compare_and_swap

        def lose_answer(key, data, revision):
            memory.answers_to_lose = int(key == CONFIGURATION_KEY)
            return swap(key, data, revision)

        memory.compare_and_swap = lose_answer
        assert replace(store, "decode", 1, "two").unwrap().version == 2

    def test_outage_raises(self):
        memory = MemoryStore()
        memory.set_down(True)
        with pytest.raises(KeyValueUnavailable):
            replace(ConfigurationStore(memory), "mixed", 0, "one")

    def test_history_goes_back_to_the_first(self):
        store = ConfigurationStore(MemoryStore())
        for against, role in enumerate(("mixed", "decode", "prefill")):
            replace(store, role, against, f"change-{against}")
        versions = [item.version for item in result_of(store.history(9))]
        assert versions == [3, 2, 1]


class TestPatch:
    def head(self, memory):
        return msgspec.json.decode(
            memory._read(CONFIGURATION_KEY).data, type=ConfigurationHead
        )

    def test_patch_leads_to_the_whole_document(self):
        memory = MemoryStore()
        store = ConfigurationStore(memory)
        adoption = Adoption(Log())
        replace(store, "decode", 0, "one")
        adoption.offer(memory._read("pimentolink/configurations/one").data)
        replace(store, "mixed", 1, "two")
        head = self.head(memory)
        assert len(head.patch) < len(adoption.document) / 2
        assert adoption.offer_patch(bytes(head.patch), 2, head.digest)
        whole = memory._read("pimentolink/configurations/two").data
        assert adoption.document == whole

    def test_gap_and_wrong_digest_ask_for_the_whole(self):
        memory = MemoryStore()
        store = ConfigurationStore(memory)
        adoption = Adoption(Log())
        replace(store, "mixed", 0, "one")
        assert not adoption.offer_patch(b"{}", 2, "")
        adoption.offer(memory._read("pimentolink/configurations/one").data)
        assert not adoption.offer_patch(b"{}", 2, "other")
        assert not adoption.offer_patch(b"{}", 3, "")
        assert adoption.version == 1
