"""Check for how long memory is reserved, by the signs of life of an engine."""

from hypothesis import given
from hypothesis import strategies as st

from common.deterministic import DETERMINISTIC
from cowslipshelf_core.gateway import MemoryLease, MemoryLeaseConfig

RELEASE_SECONDS = st.floats(0.5, 20.0)
PAUSES = st.lists(st.tuples(st.floats(0.0, 3.0), st.booleans()), max_size=30)


@DETERMINISTIC
@given(RELEASE_SECONDS, PAUSES)
def test_no_reservation_outlasts_the_release_time_after_the_last_sign_of_life(
    release_seconds, pauses
):
    lease = MemoryLease.from_config(MemoryLeaseConfig(release_seconds), 0.0)
    now = last_sign = reserved_until = 0.0
    for pause, sign in pauses:
        now += pause
        if sign:
            last_sign = now
            lease.record_alive(now)
        seconds = lease.hold_seconds(now)
        if seconds:
            reserved_until = max(reserved_until, now + seconds)
        assert reserved_until <= max(last_sign + release_seconds, now)


@DETERMINISTIC
@given(RELEASE_SECONDS, st.lists(st.floats(0.0, 1.0), max_size=30))
def test_an_engine_that_answers_at_once_keeps_its_memory(release_seconds, shares):
    """Covers a prefill that takes longer than one reservation lasts."""
    config = MemoryLeaseConfig(release_seconds)
    lease = MemoryLease.from_config(config, 0.0)
    now, reserved_until = 0.0, lease.hold_seconds(0.0)
    for share in shares:
        now += config.renew_seconds * (1.0 + share)
        assert reserved_until > now
        lease.record_alive(now)
        reserved_until = now + lease.hold_seconds(now)


def test_a_late_sign_of_life_does_not_shorten_the_lease():
    lease = MemoryLease.from_config(MemoryLeaseConfig(4.0), 10.0)
    lease.record_alive(11.0)
    lease.record_alive(9.0)
    assert lease.heard_at == 11.0
