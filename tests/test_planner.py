"""Planning: few engines at a time, authority by compare-and-swap, roles by peaks."""

from random import Random

import msgspec
import pytest

from pimentolink.adoption import Adoption
from pimentolink.kvstore import MemoryStore
from pimentolink.logs import Log
from pimentolink.plan import Group, decode_plan
from pimentolink.planner import FixedRoles, Planner, TargetView
from pimentolink.roles import MixRoles, ThresholdRoles
from pimentolink.settings import PlannerSettings
from pimentolink.timers import ManualTimers
from tests.builders import configuration

GROUP = Group("claims", "east")
ENGINES = ("engine-1", "engine-2")


class Fleet:
    """What the planner is told of engines."""

    def __init__(self):
        self.serving = set(ENGINES)
        self.settled = dict.fromkeys(ENGINES, 0)
        self.ejected = set()

    def view(self, names):
        return [
            TargetView(
                name,
                name in self.serving,
                "mixed",
                self.settled[name],
                0,
                0,
                0,
                name in self.ejected,
            )
            for name in names
        ]


class Site:
    def __init__(self):
        self.timers = ManualTimers()
        self.store = MemoryStore()
        self.fleet = Fleet()
        self.version = 0

    def planner(self, name, role="mixed", random=None):
        adoption = Adoption(Log())
        self.offer(adoption, role)
        return Planner(
            PlannerSettings(),
            name,
            "north",
            self.store,
            adoption,
            self.fleet,
            FixedRoles(),
            self.timers,
            random or Random(1),
            Log(),
        )

    def offer(self, adoption, role):
        self.version += 1
        document = configuration()
        for name in ENGINES:
            document["targets"][name]["role"] = role
        accepted = {
            "version": self.version,
            "change_id": "x",
            "author": "a",
            "applied_at": "",
            "configuration": document,
        }
        adoption.offer(msgspec.json.encode(accepted))

    @property
    def plan(self):
        return decode_plan(self.store._read(GROUP.plan_key).data)


@pytest.fixture
def site():
    return Site()


class Slowest(Random):
    """Draws the longest pause each time."""

    def uniform(self, low, high):
        return high


class TestTakeover:
    def test_duty_is_taken_over_within_half_a_minute_of_its_holders_loss(self, site):
        first = site.planner("one")
        first.look()
        second = site.planner("two", random=Slowest())
        second.look()
        plan_before = site.plan.number
        site.store.lapse("one")
        site.fleet.settled["engine-1"] = plan_before
        site.timers.advance(31.0)
        second.look()
        assert site.plan.number > plan_before


class TestFewAtATime:
    def test_second_engine_waits_for_the_first(self, site):
        planner = site.planner("one")
        planner.look()
        assert list(site.plan.wanted_by_target) == ["engine-1"]
        planner.look()
        assert list(site.plan.wanted_by_target) == ["engine-1"]
        site.fleet.settled["engine-1"] = site.plan.number
        planner.look()
        assert set(site.plan.wanted_by_target) == set(ENGINES)

    def test_engine_that_does_not_serve_is_not_planned(self, site):
        site.fleet.serving = {"engine-2"}
        site.planner("one").look()
        assert list(site.plan.wanted_by_target) == ["engine-2"]

    def test_engine_lost_under_a_change_holds_up_others_for_a_while_only(self, site):
        planner = site.planner("one")
        planner.look()
        site.fleet.serving = {"engine-2"}
        planner.look()
        assert list(site.plan.wanted_by_target) == ["engine-1"]
        site.timers.advance(61.0)
        planner.look()
        assert set(site.plan.wanted_by_target) == set(ENGINES)


class TestLastThatServes:
    """An order takes an engine out of service while another one is out unplanned."""

    def test_waits_while_the_other_is_ejected(self, site):
        """Callers got 502: one engine was ejected, the other under an order."""
        planner = site.planner("one")
        site.fleet.ejected = {"engine-2"}
        planner.look()
        assert "engine-1" not in site.plan.wanted_by_target
        site.fleet.ejected = set()
        site.fleet.settled["engine-2"] = site.plan.number
        planner.look()
        assert "engine-1" in site.plan.wanted_by_target

    def test_waits_for_one_that_served_until_lately(self, site):
        planner = site.planner("one")
        site.fleet.ejected = set(ENGINES)
        planner.look()
        site.fleet.serving, site.fleet.ejected = {"engine-2"}, set()
        planner.look()
        assert "engine-2" not in site.plan.wanted_by_target
        site.timers.advance(61.0)
        planner.look()
        assert "engine-2" in site.plan.wanted_by_target


class TestAuthority:
    def test_planner_that_believes_in_a_lapsed_lease_changes_nothing(self, site):
        old = site.planner("old", role="prefill")
        old.look()
        site.store.lapse("old")
        site.fleet.settled["engine-1"] = site.plan.number
        new = site.planner("new", role="decode")
        new.look()
        newest = site.plan
        assert newest.wanted_by_target["engine-1"].role == "decode"
        old.look()
        assert site.plan == newest

    def test_without_compare_and_swap_it_would(self, site):
        swap = site.store.compare_and_swap

        def overwrite(key, data, revision):
            return swap(key, data, site.store._read(key).revision)

        site.store.compare_and_swap = overwrite
        old = site.planner("old", role="prefill")
        old.look()
        site.store.lapse("old")
        site.fleet.settled["engine-1"] = site.plan.number
        site.planner("new", role="decode").look()
        newest = site.plan
        old.look()
        assert site.plan != newest

    def test_entry_without_the_duty_asks_seldom(self, site):
        site.planner("one").look()
        other = site.planner("two")
        before = site.store.calls
        for _ in range(100):
            other.look()
            site.timers.advance(1.0)
        assert site.store.calls - before <= 8

    def test_answer_of_the_service_lost_is_no_harm(self, site):
        planner = site.planner("one")
        site.store.answers_to_lose = 1
        planner.look()
        first = site.plan
        planner.look()
        assert site.plan == first


class TestRoles:
    settings = PlannerSettings(
        engine_rate=1_000, smoothing=1.0, horizon=100.0, margin=0.15
    )
    names = [f"e{number}" for number in range(6)]

    def drive(self, policy, timers, rates):
        """Return how often an engine's role changed over seconds of demand."""
        roles = dict.fromkeys(self.names, "mixed")
        changes = asked = 0
        for rate in rates:
            timers.advance(1.0)
            asked += rate
            views = [
                TargetView(
                    name, True, roles[name], 0, 0, 0, asked if name == "e0" else 0
                )
                for name in self.names
            ]
            configured = dict.fromkeys(self.names, "mixed")
            new = policy.choose(GROUP, configured, roles, views)
            changes += sum(new[name] != roles[name] for name in self.names)
            roles = new
        return changes, list(roles.values()).count("prefill")

    def test_a_swing_changes_engines_once_and_its_return_none(self):
        swings = ([100] * 20 + [1_800] * 20) * 3
        timers = ManualTimers()
        mixed, readers = self.drive(MixRoles(self.settings, timers), timers, swings)
        timers = ManualTimers()
        threshold, _ = self.drive(ThresholdRoles(self.settings, timers), timers, swings)
        assert (mixed, readers) == (2, 2)
        assert threshold >= 8

    def test_readers_go_back_once_the_horizon_has_passed(self):
        timers = ManualTimers()
        rates = [1_800] * 20 + [0] * 130
        changes, readers = self.drive(MixRoles(self.settings, timers), timers, rates)
        assert (changes, readers) == (4, 0)

    def view(self, name, is_serving=True, running=5, asked=0):
        return TargetView(name, is_serving, "mixed", 0, running, 0, asked)

    def test_engine_on_its_way_stays_chosen_and_a_crashed_one_is_not(self):
        timers = ManualTimers()
        policy = MixRoles(self.settings, timers)
        configured = dict.fromkeys(self.names, "mixed")
        planned = dict(configured)
        for second in range(30):
            timers.advance(1.0)
            is_chosen = planned["e1"] == "prefill"
            # Another one is less busy once e1 is chosen, which tells its old role.
            views = [self.view(name, running=0) for name in self.names[2:]]
            views.append(self.view("e0", is_serving=False, running=0))
            running = 5 if is_chosen else 0
            views.append(self.view("e1", running=running, asked=second * 900))
            roles = policy.choose(GROUP, configured, planned, views)
            assert roles["e0"] == "mixed"
            if second > 3:
                readers = [name for name, role in roles.items() if role == "prefill"]
                assert readers == ["e1"]
                planned = roles

    def test_at_most_half_of_a_group_reads(self):
        timers = ManualTimers()
        _, readers = self.drive(MixRoles(self.settings, timers), timers, [90_000] * 9)
        assert readers == 3
