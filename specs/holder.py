"""Exclusive right to send orders, under a lease that may be lost unnoticed."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

from minicheck import Protocol

from specs.protocol import make_protocol

NOBODY = -1
LAST_FENCE = 2
# Minimum ticks between orders of two holders.
LEASE_TICKS = 2
# Ticks for which a read of the key remains valid.
READ_TICKS = 1
# A new holder waits for both, since the last one may have read the key just before.
WAIT_TICKS = LEASE_TICKS + READ_TICKS
MAX_PENDING = 2
# read: a holder reads the key before each order.
# fresh: it sends no order on a read that is older than ``READ_TICKS``.
# wait: a new holder waits for ``WAIT_TICKS`` before its first order.
# expected: the engine refuses an order that was prepared before it accepted another.
GUARDS = frozenset({"read", "fresh", "wait", "expected"})

IDLE = "idle"
HOLDS = "holds"
READ = "read"


class Gateway(NamedTuple):
    """
    Knowledge of one gateway.

    :ivar fence: fencing number of the lease that it took; 0 for none.
    :ivar ticks_held: ticks since it took the lease.
    :ivar read_age: ticks since it read that it still holds the key.
    :ivar is_current: whether the engine has accepted no order since it was asked.
    """

    phase: str
    fence: int
    ticks_held: int
    read_age: int
    is_current: bool


class PendingOrder(NamedTuple):
    """
    An order that has arrived and is carried out later.

    :ivar is_current: whether the engine has accepted no order since this was prepared.
    """

    fence: int
    is_current: bool


class State(NamedTuple):
    """
    State of the whole system.

    :ivar holder: gateway that holds the key, or ``NOBODY``.
    :ivar fence: revision of the last write of the key.
    :ivar pending: orders that have arrived and were not carried out.
    :ivar highest_fence: highest fencing number that the engine has carried out.
    :ivar last_fence: fencing number of the last order; 0 before the first.
    :ivar ticks_since_order: ticks since the last order arrived.
    :ivar went_back: whether an older order was carried out after a newer one.
    :ivar took_turns: whether orders of two holders arrived within ``LEASE_TICKS``.
    """

    holder: int
    fence: int
    gateways: tuple[Gateway, Gateway]
    pending: tuple[PendingOrder, ...]
    highest_fence: int
    last_fence: int
    ticks_since_order: int
    went_back: bool
    took_turns: bool


IDLE_GATEWAY = Gateway(IDLE, 0, 0, 0, False)
INITIAL = State(
    NOBODY, 0, (IDLE_GATEWAY, IDLE_GATEWAY), (), 0, 0, LEASE_TICKS, False, False
)


def steps(state: State, guards: frozenset[str]) -> Iterator[tuple[str, State]]:
    """
    Yield the label and the resulting state of each possible next step.

    :param state: current state of the system.
    :param guards: mechanisms that are enabled.
    """
    for number in range(2):
        yield from _gateway_steps(state, number, guards)
    yield from _engine_steps(state, guards)
    if state.holder != NOBODY:
        # The lease expired or the store lost its keys; the holder is not notified.
        yield "the key is taken away", state._replace(holder=NOBODY)
    yield "time passes", _advance_time(state)


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
                _update_gateway(taken, number, phase=HOLDS, fence=fence),
            )
        return
    is_holder = state.holder == number and state.fence == gateway.fence
    if gateway.phase == HOLDS:
        if "wait" in guards and gateway.ticks_held < WAIT_TICKS:
            return
        if is_holder or "read" not in guards:
            read = _update_gateway(
                state, number, phase=READ, read_age=0, is_current=True
            )
            yield f"{number} asks the engine and reads the key", read
        else:
            yield (
                f"{number} finds the key gone",
                _update_gateway(state, number, **_idle_fields()),
            )
        return
    holding = _update_gateway(state, number, phase=HOLDS, read_age=0, is_current=False)
    if "fresh" in guards and gateway.read_age > READ_TICKS:
        yield f"{number} read too long ago", holding
    elif len(state.pending) < MAX_PENDING:
        yield f"{number} orders", _receive_order(holding, gateway)


def _idle_fields() -> dict[str, Any]:
    return IDLE_GATEWAY._asdict()


def _receive_order(state: State, gateway: Gateway) -> State:
    is_other_holder = state.last_fence not in (0, gateway.fence)
    return state._replace(
        pending=(*state.pending, PendingOrder(gateway.fence, gateway.is_current)),
        last_fence=gateway.fence,
        ticks_since_order=0,
        took_turns=state.took_turns
        or (is_other_holder and state.ticks_since_order < LEASE_TICKS),
    )


def _engine_steps(state: State, guards: frozenset[str]) -> Iterator[tuple[str, State]]:
    for number, order in enumerate(state.pending):
        remaining = state.pending[:number] + state.pending[number + 1 :]
        if "expected" in guards and not order.is_current:
            yield "the engine refuses an order", state._replace(pending=remaining)
            continue
        first, second = (item._replace(is_current=False) for item in state.gateways)
        new = state._replace(
            pending=tuple(item._replace(is_current=False) for item in remaining),
            gateways=(first, second),
            highest_fence=max(state.highest_fence, order.fence),
            went_back=state.went_back or order.fence < state.highest_fence,
        )
        yield f"the engine carries out {order.fence}", new


def _advance_time(state: State) -> State:
    first, second = (_advance_gateway(gateway) for gateway in state.gateways)
    ticks_since_order = min(LEASE_TICKS, state.ticks_since_order + 1)
    return state._replace(gateways=(first, second), ticks_since_order=ticks_since_order)


def _advance_gateway(gateway: Gateway) -> Gateway:
    if gateway.phase == IDLE:
        return gateway
    ticks_held = min(WAIT_TICKS, gateway.ticks_held + 1)
    if gateway.phase != READ:
        return gateway._replace(ticks_held=ticks_held)
    read_age = min(READ_TICKS + 1, gateway.read_age + 1)
    return gateway._replace(ticks_held=ticks_held, read_age=read_age)


def _update_gateway(state: State, number: int, **changes: Any) -> State:
    gateways = list(state.gateways)
    gateways[number] = gateways[number]._replace(**changes)
    return state._replace(gateways=(gateways[0], gateways[1]))


INVARIANTS: dict[str, Callable[[dict[str, Any]], bool]] = {
    "no older order after a newer": lambda values: not values["went_back"],
    "holders stay a lease apart": lambda values: not values["took_turns"],
}


def specification(guards: frozenset[str] = GUARDS) -> Protocol:
    """
    Create the protocol for the model checker.

    :param guards: mechanisms that are enabled.
    """
    return make_protocol("holder", INITIAL, steps, guards, INVARIANTS)
