"""One call that may not be repeated: what a gateway may send and say of it."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

from minicheck import Protocol

from specs.protocol import make_protocol

TARGETS = 2
MAX_SENDINGS = 3
GUARDS = frozenset({"doubt", "one", "typed", "bound"})

# What the gateway knows of its last sending.
READY = "ready"
SENT = "sent"
OVER = "over"

# Final answers.
NONE = "none"
SUCCESS = "success"
NOT_RUN = "not run"
UNKNOWN = "unknown"


class Copy(NamedTuple):
    """
    A copy of the call on its way to a target, or its answer on the way back.

    :ivar heard: whether the gateway still listens for the answer.
    :ivar outcome: empty until the target has decided; then ``ran`` or ``rejected``.
    """

    target: int
    heard: bool
    outcome: str


class State(NamedTuple):
    """
    All that the protocol depends on.

    :ivar is_doubtful: whether a sending may have run, as the gateway believes.
    :ivar copies: on the wire; one whose connection broke may still arrive.
    :ivar runs: how often targets ran the call.
    """

    phase: str
    is_doubtful: bool
    sendings: int
    copies: tuple[Copy, ...]
    runs: int
    answer: str


INITIAL = State(READY, False, 0, (), 0, NONE)


def steps(state: State, guards: frozenset[str]) -> Iterator[tuple[str, State]]:
    """
    Yield every step that may come next.

    :param state: where the system is.
    :param guards: mechanisms that are in place.
    """
    for number, copy in enumerate(state.copies):
        yield from _target_steps(state, number, copy)
        yield from _answer_steps(state, number, copy, guards)
    if state.phase == OVER:
        return
    yield from _sending_steps(state, guards)
    if state.phase == SENT:
        yield "the connection breaks", _broken(state, guards)
    yield "the time is over", _expired(state, guards)


def _target_steps(state: State, number: int, copy: Copy) -> Iterator[tuple[str, State]]:
    if copy.outcome:
        return
    ran = _put(state, number, copy._replace(outcome="ran"))
    yield f"{copy.target} runs it", ran._replace(runs=state.runs + 1)
    rejected = copy._replace(outcome="rejected")
    yield f"{copy.target} rejects it", _put(state, number, rejected)


def _answer_steps(
    state: State, number: int, copy: Copy, guards: frozenset[str]
) -> Iterator[tuple[str, State]]:
    if not copy.outcome:
        return
    gone = state._replace(copies=state.copies[:number] + state.copies[number + 1 :])
    if not copy.heard or state.phase == OVER:
        yield "an answer that nobody waits for is dropped", gone
    elif copy.outcome == "ran":
        yield "the answer comes", gone._replace(phase=OVER, answer=SUCCESS)
        # A failure of the target's own says nothing of whether it ran.
        is_doubtful = "typed" in guards
        yield "a failure comes", gone._replace(phase=READY, is_doubtful=is_doubtful)
    else:
        yield "the rejection comes", gone._replace(phase=READY)


def _sending_steps(state: State, guards: frozenset[str]) -> Iterator[tuple[str, State]]:
    is_waiting = state.phase == SENT and "one" in guards
    if state.is_doubtful or is_waiting or state.sendings == MAX_SENDINGS:
        return
    for target in range(TARGETS):
        sent = state._replace(
            phase=SENT,
            sendings=state.sendings + 1,
            copies=(*state.copies, Copy(target, True, "")),
        )
        yield f"it is sent to {target}", sent
    yield "no connection is made", state._replace(sendings=state.sendings + 1)


def _broken(state: State, guards: frozenset[str]) -> State:
    unheard = tuple(copy._replace(heard=False) for copy in state.copies)
    return state._replace(phase=READY, is_doubtful="doubt" in guards, copies=unheard)


def _expired(state: State, guards: frozenset[str]) -> State:
    # What was sent and not answered may run, now or later.
    may_run = state.is_doubtful or (state.phase == SENT and "bound" in guards)
    answer = UNKNOWN if may_run else NOT_RUN
    return state._replace(phase=OVER, answer=answer)


def _put(state: State, number: int, copy: Copy) -> State:
    copies = (*state.copies[:number], copy, *state.copies[number + 1 :])
    return state._replace(copies=copies)


INVARIANTS: dict[str, Callable[[dict[str, Any]], bool]] = {
    "it runs at most once": lambda values: values["runs"] <= 1,
    "what is said not to have run does not": lambda values: (
        values["answer"] != NOT_RUN or values["runs"] == 0
    ),
}


def specification(guards: frozenset[str] = GUARDS) -> Protocol:
    """
    Make the protocol for the model checker.

    :param guards: mechanisms that are in place.
    """
    return make_protocol("attempts", INITIAL, steps, guards, INVARIANTS)
