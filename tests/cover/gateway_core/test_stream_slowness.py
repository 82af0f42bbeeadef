"""Check how slow an engine is believed to be by the pauses of a stream."""

from hypothesis import given
from hypothesis import strategies as st

from common.gateway_samples import ENGINE
from cowslipshelf_core.gateway import (
    EnginePart,
    EngineTracker,
    EngineWork,
    StreamSlowness,
    decode_pass_seconds,
)

PASS = 0.05


def estimates(pauses, events=None, taking=0.0) -> list[tuple[float, float]]:
    """Return the estimates by a stream's pauses, with the times of each."""
    stream, now, found = StreamSlowness(PASS, 0.0), 0.0, []
    for pause, count in zip(pauses, events or [1] * len(pauses), strict=True):
        now += pause
        if stream.record_events(count, now):
            found.append((now, stream.estimate(PASS, now)))
        now += taking
        stream.record_taken(now)
    return found


def slownesses(*args, **kwargs) -> list[float]:
    return [slowness for _, slowness in estimates(*args, **kwargs)]


def test_an_engine_of_a_third_of_its_speed_shows_within_half_a_second():
    """Guards against long prompts that are placed on an engine that became slow."""
    at, slowness = estimates([3 * PASS] * 3)[0]
    assert at < 0.5
    assert round(slowness, 6) == 3.0


def test_a_stall_counts_as_a_slowness_of_at_most_five():
    """Guards against an engine that one estimate marks as slow for many seconds."""
    assert slownesses([40 * PASS] * 3) == [5.0]


def test_a_stream_is_judged_at_most_every_four_tenths_of_a_second():
    """Guards against processor time and messages for each event."""
    times = [at for at, _ in estimates([2 * PASS] * 40)]
    assert len(times) > 5
    assert all(later - at > 0.399 for at, later in zip(times, times[1:], strict=False))


@given(
    st.integers(0, 11),
    st.floats(1.0, 60.0),
    st.integers(0, 11),
    st.sampled_from([0.0, 0.2, 0.4]),
)
def test_one_long_pass_and_one_retransmitted_packet_do_not_mark(
    prefill_at, length, lost_at, retransmission
):
    """Guards against sound engines that are avoided for prompts that they prefill."""
    arrivals = [
        PASS * (number + 1) + (PASS * length if number >= prefill_at else 0.0)
        for number in range(12)
    ]
    arrivals[lost_at] += retransmission
    # An event can't overtake one that was sent before it.
    for number in range(1, 12):
        arrivals[number] = max(arrivals[number], arrivals[number - 1])
    pauses = [
        at - before for at, before in zip(arrivals, [0.0, *arrivals], strict=False)
    ]
    assert all(slowness < 1.01 for slowness in slownesses(pauses))


def test_events_that_arrive_together_do_not_mark():
    """Guards against a busy gateway that takes all of its engines for slow."""
    assert max(slownesses([2 * PASS] * 12, [2] * 12)) < 1.01
    assert max(slownesses([2 * PASS, 0.001] * 12)) < 1.02


def test_events_that_arrive_together_do_not_hide_a_slow_engine():
    """Guards against a slow engine that counts as fast after a retransmission."""
    pauses = [3 * PASS, 4 * PASS, 0.001, 5 * PASS, *[3 * PASS] * 8]
    assert min(slownesses(pauses)) >= 1.5


def test_a_short_first_pause_does_not_hide_a_slow_engine():
    """Guards against a slow engine that counts as fast after its pauses were cleared.

    The rest of a group of events arrives just after the pauses were cleared.
    """
    stream, now = StreamSlowness(PASS, 0.0), 0.0
    found = []
    for pause in [0.002, *[3 * PASS] * 3]:
        now += pause
        found.append(stream.record_events(1, now))
    assert found == [False, False, False, True]
    assert round(stream.estimate(PASS, now), 6) == 3.0


def test_a_slow_caller_does_not_mark():
    """Guards against an engine that is blamed for the time of a caller's link."""
    assert slownesses([0.001] * 20, taking=0.3) == []
    assert slownesses([3 * PASS] * 20, taking=0.3) == []


def test_pauses_while_the_engine_prefills_show_nothing():
    """Guards against an engine that is avoided because it reads several prompts."""
    stream = StreamSlowness(PASS, 0.0)
    assert not stream.record_events(1, 0.2)
    assert not stream.record_events(1, 0.4)
    assert stream.record_events(1, 0.6)
    assert stream.estimate(None, 0.6) is None
    assert not stream.record_events(1, 0.65)


def work(attempt_id: str, seconds: float, chunks: int) -> EngineWork:
    part = EnginePart("u", seconds, chunks, True, 1000)
    return EngineWork(attempt_id, (part,), 1.0, 0.3, 0.25)


def test_the_forecast_of_a_pass_is_unknown_while_an_engine_prefills():
    """Guards against a long prefill that counts as slowness of the engine."""
    tracker = EngineTracker()
    assert tracker.decode_pass_seconds("u", ENGINE, 0.0, 0.0) is None
    tracker.begin(work("short", 0.03, 1), "g", 0.0)
    tracker.first_token("short", 0.1)
    usual = tracker.decode_pass_seconds("u", ENGINE, 0.2, 0.3)
    assert usual == decode_pass_seconds(ENGINE, 1, 1000)
    tracker.begin(work("long", 1.0, 80), "g", 0.5)
    assert tracker.decode_pass_seconds("u", ENGINE, 0.55, 0.6) is None
    assert tracker.decode_pass_seconds("u", ENGINE, 0.7, 3.0) is None
    assert tracker.decode_pass_seconds("u", ENGINE, 2.9, 3.0) is not None


def test_the_forecast_is_unknown_while_a_prefill_may_run_behind_the_simulation():
    """Guards against a healthy engine marked slow by a prefill that takes longer.

    The simulation ends the prefill before 1.5 s; the first token comes at 1.9 s.
    """
    tracker = EngineTracker()
    tracker.begin(work("short", 0.03, 1), "g", 0.0)
    tracker.first_token("short", 0.1)
    tracker.begin(work("long", 0.5, 40), "g", 0.5)
    assert not tracker.prefilled_since("u", 1.5, 1.8)
    assert tracker.decode_pass_seconds("u", ENGINE, 1.5, 1.8) is None
    tracker.first_token("long", 1.9)
    assert tracker.decode_pass_seconds("u", ENGINE, 1.9, 2.0) is not None


def test_a_first_token_that_is_never_reported_hides_a_slow_engine_for_a_second():
    """Guards against a slow engine that is not found because its prefills are slow."""
    tracker = EngineTracker()
    tracker.begin(work("short", 0.03, 1), "g", 0.0)
    tracker.first_token("short", 0.1)
    tracker.begin(work("long", 0.5, 40), "g", 0.5)
    assert tracker.decode_pass_seconds("u", ENGINE, 2.5, 2.6) is not None
