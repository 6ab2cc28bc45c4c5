"""Runs every scenario in each of the worlds that its header names."""

from pathlib import Path

import pytest

from tests.scenario import ScenarioError, load, parse, run
from tests.worlds import RealWorld, VirtualWorld

SCENARIOS = sorted(Path(__file__).parent.glob("scenarios/*.scenario"))
RUNS = [
    pytest.param(path, world, id=f"{path.stem}-{world}")
    for path in SCENARIOS
    for world in load(path).worlds
]


@pytest.mark.parametrize(("path", "world"), RUNS)
def test_scenario(path, world, request):
    if world == "virtual":
        run(load(path), VirtualWorld())
    else:
        run(load(path), RealWorld(request.getfixturevalue("fleet")))


class TestLanguage:
    def test_line_that_is_no_statement_is_told_with_what_was_expected(self):
        text = "runs virtual\nstart entry one in north\nexplode one\n"
        with pytest.raises(ScenarioError, match=r"^a\.scenario:3: expected .*KILL"):
            parse(text, "a.scenario")

    def test_missing_word_is_told(self):
        with pytest.raises(ScenarioError, match=r"^a\.scenario:2: expected"):
            parse("runs virtual\nsend a to\nkill b\n", "a.scenario")

    def test_broken_expectation_names_its_line(self):
        text = "runs virtual\nstart entry one in north\nexpect dispatch ran a 1 times\n"
        with pytest.raises(AssertionError, match=r"^a\.scenario:3"):
            run(parse(text, "a.scenario"), VirtualWorld())
