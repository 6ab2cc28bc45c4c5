"""Makes what the model checker takes out of states that are named tuples."""

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
    Make a protocol.

    :param name: of the specification.
    :param initial: first state.
    :param steps: yields every step that may come next.
    :param guards: mechanisms that are in place.
    :param invariants: what must hold in each state, given its fields by name.
    """
    kind: Any = type(initial)

    def transitions(values: tuple[Any, ...]) -> list[tuple[str, tuple[Any, ...]]]:
        return [(label, tuple(new)) for label, new in steps(kind(*values), guards)]

    return Protocol(
        name=name,
        candidate=False,
        fields=initial._fields,
        initial=tuple(initial),
        transitions=transitions,
        invariants=invariants,
    )
