"""Check when two requests count as the same."""

from hypothesis import given
from hypothesis import strategies as st

from cowslipshelf_core.gateway import request_digest

FIELDS = st.tuples(
    st.text(max_size=3),
    st.sampled_from(["GET", "POST"]),
    st.text(max_size=3),
    st.text(max_size=3),
    st.binary(max_size=3),
)


@given(FIELDS, FIELDS)
def test_requests_are_the_same_if_and_only_if_all_fields_are(one, other):
    same_digest = request_digest(*one) == request_digest(*other)
    assert same_digest == (one == other)


def test_a_field_can_not_borrow_from_the_next_one():
    """Guards against requests of one customer that count as another customer's."""
    assert request_digest("ab", "GET", "c", "/", b"") != request_digest(
        "a", "GET", "bc", "/", b""
    )
