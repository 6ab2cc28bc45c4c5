"""Every short order of events around calls that may not be repeated."""

import sys
from collections import Counter
from typing import NamedTuple

import pytest
from minicheck import check_safety
from result import Err, Ok
from twisted.internet.defer import Deferred, succeed

from pimentolink import claims
from pimentolink.claims import ClaimPartition
from pimentolink.claimtable import ClaimState, ClaimTable
from pimentolink.errors import AlreadyRun, KeyValueUnavailable
from pimentolink.kvstore import MemoryStore
from pimentolink.settings import ClaimSettings
from pimentolink.timers import ManualTimers
from specs.protocol import make_protocol
from tests.test_guards import take_over_without_claims

RETENTION = 100.0
START = 1_800_000_000.0
# Error of the wall clock of each sidecar beyond that of the one before.
WALL_CLOCK_ERROR = 3 * RETENTION
MAX_STATES = 200_000
IDLE, ASKED, GRANTED, RUNNING, RELEASING = (
    "idle",
    "asked",
    "granted",
    "running",
    "releasing",
)


class Scope(NamedTuple):
    """
    Limits of the orders that are tried.

    :ivar sidecars: number of sidecars; their incarnations begin alike.
    :ivar keys: keys that callers use.
    :ivar asks: number of attempts.
    :ivar faults: number of store operations that go wrong.
    :ivar restarts: number of sidecars that restart.
    :ivar expiries: number of times that the retention passes.
    :ivar most: claims and outcomes that a sidecar keeps.
    """

    sidecars: int = 2
    keys: tuple[str, ...] = ("k",)
    asks: int = 3
    faults: int = 1
    restarts: int = 0
    expiries: int = 0
    most: int = 5


class Operation(NamedTuple):
    """
    A store operation in transit.

    :ivar position: code that waits for the answer.
    :ivar data: document to write; ``None`` for a read.
    """

    sidecar: int
    life: int
    position: tuple
    path: str
    data: bytes | None
    revision: int
    answer: Deferred


def position():
    """Return where the calling coroutines stand, as equal states stand alike."""
    frame, found = sys._getframe(2), []
    while frame is not None and frame.f_code is not World.take.__code__:
        if frame.f_code.co_filename == claims.__file__:
            attempt = frame.f_locals.get("_")
            found.append((frame.f_lineno, attempt if type(attempt) is int else None))
        frame = frame.f_back
    return tuple(found)


class SidecarTimers(ManualTimers):
    """Timers of one sidecar, whose clocks move by its own timers and by expiries."""

    def __init__(self, world, number):
        super().__init__()
        self._world = world
        self._number = number

    def now(self):
        return self._now + self._world.expired_time

    def wall_time(self):
        return START + self._number * WALL_CLOCK_ERROR + self.now()

    def call_later(self, delay, callback):
        timer = super().call_later(delay, callback)
        timer.position = position()
        return timer

    def fire_next(self):
        self.advance(self._heap[0][0] - self._now)

    def pending(self):
        return tuple(
            (round(due_at - self._now, 3), timer.position)
            for due_at, _, timer in sorted(self._heap, key=lambda item: item[:2])
        )


class Sidecar:
    """One life of a sidecar, and the calls under its claims."""

    def __init__(self, world, number, life):
        self._world = world
        self.number = number
        self.life = life
        self.timers = SidecarTimers(world, number)
        settings = ClaimSettings(retention=RETENTION, most=world.scope.most)
        self.partition = ClaimPartition(
            "p", f"sidecar-dispatch-{number}/{life}", self, self.timers, settings
        )
        self.phase_by_key = dict.fromkeys(world.scope.keys, IDLE)

    def get(self, path):
        return self._send(path, None, 0)

    def compare_and_swap(self, path, data, revision):
        return self._send(path, data, revision)

    def _send(self, path, data, revision):
        answer = Deferred()
        self._world.operations.append(
            Operation(self.number, self.life, position(), path, data, revision, answer)
        )
        return answer

    def ask(self, key):
        self.phase_by_key[key] = ASKED
        self.partition.claim(key, "same").addCallback(self._decide, key)

    def _decide(self, outcome, key):
        self.phase_by_key[key] = IDLE if isinstance(outcome, Err) else GRANTED
        has_run = key in self._world.keys_run
        if isinstance(outcome, Err) and isinstance(outcome.err_value, AlreadyRun):
            self._world.has_lied |= not has_run

    def run(self, key):
        self.phase_by_key[key] = RUNNING
        self._world.runs_by_key[key] += 1
        self._world.keys_run.add(key)

    def settle(self, key):
        self.phase_by_key[key] = IDLE
        self.partition.settle(key, ClaimState.DONE)

    def release(self, key):
        self.phase_by_key[key] = RELEASING
        self.partition.release(key).addCallback(self._released, key)

    def _released(self, _, key):
        self.phase_by_key[key] = IDLE

    def state(self):
        partition, table = self.partition, self.partition._table
        return (
            self.life,
            partition.is_owned,
            partition._revision,
            partition._write_number,
            partition._is_dirty,
            partition._is_writing,
            tuple(key for key, _, _ in partition._waiting),
            len(partition._releases),
            round(partition._clock.now(), 3),
            table._claims_made,
            tuple(table.claims_by_key.items()),
            tuple(table._outcome_by_claim_id.items()),
            self.timers.pending(),
            tuple(self.phase_by_key.items()),
        )


class World:
    """Sidecars over one store, after the given steps."""

    def __init__(self, scope, steps):
        self.scope = scope
        self.expired_time = 0.0
        self.store = MemoryStore()
        self.operations = []
        self.late_writes = []
        self.runs_by_key = Counter()
        self.keys_run = set()
        self.used = Counter()
        self.has_lied = False
        self.sidecars = [Sidecar(self, number, 1) for number in range(scope.sidecars)]
        for step in steps:
            self.take(step)

    def take(self, step):
        name, *arguments = step
        getattr(self, f"_{name}")(*arguments)

    def steps(self):
        """Yield each step that may come next."""
        for number, sidecar in enumerate(self.sidecars):
            # Sidecars that did nothing yet are alike.
            if number and not self._has_acted(number - 1):
                break
            yield from self._sidecar_steps(number, sidecar)
        for place, operation in enumerate(self.operations):
            yield "answer", place
            if self.used["fault"] < self.scope.faults:
                yield "fail", place
                if operation.data is not None:
                    yield "lose", place
                    yield "delay", place
        for place in range(len(self.late_writes)):
            yield "land", place
        if self.used["expiry"] < self.scope.expiries and self._may_expire():
            yield ("expire",)

    def label(self, step):
        """Describe a step that may come next."""
        name, *arguments = step
        if name not in ("answer", "fail", "lose", "delay", "land"):
            return " ".join(map(str, step))
        waiting = self.late_writes if name == "land" else self.operations
        operation = waiting[arguments[0]]
        kind = "read" if operation.data is None else "write"
        return f"{name} {operation.sidecar}'s {kind}"

    def _has_acted(self, number):
        sidecar = self.sidecars[number]
        is_asked = any(phase != IDLE for phase in sidecar.phase_by_key.values())
        return is_asked or sidecar.life > 1 or sidecar.partition._write_number > 0

    def _may_expire(self):
        # A call that begins or ends after its claim's retention is out of scope.
        return all(
            phase in (IDLE, ASKED)
            for sidecar in self.sidecars
            for phase in sidecar.phase_by_key.values()
        )

    def _sidecar_steps(self, number, sidecar):
        for key, phase in sidecar.phase_by_key.items():
            if phase == IDLE and self.used["ask"] < self.scope.asks:
                yield "ask", number, key
            elif phase == GRANTED:
                yield "run", number, key
                yield "release", number, key
            elif phase == RUNNING:
                yield "settle", number, key
        if sidecar.timers._heap:
            yield "fire", number
        if self.used["restart"] < self.scope.restarts and self._has_acted(number):
            yield "restart", number

    def _ask(self, number, key):
        self.used["ask"] += 1
        self.sidecars[number].ask(key)

    def _run(self, number, key):
        self.sidecars[number].run(key)

    def _settle(self, number, key):
        self.sidecars[number].settle(key)

    def _release(self, number, key):
        self.sidecars[number].release(key)

    def _fire(self, number):
        self.sidecars[number].timers.fire_next()

    def _restart(self, number):
        self.used["restart"] += 1
        life = self.sidecars[number].life + 1
        self.sidecars[number] = Sidecar(self, number, life)
        for operation in [item for item in self.operations if item.sidecar == number]:
            self.operations.remove(operation)
            if operation.data is not None:
                self.late_writes.append(operation)

    def _answer(self, place):
        operation = self.operations.pop(place)
        self._apply(operation).chainDeferred(operation.answer)

    def _fail(self, place):
        self.used["fault"] += 1
        self.operations.pop(place).answer.errback(KeyValueUnavailable("down"))

    def _lose(self, place):
        operation = self.operations[place]
        self._apply(operation)
        self._fail(place)

    def _delay(self, place):
        self.late_writes.append(self.operations[place])
        self._fail(place)

    def _land(self, place):
        self._apply(self.late_writes.pop(place))

    def _expire(self):
        self.used["expiry"] += 1
        self.expired_time += RETENTION
        self.runs_by_key.clear()

    def _apply(self, operation):
        if operation.data is None:
            return self.store.get(operation.path)
        return self.store.compare_and_swap(
            operation.path, operation.data, operation.revision
        )

    def state(self):
        return (
            tuple(sidecar.state() for sidecar in self.sidecars),
            tuple(operation[:-1] for operation in self.operations),
            tuple(sorted(operation[:-1] for operation in self.late_writes)),
            tuple(self.store._value_by_key.items()),
            tuple(sorted(self.runs_by_key.items())),
            tuple(sorted(self.keys_run)),
            tuple(sorted(self.used.items())),
            self.has_lied,
        )


class History:
    """An order of steps; two are equal if they lead to the same state."""

    def __init__(self, scope, steps):
        self.scope = scope
        self.steps = steps
        world = World(scope, steps)
        self.next_steps = [(world.label(step), step) for step in world.steps()]
        self.is_sound = not world.has_lied and all(
            runs <= 1 for runs in world.runs_by_key.values()
        )
        self._state = world.state()
        self._hash = hash(self._state)

    def __eq__(self, other):
        return self._state == other._state

    def __hash__(self):
        return self._hash

    def next(self, step):
        return History(self.scope, (*self.steps, step))


class Reached(NamedTuple):
    """State of the model checker."""

    history: History


def search(scope):
    """
    Try all orders within a scope.

    :returns: the shortest order that runs a call twice, or tells that one ran which
        did not; ``None`` if there is none.
    """
    is_found = False

    def take_steps(reached, guards):
        nonlocal is_found
        is_found = is_found or not reached.history.is_sound
        if is_found:
            return
        for label, step in reached.history.next_steps:
            yield label, Reached(reached.history.next(step))

    invariants = {"sound": lambda values: values["history"].is_sound}
    initial = Reached(History(scope, ()))
    protocol = make_protocol("claims", initial, take_steps, frozenset(), invariants)
    result = check_safety(protocol, max_states=MAX_STATES)
    found = result["properties"]["sound"]
    if found["holds"] is False:
        return [state["label"] for state in found["counterexample"]]
    assert result["exhaustive"]
    return None


def name_by_prefix(monkeypatch):
    """Name claims by the first characters of the incarnation."""
    original = ClaimTable.__init__

    def create(self, settings, incarnation):
        original(self, settings, incarnation)
        self._incarnation = incarnation[:12]

    monkeypatch.setattr(ClaimTable, "__init__", create)


def run_unclaimed(monkeypatch):
    """Make calls without a claim."""
    monkeypatch.setattr(ClaimPartition, "claim", lambda *_: succeed(Ok(None)))


def forget_stored_claims(monkeypatch):
    """Take over a partition without its claims."""
    monkeypatch.setattr(ClaimPartition, "_take_over", take_over_without_claims)


def accept_any_write(monkeypatch):
    """Take any later document for the own write whose answer was lost."""

    async def find_any_write(self):
        stored = await self._store.get(self._path)
        return stored.revision or None

    monkeypatch.setattr(ClaimPartition, "_find_own_write", find_any_write)


def ignore_revisions(monkeypatch):
    """Let the store accept writes whatever its revision."""

    def write(self, key, data, revision):
        return original(self, key, data, self._read(key).revision)

    original = MemoryStore.compare_and_swap
    monkeypatch.setattr(MemoryStore, "compare_and_swap", write)


SCOPES = {
    "three attempts": Scope(faults=0),
    "a lost, late or refused operation": Scope(asks=2, faults=1),
    "restart and expiry": Scope(asks=2, faults=0, restarts=1, expiries=1),
    "two keys, one outcome kept": Scope(keys=("k", "l"), asks=2, faults=0, most=1),
}


@pytest.mark.parametrize("name", SCOPES)
def test_no_order_runs_a_call_twice(name):
    assert search(SCOPES[name]) is None


MECHANISMS = {
    "names of their own": (name_by_prefix, Scope(faults=0)),
    "claiming before the call": (run_unclaimed, Scope(faults=0)),
    "reading claims at take-over": (forget_stored_claims, Scope(faults=0)),
    "knowing the own write": (accept_any_write, Scope()),
    "comparing revisions": (ignore_revisions, Scope(faults=0)),
}


@pytest.mark.parametrize("mechanism", MECHANISMS)
def test_some_order_runs_a_call_twice_without(mechanism, monkeypatch):
    disable, scope = MECHANISMS[mechanism]
    disable(monkeypatch)
    assert search(scope) is not None
