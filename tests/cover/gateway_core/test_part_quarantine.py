"""Check which requests are held back by a part of their prompt."""

import math
from itertools import count
from random import Random

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from common.part_fleet import PartFleet, Traffic, part
from cowslipshelf_core.gateway import (
    Allowed,
    AllowedAlone,
    BrokenAttempt,
    BrokenPart,
    ExitPartsReport,
    HeldBack,
    HeldPartReport,
    PartQuarantine,
    PartQuarantineConfig,
    PartReport,
    PromptPartsTold,
    RequestDigest,
    UpstreamExit,
    parts_report_problem,
)

FIRST, FATAL, OTHER, SESSION = map(part, ("first", "fatal", "other", "session"))
RUN_SECONDS = 0.05
CONFIG = PartQuarantineConfig("10.0.0.1")
WINDOW_SECONDS = 3.0
MAX_LATER = 3
"""Most requests with a fatal part that may be sent after the window."""


REQUESTS = count()


def ended(at: float) -> BrokenAttempt:
    """Return an attempt of a request of its own that an exit ends soon."""
    return BrokenAttempt(at - RUN_SECONDS, RequestDigest(f"{next(REQUESTS):032x}"))


def quarantine_after(*exits: tuple[float, str, tuple]) -> PartQuarantine:
    """Return a quarantine that has seen exits: their times, upstreams and parts."""
    quarantine = PartQuarantine.from_config(CONFIG)
    for at, upstream, parts in exits:
        quarantine.record_exit(parts, upstream, ended(at), False, at)
    return quarantine


def fatal_exits(count: int, *parts, spacing: float = 1.0) -> list:
    """Return exits of different upstreams under the same parts."""
    return [(spacing * each, f"u-{each}", parts) for each in range(count)]


def test_a_part_under_which_three_upstreams_exited_holds_requests_back():
    quarantine = quarantine_after(*fatal_exits(3, FATAL))
    verdict = quarantine.verdict([OTHER, FATAL], 2.5)
    assert isinstance(verdict, HeldBack)
    assert verdict.upstreams == ("u-0", "u-1", "u-2")
    assert verdict.retry_after_seconds is None
    assert quarantine.verdict([OTHER], 2.5) == Allowed()


@pytest.mark.parametrize("count", [0, 1, 2])
def test_fewer_exits_hold_nothing_back(count):
    quarantine = quarantine_after(*fatal_exits(count, FATAL))
    assert quarantine.verdict([FATAL], 2.5) == Allowed()


def test_a_rack_that_fails_holds_nothing_back():
    """Guards against innocent parts that ran at many upstreams which exit at once."""

    def old(number: int) -> BrokenAttempt:
        return BrokenAttempt(4.0, RequestDigest(f"{number:032x}"))

    quarantine = PartQuarantine.from_config(CONFIG)
    for number in range(12):
        at = 5.0 + 0.2 * number
        quarantine.record_exit([FIRST, SESSION], f"u-{number}", old(number), False, at)
    assert quarantine.verdict([FIRST, SESSION], 8.0) == Allowed()


def test_a_request_that_meets_a_rack_that_fails_is_not_held_back():
    """Guards against counting each attempt of one request for itself."""
    quarantine = PartQuarantine.from_config(CONFIG)
    for number in range(6):
        at = 0.5 * number
        attempt = BrokenAttempt(at - RUN_SECONDS, RequestDigest("0" * 32))
        quarantine.record_exit([FIRST, SESSION], f"u-{number}", attempt, False, at)
    assert quarantine.verdict([FIRST, SESSION], 3.0) == Allowed()


def test_a_part_in_a_few_of_many_exits_is_not_held_back():
    """Guards against a part that only ran beside other crashes."""
    exits = fatal_exits(24, OTHER, spacing=0.5)
    with_session = [(at, u, (FATAL, SESSION)) for at, u, _ in exits[::5]]
    quarantine = PartQuarantine.from_config(CONFIG)
    for number, (at, upstream, _) in enumerate(exits):
        parts = (part(f"ran-{number}"),)
        quarantine.record_exit(parts, upstream, ended(at), False, at)
    for at, upstream, parts in with_session:
        quarantine.record_exit(parts[1:], upstream, ended(at), False, at)
    assert quarantine.verdict([SESSION], 12.0) == Allowed()


def test_what_sound_answers_share_with_a_fatal_part_is_not_held_back():
    """Guards against refusing everything that shares a caller's first part."""
    quarantine = PartQuarantine.from_config(CONFIG)
    for number in range(8):
        at = 1.0 * number
        quarantine.record_exit([FIRST, FATAL], f"u-{number}", ended(at), False, at)
        quarantine.record_answer([FIRST], at + 0.5)
    assert set(quarantine.held) == {FATAL}
    assert quarantine.verdict([FIRST, SESSION], 8.0) == Allowed()


def test_a_part_that_was_answered_before_is_held_back_a_little_later():
    """Guards against a part that a new release of the upstreams can't bear."""
    quarantine = PartQuarantine.from_config(CONFIG)
    quarantine.record_answer([FATAL], 0.0)
    for number, at in enumerate((1.0, 2.0, 3.0)):
        quarantine.record_exit([FATAL], f"u-{number}", ended(at), False, at)
    assert quarantine.verdict([FATAL], 3.5) == Allowed()
    quarantine.record_exit([FATAL], "u-4", ended(4.0), False, 4.0)
    assert isinstance(quarantine.verdict([FATAL], 4.5), HeldBack)


def test_one_of_two_parts_that_always_came_together_runs_alone_until_answered():
    """Guards against refusing a sound part that had only come with a fatal one."""
    quarantine = quarantine_after(*fatal_exits(3, FIRST, FATAL))
    assert isinstance(quarantine.verdict([FIRST, FATAL], 2.5), HeldBack)
    verdict = quarantine.verdict([FIRST], 2.5)
    assert verdict == AllowedAlone(False, (FIRST,))
    quarantine.begin_trial(verdict.parts, verdict.probe, 2.5)
    meanwhile = quarantine.verdict([FIRST], 2.6)
    assert isinstance(meanwhile, HeldBack)
    assert meanwhile.retry_after_seconds == CONFIG.alone_retry_seconds
    quarantine.record_answer([FIRST], 3.0)
    assert quarantine.verdict([FIRST], 3.1) == Allowed()
    assert isinstance(quarantine.verdict([FIRST, FATAL], 3.1), HeldBack)


def test_a_part_that_fails_its_trials_is_held_back_like_any_other():
    """Guards against a fatal part that a sound one beside it shields for good."""
    quarantine = quarantine_after(*fatal_exits(12, FIRST, FATAL, spacing=0.2))
    for number in range(CONFIG.doubted_trial_exits):
        at = 3.0 + number
        verdict = quarantine.verdict([FATAL], at)
        assert isinstance(verdict, AllowedAlone)
        quarantine.begin_trial(verdict.parts, verdict.probe, at)
        quarantine.record_exit(
            [FATAL], f"trial-{number}", ended(at + 0.2), True, at + 0.2
        )
        quarantine.end_trial(verdict.parts)
    held = quarantine.verdict([FATAL], 5.5)
    assert isinstance(held, HeldBack)
    assert held.retry_after_seconds is None


def test_a_mended_part_is_served_again_after_its_first_probe():
    quarantine = quarantine_after(*fatal_exits(3, FATAL))
    until = quarantine.held[FATAL].held_until(FATAL, CONFIG)
    assert isinstance(quarantine.verdict([FATAL], until - 0.1), HeldBack)
    verdict = quarantine.verdict([FATAL], until)
    assert verdict == AllowedAlone(True, (FATAL,))
    quarantine.begin_trial(verdict.parts, verdict.probe, until)
    assert isinstance(quarantine.verdict([FATAL], until + 0.1), HeldBack)
    assert quarantine.record_answer([FATAL], until + 1.0) == (FATAL,)
    assert quarantine.verdict([FATAL], until + 1.1) == Allowed()


def test_a_probe_in_vain_makes_the_next_one_rarer():
    quarantine = quarantine_after(*fatal_exits(3, FATAL))
    first = quarantine.held[FATAL].held_until(FATAL, CONFIG) - 2.0
    quarantine.begin_trial([FATAL], True, 30.0)
    quarantine.record_exit([FATAL], "probed", ended(30.2), True, 30.2)
    quarantine.end_trial([FATAL])
    second = quarantine.held[FATAL].held_until(FATAL, CONFIG) - 30.2
    assert second == pytest.approx(first * CONFIG.hold_growth)


def test_an_answer_is_reported_only_if_no_other_gateway_did():
    """Guards against a report of each gateway for each part of an exit."""
    quarantine = PartQuarantine.from_config(CONFIG)
    quarantine.record_answer([FIRST], 0.0)
    quarantine.record_exit([FIRST], "u-1", ended(1.0), False, 1.0)
    assert quarantine.unconfirmed_answers == {FIRST}
    told = PromptPartsTold((), (PartReport(FIRST, 1.5, None),))
    quarantine.merge(told, 1.1)
    assert quarantine.take_unconfirmed_answers() == frozenset()


def test_a_gateway_that_missed_an_answer_is_told_when_it_reports_the_part():
    """Guards against a mended part that one gateway holds back, and tells others."""
    answered = PartQuarantine.from_config(CONFIG)
    stale = quarantine_after(*fatal_exits(3, FATAL))
    answered.merge(stale.report(stale.known(), 3.0), 3.0)
    answered.record_answer([FATAL], 60.0)
    answered.take_changed()
    for quarantine in (stale, answered):
        quarantine.evidence.forget_old(610.0)
    answered.merge(stale.report(stale.recent(620.0), 620.0), 620.0)
    assert answered.held == {}
    keys = answered.take_unconfirmed_answers()
    stale.merge(answered.report(keys, 620.0), 620.0)
    assert stale.verdict([FATAL], 620.0) == Allowed()


def test_what_waits_to_be_reported_outlasts_a_report_of_another_gateway():
    quarantine = quarantine_after((0.0, "u-1", (FATAL,)))
    quarantine.merge(PromptPartsTold(), 0.1)
    assert quarantine.take_changed() == {UpstreamExit("u-1", 0)}


def exit_report(upstream: str, age: float, *parts) -> ExitPartsReport:
    request = RequestDigest("0" * 32)
    broken = tuple(BrokenPart(each, RUN_SECONDS, request) for each in parts)
    return ExitPartsReport(UpstreamExit(upstream, 0), age, broken)


HELD = HeldPartReport(1.0, 0, 0, 0.0, 0, 0)
VALID = PromptPartsTold(
    (exit_report("u-1", 1.0, FATAL),), (PartReport(FATAL, None, HELD),)
)


@pytest.mark.parametrize(
    "told",
    [
        PromptPartsTold((exit_report("u-1", math.nan, FATAL),)),
        PromptPartsTold((exit_report("u-1", -1.0, FATAL),)),
        PromptPartsTold((exit_report("u-1", 1.0, "no digest"),)),
        PromptPartsTold((), (PartReport("x" * 32, 1.0, None),)),
        PromptPartsTold((), (PartReport(FATAL, math.inf, None),)),
        PromptPartsTold((), (PartReport(FATAL, None, HELD._replace(probes=-1)),)),
        PromptPartsTold(
            (), (PartReport(FATAL, None, HELD._replace(trial_age_seconds=math.nan)),)
        ),
        PromptPartsTold((ExitPartsReport(UpstreamExit("u", 2**40), 1.0, ()),)),
        PromptPartsTold(
            (
                ExitPartsReport(
                    UpstreamExit("u", 0), 1.0, (BrokenPart(FATAL, -1.0, "0" * 32),)
                ),
            )
        ),
    ],
)
def test_an_invalid_report_is_told_apart(told):
    assert parts_report_problem(told) is not None
    assert parts_report_problem(VALID) is None


def test_countless_exits_and_parts_take_bounded_memory():
    """Guards against a customer that fills the memory of all gateways."""
    quarantine = PartQuarantine.from_config(CONFIG)
    for number in range(600):
        parts = [part(f"{number}-{each}") for each in range(300)]
        quarantine.record_exit(
            parts, f"u-{number}", ended(1.0 * number), False, 1.0 * number
        )
        quarantine.record_answer(parts[::7], number + 0.5)
    evidence = quarantine.evidence
    assert len(evidence.exits) == len(evidence.parts) == CONFIG.max_exits
    assert len(evidence.by_part) <= CONFIG.max_exits * CONFIG.max_parts_per_exit
    assert len(evidence.answered) <= CONFIG.max_answered
    quarantine.forget_old(700.0)
    assert len(quarantine.told_answers) <= len(evidence.by_part)
    quarantine.forget_old(10_000.0)
    assert not evidence.exits and not evidence.by_part and not evidence.answered


PARTS = st.sampled_from([FIRST, FATAL, OTHER, SESSION])
EXITS = st.builds(
    lambda upstream, parts, age: exit_report(f"u-{upstream}", age, *parts),
    st.integers(0, 8),
    st.frozensets(PARTS, min_size=1),
    st.floats(0.0, 50.0),
)
REPORTS = st.lists(
    st.one_of(
        EXITS.map(lambda each: PromptPartsTold((each,))),
        st.builds(
            lambda name, age: PromptPartsTold((), (PartReport(name, age, None),)),
            PARTS,
            st.floats(0.0, 50.0),
        ),
    ),
    max_size=20,
)


@given(REPORTS, st.randoms(use_true_random=False))
def test_reports_in_any_order_late_or_twice_leave_the_same_evidence(reports, random):
    """Guards against gateways that heard the same and decide differently."""
    one, other = (PartQuarantine.from_config(CONFIG) for _ in range(2))
    for report in reports:
        one.merge(report, 100.0)
    again = reports + random.sample(reports, len(reports) // 2)
    random.shuffle(again)
    for report in again:
        other.merge(report, 100.0)
    for each in (FIRST, FATAL, OTHER, SESSION):
        assert one.evidence.open_exits(each) == other.evidence.open_exits(each)
    assert one.evidence.exits == other.evidence.exits


HARMLESS = Traffic(12.0, (("first", "a"), ("first", "b"), ("second", "c")))


def sound_parts(fleet: PartFleet) -> set:
    """Return the harmless parts that some gateway holds back."""
    return fleet.held() - {part(each) for each in fleet.fatal}


@given(
    st.integers(0, 2**32),
    st.floats(0.5, 8.0),
    st.floats(0.5, 20.0),
    st.integers(1, 8),
    st.sampled_from([0.0, 0.05]),
)
@example(0, 8.0, 0.5, 8, 0.05)
def test_a_fleet_stops_sending_a_fatal_part_and_serves_the_rest(
    seed, fatal_rate, harmless_rate, gateways, loss
):
    """Guards against a part that ends upstream after upstream in a fleet."""
    fatal = Traffic(fatal_rate, (("first", "fatal"), ("second", "fatal")), began=2.0)
    fleet = PartFleet(
        Random(seed),
        (HARMLESS._replace(rate=harmless_rate), fatal),
        {"fatal"},
        gateways,
        loss=loss,
    )
    fleet.run(45.0)
    end = fleet.known_at("fatal")
    assert fleet.reached("fatal", end + WINDOW_SECONDS) <= MAX_LATER
    late = [each for each in fleet.sent if each.at > end + 2 * WINDOW_SECONDS]
    sound = [each for each in late if "fatal" not in each.parts]
    refused = sum(each.verdict == "HeldBack" for each in sound)
    assert refused <= len(sound) / 2


@given(st.integers(0, 2**32), st.integers(2, 10), st.floats(0.0, 0.5))
def test_racks_that_fail_hold_nothing_back(seed, amount, within_seconds):
    """Guards against parts that are condemned by failures of machines."""
    fleet = PartFleet(Random(seed), (HARMLESS,), set())
    for _ in range(4):
        fleet.run(6.0)
        fleet.crash_some(amount, within_seconds)
    fleet.run(3.0)
    assert fleet.refused("a", 0.0) + fleet.refused("c", 0.0) == 0
    assert fleet.held() == set()


@given(st.integers(0, 2**32))
def test_restarted_gateways_and_two_fatal_parts(seed):
    """Guards against a second fatal part, and against what restarts forget."""
    first = Traffic(3.0, (("first", "fatal"),), began=1.0)
    second = Traffic(3.0, (("second", "deadly"),), began=4.0)
    fleet = PartFleet(Random(seed), (HARMLESS, first, second), {"fatal", "deadly"})
    for number in range(fleet.gateways):
        fleet.run(6.0)
        fleet.restart(number)
    fleet.run(6.0)
    for name in ("fatal", "deadly"):
        since = fleet.known_at(name) + WINDOW_SECONDS
        assert fleet.reached(name, since) <= MAX_LATER
    assert sound_parts(fleet) == set()


@given(st.integers(0, 2**32))
def test_a_part_that_is_mended_is_served_in_the_whole_fleet(seed):
    """Guards against a part that is refused for good once it has ended upstreams."""
    fatal = Traffic(2.0, (("first", "fatal"),), began=1.0)
    fleet = PartFleet(Random(seed), (HARMLESS, fatal), {"fatal"})
    fleet.run(10.0)
    fleet.fatal = set()
    fleet.run(70.0)
    mended_at = fleet.now
    fleet.run(10.0)
    assert fleet.reached("fatal", mended_at) > 0
    assert fleet.refused("fatal", mended_at) == 0
