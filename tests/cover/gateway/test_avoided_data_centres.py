"""Check that requests avoid a data centre whose upstreams were lost together."""

import asyncio
from types import SimpleNamespace

import pytest

from common.gateway_requests import RecordedAnswer
from common.gateway_samples import (
    ENGINE,
    GATEWAY_SETTINGS,
    configuration,
    heartbeat,
    route,
)
from cowslipshelf_adapter.wire import MachinesDialect
from cowslipshelf_core.dialect import CallerFacts
from cowslipshelf_core.gateway import (
    EnginePart,
    EngineWork,
    PromptSize,
    ServiceConfiguration,
    UpstreamObservation,
    UpstreamObservations,
    UpstreamOutcome,
    UpstreamPhase,
)
from cowslipshelf_core.identifiers import DataCentre, Epoch
from cowslipshelf_core.messages import PeerAlive, RoutesDocument
from cowslipshelf_daemon.internal.gateway.attempt_outcomes import (
    Answered,
    NotReached,
    NotReserved,
)
from cowslipshelf_daemon.internal.gateway.fleet_view import FleetView
from cowslipshelf_daemon.internal.gateway.http_server import HttpRequest
from cowslipshelf_daemon.internal.gateway.placement import Placement, place
from cowslipshelf_daemon.internal.gateway.request_handler import RequestHandler
from cowslipshelf_daemon.internal.gateway.request_progress import (
    RequestProgress,
    may_try_another,
)
from cowslipshelf_daemon.internal.suspect_requests import SuspectRequests
from cowslipshelf_host.metrics import Metrics

PER_DATA_CENTRE = 6
PEERS = {"10.0.0.2": "here", "10.0.0.3": "here", "10.0.1.1": "far", "10.0.2.1": "third"}
GATEWAY = "cowslipshelf_daemon.internal.gateway"
LOST, ANSWERED = UpstreamOutcome.LOST, UpstreamOutcome.ANSWERED


class Clock:
    """Hold the time that the modules under test see, so that slow runs pass too."""

    now = 100.0


@pytest.fixture(autouse=True)
def clock(monkeypatch) -> None:
    monkeypatch.setattr(Clock, "now", 100.0)
    fixed = SimpleNamespace(monotonic=lambda: Clock.now)
    for module in ("fleet_view", "placement", "request_handler", "upstream_observer"):
        monkeypatch.setattr(f"{GATEWAY}.{module}.time", fixed)


def view_of(
    *data_centres: str, shares_health: bool = True, failures: int = 1, engines=True
) -> FleetView:
    """Return the view of a gateway in "here" with upstreams in data centres."""
    view = FleetView.from_settings(
        GATEWAY_SETTINGS._replace(
            shares_health=shares_health, max_data_centre_failures=failures
        )
    )
    services = (ServiceConfiguration("s", 100, ENGINE if engines else None),)
    routes = configuration(
        route(max_attempts=3, timeout_seconds=60.0), services=services
    )
    view.apply_configuration(RoutesDocument(1, "", b""), routes)
    for data_centre in data_centres:
        for number in range(PER_DATA_CENTRE):
            hear(view, f"{data_centre}-{number}", age=1.0)
    for peer, data_centre in PEERS.items():
        alive = PeerAlive(Epoch("e"), DataCentre(data_centre), True, 1, ())
        view.peers.record_alive(peer, alive, Clock.now)
    return view


def hear(view: FleetView, upstream_id: str, age: float = 0.0, **changes) -> None:
    """Record a heartbeat of an upstream, by default a first one."""
    data_centre = upstream_id.partition("-")[0]
    sent = heartbeat(upstream_id, address=f"{upstream_id}:80")
    view.record_heartbeat(sent._replace(data_centre=data_centre, **changes), age)


def report(view: FleetView, reporter: str, *numbers: int, outcome=LOST, age=0.0):
    """Record another gateway's message about upstreams of "far"."""
    observations = tuple(
        UpstreamObservation(f"far-{number}", outcome, None, age) for number in numbers
    )
    view.observer.record_observations(reporter, UpstreamObservations(observations))


def doubtful(view: FleetView) -> set[str]:
    now = Clock.now
    known = view.upstreams_of("s")
    return {
        e.upstream_id for e in known if view.outages.is_doubtful(e.upstream_id, now)
    }


def chosen(view: FleetView, tokens: int = 1000, excluded=frozenset()) -> set[str]:
    """Return the data centres of the upstreams chosen in many placements."""
    facts = CallerFacts("a", None, None, None, PromptSize(tokens, 100))
    names: set[str] = set()
    for _ in range(40):
        placement = place(view, route(), "s", facts, 30.0, frozenset(excluded))
        assert isinstance(placement, Placement)
        names |= {each.partition("-")[0] for each in placement.upstream_ids}
    return names


@pytest.mark.parametrize("engines", [True, False])
def test_requests_avoid_upstreams_that_nobody_has_tried_yet(engines):
    """Guards against tries of one dead upstream after the other."""
    view = view_of("here", "far", engines=engines)
    for number in range(3):
        view.observer.observe(f"here-{number}", LOST)
    assert doubtful(view) == {f"here-{n}" for n in range(PER_DATA_CENTRE)}
    assert chosen(view) == {"far"}


@pytest.mark.parametrize("engines", [True, False])
def test_doubtful_upstreams_are_used_if_there_are_no_others(engines):
    """Guards against refusals for what may be a false alarm."""
    view = view_of("far", engines=engines)
    for number in range(3):
        view.observer.observe(f"far-{number}", LOST)
    assert chosen(view) == {"far"}


def test_a_prompt_too_large_for_the_others_uses_doubtful_engines():
    """Guards against a refusal while engines that may be alive have the memory."""
    view = view_of("here", "far")
    for number in range(3):
        view.observer.observe(f"far-{number}", LOST)
    tokens = int(ENGINE.memory_tokens * 0.9 * PER_DATA_CENTRE)
    few = [f"here-{number}" for number in range(4)]
    assert chosen(view, tokens // 2, excluded=few) == {"here", "far"}


@pytest.mark.parametrize(
    ("reporters", "avoided"),
    [
        pytest.param(["10.0.1.1"], True, id="there"),
        pytest.param(["10.0.2.1"], False, id="one other data centre"),
        pytest.param(["10.0.0.2"], False, id="one gateway here"),
        pytest.param(["10.0.0.2", "10.0.0.3"], True, id="two gateways here"),
        pytest.param(["10.0.0.2", "10.0.2.1"], True, id="two data centres"),
        pytest.param(["10.9.9.9"], False, id="an unknown gateway"),
    ],
)
def test_reports_of_other_gateways_count_by_their_data_centre(reporters, avoided):
    """Guards against an alarm for a cut that only the reporters have."""
    view = view_of("here", "far")
    for reporter in reporters:
        report(view, reporter, 0, 1, 2)
    assert bool(doubtful(view)) is avoided


def test_old_reports_are_no_sign_of_an_outage():
    """Guards against an alarm for losses that were on the way for long."""
    view = view_of("here", "far")
    report(view, "10.0.1.1", 0, 1, 2, age=1.5)
    assert not doubtful(view)


def test_an_answer_that_another_gateway_got_brings_an_upstream_back():
    """Guards against avoiding upstreams that others use."""
    view = view_of("here", "far")
    report(view, "10.0.1.1", 0, 1, 2)
    Clock.now += 0.05
    report(view, "10.0.2.1", 4, outcome=ANSWERED)
    assert doubtful(view) == {f"far-{number}" for number in (0, 1, 2, 3, 5)}


def test_heartbeats_sent_after_the_losses_end_the_outage():
    """Guards against sound upstreams avoided after a false alarm."""
    view = view_of("here", "far")
    report(view, "10.0.1.1", 0, 1, 2, age=0.1)
    Clock.now += 0.5
    hear(view, "far-3", sequence=2, age=0.4)
    assert len(doubtful(view)) == PER_DATA_CENTRE
    hear(view, "far-4", sequence=2)
    assert doubtful(view) == {f"far-{number}" for number in (0, 1, 2, 3, 5)}
    for number in (3, 5):
        hear(view, f"far-{number}", sequence=3)
    assert not doubtful(view)


def test_a_doubtful_data_centre_is_used_again_after_two_seconds():
    """Guards against a data centre that no request brings back."""
    view = view_of("here", "far")
    report(view, "10.0.1.1", 0, 1, 2)
    assert chosen(view) == {"here"}
    Clock.now += 2.1
    assert chosen(view) == {"here", "far"}


def test_upstreams_that_announced_their_end_are_no_sign_of_an_outage():
    """Guards against an alarm for a rolling release."""
    view = view_of("here", "far")
    for number in range(3):
        hear(view, f"far-{number}", sequence=2, phase=UpstreamPhase.LEAVING)
        view.observer.observe(f"far-{number}", LOST)
    assert not doubtful(view)


def test_new_starts_are_believed_at_once():
    """Guards against avoiding upstreams that a release by kills has begun again."""
    view = view_of("here")
    for number in range(PER_DATA_CENTRE):
        hear(view, f"far-{number}#1000", age=1.0)
    for number in range(3):
        view.observer.observe(f"far-{number}#1000", LOST)
    assert len(doubtful(view)) == PER_DATA_CENTRE
    hear(view, "far-0#2000")
    assert doubtful(view) == {f"far-{number}#1000" for number in range(1, 6)}
    assert view.outages.ongoing["far"].heard == 1


@pytest.mark.parametrize("asked", [{"shares_health": False}, {"failures": 0}])
def test_nothing_is_avoided_where_the_settings_do_not_ask_for_it(asked):
    """Guards against a change for deployments that did not ask for it."""
    view = view_of("here", "far", **asked)
    for number in range(5):
        view.observer.observe(f"far-{number}", LOST)
    report(view, "10.0.1.1", 0, 1, 2)
    assert not doubtful(view)
    assert not view.outages.upstreams


class DeadFarEngines:
    """Run attempts while the engines in "far" are gone; one shows it in each try."""

    def __init__(self, view: FleetView, *, others_reserve: bool = True) -> None:
        self.view = view
        self.others_reserve = others_reserve
        self.tried: list[tuple[str, ...]] = []

    async def run(self, task, placement: Placement):
        self.tried.append(placement.upstream_ids)
        dead = [each for each in placement.upstream_ids if each.startswith("far")]
        if not dead and self.others_reserve:
            return Answered(200)
        for each in dead[:1]:
            self.view.observer.observe(each, LOST)
        return NotReserved(frozenset(dead[:1]), frozenset())


class EvacuatedHelper:
    """Run attempts of which the first is stopped since a helper is evacuated."""

    def __init__(self) -> None:
        self.tried: list[str] = []

    async def run(self, task, placement: Placement):
        self.tried.append(placement.upstream.upstream_id)
        if len(self.tried) == 1:
            return NotReached("a helper is evacuated", withheld=True)
        return Answered(200)


def handler_of(view: FleetView, runner: DeadFarEngines | None) -> RequestHandler:
    suspects = SuspectRequests(
        "10.0.0.1", Metrics(), lambda _digest: None, lambda: None
    )
    return RequestHandler(view, runner, MachinesDialect(), Metrics(), suspects)


def ask(view: FleetView, runner: DeadFarEngines, tokens: int) -> RecordedAnswer:
    """Request an answer to a prompt."""
    answer = RecordedAnswer()
    headers = [(b"x-attempt-id", b"a"), (b"x-deadline-ms", b"60000")]
    headers.append((b"x-token-count", f"{tokens},100".encode()))
    request = HttpRequest("POST", "/x", headers, b"", "host.example", "caller")
    asyncio.run(handler_of(view, runner)(request, answer))
    return answer


def test_a_request_that_met_an_outage_is_served_by_the_others(monkeypatch):
    """Guards against a refusal whose tries were all spent on dead engines."""
    view = view_of("here", "far")
    runner = DeadFarEngines(view)
    placed = []

    def far_first(*arguments):
        """Choose dead engines for as long as they are not doubtful."""
        for number in range(PER_DATA_CENTRE):
            name = f"far-{number}"
            if name not in arguments[5] and not doubtful(view):
                placed.append(name)
                found = {each.upstream_id: each for each in view.upstreams_of("s")}
                return Placement(found[name])
        return place(*arguments)

    monkeypatch.setattr(f"{GATEWAY}.request_handler.place", far_first)
    ask(view, runner, 1000)
    assert placed == ["far-0", "far-1", "far-2"]
    assert runner.tried[-1][0].startswith("here")


def test_engines_of_a_failed_choice_that_are_doubtful_are_not_tried_again():
    """Guards against four choices that share the dead engines."""
    view = view_of("here", "far")
    for number in range(3):
        view.observer.observe(f"far-{number}", LOST)
    engines = ("far-2", "far-3", "here-1")
    parts = tuple(EnginePart(each, 0.1, 1, each == "far-2") for each in engines)
    found = {each.upstream_id: each for each in view.upstreams_of("s")}
    failed = Placement(found["far-2"], EngineWork("a", parts, 1.0, 1.0, 1.0))
    progress = RequestProgress()
    handler_of(view, None).exclude_doubtful(failed, progress)
    assert progress.excluded == {"far-2", "far-3"}


def test_an_engine_whose_helper_was_evacuated_is_tried_again():
    """Guards against a refusal although the last healthy engine could answer."""
    view, runner = view_of(), EvacuatedHelper()
    hear(view, "here-0")
    ask(view, runner, 1000)
    assert runner.tried == ["here-0", "here-0"]


@pytest.mark.parametrize(("met_outage", "tries"), [(False, 4), (True, 8)])
def test_a_request_that_met_an_outage_has_more_tries(met_outage, tries):
    """Guards against a refusal before the first try that avoids the outage."""
    failed = NotReserved(frozenset(), frozenset())
    left = [
        may_try_another(
            None, failed, RequestProgress(unreached=n, met_outage=met_outage)
        )
        for n in (tries - 1, tries)
    ]
    assert left == [True, False]


def test_doubtful_engines_that_did_not_fail_are_tried_where_there_are_no_others():
    """Guards against a refusal while one false alarm covers all engines."""
    view = view_of("far")
    for number in range(2):
        view.observer.observe(f"far-{number}", LOST)
    runner = DeadFarEngines(view)
    ask(view, runner, int(2.7 * ENGINE.memory_tokens))
    assert len(doubtful(view)) == PER_DATA_CENTRE
    assert set(runner.tried[0]) & set(runner.tried[1])


def test_a_refusal_in_an_outage_says_to_come_back_after_it():
    """Guards against a caller that returns into the same outage at once."""
    view = view_of("far")
    answer = ask(view, DeadFarEngines(view), 1000)
    assert answer.status == 503
    assert float(answer.headers[b"retry-after"]) > 1.5


def test_a_refusal_in_an_outage_with_upstreams_elsewhere_has_a_short_pause():
    """Guards against a wait for the outage although others could answer."""
    view = view_of("here", "far")
    for number in range(4):
        view.health.record_lost(f"here-{number}", Clock.now)
    for number in range(2):
        view.observer.observe(f"far-{number}", LOST)
    runner = DeadFarEngines(view, others_reserve=False)
    answer = ask(view, runner, int(2.7 * ENGINE.memory_tokens))
    assert answer.status == 503
    assert float(answer.headers[b"retry-after"]) == 0.5


def test_operators_see_when_a_data_centre_is_doubtful_and_when_not(capsys):
    """Guards against requests that avoid a data centre for no visible reason."""
    view = view_of("here", "far")
    report(view, "10.0.1.1", 0, 1, 2)
    view.observer.log_outages()
    view.observer.log_outages()
    assert capsys.readouterr().out.count("Data centre doubtful.") == 1
    Clock.now += 2.1
    view.observer.log_outages()
    assert capsys.readouterr().out.count("Data centre believed again.") == 1
    assert not view.outages.ongoing
