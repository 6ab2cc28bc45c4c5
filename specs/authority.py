"""Authority to send orders to an engine that does not check fencing numbers."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

from minicheck import Protocol

from specs.protocol import make_protocol

LAST_PLAN = 3
MAX_STARTS = 2
MAX_IN_FLIGHT = 2
# The engine begins an order within this time after it was sent, or never.
TRANSIT_TICKS = 1
# Must exceed the transit time. With equal times the checker finds an order that begins
# at the end of its transit time, when the quiet time is already over.
QUIET_TICKS = TRANSIT_TICKS + 1
# cas: planners write the plan by compare-and-swap.
# quiet: a sidecar waits for the quiet time before it serves.
# ask: it then waits until the engine reports that it is idle.
# source: it reads plans from the key-value service, never an outdated copy.
# one: it sends no order while another is unanswered.
# slot: at most one process of the sidecar runs at a time.
GUARDS = frozenset({"cas", "quiet", "ask", "source", "one", "slot"})
EMPTY_PLAN = -1

WAITING = "waiting"
QUIET_OVER = "quiet over"
IDLE = "idle"
READ = "read"
SENT = "sent"


class Sidecar(NamedTuple):
    """
    A process of the sidecar, from its start to its end.

    :ivar phase: current activity.
    :ivar ticks_waited: ticks of the quiet time that have passed.
    :ivar plan_read: plan that it read last and will send next.
    """

    phase: str
    ticks_waited: int
    plan_read: int


class InFlightOrder(NamedTuple):
    """An order that was sent and that the engine has not begun."""

    plan: int
    age: int


class State(NamedTuple):
    """
    State of the whole system.

    :ivar plan: number of the plan in the key-value service.
    :ivar planners: plan that each of two planners has read, or ``EMPTY_PLAN``.
    :ivar sidecars: running processes of the sidecar; at most one if the guard ``slot``
        is enabled.
    :ivar starts: number of processes started so far.
    :ivar in_flight: orders that were sent and have not begun.
    :ivar executing: plan that the engine carries out, or ``EMPTY_PLAN``.
    :ivar newest: newest plan that the engine has begun.
    :ivar went_back: whether the engine began an older plan after a newer one.
    :ivar overlapped: whether the engine began a plan while it carried out another.
    """

    plan: int
    planners: tuple[int, int]
    sidecars: tuple[Sidecar, ...]
    starts: int
    in_flight: tuple[InFlightOrder, ...]
    executing: int
    newest: int
    went_back: bool
    overlapped: bool


INITIAL = State(
    plan=0,
    planners=(EMPTY_PLAN, EMPTY_PLAN),
    sidecars=(Sidecar(WAITING, 0, 0),),
    starts=1,
    in_flight=(),
    executing=EMPTY_PLAN,
    newest=0,
    went_back=False,
    overlapped=False,
)


def steps(state: State, guards: frozenset[str]) -> Iterator[tuple[str, State]]:
    """
    Yield the label and the resulting state of each possible next step.

    :param state: current state of the system.
    :param guards: mechanisms that are enabled.
    """
    yield from _planner_steps(state, guards)
    yield from _sidecar_steps(state, guards)
    yield from _engine_steps(state)
    yield from _failures(state, guards)


def _planner_steps(state: State, guards: frozenset[str]) -> Iterator[tuple[str, State]]:
    for number, plan_read in enumerate(state.planners):
        if plan_read == EMPTY_PLAN:
            planners = _replace_at(state.planners, number, state.plan)
            yield f"planner {number} reads", state._replace(planners=planners)
            continue
        planners = _replace_at(state.planners, number, EMPTY_PLAN)
        if "cas" in guards and plan_read != state.plan:
            yield f"planner {number} loses", state._replace(planners=planners)
        elif plan_read < LAST_PLAN:
            new = state._replace(planners=planners, plan=plan_read + 1)
            yield f"planner {number} writes", new


def _sidecar_steps(state: State, guards: frozenset[str]) -> Iterator[tuple[str, State]]:
    for number, sidecar in enumerate(state.sidecars):
        if sidecar.phase in (WAITING, QUIET_OVER):
            yield from _startup_steps(state, number, guards)
        elif sidecar.phase == IDLE:
            for plan in _readable_plans(state, guards):
                if plan != state.newest:
                    yield _update_sidecar(
                        state, number, f"reads {plan}", phase=READ, plan_read=plan
                    )
        elif sidecar.phase == READ and len(state.in_flight) < MAX_IN_FLIGHT:
            yield _send_order(state, number, guards)
        elif sidecar.phase == SENT:
            yield _update_sidecar(
                state, number, "gives the answer up", phase=WAITING, ticks_waited=0
            )
            if _is_answered(state, sidecar):
                yield _update_sidecar(state, number, "has its answer", phase=IDLE)


def _startup_steps(
    state: State, number: int, guards: frozenset[str]
) -> Iterator[tuple[str, State]]:
    sidecar = state.sidecars[number]
    if sidecar.phase == WAITING:
        if "quiet" not in guards or sidecar.ticks_waited >= QUIET_TICKS:
            yield _update_sidecar(
                state, number, "ends its quiet time", phase=QUIET_OVER
            )
    elif "ask" not in guards or state.executing == EMPTY_PLAN:
        yield _update_sidecar(state, number, "finds the engine idle", phase=IDLE)


def _send_order(state: State, number: int, guards: frozenset[str]) -> tuple[str, State]:
    phase = SENT if "one" in guards else IDLE
    label, new = _update_sidecar(state, number, "sends", phase=phase)
    order = InFlightOrder(state.sidecars[number].plan_read, 0)
    return label, new._replace(in_flight=(*state.in_flight, order))


def _readable_plans(state: State, guards: frozenset[str]) -> list[int]:
    """List the plans that a sidecar may take for the newest."""
    if "source" in guards:
        return [state.plan]
    return list(range(state.plan + 1))


def _is_answered(state: State, sidecar: Sidecar) -> bool:
    is_in_flight = any(order.plan == sidecar.plan_read for order in state.in_flight)
    return not is_in_flight and state.executing != sidecar.plan_read


def _engine_steps(state: State) -> Iterator[tuple[str, State]]:
    for number, order in enumerate(state.in_flight):
        in_flight = state.in_flight[:number] + state.in_flight[number + 1 :]
        new = state._replace(
            in_flight=in_flight,
            executing=order.plan,
            newest=max(state.newest, order.plan),
            went_back=state.went_back or order.plan < state.newest,
            overlapped=state.overlapped or state.executing != EMPTY_PLAN,
        )
        yield f"engine begins {order.plan}", new
    if state.executing != EMPTY_PLAN:
        yield "engine is done", state._replace(executing=EMPTY_PLAN)


def _failures(state: State, guards: frozenset[str]) -> Iterator[tuple[str, State]]:
    for number in range(len(state.sidecars)):
        remaining = state.sidecars[:number] + state.sidecars[number + 1 :]
        yield "sidecar dies", state._replace(sidecars=remaining)
    is_free = not state.sidecars or ("slot" not in guards and len(state.sidecars) < 2)
    if is_free and state.starts < MAX_STARTS:
        sidecars = (*state.sidecars, Sidecar(WAITING, 0, 0))
        yield (
            "sidecar starts",
            state._replace(sidecars=sidecars, starts=state.starts + 1),
        )
    # The quiet time rests on this assumption: an order begins or is lost within its
    # transit time, so time does not pass while one is overdue.
    if all(order.age < TRANSIT_TICKS for order in state.in_flight):
        yield "time passes", _advance_time(state)
    for number in range(len(state.in_flight)):
        in_flight = state.in_flight[:number] + state.in_flight[number + 1 :]
        yield "order is lost", state._replace(in_flight=in_flight)


def _advance_time(state: State) -> State:
    in_flight = tuple(
        InFlightOrder(order.plan, order.age + 1) for order in state.in_flight
    )
    sidecars = tuple(
        sidecar._replace(ticks_waited=min(QUIET_TICKS, sidecar.ticks_waited + 1))
        if sidecar.phase == WAITING
        else sidecar
        for sidecar in state.sidecars
    )
    return state._replace(in_flight=in_flight, sidecars=sidecars)


def _update_sidecar(
    state: State, number: int, action: str, **changes: object
) -> tuple[str, State]:
    sidecar = state.sidecars[number]._replace(**changes)  # type: ignore[arg-type]
    sidecars = (*state.sidecars[:number], sidecar, *state.sidecars[number + 1 :])
    return f"sidecar {action}", state._replace(sidecars=sidecars)


def _replace_at(pair: tuple[int, int], number: int, value: int) -> tuple[int, int]:
    return (value, pair[1]) if number == 0 else (pair[0], value)


INVARIANTS: dict[str, Callable[[dict[str, Any]], bool]] = {
    "no older order after a newer": lambda values: not values["went_back"],
    "one order at a time": lambda values: not values["overlapped"],
}


def specification(guards: frozenset[str] = GUARDS) -> Protocol:
    """
    Create the protocol for the model checker.

    :param guards: mechanisms that are enabled.
    """
    return make_protocol("authority", INITIAL, steps, guards, INVARIANTS)
