"""
Model checks of the specifications.

Every property must hold with all guards, and removing any single guard must violate a
property, so that no guard is redundant.
"""

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


def violated_properties(protocol):
    result = check_safety(protocol, max_states=MAX_STATES)
    assert result["exhaustive"]
    properties = result["properties"].items()
    return [name for name, verdict in properties if not verdict["holds"]]


@pytest.mark.parametrize("specification", SPECIFICATIONS)
def test_holds_with_every_guard(specification):
    assert violated_properties(specification.specification()) == []


@pytest.mark.parametrize(("specification", "guard"), GUARDS)
def test_without_a_guard_there_is_a_counterexample(specification, guard):
    guards = specification.GUARDS - {guard}
    assert violated_properties(specification.specification(guards)) != []
