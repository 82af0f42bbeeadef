"""Check which requests are held back, in whatever order reports arrive."""

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


def record_exits(held: RequestQuarantine, *upstreams: str, now: float = 0.0) -> None:
    for upstream in upstreams:
        held.record_exit(FATAL, upstream, now)


def exchange(gateways: list[RequestQuarantine], now: float, digest=FATAL) -> None:
    """Send the reports of each gateway to all others."""
    for sender in gateways:
        for report in sender.reports([digest], now):
            for receiver in gateways:
                receiver.merge_report(report, now)


def test_a_request_is_held_back_after_three_exits_and_others_are_not():
    held = quarantine()
    record_exits(held, "u-1")
    assert held.verdict(FATAL, 0.0) == Allowed()
    record_exits(held, "u-2")
    assert held.verdict(FATAL, 0.0) == AllowedAlone(probe=False)
    record_exits(held, "u-3")
    verdict = held.verdict(FATAL, 1.0)
    assert isinstance(verdict, HeldBack)
    assert verdict.upstreams == ("u-1", "u-2", "u-3")
    assert verdict.retry_after_seconds is None
    assert held.verdict(OTHER, 1.0) == Allowed()


def test_reports_of_the_same_exit_count_once():
    """Guards against a request of many callers that is blamed several times."""
    held = quarantine()
    record_exits(held, "u-1", "u-1", "u-1", "u-1")
    assert held.verdict(FATAL, 0.0) == Allowed()


def test_each_exit_of_an_upstream_that_keeps_its_id_counts():
    """Guards against a request that crashes a fleet of two upstreams for ever."""
    held = quarantine()
    for moment in (0.0, 2.0, 4.0):
        record_exits(held, "u-1", now=moment)
    assert isinstance(held.verdict(FATAL, 4.0), HeldBack)


def test_a_complete_answer_clears_earlier_exits_only():
    held = quarantine()
    record_exits(held, "u-1", "u-2", "u-3")
    held.record_answer(FATAL, 1.0)
    assert held.verdict(FATAL, 1.0) == Allowed()
    record_exits(held, "u-4", "u-5", "u-6", now=2.0)
    assert isinstance(held.verdict(FATAL, 2.0), HeldBack)


def test_a_late_report_does_not_reopen_a_cleared_exit():
    held, behind = quarantine(), quarantine()
    record_exits(held, "u-1", "u-2", "u-3")
    late = held.reports([FATAL], 0.0)
    exchange([held, behind], 0.0)
    held.record_answer(FATAL, 1.0)
    exchange([held, behind], 1.0)
    for report in late:
        behind.merge_report(report, 2.0)
        held.merge_report(report, 2.0)
    assert behind.verdict(FATAL, 2.0) == Allowed()
    assert held.verdict(FATAL, 2.0) == Allowed()


def test_a_suspect_runs_on_one_upstream_at_a_time():
    """Guards against three gateways that run a suspect at the same moment."""
    first, second = quarantine(), quarantine()
    record_exits(first, "u-1", "u-2")
    first.begin_trial(FATAL, first.verdict(FATAL, 0.0), 0.0)
    exchange([first, second], 0.0)
    verdict = second.verdict(FATAL, 0.1)
    assert isinstance(verdict, HeldBack)
    assert verdict.retry_after_seconds == CONFIG.alone_retry_seconds
    first.end_trial(FATAL)
    exchange([first, second], 0.2)
    assert second.verdict(FATAL, 0.2) == AllowedAlone(probe=False)


def test_a_trial_whose_gateway_died_ends_by_timeout():
    held = quarantine()
    record_exits(held, "u-1", "u-2")
    held.begin_trial(FATAL, held.verdict(FATAL, 0.0), 0.0)
    assert isinstance(held.verdict(FATAL, CONFIG.trial_seconds - 0.1), HeldBack)
    assert held.verdict(FATAL, CONFIG.trial_seconds) == AllowedAlone(probe=False)


def test_the_time_between_probes_grows():
    held = quarantine()
    record_exits(held, "u-1", "u-2", "u-3")
    now, waits = 0.0, []
    for number in range(3):
        verdict = held.verdict(FATAL, now)
        assert isinstance(verdict, HeldBack)
        waits.append(verdict.left_seconds)
        now += verdict.left_seconds
        verdict = held.verdict(FATAL, now)
        assert verdict == AllowedAlone(probe=True)
        held.begin_trial(FATAL, verdict, now)
        held.record_exit(FATAL, f"probed-{number}", now)
        held.end_trial(FATAL)
    assert waits == pytest.approx([20.0, 160.0, 1280.0])


def test_a_probe_without_an_outcome_is_not_repeated_at_once():
    """Guards against probes every second that busy upstreams reject."""
    held = quarantine()
    record_exits(held, "u-1", "u-2", "u-3")
    held.begin_trial(FATAL, held.verdict(FATAL, 20.0), 20.0)
    held.end_trial(FATAL)
    assert isinstance(held.verdict(FATAL, 100.0), HeldBack)


def test_one_complete_answer_to_a_probe_releases_the_request():
    held = quarantine()
    record_exits(held, "u-1", "u-2", "u-3")
    held.begin_trial(FATAL, held.verdict(FATAL, 20.0), 20.0)
    held.record_answer(FATAL, 21.0)
    held.end_trial(FATAL)
    assert held.verdict(FATAL, 21.0) == Allowed()


def test_many_requests_with_one_exit_each_do_not_evict_one_with_more():
    """Guards against a customer that hides a request among many others."""
    held = quarantine(max_suspects=10)
    record_exits(held, "u-1", "u-2", "u-3")
    for number in range(100):
        digest = request_digest("c", "POST", "host", "/x", b"%d" % number)
        held.record_exit(digest, f"v-{number}", float(number))
    assert len(held.suspects) == 10
    assert isinstance(held.verdict(FATAL, 1.0), HeldBack)


def test_old_requests_are_forgotten_and_held_ones_much_later():
    held = quarantine()
    record_exits(held, "u-1", "u-2", "u-3")
    held.record_exit(OTHER, "u-1", 0.0)
    assert held.forget_old(CONFIG.forget_seconds + 1.0) == []
    assert list(held.suspects) == [FATAL]
    assert held.forget_old(CONFIG.forget_held_seconds + 1.0) == [FATAL]
    assert held.suspects == {}


def test_the_most_suspect_requests_have_the_most_exits():
    held = quarantine()
    record_exits(held, "u-1", "u-2", "u-3")
    held.record_exit(OTHER, "u-1", 0.0)
    assert held.most_suspect(1) == {FATAL}
    assert held.most_suspect(5) == {FATAL, OTHER}


VALID = SuspectRequestReport(
    FATAL, (ExitReport(UpstreamExit("u-1", 0), 1.0, False),), 1, 0, 1.0, 0
)


@pytest.mark.parametrize(
    "report",
    [
        VALID._replace(digest=RequestDigest("")),
        VALID._replace(digest=RequestDigest("x" * 32)),
        VALID._replace(exits=VALID.exits * 17),
        VALID._replace(exits=(ExitReport(UpstreamExit("u-1", 0), -1.0, False),)),
        VALID._replace(exits=(ExitReport(UpstreamExit("u-1", -1), 1.0, False),)),
        VALID._replace(exits=(ExitReport(UpstreamExit("u-1", 0), math.nan, False),)),
        VALID._replace(trial_age_seconds=math.inf),
        VALID._replace(trials=2**40),
        VALID._replace(probes=-1),
    ],
)
def test_an_invalid_report_is_refused_with_a_reason(report):
    assert suspect_report_problem(VALID) is None
    assert suspect_report_problem(report)


UPSTREAMS = st.sampled_from(["u-1", "u-2", "u-3", "u-4"])
STEPS = st.one_of(
    st.tuples(st.just("ended"), st.integers(0, 3), UPSTREAMS),
    st.tuples(st.just("answered"), st.integers(0, 3), UPSTREAMS),
    st.tuples(st.just("tried"), st.integers(0, 3), UPSTREAMS),
    st.tuples(st.just("report"), st.integers(0, 3), UPSTREAMS),
)


@given(st.lists(STEPS, max_size=30), st.randoms(use_true_random=False))
def test_gateways_with_the_same_reports_reach_the_same_state(steps, random):
    """Guards against gateways that never agree on which requests are held back."""
    gateways = [quarantine() for _ in range(4)]
    all_reports: list[SuspectRequestReport] = []
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
            case "report":
                all_reports += gateway.reports([FATAL], float(now))
    now = float(len(steps))
    all_reports += [
        report for gateway in gateways for report in gateway.reports([FATAL], now)
    ]
    for gateway in gateways:
        for report in random.sample(all_reports * 2, 2 * len(all_reports)):
            gateway.merge_report(report, now)
    states = [
        (
            set(g.suspects[FATAL].open_exits()),
            g.suspects[FATAL].trials,
            g.is_held(FATAL),
        )
        for g in gateways
        if FATAL in g.suspects
    ]
    assert all(state == states[0] for state in states)
    assert len(states) in (0, len(gateways))


class ReportInTransit(NamedTuple):
    """Hold a report on its way to a gateway."""

    arrives: float
    to: int
    report: SuspectRequestReport


DELAY_SECONDS = 0.3
"""Longest delay of a report that arrives."""
RESEND_SECONDS = 0.5
RUN_SECONDS = 0.2
SECONDS = 30.0
STEP_SECONDS = 0.05


class SimulatedFleet:
    """Simulate gateways that receive one fatal request again and again."""

    def __init__(self, size: int, lost_share: float, seed: int) -> None:
        self.random = Random(seed)
        self.lost_share = lost_share
        self.gateways = [self.new_gateway(number) for number in range(size)]
        self.serves = [True] * size
        self.resends_left = [0] * size
        self.in_transit: list[ReportInTransit] = []
        self.running: list[tuple[float, int, bool]] = []
        self.arrivals: list[float] = []
        self.exits: list[float] = []

    def send_reports(
        self, number: int, now: float, receivers: Iterable[int] | None = None
    ) -> None:
        """Send a gateway's reports to some gateways or all; a share of them is lost."""
        everybody = range(len(self.gateways))
        for report in self.gateways[number].reports([FATAL], now):
            for to in everybody if receivers is None else receivers:
                if self.random.random() >= self.lost_share:
                    delay = self.random.uniform(0.0, DELAY_SECONDS)
                    self.in_transit.append(ReportInTransit(now + delay, to, report))

    def send_request(self, number: int, now: float) -> None:
        """Let a gateway decide whether to run the request."""
        gateway = self.gateways[number]
        verdict = gateway.verdict(FATAL, now)
        if isinstance(verdict, HeldBack) or not self.serves[number]:
            return
        if isinstance(verdict, AllowedAlone):
            gateway.begin_trial(FATAL, verdict, now)
            self.send_reports(number, now)
        self.arrivals.append(now)
        alone = isinstance(verdict, AllowedAlone)
        self.running.append((now + RUN_SECONDS, number, alone))

    def restart(self, number: int, now: float) -> None:
        """Restart a gateway without state; each of the others sends it reports.

        It serves once it has a configuration, which they send after their reports.
        """
        self.gateways[number] = self.new_gateway(number)
        self.serves[number] = False
        for sender in range(len(self.gateways)):
            self.send_reports(sender, now, (number,))

    def new_gateway(self, number: int) -> RequestQuarantine:
        """Create a gateway without state."""
        return RequestQuarantine.from_config(QuarantineConfig(f"gateway-{number}"))

    def step(self, now: float) -> None:
        """Deliver reports and let upstreams exit."""
        for message in [
            message for message in self.in_transit if message.arrives <= now
        ]:
            self.in_transit.remove(message)
            self.gateways[message.to].merge_report(message.report, now)
            self.serves[message.to] = True
        for run in [run for run in self.running if run[0] <= now]:
            self.running.remove(run)
            self.exits.append(now)
            _, number, alone = run
            gateway = self.gateways[number]
            gateway.record_exit(FATAL, f"u-{len(self.exits)}", now)
            if alone:
                gateway.end_trial(FATAL)
            self.send_reports(number, now)
            self.resends_left[number] = 2

    def resend(self, now: float) -> None:
        """Let gateways send recent reports again."""
        for number, left in enumerate(self.resends_left):
            if left:
                self.resends_left[number] -= 1
                self.send_reports(number, now)


@given(
    size=st.integers(3, 75),
    lost_share=st.sampled_from([0.0, 0.03, 0.2]),
    at_once=st.integers(1, 6),
    seed=st.integers(0, 2**32),
)
@example(size=75, lost_share=0.2, at_once=6, seed=0)
def test_few_requests_run_once_reports_of_three_exits_can_have_arrived(
    size, lost_share, at_once, seed
):
    """Guards against gateways that each learn by themselves, one upstream at a time."""
    fleet = SimulatedFleet(size, lost_share, seed)
    reported_at = math.inf
    for number in range(int(SECONDS / STEP_SECONDS)):
        now = number * STEP_SECONDS
        fleet.step(now)
        if number % int(RESEND_SECONDS / STEP_SECONDS) == 0:
            fleet.resend(now)
        if number % int(0.2 / STEP_SECONDS) == 0:
            for _ in range(at_once):
                fleet.send_request(fleet.random.randrange(size), now)
        if number % int(5.0 / STEP_SECONDS) == 0:
            fleet.restart(fleet.random.randrange(size), now)
        if len(fleet.exits) >= 3:
            reported_at = min(reported_at, fleet.exits[2] + 3.0)
    assert sum(arrival > reported_at for arrival in fleet.arrivals) <= 3
