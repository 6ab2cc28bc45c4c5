"""How long a revoked key is served by gateways that prove their configuration."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

from minicheck import Protocol

from specs.protocol import make_protocol

# Ticks after a revocation from which on no gateway may serve the key.
BOUND = 3
# Oldest age that is told apart; all beyond are past the bound.
OLDEST = BOUND + 1
GUARDS = frozenset({"sent", "added", "suspended", "asked", "version"})

NOT_REVOKED = -1


class Question(NamedTuple):
    """
    A question on its way, or the answer to it.

    :ivar age: ticks since it was sent.
    :ivar answer_age: ticks by which its answer was old when it was given; -1 before.
    :ivar is_revoked: whether the answer's configuration lacks the key.
    """

    age: int
    answer_age: int
    is_revoked: bool


class Gateway(NamedTuple):
    """
    What one gateway believes.

    :ivar age: ticks since its configuration was known to be the newest.
    :ivar is_revoked: whether its configuration lacks the key.
    :ivar question: that it waits for; ``None`` if it asks nothing.
    """

    age: int
    is_revoked: bool
    question: Question | None


class State(NamedTuple):
    """
    All that the protocol depends on.

    :ivar revoked_for: ticks since the key was taken away; ``NOT_REVOKED`` before.
    :ivar reader: asks the store.
    :ivar other: asks the reader.
    """

    revoked_for: int
    reader: Gateway
    other: Gateway


UNPROVEN = Gateway(OLDEST, False, None)
INITIAL = State(NOT_REVOKED, UNPROVEN, UNPROVEN)
ASKED = Question(0, -1, False)


def steps(state: State, guards: frozenset[str]) -> Iterator[tuple[str, State]]:
    """
    Yield every step that may come next.

    :param state: where the system is.
    :param guards: mechanisms that are in place.
    """
    if state.revoked_for == NOT_REVOKED:
        yield "the key is revoked", state._replace(revoked_for=0)
    for name in ("reader", "other"):
        gateway: Gateway = getattr(state, name)
        for label, found in _gateway_steps(state, name, gateway, guards):
            yield f"{name} {label}", _put(state, name, found)
        yield f"time passes, {name} is suspended", _pass(state, name, guards)
    yield "time passes", _pass(state, "", guards)


def _gateway_steps(
    state: State, name: str, gateway: Gateway, guards: frozenset[str]
) -> Iterator[tuple[str, Gateway]]:
    question = gateway.question
    if question is None:
        yield "asks", gateway._replace(question=ASKED)
        if "asked" not in guards:
            yield "takes a silent watch for a proof", gateway._replace(age=0)
        return
    yield "gets no answer", gateway._replace(question=None)
    if question.answer_age < 0:
        answer = _answer(state, name, question, guards)
        yield "is answered", gateway._replace(question=answer)
        return
    yield "hears the answer", _heard(gateway, question, guards)


def _answer(
    state: State, name: str, question: Question, guards: frozenset[str]
) -> Question:
    if name == "reader":
        return question._replace(
            answer_age=0, is_revoked=state.revoked_for != NOT_REVOKED
        )
    age = state.reader.age if "added" in guards else 0
    return question._replace(answer_age=age, is_revoked=state.reader.is_revoked)


def _heard(gateway: Gateway, question: Question, guards: frozenset[str]) -> Gateway:
    since = question.age if "sent" in guards else 0
    age = min(OLDEST, since + question.answer_age)
    is_newer = question.is_revoked and not gateway.is_revoked
    if is_newer and "version" not in guards:
        # The answer proves a configuration that this gateway does not have.
        return Gateway(min(age, gateway.age), False, None)
    is_revoked = gateway.is_revoked or question.is_revoked
    return Gateway(min(age, gateway.age), is_revoked, None)


def _pass(state: State, suspended: str, guards: frozenset[str]) -> State:
    """Let a tick pass; a suspended gateway may not count it."""
    revoked_for = state.revoked_for
    if revoked_for != NOT_REVOKED:
        revoked_for = min(OLDEST, revoked_for + 1)
    state = state._replace(revoked_for=revoked_for)
    for name in ("reader", "other"):
        if name != suspended or "suspended" in guards:
            state = _put(state, name, _older(getattr(state, name)))
    return state


def _put(state: State, name: str, gateway: Gateway) -> State:
    if name == "reader":
        return state._replace(reader=gateway)
    return state._replace(other=gateway)


def _older(gateway: Gateway) -> Gateway:
    question = gateway.question
    if question is not None:
        question = question._replace(age=min(OLDEST, question.age + 1))
    return gateway._replace(age=min(OLDEST, gateway.age + 1), question=question)


def _holds(values: dict[str, Any]) -> bool:
    if values["revoked_for"] < BOUND:
        return True
    gateways = (values["reader"], values["other"])
    return not any(item.age < BOUND and not item.is_revoked for item in gateways)


INVARIANTS: dict[str, Callable[[dict[str, Any]], bool]] = {
    "no revoked key is served past the bound": _holds,
}


def specification(guards: frozenset[str] = GUARDS) -> Protocol:
    """
    Make the protocol for the model checker.

    :param guards: mechanisms that are in place.
    """
    return make_protocol("revocation", INITIAL, steps, guards, INVARIANTS)
