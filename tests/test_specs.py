"""The specifications hold, and each guard in them is needed."""

import pytest
from minicheck import check_safety

from specs import attempts, authority, claims, holder, revocation, versions

MAX_STATES = 3_000_000
SPECIFICATIONS = [attempts, authority, claims, holder, revocation, versions]
GUARDS = [
    (specification, guard)
    for specification in SPECIFICATIONS
    for guard in sorted(specification.GUARDS)
]


def refuted(protocol):
    result = check_safety(protocol, max_states=MAX_STATES)
    assert result["exhaustive"]
    properties = result["properties"].items()
    return [name for name, found in properties if not found["holds"]]


@pytest.mark.parametrize("specification", SPECIFICATIONS)
def test_holds_with_every_guard(specification):
    assert refuted(specification.specification()) == []


@pytest.mark.parametrize(("specification", "guard"), GUARDS)
def test_without_a_guard_there_is_a_counterexample(specification, guard):
    guards = specification.GUARDS - {guard}
    assert refuted(specification.specification(guards)) != []
