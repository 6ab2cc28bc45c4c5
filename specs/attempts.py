"""Attempts of a non-idempotent call: what a gateway may send and report."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

from minicheck import Protocol

from specs.protocol import make_protocol

TARGETS = 2
MAX_SENDS = 3
# doubt: a call whose connection was lost may have run, so it is not sent again.
# one: the gateway waits for the outcome of an attempt before it sends another.
# typed: only a typed rejection, and no other failure, means that the call did not run.
# bound: a call that is unanswered at its deadline is reported as unknown.
GUARDS = frozenset({"doubt", "one", "typed", "bound"})

# State of the last attempt, as the gateway knows it.
READY = "ready"
SENT = "sent"
OVER = "over"

# Final response to the caller.
NONE = "none"
SUCCESS = "success"
NOT_RUN = "not run"
UNKNOWN = "unknown"


class Copy(NamedTuple):
    """
    A copy of the call in transit to a target, or its response in transit back.

    :ivar is_awaited: whether the gateway still waits for the response.
    :ivar outcome: empty until the target has responded; then ``ran`` or ``rejected``.
    """

    target: int
    is_awaited: bool
    outcome: str


class State(NamedTuple):
    """
    State of the whole system.

    :ivar may_have_run: whether the gateway must assume that an attempt has run.
    :ivar copies: copies in transit; one may still arrive after its connection broke.
    :ivar runs: number of times that targets ran the call.
    """

    phase: str
    may_have_run: bool
    send_count: int
    copies: tuple[Copy, ...]
    runs: int
    answer: str


INITIAL = State(READY, False, 0, (), 0, NONE)


def steps(state: State, guards: frozenset[str]) -> Iterator[tuple[str, State]]:
    """
    Yield the label and the resulting state of each possible next step.

    :param state: current state of the system.
    :param guards: mechanisms that are enabled.
    """
    for number, copy in enumerate(state.copies):
        yield from _target_steps(state, number, copy)
        yield from _answer_steps(state, number, copy, guards)
    if state.phase == OVER:
        return
    yield from _send_steps(state, guards)
    if state.phase == SENT:
        yield "the connection breaks", _lose_connection(state, guards)
    yield "the time is over", _pass_deadline(state, guards)


def _target_steps(state: State, number: int, copy: Copy) -> Iterator[tuple[str, State]]:
    if copy.outcome:
        return
    ran = _replace_copy(state, number, copy._replace(outcome="ran"))
    yield f"{copy.target} runs it", ran._replace(runs=state.runs + 1)
    rejected = copy._replace(outcome="rejected")
    yield f"{copy.target} rejects it", _replace_copy(state, number, rejected)


def _answer_steps(
    state: State, number: int, copy: Copy, guards: frozenset[str]
) -> Iterator[tuple[str, State]]:
    if not copy.outcome:
        return
    received = state._replace(copies=state.copies[:number] + state.copies[number + 1 :])
    if not copy.is_awaited or state.phase == OVER:
        yield "an answer that nobody waits for is dropped", received
    elif copy.outcome == "ran":
        yield "the answer comes", received._replace(phase=OVER, answer=SUCCESS)
        # A failure that the target reports does not tell whether the call ran.
        may_have_run = "typed" in guards
        yield (
            "a failure comes",
            received._replace(phase=READY, may_have_run=may_have_run),
        )
    else:
        yield "the rejection comes", received._replace(phase=READY)


def _send_steps(state: State, guards: frozenset[str]) -> Iterator[tuple[str, State]]:
    is_waiting = state.phase == SENT and "one" in guards
    if state.may_have_run or is_waiting or state.send_count == MAX_SENDS:
        return
    for target in range(TARGETS):
        sent = state._replace(
            phase=SENT,
            send_count=state.send_count + 1,
            copies=(*state.copies, Copy(target, True, "")),
        )
        yield f"it is sent to {target}", sent
    yield "no connection is made", state._replace(send_count=state.send_count + 1)


def _lose_connection(state: State, guards: frozenset[str]) -> State:
    abandoned_copies = tuple(copy._replace(is_awaited=False) for copy in state.copies)
    return state._replace(
        phase=READY, may_have_run="doubt" in guards, copies=abandoned_copies
    )


def _pass_deadline(state: State, guards: frozenset[str]) -> State:
    # A call that was sent and not answered may have run or may still run.
    may_run = state.may_have_run or (state.phase == SENT and "bound" in guards)
    answer = UNKNOWN if may_run else NOT_RUN
    return state._replace(phase=OVER, answer=answer)


def _replace_copy(state: State, number: int, copy: Copy) -> State:
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
    Create the protocol for the model checker.

    :param guards: mechanisms that are enabled.
    """
    return make_protocol("attempts", INITIAL, steps, guards, INVARIANTS)
