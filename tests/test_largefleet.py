"""Decisions over far more engines than are compared for one of them."""

import pytest

from pimentolink.dialect import PromptPart
from pimentolink.fleet import MAX_COMPARED
from pimentolink.gatewaysettings import PlacementSettings
from pimentolink.placement import WaitingPrompt
from pimentolink.targetestimate import EngineRole
from tests.gatewayparts import MODEL, fleet, placer_over, target

READERS, WRITERS = 2_000, 1_000
PARTS = (PromptPart(1, 5_000), PromptPart(2, 100))


@pytest.fixture
def known():
    readers = [target(f"r{n}", EngineRole.PREFILL) for n in range(READERS)]
    writers = [target(f"w{n}", EngineRole.DECODE) for n in range(WRITERS)]
    return fleet(*readers, *writers)


def prompt(parts=PARTS):
    return WaitingPrompt("a", "s", parts, 5_100, 1.0, 0.0, 0.8, 0.8, 6.0)


class TestSample:
    def test_decision_compares_a_bounded_number_of_each_role(self, known):
        found = known.usable("s", 0.0)
        roles = [estimate.target.role for estimate in found]
        assert roles.count(EngineRole.PREFILL) == MAX_COMPARED
        assert roles.count(EngineRole.DECODE) == MAX_COMPARED

    def test_every_engine_gets_its_turn(self, known):
        seen = {
            estimate.target.target_id
            for _ in range(600)
            for estimate in known.usable("s", 0.0)
        }
        assert len(seen) == READERS + WRITERS

    def test_last_usable_engine_is_found(self, known):
        for estimate in known.of_service("s"):
            if estimate.target.target_id != "r1234":
                estimate.missing_since = 0.0
        found = known.usable("s", 0.0)
        assert [estimate.target.target_id for estimate in found] == ["r1234"]


class TestHolders:
    def test_engine_that_holds_the_prompt_is_always_compared(self, known):
        known.targets_by_id["r1234"].start_prefill("t", 5_100, PARTS, 0.0)
        known.targets_by_id["r1234"].end_prefill("t", True, 0.0)
        placer = placer_over(known, PlacementSettings())
        for _ in range(50):
            placement = placer.best(prompt(), 0.0)
            assert placement.held_tokens == 5_099
            assert placement.estimate.target.target_id == "r1234"

    def test_engine_with_more_of_the_prompt_comes_first(self, known):
        for number in range(40):
            known.targets_by_id[f"r{number}"].fetched(PARTS[:1])
        known.targets_by_id["r1999"].fetched(PARTS)
        found = known.usable("s", 0.0, PARTS)
        assert found[0].target.target_id == "r1999"

    def test_engine_that_is_gone_is_no_holder(self, known):
        known.targets_by_id["r7"].fetched(PARTS)
        known.remove("r7")
        found = known.usable("s", 0.0, PARTS)
        assert all(estimate.target.target_id != "r7" for estimate in found)


class TestRoles:
    def test_engine_of_another_role_is_found_there(self, known):
        known.put(target("r1", EngineRole.DECODE))
        assert len(known.of_service("s")) == READERS + WRITERS
        known.put(target("r1", EngineRole.PREFILL))
        assert len(known.of_service("s")) == READERS + WRITERS


class TestModel:
    def test_engine_listed_before_its_service_is_told_remembers_parts(self):
        known = fleet()
        known.set_models({})
        estimate = known.put(target("early", EngineRole.DECODE))
        known.set_models({"s": MODEL})
        estimate.fetched(PARTS)
        assert estimate.parts.held_tokens(PARTS) == 5_100
