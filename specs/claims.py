"""A call that may not be repeated: claimed by one of two sidecars, run at most once."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

from minicheck import Protocol

from specs.protocol import make_protocol

GUARDS = frozenset({"cas", "load", "claim_first", "own_write"})
LAST_WRITE = 5
LAST_ATTEMPT = 3
NOBODY = -1

NEW = "new"
LOADED = "loaded"
OWNER = "owner"
TAKING = "taking over"
CLAIMING = "claiming"
DOUBTING = "doubting"
GRANTED = "granted"


class Sidecar(NamedTuple):
    """
    One of the sidecars that may commit the claim.

    :ivar phase: what it does with the partition.
    :ivar revision: of the document that it read or wrote last.
    :ivar knows: whether its table holds the claim.
    :ivar asked: attempt that waits here, or ``NOBODY``.
    """

    phase: str
    revision: int
    knows: bool
    asked: int


class Write(NamedTuple):
    """A compare-and-swap on its way to the key-value service."""

    by: int
    against: int
    has_claim: bool


class State(NamedTuple):
    """
    All that the protocol depends on.

    :ivar revision: of the stored document.
    :ivar owner: sidecar that the document names.
    :ivar has_claim: whether the document holds the claim.
    :ivar writes: on their way.
    :ivar attempts: made so far by the caller.
    :ivar runs: how often the call ran.
    :ivar refused: attempts that were told "not run".
    :ivar ran: attempts that ran.
    """

    revision: int
    owner: int
    has_claim: bool
    writes: tuple[Write, ...]
    sidecars: tuple[Sidecar, Sidecar]
    attempts: int
    runs: int
    refused: frozenset[int]
    ran: frozenset[int]


FRESH = Sidecar(NEW, 0, False, NOBODY)
INITIAL = State(0, NOBODY, False, (), (FRESH, FRESH), 0, 0, frozenset(), frozenset())


def steps(state: State, guards: frozenset[str]) -> Iterator[tuple[str, State]]:
    """
    Yield every step that may come next.

    :param state: where the system is.
    :param guards: mechanisms that are in place.
    """
    for number, sidecar in enumerate(state.sidecars):
        name = f"sidecar {number}"
        if sidecar.asked == NOBODY:
            if state.attempts < LAST_ATTEMPT:
                asked = _set(state, number, asked=state.attempts)
                yield f"{name} is asked", asked._replace(attempts=state.attempts + 1)
        else:
            for label, new in _work(state, number, guards):
                yield f"{name} {label}", new
        yield f"{name} dies and is replaced", _replaced(state, number)
    yield from _service(state, guards)


def _work(
    state: State, number: int, guards: frozenset[str]
) -> Iterator[tuple[str, State]]:
    sidecar = state.sidecars[number]
    if sidecar.phase == NEW:
        knows = state.has_claim if "load" in guards else False
        loaded = _set(state, number, phase=LOADED, revision=state.revision, knows=knows)
        yield "reads the document", loaded
    elif sidecar.phase == LOADED:
        yield "takes over", _sent(state, number, TAKING, sidecar.knows)
    elif sidecar.phase == OWNER and sidecar.knows:
        yield "says unknown", _set(state, number, asked=NOBODY)
    elif sidecar.phase == OWNER and "claim_first" not in guards:
        yield "runs the call unclaimed", _run(state, number)
    elif sidecar.phase == OWNER:
        yield "claims", _sent(state, number, CLAIMING, True)
    elif sidecar.phase in (TAKING, CLAIMING):
        yield "gets no answer", _set(state, number, phase=DOUBTING)
    elif sidecar.phase == DOUBTING:
        yield _read_back(state, number, guards)
    elif sidecar.phase == GRANTED:
        yield "runs the call", _run(state, number)


def _sent(state: State, number: int, phase: str, has_claim: bool) -> State:
    write = Write(number, state.sidecars[number].revision, has_claim)
    if len(state.writes) >= 2 or state.revision >= LAST_WRITE:
        return state
    sent = _set(state, number, phase=phase)
    return sent._replace(writes=(*state.writes, write))


def _read_back(state: State, number: int, guards: frozenset[str]) -> tuple[str, State]:
    sidecar = state.sidecars[number]
    is_own = state.owner == number and state.revision == sidecar.revision + 1
    if "own_write" not in guards:
        is_own = state.owner == number
    if not is_own:
        # The write may still arrive; the attempt is refused, so it is never run.
        refused = state.refused | {sidecar.asked}
        given_up = _set(state, number, phase=NEW, knows=False, asked=NOBODY)
        return "finds no write of its own", given_up._replace(refused=refused)
    phase = GRANTED if state.has_claim and not sidecar.knows else OWNER
    found = _set(
        state,
        number,
        phase=phase,
        revision=state.revision,
        knows=state.has_claim,
    )
    return "finds its own write", found


def _run(state: State, number: int) -> State:
    asked = state.sidecars[number].asked
    done = _set(state, number, phase=OWNER, knows=True, asked=NOBODY)
    return done._replace(runs=state.runs + 1, ran=state.ran | {asked})


def _service(state: State, guards: frozenset[str]) -> Iterator[tuple[str, State]]:
    for index, write in enumerate(state.writes):
        rest = state.writes[:index] + state.writes[index + 1 :]
        arrived = state._replace(writes=rest)
        is_taken = write.against == state.revision or "cas" not in guards
        if not is_taken:
            yield "a write loses", _answered(arrived, write, False)
            continue
        stored = arrived._replace(
            revision=state.revision + 1, owner=write.by, has_claim=write.has_claim
        )
        yield "a write is stored and answered", _answered(stored, write, True)
        yield "a write is stored, its answer lost", stored


def _answered(state: State, write: Write, is_stored: bool) -> State:
    sidecar = state.sidecars[write.by]
    is_waiting = sidecar.phase in (TAKING, CLAIMING)
    if not is_waiting or sidecar.revision != write.against:
        return state
    if not is_stored:
        refused = state.refused | {sidecar.asked}
        lost = _set(state, write.by, phase=NEW, knows=False, asked=NOBODY)
        return lost._replace(refused=refused)
    phase = GRANTED if sidecar.phase == CLAIMING else OWNER
    return _set(state, write.by, phase=phase, revision=state.revision)


def _replaced(state: State, number: int) -> State:
    fresh = FRESH
    return state._replace(sidecars=_with(state.sidecars, number, fresh))


def _set(state: State, number: int, **changes: object) -> State:
    sidecar = state.sidecars[number]._replace(**changes)  # type: ignore[arg-type]
    return state._replace(sidecars=_with(state.sidecars, number, sidecar))


def _with(
    pair: tuple[Sidecar, Sidecar], number: int, sidecar: Sidecar
) -> tuple[Sidecar, Sidecar]:
    return (sidecar, pair[1]) if number == 0 else (pair[0], sidecar)


INVARIANTS: dict[str, Callable[[dict[str, Any]], bool]] = {
    "runs at most once": lambda values: values["runs"] <= 1,
    "refused did not run": lambda values: not (values["refused"] & values["ran"]),
}


def specification(guards: frozenset[str] = GUARDS) -> Protocol:
    """
    Make the protocol for the model checker.

    :param guards: mechanisms that are in place.
    """
    return make_protocol("claims", INITIAL, steps, guards, INVARIANTS)
