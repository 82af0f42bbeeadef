"""Check that word of work that was lost on its way is noticed, and only that."""

from hypothesis import given, settings
from hypothesis import strategies as st

from cowslipshelf_core.gateway import WorkGapDetector


def test_an_end_that_was_lost_with_a_relay_is_noticed_at_the_next_sign_of_life():
    """A gateway that passes on the others' word dies with an end in its hands.

    The engine would look busy to a whole data centre for a minute. The next but one
    sign of life says that there was a third change, and it is asked for.
    """
    progress = WorkGapDetector()
    progress.record_change("gateway-1", 1)
    progress.record_change("gateway-1", 2)
    assert not progress.has_gap("gateway-1", announced=3)
    assert progress.has_gap("gateway-1", announced=3)
    assert progress.record_snapshot("gateway-1", 3)
    assert not progress.has_gap("gateway-1", announced=3)


def test_a_change_that_is_still_on_its_way_is_waited_for():
    """The sign of life comes straight, the change by way of another gateway."""
    progress = WorkGapDetector()
    assert not progress.has_gap("gateway-1", announced=1)
    progress.record_change("gateway-1", 1)
    assert not progress.has_gap("gateway-1", announced=2)


def test_a_list_that_is_older_than_a_change_is_not_taken_for_the_truth():
    progress = WorkGapDetector()
    progress.record_change("gateway-1", 5)
    assert not progress.record_snapshot("gateway-1", 4)
    assert progress.record_snapshot("gateway-1", 5)


def test_a_gateway_that_starts_again_is_counted_from_the_beginning():
    progress = WorkGapDetector()
    assert progress.record_snapshot("gateway-1", 70)
    progress.forget("gateway-1")
    progress.record_change("gateway-1", 1)
    assert not progress.has_gap("gateway-1", announced=1)
    assert not progress.has_gap("gateway-1", announced=1)


@settings(derandomize=True, deadline=None)
@given(order=st.permutations(range(1, 8)), lost=st.sets(st.integers(1, 7)))
def test_a_gap_is_seen_in_any_order_exactly_where_a_change_was_lost(order, lost):
    progress = WorkGapDetector()
    for number in order:
        if number not in lost:
            progress.record_change("gateway-1", number)
    progress.has_gap("gateway-1", announced=7)
    assert progress.has_gap("gateway-1", announced=7) == bool(lost)
