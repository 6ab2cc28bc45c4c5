"""Who may order an engine under a lease that the store may take away unseen."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

from minicheck import Protocol

from specs.protocol import make_protocol

NOBODY = -1
LAST_FENCE = 2
# Ticks for which orders of two holders must stay apart.
LEASE_TICKS = 2
# Ticks for which a reading of the key may be acted on.
READ_TICKS = 1
# A new holder waits for both: the last one may have read the key just before.
WAIT_TICKS = LEASE_TICKS + READ_TICKS
MAX_LATE = 2
GUARDS = frozenset({"read", "fresh", "wait", "expected"})

IDLE = "idle"
HOLDS = "holds"
READ = "read"


class Gateway(NamedTuple):
    """
    What one gateway believes.

    :ivar fence: of the right that it took; 0 for none.
    :ivar held: ticks since it took it.
    :ivar read_age: ticks since it read that the key is its own.
    :ivar is_current: whether the engine has accepted no order since it was asked.
    """

    phase: str
    fence: int
    held: int
    read_age: int
    is_current: bool


class Late(NamedTuple):
    """
    An order that arrived and is carried out later.

    :ivar is_current: whether it still expects what the engine has accepted.
    """

    fence: int
    is_current: bool


class State(NamedTuple):
    """
    All that the protocol depends on.

    :ivar holder: whose the key is, or ``NOBODY``.
    :ivar fence: revision of the key's last writing.
    :ivar late: orders that are yet to be carried out.
    :ivar newest: highest fencing number that it has carried out.
    :ivar last_fence: of the order that arrived last; 0 before the first.
    :ivar last_age: ticks since.
    :ivar went_back: whether an older order was carried out after a newer one.
    :ivar took_turns: whether orders of two holders arrived within a lease.
    """

    holder: int
    fence: int
    gateways: tuple[Gateway, Gateway]
    late: tuple[Late, ...]
    newest: int
    last_fence: int
    last_age: int
    went_back: bool
    took_turns: bool


NOTHING = Gateway(IDLE, 0, 0, 0, False)
INITIAL = State(NOBODY, 0, (NOTHING, NOTHING), (), 0, 0, LEASE_TICKS, False, False)


def steps(state: State, guards: frozenset[str]) -> Iterator[tuple[str, State]]:
    """
    Yield every step that may come next.

    :param state: where the system is.
    :param guards: mechanisms that are in place.
    """
    for number in range(2):
        yield from _gateway_steps(state, number, guards)
    yield from _engine_steps(state, guards)
    if state.holder != NOBODY:
        # A lease that lapsed, or keys that the store took away: no call tells.
        yield "the key is taken away", state._replace(holder=NOBODY)
    yield "time passes", _older(state)


def _gateway_steps(
    state: State, number: int, guards: frozenset[str]
) -> Iterator[tuple[str, State]]:
    gateway = state.gateways[number]
    if gateway.phase == IDLE:
        if state.holder == NOBODY and state.fence < LAST_FENCE:
            fence = state.fence + 1
            taken = state._replace(holder=number, fence=fence)
            yield (
                f"{number} takes the key",
                _put(taken, number, phase=HOLDS, fence=fence),
            )
        return
    is_own = state.holder == number and state.fence == gateway.fence
    if gateway.phase == HOLDS:
        if "wait" in guards and gateway.held < WAIT_TICKS:
            return
        if is_own or "read" not in guards:
            read = _put(state, number, phase=READ, read_age=0, is_current=True)
            yield f"{number} asks the engine and reads the key", read
        else:
            yield f"{number} finds the key gone", _put(state, number, **_fresh())
        return
    back = _put(state, number, phase=HOLDS, read_age=0, is_current=False)
    if "fresh" in guards and gateway.read_age > READ_TICKS:
        yield f"{number} read too long ago", back
    elif len(state.late) < MAX_LATE:
        yield f"{number} orders", _arrived(back, gateway)


def _fresh() -> dict[str, Any]:
    return NOTHING._asdict()


def _arrived(state: State, gateway: Gateway) -> State:
    is_turn = state.last_fence not in (0, gateway.fence)
    return state._replace(
        late=(*state.late, Late(gateway.fence, gateway.is_current)),
        last_fence=gateway.fence,
        last_age=0,
        took_turns=state.took_turns or (is_turn and state.last_age < LEASE_TICKS),
    )


def _engine_steps(state: State, guards: frozenset[str]) -> Iterator[tuple[str, State]]:
    for number, order in enumerate(state.late):
        rest = state.late[:number] + state.late[number + 1 :]
        if "expected" in guards and not order.is_current:
            yield "the engine refuses an order", state._replace(late=rest)
            continue
        first, second = (item._replace(is_current=False) for item in state.gateways)
        new = state._replace(
            late=tuple(item._replace(is_current=False) for item in rest),
            gateways=(first, second),
            newest=max(state.newest, order.fence),
            went_back=state.went_back or order.fence < state.newest,
        )
        yield f"the engine carries out {order.fence}", new


def _older(state: State) -> State:
    first, second = (_older_gateway(gateway) for gateway in state.gateways)
    last_age = min(LEASE_TICKS, state.last_age + 1)
    return state._replace(gateways=(first, second), last_age=last_age)


def _older_gateway(gateway: Gateway) -> Gateway:
    if gateway.phase == IDLE:
        return gateway
    held = min(WAIT_TICKS, gateway.held + 1)
    if gateway.phase != READ:
        return gateway._replace(held=held)
    read_age = min(READ_TICKS + 1, gateway.read_age + 1)
    return gateway._replace(held=held, read_age=read_age)


def _put(state: State, number: int, **changes: Any) -> State:
    gateways = list(state.gateways)
    gateways[number] = gateways[number]._replace(**changes)
    return state._replace(gateways=(gateways[0], gateways[1]))


INVARIANTS: dict[str, Callable[[dict[str, Any]], bool]] = {
    "no older order after a newer": lambda values: not values["went_back"],
    "holders stay a lease apart": lambda values: not values["took_turns"],
}


def specification(guards: frozenset[str] = GUARDS) -> Protocol:
    """
    Make the protocol for the model checker.

    :param guards: mechanisms that are in place.
    """
    return make_protocol("holder", INITIAL, steps, guards, INVARIANTS)
