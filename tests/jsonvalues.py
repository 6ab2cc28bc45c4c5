"""Strategies for JSON documents: arbitrary, truncated and nearly valid ones."""

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
    lambda children: (
        st.lists(children, max_size=3)
        | st.dictionaries(st.text(max_size=6), children, max_size=3)
    ),
    max_leaves=3,
)
# Arbitrary bytes, valid JSON, and truncated JSON.
DOCUMENTS = st.one_of(
    st.binary(max_size=40),
    VALUES.map(msgspec.json.encode),
    st.tuples(VALUES.map(msgspec.json.encode), st.integers(0, 20)).map(
        lambda cut: cut[0][: cut[1]]
    ),
)


def documents_with(*names, **valid):
    """
    Return a strategy for documents with some of the fields that a parser reads.

    :param names: fields with an arbitrary value.
    :param valid: fields with the given value or an arbitrary one.
    """
    valid_or_any = {name: st.just(value) | VALUES for name, value in valid.items()}
    arbitrary = dict.fromkeys(names, VALUES)
    return st.fixed_dictionaries({}, optional=valid_or_any | arbitrary).map(
        msgspec.json.encode
    )
