"""Replays of load patterns in virtual time, with and without each mechanism."""

from functools import lru_cache
from math import sqrt
from statistics import mean, stdev

import pytest

from tools.replay import LOADS, POLICIES, Crowd, read_load, replay

LOAD_NAMES = sorted(path.stem for path in LOADS.glob("*.json"))
SEEDS = range(1, 9)


@lru_cache
def replay_load(load, policy, seed=1):
    return replay(read_load(load), policy, seed)


def gain(load, without):
    """Return how much more worth the current policy earns than another one."""
    return replay_load(load, "current").worth - replay_load(load, without).worth


def is_beyond_noise(differences):
    """Check that the mean of differences exceeds zero by two standard errors."""
    return mean(differences) > 2 * stdev(differences) / sqrt(len(differences))


class TestLoads:
    @pytest.mark.parametrize("load", LOAD_NAMES)
    def test_a_replay_repeats(self, load):
        assert replay(read_load(load), "current") == replay_load(load, "current")

    @pytest.mark.parametrize("load", LOAD_NAMES)
    @pytest.mark.parametrize("baseline", ["round robin", "least in flight"])
    def test_more_is_earned_than_by_a_baseline(self, load, baseline):
        assert gain(load, baseline) > 0.15

    @pytest.mark.parametrize("load", LOAD_NAMES)
    def test_no_kind_and_no_size_is_starved(self, load):
        found = replay_load(load, "current")
        assert min(found.worth_by_kind.values()) > 0.5 * found.worth
        assert found.large_served > 0.5

    @pytest.mark.parametrize("load", LOAD_NAMES)
    def test_nothing_is_left_until_its_time_is_over(self, load):
        crashed = 0.02 if load == "crash" else 0.0
        assert replay_load(load, "current").failed <= crashed


class TestMechanisms:
    def test_calm_load_is_served_nearly_whole(self):
        found = replay_load("calm", "current")
        assert found.worth > 0.95
        assert found.refused < 0.01

    def test_waiting_here_earns_more_than_waiting_at_engines(self):
        assert gain("overload", "nothing waits") > 0.07

    @pytest.mark.parametrize("load", ["bursts", "crash", "overload"])
    def test_refusing_in_time_earns_more_than_serving_late(self, load):
        assert gain(load, "nothing refused") > 0.07

    def test_a_price_on_engine_time_earns_more(self):
        differences = [
            replay_load("bursts", "current", seed).worth
            - replay_load("bursts", "no price on engine time", seed).worth
            for seed in SEEDS
        ]
        assert is_beyond_noise(differences)

    @pytest.mark.parametrize("load", ["lossy-news", "many-gateways"])
    def test_a_price_on_engine_time_keeps_parts_where_they_are(self, load):
        """Without the price, engine after engine prefills the shared parts again."""
        differences = [
            replay_load(load, "no price on engine time", seed).reread
            - replay_load(load, "current", seed).reread
            for seed in SEEDS
        ]
        assert is_beyond_noise(differences)

    @pytest.mark.parametrize("load", LOAD_NAMES)
    def test_gateways_that_tell_each_other_earn_more(self, load):
        assert gain(load, "gateways tell nothing") > 0.15

    def test_gateways_that_know_their_own_links_earn_more(self):
        assert gain("slow-links", "links unknown") > 0.05


class TestManyGateways:
    def test_shared_knowledge_loses_little_against_one_gateway(self):
        load = read_load("many-gateways")
        alone = replay(type(load)(**{**_fields(load), "gateways": 1}), "current")
        assert replay_load("many-gateways", "current").worth > alone.worth - 0.05


def _fields(load):
    return {name: getattr(load, name) for name in load.__struct_fields__}


def test_every_policy_can_be_played():
    load = read_load("calm")
    for policy in POLICIES:
        assert 0 <= replay(load, policy).worth <= 1


class TestCrowds:
    """
    Load pattern: for some seconds all new connections go to one gateway.

    Some engines are lost meanwhile, so that the gateway has to learn of each by itself.
    """

    # Of the share of requests that are answered at the first attempt without a crowd.
    LEAST_SHARE = 0.75

    @pytest.mark.parametrize(
        "name, begins", [("bursts", 8.0), ("crashes/herd-lost", 8.0)]
    )
    def test_one_gateway_answers_nearly_as_many(self, name, begins):
        load, ends = read_load(name), begins + 6.0
        fields = _fields(load) | {"crowds": [Crowd(begins, ends)]}
        crowded = replay(type(load)(**fields), "current").at_once
        usual = replay_load(name, "current").at_once
        seconds = range(int(begins) + 3, int(ends))
        found = sum(crowded[second] for second in seconds)
        assert found >= self.LEAST_SHARE * sum(usual[second] for second in seconds)


class TestFatalRequests:
    """Loads with requests that crash each engine that starts to decode them."""

    def test_one_of_them_takes_few_engines(self):
        found = replay_load("crashes/one-fatal-request", "current")
        assert found.crashed <= 4
        assert gain("crashes/one-fatal-request", "nothing suspected") > 0.3

    @pytest.mark.parametrize("seed", [1, 2])
    def test_part_that_they_share_takes_few_engines(self, seed):
        found = replay_load("crashes/fatal-part", "current", seed)
        assert found.crashed <= 5
        assert found.mistaken <= 1 / 100

    def test_ten_of_them_take_less_than_without_suspicion(self):
        found = replay_load("crashes/ten-fatal-requests", "current")
        assert found.crashed <= 30
        assert gain("crashes/ten-fatal-requests", "nothing suspected") > 0.1

    @pytest.mark.parametrize("load", ["engines-lost-alone", "halls-lost", "herd-lost"])
    @pytest.mark.parametrize("seed", [1, 2])
    def test_engines_lost_by_no_request_turn_nearly_nobody_away(self, load, seed):
        found = replay(read_load(f"crashes/{load}"), "current", seed)
        assert found.mistaken <= 1 / 500
