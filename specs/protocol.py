"""Adapts specifications whose states are named tuples to the model checker."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any, NamedTuple, TypeVar

from minicheck import Protocol

State = TypeVar("State", bound=NamedTuple)
Steps = Callable[[State, frozenset[str]], Iterator[tuple[str, State]]]


def make_protocol(
    name: str,
    initial: State,
    steps: Steps[State],
    guards: frozenset[str],
    invariants: dict[str, Callable[[dict[str, Any]], bool]],
) -> Protocol:
    """
    Create a protocol for the model checker.

    :param name: name of the specification.
    :param initial: initial state.
    :param steps: yields the label and the resulting state of each possible next step.
    :param guards: mechanisms that are enabled.
    :param invariants: conditions on every state, given its fields by name.
    """
    state_type: Any = type(initial)

    def transitions(values: tuple[Any, ...]) -> list[tuple[str, tuple[Any, ...]]]:
        return [
            (label, tuple(new)) for label, new in steps(state_type(*values), guards)
        ]

    return Protocol(
        name=name,
        candidate=False,
        fields=initial._fields,
        initial=tuple(initial),
        transitions=transitions,
        invariants=invariants,
    )
