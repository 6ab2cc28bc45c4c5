"""Which configuration a gateway acts on, through lost history, outages and restarts."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

from minicheck import Protocol

from specs.protocol import make_protocol

LAST_VERSION = 3
# Readings and events that are on their way to the gateway at once.
MAX_COMING = 2
GUARDS = frozenset({"rises", "ready"})


class State(NamedTuple):
    """
    All that the protocol depends on.

    :ivar written: version that the operator wrote last.
    :ivar coming: versions in answers of the store; a slow one may be old.
    :ivar known: version that the gateway acts on; 0 for none.
    :ivar newest_used: of the versions that requests saw in this life.
    :ivar went_back: whether a request saw an older version than one before it.
    :ivar denied_blindly: whether one was told that there is no route, without any
        configuration.
    """

    written: int
    coming: tuple[int, ...]
    known: int
    newest_used: int
    went_back: bool
    denied_blindly: bool


INITIAL = State(1, (), 0, 0, False, False)


def steps(state: State, guards: frozenset[str]) -> Iterator[tuple[str, State]]:
    """
    Yield every step that may come next.

    :param state: where the system is.
    :param guards: mechanisms that are in place.
    """
    if state.written < LAST_VERSION:
        yield "the operator writes", state._replace(written=state.written + 1)
    if len(state.coming) < MAX_COMING:
        coming = (*state.coming, state.written)
        yield "the store answers", state._replace(coming=coming)
    for number, version in enumerate(state.coming):
        rest = state.coming[:number] + state.coming[number + 1 :]
        is_taken = version > state.known or "rises" not in guards
        known = version if is_taken else state.known
        yield f"{version} arrives", state._replace(coming=rest, known=known)
    yield "a request comes", _requested(state, guards)
    # Nothing is kept over a restart, and what was asked for before it is not heard.
    yield "the gateway restarts", state._replace(coming=(), known=0, newest_used=0)


def _requested(state: State, guards: frozenset[str]) -> State:
    if state.known == 0:
        is_blind = "ready" not in guards
        return state._replace(denied_blindly=state.denied_blindly or is_blind)
    return state._replace(
        newest_used=max(state.newest_used, state.known),
        went_back=state.went_back or state.known < state.newest_used,
    )


INVARIANTS: dict[str, Callable[[dict[str, Any]], bool]] = {
    "no version reverts in one life": lambda values: not values["went_back"],
    "nothing is denied without a configuration": lambda values: (
        not values["denied_blindly"]
    ),
}


def specification(guards: frozenset[str] = GUARDS) -> Protocol:
    """
    Make the protocol for the model checker.

    :param guards: mechanisms that are in place.
    """
    return make_protocol("versions", INITIAL, steps, guards, INVARIANTS)
