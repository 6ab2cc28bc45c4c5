"""Configuration version that a gateway uses across outages and restarts."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

from minicheck import Protocol

from specs.protocol import make_protocol

LAST_VERSION = 3
# Maximum number of responses and events in transit to the gateway.
MAX_IN_TRANSIT = 2
# rises: the gateway accepts only a version above its active one.
# ready: the gateway denies no request until it has a configuration.
GUARDS = frozenset({"rises", "ready"})


class State(NamedTuple):
    """
    State of the whole system.

    :ivar latest_version: version that the operator wrote last.
    :ivar in_transit: versions in responses of the store; a slow one may be outdated.
    :ivar active_version: version that the gateway uses; 0 for none.
    :ivar newest_used: newest version that a request has used since the last restart.
    :ivar went_back: whether a request used an older version than an earlier request.
    :ivar denied_blindly: whether a request was denied for lack of a route while the
        gateway had no configuration.
    """

    latest_version: int
    in_transit: tuple[int, ...]
    active_version: int
    newest_used: int
    went_back: bool
    denied_blindly: bool


INITIAL = State(1, (), 0, 0, False, False)


def steps(state: State, guards: frozenset[str]) -> Iterator[tuple[str, State]]:
    """
    Yield the label and the resulting state of each possible next step.

    :param state: current state of the system.
    :param guards: mechanisms that are enabled.
    """
    if state.latest_version < LAST_VERSION:
        yield (
            "the operator writes",
            state._replace(latest_version=state.latest_version + 1),
        )
    if len(state.in_transit) < MAX_IN_TRANSIT:
        in_transit = (*state.in_transit, state.latest_version)
        yield "the store answers", state._replace(in_transit=in_transit)
    for number, version in enumerate(state.in_transit):
        remaining = state.in_transit[:number] + state.in_transit[number + 1 :]
        is_accepted = version > state.active_version or "rises" not in guards
        active_version = version if is_accepted else state.active_version
        yield (
            f"{version} arrives",
            state._replace(in_transit=remaining, active_version=active_version),
        )
    yield "a request comes", _handle_request(state, guards)
    # A restart loses all state, and responses to earlier reads are not received.
    yield (
        "the gateway restarts",
        state._replace(in_transit=(), active_version=0, newest_used=0),
    )


def _handle_request(state: State, guards: frozenset[str]) -> State:
    if state.active_version == 0:
        is_denied_blindly = "ready" not in guards
        return state._replace(denied_blindly=state.denied_blindly or is_denied_blindly)
    return state._replace(
        newest_used=max(state.newest_used, state.active_version),
        went_back=state.went_back or state.active_version < state.newest_used,
    )


INVARIANTS: dict[str, Callable[[dict[str, Any]], bool]] = {
    "no version reverts in one life": lambda values: not values["went_back"],
    "nothing is denied without a configuration": lambda values: (
        not values["denied_blindly"]
    ),
}


def specification(guards: frozenset[str] = GUARDS) -> Protocol:
    """
    Create the protocol for the model checker.

    :param guards: mechanisms that are enabled.
    """
    return make_protocol("versions", INITIAL, steps, guards, INVARIANTS)
