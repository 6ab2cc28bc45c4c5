"""Time for which gateways that verify their configuration serve a revoked key."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

from minicheck import Protocol

from specs.protocol import make_protocol

# Ticks after a revocation within which all gateways must stop serving the key.
REVOCATION_BOUND = 3
# Ages are capped here, since all ages past the bound are equivalent.
MAX_AGE = REVOCATION_BOUND + 1
# sent: the age of a response counts from when the query was sent.
# added: a response includes the age of the responder's own configuration.
# suspended: the clock counts the time for which the process was suspended.
# asked: only a response verifies the configuration, not a watch without changes.
# version: a response verifies only the configuration that it carries.
GUARDS = frozenset({"sent", "added", "suspended", "asked", "version"})

NOT_REVOKED = -1


class Query(NamedTuple):
    """
    A query in transit, or its response.

    :ivar age: ticks since the query was sent.
    :ivar answer_age: age of the response in ticks when it was sent; -1 before.
    :ivar is_revoked: whether the key is absent from the configuration in the response.
    """

    age: int
    answer_age: int
    is_revoked: bool


class Gateway(NamedTuple):
    """
    Knowledge of one gateway.

    :ivar age: ticks since its configuration was known to be the newest.
    :ivar is_revoked: whether the key is absent from its configuration.
    :ivar query: pending query, or ``None``.
    """

    age: int
    is_revoked: bool
    query: Query | None


class State(NamedTuple):
    """
    State of the whole system.

    :ivar revoked_for: ticks since the key was revoked; ``NOT_REVOKED`` before.
    :ivar reader: gateway that queries the store.
    :ivar other: gateway that queries the reader.
    """

    revoked_for: int
    reader: Gateway
    other: Gateway


UNPROVEN = Gateway(MAX_AGE, False, None)
INITIAL = State(NOT_REVOKED, UNPROVEN, UNPROVEN)
NEW_QUERY = Query(0, -1, False)


def steps(state: State, guards: frozenset[str]) -> Iterator[tuple[str, State]]:
    """
    Yield the label and the resulting state of each possible next step.

    :param state: current state of the system.
    :param guards: mechanisms that are enabled.
    """
    if state.revoked_for == NOT_REVOKED:
        yield "the key is revoked", state._replace(revoked_for=0)
    for name in ("reader", "other"):
        gateway: Gateway = getattr(state, name)
        for label, updated in _gateway_steps(state, name, gateway, guards):
            yield f"{name} {label}", _replace_gateway(state, name, updated)
        yield f"time passes, {name} is suspended", _advance_time(state, name, guards)
    yield "time passes", _advance_time(state, "", guards)


def _gateway_steps(
    state: State, name: str, gateway: Gateway, guards: frozenset[str]
) -> Iterator[tuple[str, Gateway]]:
    query = gateway.query
    if query is None:
        yield "asks", gateway._replace(query=NEW_QUERY)
        if "asked" not in guards:
            yield "takes a silent watch for a proof", gateway._replace(age=0)
        return
    yield "gets no answer", gateway._replace(query=None)
    if query.answer_age < 0:
        answer = _respond(state, name, query, guards)
        yield "is answered", gateway._replace(query=answer)
        return
    yield "hears the answer", _apply_response(gateway, query, guards)


def _respond(state: State, name: str, query: Query, guards: frozenset[str]) -> Query:
    if name == "reader":
        return query._replace(answer_age=0, is_revoked=state.revoked_for != NOT_REVOKED)
    age = state.reader.age if "added" in guards else 0
    return query._replace(answer_age=age, is_revoked=state.reader.is_revoked)


def _apply_response(gateway: Gateway, query: Query, guards: frozenset[str]) -> Gateway:
    query_age = query.age if "sent" in guards else 0
    age = min(MAX_AGE, query_age + query.answer_age)
    is_newer = query.is_revoked and not gateway.is_revoked
    if is_newer and "version" not in guards:
        # The response verifies a configuration that this gateway does not have.
        return Gateway(min(age, gateway.age), False, None)
    is_revoked = gateway.is_revoked or query.is_revoked
    return Gateway(min(age, gateway.age), is_revoked, None)


def _advance_time(state: State, suspended: str, guards: frozenset[str]) -> State:
    """Advance time by one tick, which a suspended gateway may not count."""
    revoked_for = state.revoked_for
    if revoked_for != NOT_REVOKED:
        revoked_for = min(MAX_AGE, revoked_for + 1)
    state = state._replace(revoked_for=revoked_for)
    for name in ("reader", "other"):
        if name != suspended or "suspended" in guards:
            state = _replace_gateway(
                state, name, _advance_gateway(getattr(state, name))
            )
    return state


def _replace_gateway(state: State, name: str, gateway: Gateway) -> State:
    if name == "reader":
        return state._replace(reader=gateway)
    return state._replace(other=gateway)


def _advance_gateway(gateway: Gateway) -> Gateway:
    query = gateway.query
    if query is not None:
        query = query._replace(age=min(MAX_AGE, query.age + 1))
    return gateway._replace(age=min(MAX_AGE, gateway.age + 1), query=query)


def _no_revoked_key_served(values: dict[str, Any]) -> bool:
    if values["revoked_for"] < REVOCATION_BOUND:
        return True
    gateways = (values["reader"], values["other"])
    return not any(
        item.age < REVOCATION_BOUND and not item.is_revoked for item in gateways
    )


INVARIANTS: dict[str, Callable[[dict[str, Any]], bool]] = {
    "no revoked key is served past the bound": _no_revoked_key_served,
}


def specification(guards: frozenset[str] = GUARDS) -> Protocol:
    """
    Create the protocol for the model checker.

    :param guards: mechanisms that are enabled.
    """
    return make_protocol("revocation", INITIAL, steps, guards, INVARIANTS)
