"""Check how a gateway uses upstreams that name a limit."""

import asyncio

import pytest

from common.attempts import FakeConnection, FakePool, task
from common.gateway_requests import GatewayWithFakeRunner
from common.gateway_samples import (
    ENGINE,
    GATEWAY_SETTINGS,
    configuration,
    heartbeat,
    route,
)
from cowslipshelf_adapter.wire import MachinesDialect
from cowslipshelf_core.dialect import CallerFacts, LimitNamed
from cowslipshelf_core.gateway import (
    AskPermits,
    PermitsBooked,
    PromptSize,
    ServiceConfiguration,
)
from cowslipshelf_core.messages import RoutesDocument
from cowslipshelf_daemon.internal.gateway.attempt import AttemptRunner
from cowslipshelf_daemon.internal.gateway.attempt_outcomes import Answered, NotReached
from cowslipshelf_daemon.internal.gateway.boot_time import boot_seconds
from cowslipshelf_daemon.internal.gateway.fleet_view import FleetView
from cowslipshelf_daemon.internal.gateway.permit_waits import wait_for_permit
from cowslipshelf_daemon.internal.gateway.placement import NoPlacement, Placement, place
from cowslipshelf_daemon.internal.gateway.request_progress import RequestProgress

LONG_PROMPT = PromptSize(100_000, 100)
LIMIT = (b"server-limit", b"2")
ID = (b"x-attempt-id", b"a-1")


class Issuer:
    """Answer a view's questions for permits as a test says."""

    def __init__(
        self,
        view: FleetView,
        count: int,
        after: float = 0.0,
        waiting_gateways: int = 1,
        interval: float = 1.0,
    ) -> None:
        self.view = view
        self.waiting_gateways = waiting_gateways
        self.interval = interval
        self.count = count
        self.after = after
        self.messages: list = []
        view.limits.send = self.receive

    def receive(self, _peer, message) -> None:
        self.messages.append(message)
        if isinstance(message, AskPermits):
            booked = PermitsBooked(
                message.upstream_id,
                message.number,
                self.count,
                self.after,
                self.interval,
                self.waiting_gateways,
            )
            self.view.limits.receive(_peer, booked, boot_seconds())


def view_of(*upstreams: str, engine=None) -> FleetView:
    """Return the view of a gateway that knows some upstreams."""
    view = FleetView.from_settings(GATEWAY_SETTINGS)
    service = ServiceConfiguration("s", 100, engine)
    view.apply_configuration(
        RoutesDocument(1, "", b""), configuration(route(), services=(service,))
    )
    for number, upstream_id in enumerate(upstreams):
        sent = heartbeat(upstream_id, address=f"10.0.0.{number + 1}:80")
        view.record_heartbeat(sent, 0.0)
    return view


def limit(view: FleetView, upstream_id: str, rate: float = 2.0) -> None:
    view.limits.record_answer(upstream_id, LimitNamed(rate), None, boot_seconds())


def placed(view: FleetView, prompt: PromptSize | None = None):
    facts = CallerFacts("a", None, None, None, prompt)
    return place(view, route(), "s", facts, 30.0, frozenset())


def test_work_goes_elsewhere_while_a_limit_leaves_no_room():
    """Guards against requests to an upstream in need beside ones that have room."""
    view = view_of("u-1", "u-2")
    issuer = Issuer(view, count=0, after=5.0)
    limit(view, "u-1")
    assert {placed(view).upstream.upstream_id for _ in range(20)} == {"u-2"}
    issuer.count, issuer.after = 1, 0.0
    view.limits.wallet.of("u-1").ask_at = 0.0
    placed(view)
    assert "u-1" in {placed(view).upstream.upstream_id for _ in range(50)}


def test_engines_with_a_limit_do_not_help():
    """Guards against parts of prompts that reach a limited engine without a permit."""
    engines = tuple(f"u-{number}" for number in range(6))
    view = view_of(*engines, engine=ENGINE)
    Issuer(view, count=9)
    for engine in engines[1:4]:
        limit(view, engine)
        assert view.limits.choose((engine,), 0, boot_seconds()).blocked
    for _ in range(20):
        chosen = placed(view, LONG_PROMPT)
        helpers = {part.upstream_id for part in chosen.helper_parts}
        assert helpers <= {"u-0", "u-4", "u-5"}


def test_engines_with_a_limit_do_not_share_the_memory_of_a_prompt():
    """Guards against orders and probes that reach a limited engine without a permit."""
    engines = tuple(f"u-{number}" for number in range(8))
    view = view_of(*engines, engine=ENGINE)
    Issuer(view, count=9)
    for engine in engines[:4]:
        limit(view, engine)
        assert view.limits.choose((engine,), 0, boot_seconds()).blocked
    too_large = PromptSize(int(ENGINE.memory_tokens * 1.5), 100)
    for _ in range(20):
        assert set(placed(view, too_large).upstream_ids) <= set(engines[4:])


def test_a_request_that_no_limit_admits_in_time_is_refused_at_once():
    """Guards against a caller who waits for a permit that is due too late."""
    gateway = GatewayWithFakeRunner()
    Issuer(gateway.view, count=0, after=5.0)
    for number in range(8):
        limit(gateway.view, f"u-{number}")
    began = boot_seconds()
    answer = gateway.ask()
    # Each upstream is asked for once; the time when one is due is known by then.
    assert boot_seconds() - began < 1.0
    assert answer.status == 503
    assert 4.0 <= float(answer.headers[b"retry-after"]) <= 10.0
    text = gateway.handler.metrics.prometheus_text()
    assert "cowslipshelf_limit_refusals_total 1" in text
    assert not gateway.runner.sent


def test_a_request_waits_for_a_permit_that_is_due_soon():
    """Guards against refusals that a short wait avoids."""
    gateway = GatewayWithFakeRunner(Answered(200))
    Issuer(gateway.view, count=1, after=0.2)
    for number in range(8):
        limit(gateway.view, f"u-{number}")
    gateway.ask()
    assert gateway.runner.sent == 1
    assert not gateway.view.permit_waiters


@pytest.mark.parametrize(("gateways", "waits"), [(1, True), (5, False)])
def test_a_request_behind_others_is_refused_at_once_if_its_turn_is_too_late(
    gateways, waits
):
    """Guards against callers who wait in vain behind those that take all permits."""

    async def wait_behind(view: FleetView, ahead: int) -> float:
        view.permit_waiters["s"] = [object() for _ in range(ahead)]
        began = boot_seconds()
        progress = RequestProgress()
        choice = await wait_for_permit(view, "s", ("u-1",), 4.0, progress)
        assert choice.blocked
        assert choice.retry_after_seconds > 0.0
        return boot_seconds() - began

    view = view_of("u-1")
    Issuer(view, count=0, after=0.2, waiting_gateways=gateways, interval=0.2)
    limit(view, "u-1", 5.0)
    seconds = asyncio.run(wait_behind(view, ahead=2))
    assert (seconds > 0.3) is waits


def test_what_waited_long_ago_delays_no_request():
    """Guards against refusals for other gateways that have stopped waiting."""
    view = view_of("u-1")
    Issuer(view, count=0, after=0.2, waiting_gateways=5, interval=0.2)
    limit(view, "u-1", 5.0)
    now = boot_seconds()
    choice = view.limits.choose(("u-1",), 0, now)
    for later, delays in ((0.0, True), (60.0, False)):
        behind = view.limits.behind_others(choice, 2, now + later)
        assert (behind.retry_after_seconds > choice.retry_after_seconds) is delays


def run(view: FleetView, *connections):
    """Run an attempt on u-1 on each connection; return the outcomes."""

    async def attempts():
        runner = AttemptRunner(view, FakePool(*connections), MachinesDialect())
        placement = Placement(heartbeat())
        return [await runner.run(task(), placement) for _ in connections]

    return asyncio.run(attempts())


@pytest.mark.parametrize(
    ("status", "headers", "known"),
    [
        (200, [ID, LIMIT], 2.0),
        (503, [ID, LIMIT, (b"x-not-run", b"1")], 2.0),
        (200, [(b"x-attempt-id", b"other"), LIMIT], None),
        (503, [LIMIT, (b"x-not-run", b"1")], None),
        (421, [ID, LIMIT], None),
    ],
)
def test_only_an_answer_of_the_upstream_to_the_attempt_names_its_limit(
    status, headers, known
):
    """Guards against limits of other upstreams, and of answers that came late."""
    view = view_of("u-1")
    run(view, FakeConnection(status, headers=headers))
    assert view.limits.rate_of("u-1") == known


class SlowPool(FakePool):
    """Learn of a limit while a connection is opened."""

    def __init__(self, view: FleetView, connection) -> None:
        super().__init__(connection)
        self.view = view

    async def acquire(self, upstream_id, address, fresh):
        limit(self.view, upstream_id)
        return await super().acquire(upstream_id, address, fresh)


def test_a_request_without_a_permit_is_withheld_once_the_limit_is_known():
    """Guards against requests that are sent long after they were placed."""
    view = view_of("u-1")
    pool = SlowPool(view, FakeConnection(200, headers=[ID]))
    runner = AttemptRunner(view, pool, MachinesDialect())
    outcome = asyncio.run(runner.run(task(), Placement(heartbeat())))
    assert outcome == NotReached("the upstream's limit leaves no room", withheld=True)


def test_a_permit_is_kept_for_another_request_unless_something_was_sent():
    """Guards against room that is lost with each upstream that was not reached."""
    view = view_of("u-1")
    issuer = Issuer(view, count=1)
    limit(view, "u-1")
    placed(view)
    assert isinstance(placed(view), Placement)

    class FailingPool:
        async def acquire(self, upstream_id, address, fresh):
            assert not view.limits.wallet.has_permit("u-1", boot_seconds())
            raise ConnectionError

    runner = AttemptRunner(view, FailingPool(), MachinesDialect())
    with pytest.raises(ConnectionError):
        asyncio.run(runner.run(task(), Placement(heartbeat())))
    assert view.limits.wallet.has_permit("u-1", boot_seconds())
    issuer.count = 0
    run(view, FakeConnection(200, headers=[ID, LIMIT]))
    assert isinstance(placed(view), NoPlacement)
