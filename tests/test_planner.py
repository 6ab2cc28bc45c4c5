"""Planning: limited changes, consistency by compare-and-swap, roles by peak demand."""

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
    """Fake source of the state of engines."""

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


class Harness:
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
def harness():
    return Harness()


class LongestDelays(Random):
    """Always draws the longest delay."""

    def uniform(self, low, high):
        return high


class TestTakeover:
    def test_duty_is_taken_over_within_half_a_minute_of_its_holders_loss(self, harness):
        first = harness.planner("one")
        first.look()
        second = harness.planner("two", random=LongestDelays())
        second.look()
        plan_before = harness.plan.number
        harness.store.lapse("one")
        harness.fleet.settled["engine-1"] = plan_before
        harness.timers.advance(31.0)
        second.look()
        assert harness.plan.number > plan_before


class TestFewAtATime:
    def test_second_engine_waits_for_the_first(self, harness):
        planner = harness.planner("one")
        planner.look()
        assert list(harness.plan.wanted_by_target) == ["engine-1"]
        planner.look()
        assert list(harness.plan.wanted_by_target) == ["engine-1"]
        harness.fleet.settled["engine-1"] = harness.plan.number
        planner.look()
        assert set(harness.plan.wanted_by_target) == set(ENGINES)

    def test_engine_that_does_not_serve_is_not_planned(self, harness):
        harness.fleet.serving = {"engine-2"}
        harness.planner("one").look()
        assert list(harness.plan.wanted_by_target) == ["engine-2"]

    def test_engine_lost_under_a_change_holds_up_others_for_a_while_only(self, harness):
        planner = harness.planner("one")
        planner.look()
        harness.fleet.serving = {"engine-2"}
        planner.look()
        assert list(harness.plan.wanted_by_target) == ["engine-1"]
        harness.timers.advance(61.0)
        planner.look()
        assert set(harness.plan.wanted_by_target) == set(ENGINES)


class TestLastThatServes:
    """Guards against an order for one engine while the other one is out unplanned."""

    def test_waits_while_the_other_is_ejected(self, harness):
        """Callers got 502 while one engine was ejected and the other under an order."""
        planner = harness.planner("one")
        harness.fleet.ejected = {"engine-2"}
        planner.look()
        assert "engine-1" not in harness.plan.wanted_by_target
        harness.fleet.ejected = set()
        harness.fleet.settled["engine-2"] = harness.plan.number
        planner.look()
        assert "engine-1" in harness.plan.wanted_by_target

    def test_waits_for_one_that_served_until_lately(self, harness):
        planner = harness.planner("one")
        harness.fleet.ejected = set(ENGINES)
        planner.look()
        harness.fleet.serving, harness.fleet.ejected = {"engine-2"}, set()
        planner.look()
        assert "engine-2" not in harness.plan.wanted_by_target
        harness.timers.advance(61.0)
        planner.look()
        assert "engine-2" in harness.plan.wanted_by_target


class TestAuthority:
    def test_planner_that_believes_in_a_lapsed_lease_changes_nothing(self, harness):
        old = harness.planner("old", role="prefill")
        old.look()
        harness.store.lapse("old")
        harness.fleet.settled["engine-1"] = harness.plan.number
        new = harness.planner("new", role="decode")
        new.look()
        newest = harness.plan
        assert newest.wanted_by_target["engine-1"].role == "decode"
        old.look()
        assert harness.plan == newest

    def test_without_compare_and_swap_it_would(self, harness):
        swap = harness.store.compare_and_swap

        def overwrite(key, data, revision):
            return swap(key, data, harness.store._read(key).revision)

        harness.store.compare_and_swap = overwrite
        old = harness.planner("old", role="prefill")
        old.look()
        harness.store.lapse("old")
        harness.fleet.settled["engine-1"] = harness.plan.number
        harness.planner("new", role="decode").look()
        newest = harness.plan
        old.look()
        assert harness.plan != newest

    def test_entry_without_the_duty_asks_seldom(self, harness):
        harness.planner("one").look()
        other = harness.planner("two")
        before = harness.store.calls
        for _ in range(100):
            other.look()
            harness.timers.advance(1.0)
        assert harness.store.calls - before <= 8

    def test_answer_of_the_service_lost_is_no_harm(self, harness):
        planner = harness.planner("one")
        harness.store.answers_to_lose = 1
        planner.look()
        first = harness.plan
        planner.look()
        assert harness.plan == first


class TestRoles:
    settings = PlannerSettings(
        engine_rate=1_000, smoothing=1.0, horizon=100.0, margin=0.15
    )
    names = [f"e{number}" for number in range(6)]

    def simulate(self, policy, timers, rates):
        """Return the number of role changes, and of prefill engines at the end."""
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
        alternating_demand = ([100] * 20 + [1_800] * 20) * 3
        timers = ManualTimers()
        mixed, readers = self.simulate(
            MixRoles(self.settings, timers), timers, alternating_demand
        )
        timers = ManualTimers()
        threshold, _ = self.simulate(
            ThresholdRoles(self.settings, timers), timers, alternating_demand
        )
        assert (mixed, readers) == (2, 2)
        assert threshold >= 8

    def test_readers_go_back_once_the_horizon_has_passed(self):
        timers = ManualTimers()
        rates = [1_800] * 20 + [0] * 130
        changes, readers = self.simulate(MixRoles(self.settings, timers), timers, rates)
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
            # Once e1 is chosen, the others are less loaded and e1 still reports its old
            # role.
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
        _, readers = self.simulate(
            MixRoles(self.settings, timers), timers, [90_000] * 9
        )
        assert readers == 3
