"""Check what gateways report about upstreams to each other, and what they believe."""

from random import Random

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from cowslipshelf_core.gateway import (
    ReportsOutcome,
    SharedHealth,
    StreamSlowness,
    UpstreamCandidate,
    UpstreamHealth,
    UpstreamObservation,
    UpstreamObservations,
    UpstreamOutcome,
    choose_upstream,
)

ANSWERED, FAILED, LOST = UpstreamOutcome
KNOWN = frozenset(f"u-{number}" for number in range(30))


def seen(upstream_id="u-1", outcome=ANSWERED, slowness=None, **changes):
    usual = UpstreamObservation(upstream_id, outcome, slowness, 0.0)
    return msgspec.structs.replace(usual, **changes)


def gateway(name: str = "g-0") -> SharedHealth:
    return SharedHealth(name, UpstreamHealth())


def report(*observations: UpstreamObservation, answered: int = 0, number: int = 0):
    return UpstreamObservations(observations, answered, number)


def receive(shared, reporter, message, now=0.0):
    return shared.receive(reporter, message, KNOWN, now)


def failure_rate(shared: SharedHealth, now: float = 0.0, upstream_id="u-1") -> float:
    return shared.health.estimate(upstream_id, now).failure_rate


def test_nothing_is_reported_about_healthy_upstreams():
    """Guards against messages and processor time spent while nothing is wrong."""
    shared = gateway()
    assert not any(
        shared.observe(seen(slowness=1.0 + 0.2 * (number % 2)), 0.1 * number)
        for number in range(10)
    )


def test_failures_losses_and_slow_answers_are_reported():
    """Guards against gateways that learn of a bad upstream one by one."""
    for bad in (seen(outcome=FAILED), seen(outcome=LOST), seen(slowness=1.31)):
        assert gateway().observe(bad, 0.0)


def test_answers_of_a_marked_upstream_are_reported_until_it_is_healthy():
    """Guards against gateways that avoid an upstream that works again for others."""
    shared = gateway()
    shared.observe(seen(outcome=FAILED), 0.0)
    reports = [shared.observe(seen(), 0.1 * number) for number in range(1, 15)]
    assert reports[0]
    assert not reports[-1]


def test_only_what_is_new_to_others_is_urgent():
    """Guards against a fault that is sent late, and confirmations sent in haste."""
    shared = gateway()

    def is_urgent(observation, now):
        assert shared.observe(observation, now)
        urgent = shared.urgent
        shared.take(now)
        return urgent

    assert is_urgent(seen(outcome=FAILED), 0.0)
    assert not is_urgent(seen(), 0.1)
    assert is_urgent(seen(slowness=3.0), 0.2)
    assert not is_urgent(seen(slowness=3.0), 0.3)
    assert is_urgent(seen(outcome=LOST), 0.4)
    assert is_urgent(seen(outcome=FAILED), 0.5)


def test_a_full_message_is_urgent():
    """Guards against a failure that finds no room behind confirmations."""
    shared = gateway()
    shared.observe(seen(slowness=3.0), 0.0)
    shared.take(0.0)
    for _ in range(200):
        assert not shared.urgent
        shared.observe(seen(slowness=3.0), 0.1)
    assert shared.urgent


def test_a_message_is_bounded_and_states_ages():
    """Guards against a storm of failures that fills a slow link."""
    shared = gateway()
    for number in range(250):
        shared.observe(seen(outcome=FAILED), 0.0001 * number)
    assert shared.dropped == 50
    message = shared.take(0.5)
    assert len(message.observations) == 200
    assert message.observations[0].age_seconds == 0.5
    assert shared.take(0.6).observations == ()


def test_a_message_states_how_many_upstreams_answered_and_were_not_lost_since():
    """Guards against a reporter whose marked upstreams can't be set in relation."""
    shared = gateway()
    for number in range(8):
        shared.observe(seen(f"u-{number}"), 0.0)
    shared.observe(seen("u-0", LOST), 1.0)
    assert shared.take(2.9).answered_upstreams == 7
    assert shared.take(3.1).answered_upstreams == 0


@given(age=st.floats(0.0, 4.0))
def test_an_observation_counts_less_the_older_it_is(age):
    """Guards against an upstream that is judged by what it was seconds ago."""
    late, recent = gateway(), gateway()
    receive(late, "g-1", report(seen(outcome=FAILED, age_seconds=age)))
    receive(recent, "g-1", report(seen(outcome=FAILED)))
    assert failure_rate(late) <= failure_rate(recent)
    assert (failure_rate(late) > 0.0) is (age < 2.0)


def test_a_doubled_message_counts_once_and_a_lost_one_does_no_harm():
    """Guards against a relay's repetition that counts as a second failure."""
    shared = gateway()
    first = report(seen(outcome=FAILED), number=1)
    assert receive(shared, "g-1", first) is ReportsOutcome.RECORDED
    before = failure_rate(shared)
    assert receive(shared, "g-1", first) is ReportsOutcome.DOUBLED
    assert failure_rate(shared) == before
    third = report(seen(outcome=FAILED), number=3)
    assert receive(shared, "g-1", third) is ReportsOutcome.RECORDED
    second = report(seen(outcome=FAILED), number=2)
    assert receive(shared, "g-1", second) is ReportsOutcome.RECORDED


def test_a_restarted_reporter_counts_again_after_the_window():
    """Guards against a gateway that is ignored since its numbers begin anew."""
    shared = gateway()
    receive(shared, "g-1", report(seen(outcome=FAILED), number=1))
    again = receive(shared, "g-1", report(seen(outcome=FAILED), number=1), 3.1)
    assert again is ReportsOutcome.RECORDED


def test_reports_of_unknown_upstreams_leave_no_trace():
    """Guards against memory that grows with the names that others know."""
    shared = gateway()
    receive(shared, "g-1", report(seen("gone", FAILED)))
    assert shared.health.records == {}


def test_a_loss_elsewhere_counts_half_and_never_avoids_alone():
    """Guards against one gateway that takes an upstream out of use everywhere."""
    shared, losing = gateway(), gateway("g-1")
    losing.observe(seen(outcome=LOST), 0.0)
    for number in range(5):
        receive(shared, "g-1", losing.take(0.0))
        losing.observe(seen(outcome=LOST), 0.01 * number)
        assert not shared.health.estimate("u-1", 0.01 * number).avoided
    first = gateway()
    receive(first, "g-1", report(seen(outcome=LOST)))
    alone = gateway()
    alone.observe(seen(outcome=LOST), 0.0)
    assert failure_rate(first) == failure_rate(alone) / 2


def test_a_loss_that_two_gateways_report_avoids_the_upstream_everywhere():
    """Guards against a dead upstream that each gateway has to try by itself."""
    shared = gateway()
    receive(shared, "g-1", report(seen(outcome=LOST)))
    receive(shared, "g-2", report(seen(outcome=LOST)), 0.5)
    assert shared.health.estimate("u-1", 0.6).avoided
    late = gateway()
    receive(late, "g-1", report(seen(outcome=LOST)))
    receive(late, "g-2", report(seen(outcome=LOST)), 2.1)
    assert not late.health.estimate("u-1", 2.2).avoided


def test_a_loss_elsewhere_and_a_failure_here_avoid_the_upstream():
    """Guards against a gateway that waits for its second loss of a dead upstream."""
    shared = gateway()
    shared.observe(seen(outcome=FAILED), 0.0)
    assert not shared.health.estimate("u-1", 0.1).avoided
    receive(shared, "g-1", report(seen(outcome=LOST)), 0.1)
    assert shared.health.estimate("u-1", 0.2).avoided


def test_losses_at_many_gateways_at_once_avoid_the_upstream_for_half_a_second():
    """Guards against one reset of many streams that avoids an upstream for 4 s."""
    shared = gateway()
    for number in range(1, 20):
        receive(shared, f"g-{number}", report(seen(outcome=LOST)), 0.001 * number)
    assert shared.health.estimate("u-1", 0.3).avoided
    assert not shared.health.estimate("u-1", 0.6).avoided


def test_a_running_answer_shows_slowness_but_not_that_requests_succeed():
    """Guards against streams that hide how many new requests an engine fails."""
    shared, other = gateway(), gateway("g-1")
    shared.observe(seen(outcome=FAILED), 0.0)
    before = failure_rate(shared)
    shared.observe(seen(slowness=3.0, running=True), 0.0)
    receive(shared, "g-1", report(seen(slowness=3.0, running=True)))
    assert failure_rate(shared) == before
    assert shared.health.estimate("u-1", 0.0).slowness > 1.9
    receive(other, "g-0", shared.take(0.0))
    assert other.health.estimate("u-1", 0.0).slowness > 1.5


def losses(count: int, first: int = 0) -> tuple[UpstreamObservation, ...]:
    return tuple(seen(f"u-{first + number}", LOST) for number in range(count))


def test_a_reporter_with_a_bad_link_does_not_condemn_the_upstreams_of_others():
    """Guards against one broken link that takes all upstreams out of use."""
    shared = gateway()
    bad = report(*losses(8), answered=7)
    assert receive(shared, "g-1", bad) is ReportsOutcome.LEFT_OUT
    assert shared.health.records == {}
    assert receive(shared, "g-1", report(seen()), 3.1) is ReportsOutcome.RECORDED


def test_two_reporters_that_mark_the_same_upstreams_are_believed():
    """Guards against a failed data centre that is taken for a bad link."""
    shared = gateway()
    receive(shared, "g-1", report(*losses(8), answered=7))
    second = receive(shared, "g-2", report(*losses(3, first=5), answered=20))
    assert second is ReportsOutcome.RECORDED
    again = receive(shared, "g-1", report(*losses(8), answered=7), 0.1)
    assert again is ReportsOutcome.RECORDED


def test_what_this_gateway_marks_itself_confirms_a_reporter():
    """Guards against a report that is left out although it is seen here as well."""
    shared = gateway()
    for observation in losses(3):
        shared.observe(observation, 0.0)
    message = report(*losses(8), answered=7)
    assert receive(shared, "g-1", message) is ReportsOutcome.RECORDED


def test_a_reporter_that_marks_half_or_uses_few_upstreams_is_believed():
    """Guards against two of three plain upstreams that fail and are not reported."""
    half = report(*losses(8), answered=8)
    assert receive(gateway(), "g-1", half) is ReportsOutcome.RECORDED
    few = report(*losses(4), answered=1)
    assert receive(gateway(), "g-1", few) is ReportsOutcome.RECORDED


def test_old_reports_are_removed_at_most_every_half_second():
    """Guards against a copy of all reports of a gateway at each of its messages."""
    shared = gateway()
    removals = set()
    for number in range(100):
        now = 0.02 * number
        receive(shared, "g-1", report(seen(outcome=LOST), number=number + 1), now)
        record = shared.trust.reporters["g-1"]
        removals.add(record.pruned_at)
    assert len(removals) == 4
    receive(shared, "g-1", report(number=101), 5.5)
    assert record.upstreams == {}
    assert list(record.numbers) == [101]


def test_reports_before_the_window_do_not_count_though_not_yet_removed():
    """Guards against a reporter that is judged, or ignored, by what it said long ago.

    Old reports are removed at 2.8 s, when those of 0 s still count, but not at 3.1 s.
    """
    shared = gateway()
    receive(shared, "g-1", report(*losses(4), answered=20, number=1), 0.0)
    receive(shared, "g-1", report(answered=20, number=2), 2.8)
    bad = report(*losses(4, first=4), answered=3, number=1)
    assert receive(shared, "g-1", bad, 3.1) is ReportsOutcome.LEFT_OUT


def test_old_reporters_are_forgotten():
    """Guards against memory that grows with the gateways that ever reported."""
    shared = gateway()
    receive(shared, "g-1", report(*losses(8), answered=7))
    shared.observe(seen(outcome=LOST), 0.0)
    shared.forget_old(4.0)
    assert shared.trust.reporters == {}
    assert shared.answered_at == {}


def failures_until_learned(count: int, shares: bool, seed: int) -> int:
    """Return how many answers are lost before a bad upstream is chosen rarely.

    Gateways take turns, 30 ms apart; one of three upstreams loses 0.4 of its answers.
    """
    random = Random(seed)
    gateways = [gateway(f"g-{number}") for number in range(count)]
    lost = 0
    for turn in range(10 * count):
        now = 0.03 * turn
        each = gateways[turn % count]
        candidates = [
            UpstreamCandidate(name, 6, 0, *rated(each, name, now), local=True)
            for name in ("u-0", "u-1", "u-2")
        ]
        chosen = choose_upstream(candidates, random)
        fails = chosen == "u-0" and random.random() < 0.4
        lost += fails
        due = each.observe(seen(chosen, FAILED if fails else ANSWERED), now)
        if due:
            message = each.take(now)
            for other in gateways if shares else ():
                if other is not each:
                    receive(other, each.own, message, now)
    return lost


def rated(shared: SharedHealth, name: str, now: float):
    estimate = shared.health.estimate(name, now)
    return estimate.failure_rate, estimate.slowness, estimate.avoided


def test_a_fleet_learns_of_a_bad_upstream_by_a_handful_of_failures():
    """Guards against as many lost calls as there are gateways."""
    together = [failures_until_learned(20, True, seed) for seed in range(10)]
    apart = [failures_until_learned(20, False, seed) for seed in range(10)]
    assert sum(together) / 10 <= 4
    assert max(together) <= 6
    assert sum(apart) / 10 >= 12


PASS = 0.05
STREAM_SECONDS = 3.0
STREAMS_PER_SECOND = 0.7


class RunningStream:
    """Run a stream on an engine whose passes take a time that changes."""

    def __init__(self, owner: SharedHealth, now: float) -> None:
        self.owner = owner
        self.ends_at = now + STREAM_SECONDS
        self.next_at = now + PASS
        self.slowness = StreamSlowness(PASS, now)

    def advance(self, now: float, factor: float) -> UpstreamObservations | None:
        """Receive an event if it is due; return what is reported then."""
        if now < self.next_at:
            return None
        self.next_at = now + PASS * factor
        if not self.slowness.record_events(1, now):
            return None
        estimate = self.slowness.estimate(PASS, now)
        observation = seen(slowness=estimate, running=True)
        return self.owner.take(now) if self.owner.observe(observation, now) else None


def slowness_over_time(slow_from: float, slow_until: float, end: float):
    """Return the lowest and highest slowness that gateways believe, by time in ms."""
    gateways = [gateway(f"g-{number}") for number in range(22)]
    streams: list[RunningStream] = []
    believed, started = {}, 0
    for now_ms in range(0, int(end * 1000), 10):
        now = now_ms / 1000
        if now >= started / STREAMS_PER_SECOND:
            streams.append(RunningStream(gateways[started % 22], now))
            started += 1
        factor = 3.0 if slow_from <= now < slow_until else 1.0
        for stream in [each for each in streams if now < each.ends_at]:
            message = stream.advance(now, factor)
            for other in gateways if message else ():
                if other is not stream.owner:
                    receive(other, stream.owner.own, message, now)
        known = [each.health.estimate("u-1", now).slowness for each in gateways]
        believed[now_ms] = min(known), max(known)
    return believed


def test_all_gateways_know_a_slow_engine_in_a_second_and_use_it_again_after_six():
    """Guards against long prompts that are lost on an engine that others know is slow.

    The engine decodes 0.7 short streams a second and is slow from 10 to 18 s.
    """
    believed = slowness_over_time(10.0, 18.0, 25.0)
    assert believed[9_900][1] < 1.001
    assert believed[11_100][0] > 1.5
    assert believed[17_900][0] > 2.0
    assert believed[24_000][1] < 1.15


@given(
    st.lists(
        st.tuples(
            st.integers(0, 3),
            st.sampled_from([f"u-{number}" for number in range(8)]),
            st.sampled_from(list(UpstreamOutcome)),
            st.none() | st.floats(allow_nan=True),
            st.floats(-1.0, 3.0),
            st.integers(0, 5),
        ),
        max_size=60,
    )
)
def test_estimates_stay_in_bounds_whatever_is_received(messages):
    """Guards against a value on the wire that makes an upstream unusable for good."""
    shared = gateway()
    for number, message in enumerate(messages):
        reporter, upstream_id, outcome, slowness, age, sequence = message
        observation = seen(upstream_id, outcome, slowness, age_seconds=age)
        sent = report(observation, answered=sequence, number=sequence)
        receive(shared, f"g-{reporter}", sent, 0.1 * number)
    for upstream_id in shared.health.records:
        estimate = shared.health.estimate(upstream_id, 6.0)
        assert 0.0 <= estimate.failure_rate <= 1.0
        assert 1.0 <= estimate.slowness <= 10.0
    later = 6.0 + 60.0
    assert all(
        shared.health.estimate(each, later).failure_rate < 0.01
        for each in shared.health.records
    )
