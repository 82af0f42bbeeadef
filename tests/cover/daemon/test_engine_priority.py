"""Check in which order an engine is asked to serve attempts."""

from hypothesis import given
from hypothesis import strategies as st

from common.sidecars import hand_over
from cowslipshelf_daemon.internal.sidecar.attempt_runner import with_engine_priority

SLACKS = st.integers(0, 40_000)
MOMENTS = st.floats(0.0, 1e7)


@given(long_slack=SLACKS, short_slack=SLACKS, start=MOMENTS)
def test_an_attempt_that_waits_comes_before_every_one_that_arrives_after_its_slack(
    long_slack, short_slack, start
):
    """A ledger waits at a busy engine, and short notes keep arriving.

    Each note has less slack than the ledger. Compared by slack alone, every note is
    served first and the ledger never gets its first token.
    """
    waiting = with_engine_priority(hand_over(1)._replace(priority=long_slack), start)
    later = start + long_slack / 1000 + 0.002
    arriving = with_engine_priority(hand_over(2)._replace(priority=short_slack), later)
    assert waiting.priority < arriving.priority
