"""Checks invariants under random interleavings of requests and failures."""

import pytest
import structlog
from hypothesis import HealthCheck, Phase, seed, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from tests.worlds import VirtualWorld

SIDECARS = [f"sidecar-{name}" for name in ("engine-1", "engine-2", "dispatch-1")]
ENTRIES = ["one", "two"]
KEYS = ["tractor", "harvester", "rockfall", "avalanche"]
ROLES = ["mixed", "prefill", "decode"]
ENGINES = ["engine-1", "engine-2"]
PLAIN = ["dispatch-1", "dispatch-2"]
SETTLE_SECONDS = 90.0


@pytest.fixture(scope="module", autouse=True)
def logging_before():
    """Restore the logging configuration for later tests in this process."""
    before = structlog.get_config()
    yield
    structlog.configure(**before)


class Failures(RuleBasedStateMachine):
    """Entries, sidecars and targets under faults, several at once."""

    def __init__(self) -> None:
        super().__init__()
        structlog.configure(
            wrapper_class=structlog.make_filtering_bound_logger(50),
            cache_logger_on_first_use=False,
        )
        self.world = VirtualWorld()
        for engine in ENGINES:
            # Shorter than the quiet period of a new sidecar (1 s).
            self.world.network.targets[engine].order_transit = 0.6
        for name, place in (("one", "north"), ("two", "south")):
            self.world.start_entry(name, place)
        self.keys: dict[str, list[str]] = {key: [] for key in KEYS}
        self.sent = 0
        self.dead: set[str] = set()
        self.paused: set[str] = set()
        self.cuts: set[tuple[str, str]] = set()
        self.versions: dict[str, int] = {}

    def live_entry(self, number: int) -> str | None:
        live = [name for name in ENTRIES if name not in self.dead | self.paused]
        return live[number % len(live)] if live else None

    @rule(number=st.integers(0, 1), tokens=st.integers(1, 150))
    def ask_model(self, number, tokens):
        entry = self.live_entry(number)
        if entry is not None:
            self.sent += 1
            self.world.send(f"m{self.sent}", "claims", entry, None, tokens)

    @rule(number=st.integers(0, 1), key=st.sampled_from(KEYS))
    def make_call(self, number, key):
        entry = self.live_entry(number)
        if entry is not None:
            self.sent += 1
            self.keys[key].append(f"c{self.sent}")
            self.world.send(f"c{self.sent}", "dispatch", entry, key, None)

    @rule(seconds=st.sampled_from([0.003, 0.02, 0.2, 1.1, 6.0]))
    def let_time_pass(self, seconds):
        self.world.pass_time(seconds)

    @rule(name=st.sampled_from(SIDECARS))
    def kill_or_restart_sidecar(self, name):
        if name in self.dead:
            self.dead.discard(name)
            self.world.restart(name)
        else:
            self.paused.discard(name)
            self.dead.add(name)
            self.world.kill(name)

    @rule(name=st.sampled_from([*SIDECARS, *PLAIN, *ENTRIES]))
    def pause_or_resume(self, name):
        if name in self.dead:
            return
        if name in self.paused:
            self.paused.discard(name)
            self.world.resume(name)
        else:
            self.paused.add(name)
            self.world.pause(name)

    @rule(entry=st.sampled_from(ENTRIES), sidecar=st.sampled_from(SIDECARS))
    def cut_or_heal(self, entry, sidecar):
        if (entry, sidecar) in self.cuts:
            self.cuts.discard((entry, sidecar))
            self.world.heal(entry, sidecar)
        else:
            self.cuts.add((entry, sidecar))
            self.world.cut(entry, sidecar)

    @rule()
    def begin_or_end_outage(self):
        self.world.network.memory.set_down(not self.world.network.memory.is_down)

    @rule(count=st.integers(1, 3))
    def lose_answers(self, count):
        self.world.lose(count)

    @precondition(lambda self: not self.world.network.memory.is_down)
    @rule(
        engine=st.sampled_from(ENGINES),
        role=st.sampled_from(ROLES),
    )
    def change_role(self, engine, role):
        self.world.network.memory.answers_to_lose = 0
        self.world.set_role(engine, role)

    @precondition(lambda self: not self.world.network.memory.is_down)
    @rule(
        engine=st.sampled_from(ENGINES),
        roles=st.permutations(ROLES),
        before=st.sampled_from([0.5, 1.1, 1.5, 2.1]),
    )
    def replace_sidecar_under_order(self, engine, roles, before):
        """Kill and restart a sidecar about when its order is on its way."""
        name = f"sidecar-{engine}"
        if name in self.dead | self.paused:
            return
        self.change_role(engine, roles[0])
        self.world.pass_time(before)
        self.world.kill(name)
        self.world.restart(name)
        self.change_role(engine, roles[1])

    @rule(keys=st.permutations(KEYS))
    def call_through_both_sides_of_a_cut(self, keys):
        """Two entries see different sidecars at home, one key after another."""
        if {"one", "two"} & (self.dead | self.paused):
            return
        for entry, sidecar in (("one", "dispatch-1"), ("two", "dispatch-2")):
            self.world.cut(entry, f"sidecar-{sidecar}")
        self.world.pass_time(9.0)
        for number, key in enumerate([keys[0], keys[0], keys[1], keys[1]]):
            self.make_call(number, key)
            self.world.pass_time(0.003 * number)
        for entry, sidecar in (("one", "dispatch-1"), ("two", "dispatch-2")):
            self.world.heal(entry, f"sidecar-{sidecar}")

    @invariant()
    def calls_run_at_most_once(self):
        for key in KEYS:
            assert self.world.runs("dispatch", key) <= 1

    @invariant()
    def refused_did_not_run(self):
        for key, names in self.keys.items():
            if all(self.world.is_outcome(name, "refused") for name in names):
                assert self.world.runs("dispatch", key) == 0

    @invariant()
    def answers_are_their_own(self):
        for name, reply in self.world.replies.items():
            assert reply.finals <= 1
            assert self.world.wanted[name].startswith("".join(reply.received))
            if reply.is_complete:
                assert self.world.is_outcome(name, "whole")

    @invariant()
    def orders_never_conflict(self):
        for engine in ENGINES:
            assert self.world.is_orders_in_order(engine)

    @invariant()
    def configuration_never_reverts(self):
        for name, entry in self.world.network.entries.items():
            version = entry.adoption.version
            assert version >= self.versions.get(name, 0)
            self.versions[name] = version

    def teardown(self):
        """After everything is mended, each request has its final answer."""
        for name in list(self.paused):
            self.world.resume(name)
        for name in list(self.dead):
            self.world.restart(name)
        for pair in list(self.cuts):
            self.world.heal(*pair)
        self.world.recovery()
        self.world.pass_time(SETTLE_SECONDS)
        for reply in self.world.replies.values():
            assert reply.finals == 1
        self.calls_run_at_most_once()
        self.refused_did_not_run()
        self.answers_are_their_own()
        self.orders_never_conflict()


Failures.TestCase.settings = settings(
    max_examples=60,
    stateful_step_count=30,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(HealthCheck),
)
TestFailures = Failures.TestCase


class SeededFailures(Failures):
    """The same faults, drawn from a seed of their own."""


def test_seed_two():
    """A call that may not be repeated ran twice."""
    run_state_machine_as_test(
        seed(2)(SeededFailures),
        settings=settings(
            max_examples=60,
            stateful_step_count=30,
            deadline=None,
            database=None,
            phases=[Phase.generate],
            suppress_health_check=list(HealthCheck),
        ),
    )
