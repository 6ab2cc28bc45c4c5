"""Claims of a non-idempotent call, which two sidecars run at most once in total."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

from minicheck import Protocol

from specs.protocol import make_protocol

# cas: the store accepts a write only if it expects the stored revision.
# load: a new sidecar loads the claim from the document.
# claim_first: the claim is committed before the call runs.
# own_write: after a lost response, only the sidecar's own write counts as committed.
GUARDS = frozenset({"cas", "load", "claim_first", "own_write"})
LAST_WRITE = 5
LAST_ATTEMPT = 3
NOBODY = -1

NEW = "new"
LOADED = "loaded"
OWNER = "owner"
TAKING_OVER = "taking over"
CLAIMING = "claiming"
# The response to a write was lost, so that its outcome is unknown.
DOUBTING = "doubting"
GRANTED = "granted"


class Sidecar(NamedTuple):
    """
    One of the sidecars that may commit the claim.

    :ivar phase: state of its ownership of the partition.
    :ivar revision: revision of the document that it read or wrote last.
    :ivar knows_claim: whether its table contains the claim.
    :ivar waiting_attempt: attempt that waits for a response, or ``NOBODY``.
    """

    phase: str
    revision: int
    knows_claim: bool
    waiting_attempt: int


class Write(NamedTuple):
    """A compare-and-swap in transit to the key-value service."""

    writer: int
    expected_revision: int
    has_claim: bool


class State(NamedTuple):
    """
    State of the whole system.

    :ivar revision: revision of the stored document.
    :ivar owner: sidecar that the document names as owner.
    :ivar has_claim: whether the document contains the claim.
    :ivar writes: writes in transit.
    :ivar attempts: number of attempts that the caller has made.
    :ivar runs: number of times that the call ran.
    :ivar refused: attempts that were answered with "not run".
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


NEW_SIDECAR = Sidecar(NEW, 0, False, NOBODY)
INITIAL = State(
    0, NOBODY, False, (), (NEW_SIDECAR, NEW_SIDECAR), 0, 0, frozenset(), frozenset()
)


def steps(state: State, guards: frozenset[str]) -> Iterator[tuple[str, State]]:
    """
    Yield the label and the resulting state of each possible next step.

    :param state: current state of the system.
    :param guards: mechanisms that are enabled.
    """
    for number, sidecar in enumerate(state.sidecars):
        name = f"sidecar {number}"
        if sidecar.waiting_attempt == NOBODY:
            if state.attempts < LAST_ATTEMPT:
                asked = _update_sidecar(state, number, waiting_attempt=state.attempts)
                yield (
                    f"{name} is asked",
                    asked._replace(attempts=state.attempts + 1),
                )
        else:
            for label, new in _sidecar_steps(state, number, guards):
                yield f"{name} {label}", new
        yield f"{name} dies and is replaced", _restart(state, number)
    yield from _store_steps(state, guards)


def _sidecar_steps(
    state: State, number: int, guards: frozenset[str]
) -> Iterator[tuple[str, State]]:
    sidecar = state.sidecars[number]
    if sidecar.phase == NEW:
        knows_claim = state.has_claim if "load" in guards else False
        loaded = _update_sidecar(
            state,
            number,
            phase=LOADED,
            revision=state.revision,
            knows_claim=knows_claim,
        )
        yield "reads the document", loaded
    elif sidecar.phase == LOADED:
        yield "takes over", _send_write(state, number, TAKING_OVER, sidecar.knows_claim)
    elif sidecar.phase == OWNER and sidecar.knows_claim:
        yield "says unknown", _update_sidecar(state, number, waiting_attempt=NOBODY)
    elif sidecar.phase == OWNER and "claim_first" not in guards:
        yield "runs the call unclaimed", _run(state, number)
    elif sidecar.phase == OWNER:
        yield "claims", _send_write(state, number, CLAIMING, True)
    elif sidecar.phase in (TAKING_OVER, CLAIMING):
        yield "gets no answer", _update_sidecar(state, number, phase=DOUBTING)
    elif sidecar.phase == DOUBTING:
        yield _read_back(state, number, guards)
    elif sidecar.phase == GRANTED:
        yield "runs the call", _run(state, number)


def _send_write(state: State, number: int, phase: str, has_claim: bool) -> State:
    write = Write(number, state.sidecars[number].revision, has_claim)
    if len(state.writes) >= 2 or state.revision >= LAST_WRITE:
        return state
    sent = _update_sidecar(state, number, phase=phase)
    return sent._replace(writes=(*state.writes, write))


def _read_back(state: State, number: int, guards: frozenset[str]) -> tuple[str, State]:
    sidecar = state.sidecars[number]
    is_own = state.owner == number and state.revision == sidecar.revision + 1
    if "own_write" not in guards:
        is_own = state.owner == number
    if not is_own:
        # The write may still arrive, but the attempt was refused and will never run.
        refused = state.refused | {sidecar.waiting_attempt}
        given_up = _update_sidecar(
            state, number, phase=NEW, knows_claim=False, waiting_attempt=NOBODY
        )
        return "finds no write of its own", given_up._replace(refused=refused)
    phase = GRANTED if state.has_claim and not sidecar.knows_claim else OWNER
    found = _update_sidecar(
        state,
        number,
        phase=phase,
        revision=state.revision,
        knows_claim=state.has_claim,
    )
    return "finds its own write", found


def _run(state: State, number: int) -> State:
    attempt = state.sidecars[number].waiting_attempt
    done = _update_sidecar(
        state, number, phase=OWNER, knows_claim=True, waiting_attempt=NOBODY
    )
    return done._replace(runs=state.runs + 1, ran=state.ran | {attempt})


def _store_steps(state: State, guards: frozenset[str]) -> Iterator[tuple[str, State]]:
    for index, write in enumerate(state.writes):
        remaining = state.writes[:index] + state.writes[index + 1 :]
        arrived = state._replace(writes=remaining)
        is_accepted = write.expected_revision == state.revision or "cas" not in guards
        if not is_accepted:
            yield "a write loses", _apply_response(arrived, write, False)
            continue
        stored = arrived._replace(
            revision=state.revision + 1, owner=write.writer, has_claim=write.has_claim
        )
        yield "a write is stored and answered", _apply_response(stored, write, True)
        yield "a write is stored, its answer lost", stored


def _apply_response(state: State, write: Write, is_stored: bool) -> State:
    sidecar = state.sidecars[write.writer]
    is_waiting = sidecar.phase in (TAKING_OVER, CLAIMING)
    if not is_waiting or sidecar.revision != write.expected_revision:
        return state
    if not is_stored:
        refused = state.refused | {sidecar.waiting_attempt}
        lost = _update_sidecar(
            state, write.writer, phase=NEW, knows_claim=False, waiting_attempt=NOBODY
        )
        return lost._replace(refused=refused)
    phase = GRANTED if sidecar.phase == CLAIMING else OWNER
    return _update_sidecar(state, write.writer, phase=phase, revision=state.revision)


def _restart(state: State, number: int) -> State:
    new_sidecar = NEW_SIDECAR
    return state._replace(sidecars=_replace_at(state.sidecars, number, new_sidecar))


def _update_sidecar(state: State, number: int, **changes: object) -> State:
    sidecar = state.sidecars[number]._replace(**changes)  # type: ignore[arg-type]
    return state._replace(sidecars=_replace_at(state.sidecars, number, sidecar))


def _replace_at(
    pair: tuple[Sidecar, Sidecar], number: int, sidecar: Sidecar
) -> tuple[Sidecar, Sidecar]:
    return (sidecar, pair[1]) if number == 0 else (pair[0], sidecar)


INVARIANTS: dict[str, Callable[[dict[str, Any]], bool]] = {
    "runs at most once": lambda values: values["runs"] <= 1,
    "refused did not run": lambda values: not (values["refused"] & values["ran"]),
}


def specification(guards: frozenset[str] = GUARDS) -> Protocol:
    """
    Create the protocol for the model checker.

    :param guards: mechanisms that are enabled.
    """
    return make_protocol("claims", INITIAL, steps, guards, INVARIANTS)
