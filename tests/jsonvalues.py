"""JSON documents for parsers: any, and those that are nearly right."""

import msgspec
from hypothesis import strategies as st

SCALARS = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(-3, 3),
    st.integers(-(2**63), 2**64 - 1),
    st.floats(allow_nan=False, allow_infinity=False),
    st.text(max_size=12),
    st.sampled_from(["ready", "draining", "prefill", "10.0.0.1:80", "idempotent", "/"]),
)
VALUES = st.recursive(
    SCALARS,
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=6), inner, max_size=3)
    ),
    max_leaves=3,
)
# Any bytes, any JSON, and JSON that ends too early.
DOCUMENTS = st.one_of(
    st.binary(max_size=40),
    VALUES.map(msgspec.json.encode),
    st.tuples(VALUES.map(msgspec.json.encode), st.integers(0, 20)).map(
        lambda cut: cut[0][: cut[1]]
    ),
)


def likely(*names, **proper):
    """
    Make documents with fields that a parser looks for.

    :param names: fields that get any value.
    :param proper: fields that mostly get the value given here.
    """
    kept = {name: st.just(value) | VALUES for name, value in proper.items()}
    anything = dict.fromkeys(names, VALUES)
    return st.fixed_dictionaries({}, optional=kept | anything).map(msgspec.json.encode)
