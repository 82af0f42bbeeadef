"""Check which requests are held back, whatever order words of them come in."""

import math
from collections.abc import Iterable
from random import Random
from typing import NamedTuple

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from cowslipshelf_core.gateway import (
    Allowed,
    AllowedAlone,
    ExitReport,
    HeldBack,
    QuarantineConfig,
    RequestDigest,
    RequestQuarantine,
    SuspectRequestReport,
    UpstreamExit,
    request_digest,
    suspect_report_problem,
)

CONFIG = QuarantineConfig("gateway-1", hold_spread=0.0)
FATAL = request_digest("customer-one", "POST", "host", "/x", b"fatal")
OTHER = request_digest("customer-one", "POST", "host", "/x", b"other")


def quarantine(**changes) -> RequestQuarantine:
    return RequestQuarantine.from_config(CONFIG._replace(**changes))


def ended(held: RequestQuarantine, *upstreams: str, now: float = 0.0) -> None:
    for upstream in upstreams:
        held.record_exit(FATAL, upstream, now)


def exchange(gateways: list[RequestQuarantine], now: float, digest=FATAL) -> None:
    """Let each gateway hear all that the others know."""
    for sender in gateways:
        for told in sender.reports([digest], now):
            for receiver in gateways:
                receiver.merge_report(told, now)


def test_a_request_is_held_back_after_three_ends_and_others_are_not():
    held = quarantine()
    ended(held, "u-1")
    assert held.verdict(FATAL, 0.0) == Allowed()
    ended(held, "u-2")
    assert held.verdict(FATAL, 0.0) == AllowedAlone(probe=False)
    ended(held, "u-3")
    verdict = held.verdict(FATAL, 1.0)
    assert isinstance(verdict, HeldBack)
    assert verdict.upstreams == ("u-1", "u-2", "u-3")
    assert verdict.retry_after_seconds is None
    assert held.verdict(OTHER, 1.0) == Allowed()


def test_requests_that_shared_one_end_count_it_once():
    """Guards against a request of many callers blamed for one crash."""
    held = quarantine()
    ended(held, "u-1", "u-1", "u-1", "u-1")
    assert held.verdict(FATAL, 0.0) == Allowed()


def test_an_upstream_that_keeps_its_id_counts_each_time_it_ends():
    """Guards against a fleet of two upstreams that a request ends for ever."""
    held = quarantine()
    for moment in (0.0, 2.0, 4.0):
        ended(held, "u-1", now=moment)
    assert isinstance(held.verdict(FATAL, 4.0), HeldBack)


def test_a_whole_answer_clears_what_came_before_it_only():
    held = quarantine()
    ended(held, "u-1", "u-2", "u-3")
    held.record_answer(FATAL, 1.0)
    assert held.verdict(FATAL, 1.0) == Allowed()
    ended(held, "u-4", "u-5", "u-6", now=2.0)
    assert isinstance(held.verdict(FATAL, 2.0), HeldBack)


def test_a_late_word_of_an_end_does_not_undo_that_it_was_cleared():
    held, behind = quarantine(), quarantine()
    ended(held, "u-1", "u-2", "u-3")
    late = held.reports([FATAL], 0.0)
    exchange([held, behind], 0.0)
    held.record_answer(FATAL, 1.0)
    exchange([held, behind], 1.0)
    for told in late:
        behind.merge_report(told, 2.0)
        held.merge_report(told, 2.0)
    assert behind.verdict(FATAL, 2.0) == Allowed()
    assert held.verdict(FATAL, 2.0) == Allowed()


def test_a_suspect_runs_at_one_upstream_at_a_time():
    """Guards against three gateways that try a suspect at the same moment."""
    first, second = quarantine(), quarantine()
    ended(first, "u-1", "u-2")
    first.begin_trial(FATAL, first.verdict(FATAL, 0.0), 0.0)
    exchange([first, second], 0.0)
    verdict = second.verdict(FATAL, 0.1)
    assert isinstance(verdict, HeldBack)
    assert verdict.retry_after_seconds == CONFIG.alone_retry_seconds
    first.end_trial(FATAL)
    exchange([first, second], 0.2)
    assert second.verdict(FATAL, 0.2) == AllowedAlone(probe=False)


def test_a_trial_whose_gateway_died_is_over_after_a_while():
    held = quarantine()
    ended(held, "u-1", "u-2")
    held.begin_trial(FATAL, held.verdict(FATAL, 0.0), 0.0)
    assert isinstance(held.verdict(FATAL, CONFIG.trial_seconds - 0.1), HeldBack)
    assert held.verdict(FATAL, CONFIG.trial_seconds) == AllowedAlone(probe=False)


def test_probes_of_what_is_held_back_come_ever_more_rarely():
    held = quarantine()
    ended(held, "u-1", "u-2", "u-3")
    now, pauses = 0.0, []
    for number in range(3):
        verdict = held.verdict(FATAL, now)
        assert isinstance(verdict, HeldBack)
        pauses.append(verdict.left_seconds)
        now += verdict.left_seconds
        verdict = held.verdict(FATAL, now)
        assert verdict == AllowedAlone(probe=True)
        held.begin_trial(FATAL, verdict, now)
        held.record_exit(FATAL, f"probed-{number}", now)
        held.end_trial(FATAL)
    assert pauses == pytest.approx([20.0, 160.0, 1280.0])


def test_a_probe_without_an_outcome_is_not_followed_by_another_at_once():
    """Guards against a held back request that full upstreams reject each second."""
    held = quarantine()
    ended(held, "u-1", "u-2", "u-3")
    held.begin_trial(FATAL, held.verdict(FATAL, 20.0), 20.0)
    held.end_trial(FATAL)
    assert isinstance(held.verdict(FATAL, 100.0), HeldBack)


def test_one_whole_answer_to_a_probe_lets_the_request_go():
    held = quarantine()
    ended(held, "u-1", "u-2", "u-3")
    held.begin_trial(FATAL, held.verdict(FATAL, 20.0), 20.0)
    held.record_answer(FATAL, 21.0)
    held.end_trial(FATAL)
    assert held.verdict(FATAL, 21.0) == Allowed()


def test_many_requests_with_an_end_each_make_no_room_for_a_worse_one():
    """Guards against a customer that hides a request in a flood of others."""
    held = quarantine(max_suspects=10)
    ended(held, "u-1", "u-2", "u-3")
    for number in range(100):
        digest = request_digest("c", "POST", "host", "/x", b"%d" % number)
        held.record_exit(digest, f"v-{number}", float(number))
    assert len(held.suspects) == 10
    assert isinstance(held.verdict(FATAL, 1.0), HeldBack)


def test_what_is_old_is_forgotten_and_what_is_held_back_much_later():
    held = quarantine()
    ended(held, "u-1", "u-2", "u-3")
    held.record_exit(OTHER, "u-1", 0.0)
    assert held.forget_old(CONFIG.forget_seconds + 1.0) == []
    assert list(held.suspects) == [FATAL]
    assert held.forget_old(CONFIG.forget_held_seconds + 1.0) == [FATAL]
    assert held.suspects == {}


def test_the_worst_are_those_with_most_ends():
    held = quarantine()
    ended(held, "u-1", "u-2", "u-3")
    held.record_exit(OTHER, "u-1", 0.0)
    assert held.most_suspect(1) == {FATAL}
    assert held.most_suspect(5) == {FATAL, OTHER}


GOOD = SuspectRequestReport(
    FATAL, (ExitReport(UpstreamExit("u-1", 0), 1.0, False),), 1, 0, 1.0, 0
)


@pytest.mark.parametrize(
    "told",
    [
        GOOD._replace(digest=RequestDigest("")),
        GOOD._replace(digest=RequestDigest("x" * 32)),
        GOOD._replace(exits=GOOD.exits * 17),
        GOOD._replace(exits=(ExitReport(UpstreamExit("u-1", 0), -1.0, False),)),
        GOOD._replace(exits=(ExitReport(UpstreamExit("u-1", -1), 1.0, False),)),
        GOOD._replace(exits=(ExitReport(UpstreamExit("u-1", 0), math.nan, False),)),
        GOOD._replace(trial_age_seconds=math.inf),
        GOOD._replace(trials=2**40),
        GOOD._replace(probes=-1),
    ],
)
def test_odd_word_of_another_gateway_is_refused_with_its_reason(told):
    assert suspect_report_problem(GOOD) is None
    assert suspect_report_problem(told)


UPSTREAMS = st.sampled_from(["u-1", "u-2", "u-3", "u-4"])
STEPS = st.one_of(
    st.tuples(st.just("ended"), st.integers(0, 3), UPSTREAMS),
    st.tuples(st.just("answered"), st.integers(0, 3), UPSTREAMS),
    st.tuples(st.just("tried"), st.integers(0, 3), UPSTREAMS),
    st.tuples(st.just("told"), st.integers(0, 3), UPSTREAMS),
)


@given(st.lists(STEPS, max_size=30), st.randoms(use_true_random=False))
def test_gateways_that_heard_the_same_words_believe_the_same(steps, random):
    """Guards against gateways that never agree which requests are held back."""
    gateways = [quarantine() for _ in range(4)]
    words: list[SuspectRequestReport] = []
    for now, (step, number, upstream) in enumerate(steps):
        gateway = gateways[number]
        match step:
            case "ended":
                gateway.record_exit(FATAL, upstream, float(now))
            case "answered":
                gateway.record_answer(FATAL, float(now))
            case "tried":
                verdict = gateway.verdict(FATAL, float(now))
                if isinstance(verdict, AllowedAlone):
                    gateway.begin_trial(FATAL, verdict, float(now))
            case "told":
                words += gateway.reports([FATAL], float(now))
    now = float(len(steps))
    words += [told for gateway in gateways for told in gateway.reports([FATAL], now)]
    for gateway in gateways:
        for told in random.sample(words * 2, 2 * len(words)):
            gateway.merge_report(told, now)
    beliefs = [
        (
            set(g.suspects[FATAL].open_exits()),
            g.suspects[FATAL].trials,
            g.is_held(FATAL),
        )
        for g in gateways
        if FATAL in g.suspects
    ]
    assert all(belief == beliefs[0] for belief in beliefs)
    assert len(beliefs) in (0, len(gateways))


class Word(NamedTuple):
    """Be a word on its way."""

    arrives: float
    to: int
    told: SuspectRequestReport


WAY_SECONDS = 0.3
"""Longest way of a word that arrives."""
REPEAT_SECONDS = 0.5
RUN_SECONDS = 0.2
SECONDS = 30.0
STEP_SECONDS = 0.05


class PlayedFleet:
    """Play gateways that are sent one fatal request again and again."""

    def __init__(self, size: int, lost_share: float, seed: int) -> None:
        self.random = Random(seed)
        self.lost_share = lost_share
        self.gateways = [self.new_gateway(number) for number in range(size)]
        self.serves = [True] * size
        self.repeats = [0] * size
        self.words: list[Word] = []
        self.running: list[tuple[float, int, bool]] = []
        self.arrivals: list[float] = []
        self.ends: list[float] = []

    def tell(
        self, number: int, now: float, receivers: Iterable[int] | None = None
    ) -> None:
        """Send what one gateway knows to others, or to all; some of it is lost."""
        everybody = range(len(self.gateways))
        for told in self.gateways[number].reports([FATAL], now):
            for to in everybody if receivers is None else receivers:
                if self.random.random() >= self.lost_share:
                    way = self.random.uniform(0.0, WAY_SECONDS)
                    self.words.append(Word(now + way, to, told))

    def send(self, number: int, now: float) -> None:
        """Let a gateway decide on the request."""
        gateway = self.gateways[number]
        verdict = gateway.verdict(FATAL, now)
        if isinstance(verdict, HeldBack) or not self.serves[number]:
            return
        if isinstance(verdict, AllowedAlone):
            gateway.begin_trial(FATAL, verdict, now)
            self.tell(number, now)
        self.arrivals.append(now)
        alone = isinstance(verdict, AllowedAlone)
        self.running.append((now + RUN_SECONDS, number, alone))

    def restart(self, number: int, now: float) -> None:
        """Let a gateway forget all, until each of the others tells it again.

        It serves once it has a configuration, which they send after their suspects.
        """
        self.gateways[number] = self.new_gateway(number)
        self.serves[number] = False
        for sender in range(len(self.gateways)):
            self.tell(sender, now, (number,))

    def new_gateway(self, number: int) -> RequestQuarantine:
        """Make a gateway that knows nothing."""
        return RequestQuarantine.from_config(QuarantineConfig(f"gateway-{number}"))

    def step(self, now: float) -> None:
        """Let words arrive and upstreams end."""
        for word in [word for word in self.words if word.arrives <= now]:
            self.words.remove(word)
            self.gateways[word.to].merge_report(word.told, now)
            self.serves[word.to] = True
        for run in [run for run in self.running if run[0] <= now]:
            self.running.remove(run)
            self.ends.append(now)
            _, number, alone = run
            gateway = self.gateways[number]
            gateway.record_exit(FATAL, f"u-{len(self.ends)}", now)
            if alone:
                gateway.end_trial(FATAL)
            self.tell(number, now)
            self.repeats[number] = 2

    def repeat(self, now: float) -> None:
        """Let gateways tell their news again."""
        for number, left in enumerate(self.repeats):
            if left:
                self.repeats[number] -= 1
                self.tell(number, now)


@given(
    size=st.integers(3, 75),
    lost_share=st.sampled_from([0.0, 0.03, 0.2]),
    at_once=st.integers(1, 6),
    seed=st.integers(0, 2**32),
)
@example(size=75, lost_share=0.2, at_once=6, seed=0)
def test_few_upstreams_end_once_word_of_three_can_have_arrived(
    size, lost_share, at_once, seed
):
    """Guards against gateways that each learn for themselves, an upstream at a time."""
    fleet = PlayedFleet(size, lost_share, seed)
    known_at = math.inf
    for number in range(int(SECONDS / STEP_SECONDS)):
        now = number * STEP_SECONDS
        fleet.step(now)
        if number % int(REPEAT_SECONDS / STEP_SECONDS) == 0:
            fleet.repeat(now)
        if number % int(0.2 / STEP_SECONDS) == 0:
            for _ in range(at_once):
                fleet.send(fleet.random.randrange(size), now)
        if number % int(5.0 / STEP_SECONDS) == 0:
            fleet.restart(fleet.random.randrange(size), now)
        if len(fleet.ends) >= 3:
            known_at = min(known_at, fleet.ends[2] + 3.0)
    assert sum(arrival > known_at for arrival in fleet.arrivals) <= 3
