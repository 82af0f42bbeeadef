"""Check that lost changes of work are detected, and only those."""

from hypothesis import given, settings
from hypothesis import strategies as st

from cowslipshelf_core.gateway import WorkGapDetector


def test_an_end_that_was_lost_with_a_relay_is_detected_by_alive_messages():
    """Guards against an engine that looks busy to a whole data centre for a minute.

    A relay dies before it forwards the end of an attempt. The next but one alive
    message announces a third change, which is then requested.
    """
    progress = WorkGapDetector()
    progress.record_change("gateway-1", 1)
    progress.record_change("gateway-1", 2)
    assert not progress.has_gap("gateway-1", announced=3)
    assert progress.has_gap("gateway-1", announced=3)
    assert progress.record_snapshot("gateway-1", 3)
    assert not progress.has_gap("gateway-1", announced=3)


def test_a_change_that_is_still_in_transit_is_not_missing():
    """The alive message comes directly, the change through a relay."""
    progress = WorkGapDetector()
    assert not progress.has_gap("gateway-1", announced=1)
    progress.record_change("gateway-1", 1)
    assert not progress.has_gap("gateway-1", announced=2)


def test_a_snapshot_that_is_older_than_a_change_is_not_used():
    progress = WorkGapDetector()
    progress.record_change("gateway-1", 5)
    assert not progress.record_snapshot("gateway-1", 4)
    assert progress.record_snapshot("gateway-1", 5)


def test_the_changes_of_a_restarted_gateway_are_counted_from_one():
    progress = WorkGapDetector()
    assert progress.record_snapshot("gateway-1", 70)
    progress.forget("gateway-1")
    progress.record_change("gateway-1", 1)
    assert not progress.has_gap("gateway-1", announced=1)
    assert not progress.has_gap("gateway-1", announced=1)


@settings(derandomize=True, deadline=None)
@given(order=st.permutations(range(1, 8)), lost=st.sets(st.integers(1, 7)))
def test_a_gap_is_detected_in_any_order_exactly_if_a_change_was_lost(order, lost):
    progress = WorkGapDetector()
    for number in order:
        if number not in lost:
            progress.record_change("gateway-1", number)
    progress.has_gap("gateway-1", announced=7)
    assert progress.has_gap("gateway-1", announced=7) == bool(lost)
