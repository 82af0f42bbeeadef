"""Check when two requests have the same digest."""

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


def test_bytes_can_not_move_from_one_field_to_the_next():
    """Guards against a request that counts as that of another customer."""
    assert request_digest("ab", "GET", "c", "/", b"") != request_digest(
        "a", "GET", "bc", "/", b""
    )
