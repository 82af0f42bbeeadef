"""Check for how long memory is held by the signs of life of an engine."""

from hypothesis import given
from hypothesis import strategies as st

from common.steady import STEADY
from cowslipshelf_core.gateway import MemoryLease, MemoryLeaseConfig

FREE = st.floats(0.5, 20.0)
PAUSES = st.lists(st.tuples(st.floats(0.0, 3.0), st.booleans()), max_size=30)


@STEADY
@given(FREE, PAUSES)
def test_no_hold_reaches_beyond_the_time_allowed_after_the_last_sign(free, pauses):
    lease = MemoryLease.from_config(MemoryLeaseConfig(free), 0.0)
    now = last_sign = held_until = 0.0
    for pause, sign in pauses:
        now += pause
        if sign:
            last_sign = now
            lease.record_alive(now)
        seconds = lease.hold_seconds(now)
        if seconds:
            held_until = max(held_until, now + seconds)
        assert held_until <= max(last_sign + free, now)


@STEADY
@given(FREE, st.lists(st.floats(0.0, 1.0), max_size=30))
def test_an_engine_that_answers_at_once_keeps_its_memory(free, shares):
    """A prompt is read for longer than memory is held at once."""
    config = MemoryLeaseConfig(free)
    lease = MemoryLease.from_config(config, 0.0)
    now, held_until = 0.0, lease.hold_seconds(0.0)
    for share in shares:
        now += config.renew_seconds * (1.0 + share)
        assert held_until > now
        lease.record_alive(now)
        held_until = now + lease.hold_seconds(now)


def test_a_sign_that_comes_late_takes_nothing_back():
    lease = MemoryLease.from_config(MemoryLeaseConfig(4.0), 10.0)
    lease.record_alive(11.0)
    lease.record_alive(9.0)
    assert lease.heard_at == 11.0
