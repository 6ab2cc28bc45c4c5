"""Who may order an engine that checks no fencing numbers: plan, planners, sidecars."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

from minicheck import Protocol

from specs.protocol import make_protocol

LAST_PLAN = 3
LAST_LIFE = 2
MAX_FLIGHTS = 2
# An order begins within this time of being sent, or never.
TRANSIT_TICKS = 1
# So the quiet time must be longer, not as long: the first version of this
# specification had them equal, and the checker found the order that begins last.
QUIET_TICKS = TRANSIT_TICKS + 1
GUARDS = frozenset({"cas", "quiet", "ask", "source", "one", "slot"})
NOBODY = -1

WAITING = "waiting"
QUIET_OVER = "quiet over"
IDLE = "idle"
READ = "read"
SENT = "sent"


class Sidecar(NamedTuple):
    """
    One life of the sidecar's process.

    :ivar phase: what it does.
    :ivar waited: ticks of its quiet time that have passed.
    :ivar read: plan that it read last, to be ordered next.
    """

    phase: str
    waited: int
    read: int


class Flight(NamedTuple):
    """An order on its way: not yet begun by the engine."""

    plan: int
    age: int


class State(NamedTuple):
    """
    All that the protocol depends on.

    :ivar plan: number of the plan in the key-value service.
    :ivar planners: plan that each of two planners has read, or ``NOBODY``.
    :ivar sidecars: lives that have not been killed; at most one serves unless the
        slot is not kept.
    :ivar lives: lives begun so far.
    :ivar flights: orders on their way.
    :ivar doing: plan that the engine carries out, or ``NOBODY``.
    :ivar newest: newest plan that the engine has begun.
    :ivar went_back: whether it began an older one after it.
    :ivar overlapped: whether it began one while doing another.
    """

    plan: int
    planners: tuple[int, int]
    sidecars: tuple[Sidecar, ...]
    lives: int
    flights: tuple[Flight, ...]
    doing: int
    newest: int
    went_back: bool
    overlapped: bool


INITIAL = State(
    plan=0,
    planners=(NOBODY, NOBODY),
    sidecars=(Sidecar(WAITING, 0, 0),),
    lives=1,
    flights=(),
    doing=NOBODY,
    newest=0,
    went_back=False,
    overlapped=False,
)


def steps(state: State, guards: frozenset[str]) -> Iterator[tuple[str, State]]:
    """
    Yield every step that may come next.

    :param state: where the system is.
    :param guards: mechanisms that are in place.
    """
    yield from _planner_steps(state, guards)
    yield from _sidecar_steps(state, guards)
    yield from _engine_steps(state)
    yield from _failures(state, guards)


def _planner_steps(state: State, guards: frozenset[str]) -> Iterator[tuple[str, State]]:
    for number, read in enumerate(state.planners):
        if read == NOBODY:
            planners = _put(state.planners, number, state.plan)
            yield f"planner {number} reads", state._replace(planners=planners)
            continue
        planners = _put(state.planners, number, NOBODY)
        if "cas" in guards and read != state.plan:
            yield f"planner {number} loses", state._replace(planners=planners)
        elif read < LAST_PLAN:
            new = state._replace(planners=planners, plan=read + 1)
            yield f"planner {number} writes", new


def _sidecar_steps(state: State, guards: frozenset[str]) -> Iterator[tuple[str, State]]:
    for number, sidecar in enumerate(state.sidecars):
        if sidecar.phase in (WAITING, QUIET_OVER):
            yield from _beginning(state, number, guards)
        elif sidecar.phase == IDLE:
            for plan in _readable(state, guards):
                if plan != state.newest:
                    yield _moved(state, number, f"reads {plan}", phase=READ, read=plan)
        elif sidecar.phase == READ and len(state.flights) < MAX_FLIGHTS:
            yield _sending(state, number, guards)
        elif sidecar.phase == SENT:
            yield _moved(state, number, "gives the answer up", phase=WAITING, waited=0)
            if _is_answered(state, sidecar):
                yield _moved(state, number, "has its answer", phase=IDLE)


def _beginning(
    state: State, number: int, guards: frozenset[str]
) -> Iterator[tuple[str, State]]:
    sidecar = state.sidecars[number]
    if sidecar.phase == WAITING:
        if "quiet" not in guards or sidecar.waited >= QUIET_TICKS:
            yield _moved(state, number, "ends its quiet time", phase=QUIET_OVER)
    elif "ask" not in guards or state.doing == NOBODY:
        yield _moved(state, number, "finds the engine idle", phase=IDLE)


def _sending(state: State, number: int, guards: frozenset[str]) -> tuple[str, State]:
    phase = SENT if "one" in guards else IDLE
    label, new = _moved(state, number, "sends", phase=phase)
    flight = Flight(state.sidecars[number].read, 0)
    return label, new._replace(flights=(*state.flights, flight))


def _readable(state: State, guards: frozenset[str]) -> list[int]:
    """Tell which plans a sidecar may take for the newest."""
    if "source" in guards:
        return [state.plan]
    return list(range(state.plan + 1))


def _is_answered(state: State, sidecar: Sidecar) -> bool:
    is_on_its_way = any(flight.plan == sidecar.read for flight in state.flights)
    return not is_on_its_way and state.doing != sidecar.read


def _engine_steps(state: State) -> Iterator[tuple[str, State]]:
    for number, flight in enumerate(state.flights):
        flights = state.flights[:number] + state.flights[number + 1 :]
        new = state._replace(
            flights=flights,
            doing=flight.plan,
            newest=max(state.newest, flight.plan),
            went_back=state.went_back or flight.plan < state.newest,
            overlapped=state.overlapped or state.doing != NOBODY,
        )
        yield f"engine begins {flight.plan}", new
    if state.doing != NOBODY:
        yield "engine is done", state._replace(doing=NOBODY)


def _failures(state: State, guards: frozenset[str]) -> Iterator[tuple[str, State]]:
    for number in range(len(state.sidecars)):
        alive = state.sidecars[:number] + state.sidecars[number + 1 :]
        yield "sidecar dies", state._replace(sidecars=alive)
    is_free = not state.sidecars or ("slot" not in guards and len(state.sidecars) < 2)
    if is_free and state.lives < LAST_LIFE:
        sidecars = (*state.sidecars, Sidecar(WAITING, 0, 0))
        yield (
            "sidecar starts",
            state._replace(sidecars=sidecars, lives=state.lives + 1),
        )
    # The assumption that quiet time rests on: time does not pass while an order is
    # overdue; it begins or is lost first.
    if all(flight.age < TRANSIT_TICKS for flight in state.flights):
        yield "time passes", _older(state)
    for number in range(len(state.flights)):
        flights = state.flights[:number] + state.flights[number + 1 :]
        yield "order is lost", state._replace(flights=flights)


def _older(state: State) -> State:
    flights = tuple(Flight(flight.plan, flight.age + 1) for flight in state.flights)
    sidecars = tuple(
        sidecar._replace(waited=min(QUIET_TICKS, sidecar.waited + 1))
        if sidecar.phase == WAITING
        else sidecar
        for sidecar in state.sidecars
    )
    return state._replace(flights=flights, sidecars=sidecars)


def _moved(
    state: State, number: int, what: str, **changes: object
) -> tuple[str, State]:
    sidecar = state.sidecars[number]._replace(**changes)  # type: ignore[arg-type]
    sidecars = (*state.sidecars[:number], sidecar, *state.sidecars[number + 1 :])
    return f"sidecar {what}", state._replace(sidecars=sidecars)


def _put(pair: tuple[int, int], number: int, value: int) -> tuple[int, int]:
    return (value, pair[1]) if number == 0 else (pair[0], value)


INVARIANTS: dict[str, Callable[[dict[str, Any]], bool]] = {
    "no older order after a newer": lambda values: not values["went_back"],
    "one order at a time": lambda values: not values["overlapped"],
}


def specification(guards: frozenset[str] = GUARDS) -> Protocol:
    """
    Make the protocol for the model checker.

    :param guards: mechanisms that are in place.
    """
    return make_protocol("authority", INITIAL, steps, guards, INVARIANTS)
