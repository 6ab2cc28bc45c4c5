"""Tests of the files in ``tests/days`` and of the parser of the benchmark's output."""

import tomllib

import pytest

from tests.playdays import DAYS, DayResult, UnsupportedDay, parse_result, run_day

TABLE = "day   own/srv  score  worth served refused failed  weakest part\n"


class TestDays:
    def test_each_is_one_day_named_like_its_file_with_a_seed_of_its_own(self):
        seeds = set()
        for path in DAYS.glob("*.toml"):
            (day,) = tomllib.loads(path.read_text())["day"]
            assert day["name"] == path.stem
            assert day.keys() & {"plan", "faults", "closing"}
            seeds.add(day["seed"])
        assert len(seeds) == len(list(DAYS.glob("*.toml")))


class TestReading:
    def test_day_without_a_broken_rule(self):
        text = (
            TABLE + "burst    14/12   0.43  0.432  0.666   0.132  0.054  worst class\n"
        )
        assert parse_result("burst", text) == DayResult("burst", 0.432, 0.666, "")

    def test_broken_rules_are_named(self):
        line = (
            "burst 14/12 0.00 0.114 0.550 0.027 0.285  worst  BROKEN: GONE 2 (else 0.1)"
        )
        assert parse_result("burst", TABLE + line).broken == "GONE 2"

    def test_day_that_was_not_played_is_an_error(self):
        with pytest.raises(
            ValueError, match="printed no result for burst: no such day"
        ):
            parse_result("burst", "no such day")


class TestPlay:
    def test_day_that_the_site_does_not_have_is_told_apart(self, tmp_path):
        bench = tmp_path / "bench"
        bench.write_text("#!/bin/sh\necho 'bench: flap: contract health is not open'\n")
        bench.chmod(0o755)
        assert run_day(str(bench), "site", tmp_path / "flap.toml") == UnsupportedDay(
            "flap"
        )
