"""Placement in a fleet with many more engines than candidates per decision."""

import pytest

from pimentolink.dialect import PromptPart
from pimentolink.fleet import MAX_CANDIDATES
from pimentolink.gatewaysettings import PlacementSettings
from pimentolink.placement import WaitingPrompt
from pimentolink.targetestimate import EngineRole
from tests.gatewaybuilders import MODEL, fleet, make_placer, target

PREFILL_ENGINES, DECODE_ENGINES = 2_000, 1_000
PARTS = (PromptPart(1, 5_000), PromptPart(2, 100))


@pytest.fixture
def large_fleet():
    prefill_engines = [
        target(f"r{n}", EngineRole.PREFILL) for n in range(PREFILL_ENGINES)
    ]
    decode_engines = [target(f"w{n}", EngineRole.DECODE) for n in range(DECODE_ENGINES)]
    return fleet(*prefill_engines, *decode_engines)


def prompt(parts=PARTS):
    return WaitingPrompt("a", "s", parts, 5_100, 1.0, 0.0, 0.8, 0.8, 6.0)


class TestSample:
    def test_decision_compares_a_bounded_number_of_each_role(self, large_fleet):
        usable = large_fleet.usable("s", 0.0)
        roles = [estimate.target.role for estimate in usable]
        assert roles.count(EngineRole.PREFILL) == MAX_CANDIDATES
        assert roles.count(EngineRole.DECODE) == MAX_CANDIDATES

    def test_every_engine_gets_its_turn(self, large_fleet):
        seen_ids = {
            estimate.target.target_id
            for _ in range(600)
            for estimate in large_fleet.usable("s", 0.0)
        }
        assert len(seen_ids) == PREFILL_ENGINES + DECODE_ENGINES

    def test_last_usable_engine_is_found(self, large_fleet):
        for estimate in large_fleet.of_service("s"):
            if estimate.target.target_id != "r1234":
                estimate.missing_since = 0.0
        usable = large_fleet.usable("s", 0.0)
        assert [estimate.target.target_id for estimate in usable] == ["r1234"]


class TestHolders:
    def test_engine_that_holds_the_prompt_is_always_compared(self, large_fleet):
        large_fleet.targets_by_id["r1234"].start_prefill("t", 5_100, PARTS, 0.0)
        large_fleet.targets_by_id["r1234"].end_prefill("t", True, 0.0)
        placer = make_placer(large_fleet, PlacementSettings())
        for _ in range(50):
            placement = placer.choose_placement(prompt(), 0.0)
            assert placement.cached_tokens == 5_099
            assert placement.estimate.target.target_id == "r1234"

    def test_engine_with_more_of_the_prompt_comes_first(self, large_fleet):
        for number in range(40):
            large_fleet.targets_by_id[f"r{number}"].fetched(PARTS[:1])
        large_fleet.targets_by_id["r1999"].fetched(PARTS)
        usable = large_fleet.usable("s", 0.0, PARTS)
        assert usable[0].target.target_id == "r1999"

    def test_engine_that_is_gone_is_no_holder(self, large_fleet):
        large_fleet.targets_by_id["r7"].fetched(PARTS)
        large_fleet.remove("r7")
        usable = large_fleet.usable("s", 0.0, PARTS)
        assert all(estimate.target.target_id != "r7" for estimate in usable)


class TestRoles:
    def test_engine_of_another_role_is_found_there(self, large_fleet):
        large_fleet.put(target("r1", EngineRole.DECODE))
        assert len(large_fleet.of_service("s")) == PREFILL_ENGINES + DECODE_ENGINES
        large_fleet.put(target("r1", EngineRole.PREFILL))
        assert len(large_fleet.of_service("s")) == PREFILL_ENGINES + DECODE_ENGINES


class TestModel:
    def test_engine_listed_before_its_service_is_told_remembers_parts(self):
        large_fleet = fleet()
        large_fleet.set_models({})
        estimate = large_fleet.put(target("early", EngineRole.DECODE))
        large_fleet.set_models({"s": MODEL})
        estimate.fetched(PARTS)
        assert estimate.parts.cached_tokens(PARTS) == 5_100
