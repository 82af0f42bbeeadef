"""Check which upstreams the outcomes of attempts speak against."""

import asyncio
import time
from collections.abc import Callable
from contextlib import asynccontextmanager

import pytest

from common.attempts import (
    HEADERS,
    FakeConnection,
    FakePool,
    placement,
    task,
)
from common.gateway_samples import (
    ENGINE,
    GATEWAY_SETTINGS,
    configuration,
    heartbeat,
    route,
)
from cowslipshelf_adapter.wire import MachinesDialect
from cowslipshelf_core.dialect import MemoryTicket
from cowslipshelf_core.gateway import (
    EngineModel,
    EnginePart,
    EngineWork,
    ServiceConfiguration,
    UpstreamPhase,
    UpstreamStart,
)
from cowslipshelf_core.messages import EvacuationState, RoutesDocument
from cowslipshelf_daemon.internal.gateway.attempt import AttemptRunner
from cowslipshelf_daemon.internal.gateway.attempt_outcomes import (
    Answered,
    Broken,
    NotRun,
)
from cowslipshelf_daemon.internal.gateway.engine_memory import ReservedMemory
from cowslipshelf_daemon.internal.gateway.fleet_view import FleetView
from cowslipshelf_daemon.internal.gateway.placement import Placement
from cowslipshelf_daemon.internal.gateway.unix_time import unix_milliseconds
from cowslipshelf_daemon.internal.gateway.upstream_connection import (
    UpstreamLostError,
)


def refused_by(
    status: int,
    address: bytes,
    *known: tuple[str, str],
    change: Callable[[FleetView], object] = lambda _view: None,
    engine: EngineModel | None = ENGINE,
    sized: bool = True,
    **settings,
) -> tuple[NotRun, FleetView]:
    """Run an attempt that is refused, naming an address; u-2 helps u-1.

    `change` is applied to the view before the refusal arrives. Unless it is `sized`,
    the request has no known prompt size, and so no work and no helper.
    """

    async def attempt():
        view = FleetView.from_settings(GATEWAY_SETTINGS._replace(**settings))
        services = (ServiceConfiguration("s", 100, engine),)
        routes = configuration(route(), services=services)
        view.apply_configuration(RoutesDocument(1, "", b""), routes)
        for upstream_id, at in known:
            view.record_heartbeat(heartbeat(upstream_id, address=at), 0.0)
        headers = [*HEADERS, (b"x-not-run", b"1"), (b"at-server", address)]
        connection = FakeConnection(status, headers=headers)
        connection.send = lambda _request: change(view)
        pool = FakePool(connection)
        runner = AttemptRunner(view, pool, MachinesDialect())
        placed = placement("w-0")
        helper = EnginePart("u-2", 0.1, 1, decodes=False)
        work = placed.work._replace(parts=(*placed.work.parts, helper))
        placed = placed._replace(work=work if sized else None)
        return await runner.run(task(), placed), view

    return asyncio.run(attempt())


@pytest.mark.parametrize(("status", "avoided"), [(421, True), (503, False)])
def test_a_refusal_speaks_against_the_upstream_that_it_names(status, avoided):
    """Guards against a decoder that is avoided for a helper that is full or gone."""
    known = ("u-1", "10.0.0.1:80"), ("u-2", "10.0.0.2:80")
    outcome, view = refused_by(status, b"10.0.0.2:80", *known)
    now = time.monotonic()
    assert outcome == NotRun(status, "u-2")
    assert view.health.estimate("u-1", now) == (1.0, 0.0, False)
    assert view.health.estimate("u-2", now).failure_rate > 0.2
    assert view.health.estimate("u-2", now).avoided is avoided


def test_a_refusal_that_names_no_known_upstream_speaks_against_its_sender():
    """Guards against a refusal that counts for nobody, and an endless repetition."""
    outcome, view = refused_by(503, b"10.9.9.9:80", ("u-1", "10.0.0.1:80"))
    assert outcome == NotRun(503, None)
    assert view.health.estimate("u-1", time.monotonic()).failure_rate > 0.2


def test_of_two_upstreams_at_an_address_the_one_that_was_used_is_at_fault():
    """Guards against a new upstream that is avoided for the crashed one before it."""
    known = ("u-0", "10.0.0.2:80"), ("u-2", "10.0.0.2:80")
    outcome, _ = refused_by(421, b"10.0.0.2:80", *known)
    assert outcome.at_fault == "u-2"


@pytest.mark.parametrize(
    ("status", "address", "sent"),
    [
        (503, b"10.9.9.9:80", []),
        (503, b"10.0.0.1:80", []),
        (503, b"10.0.0.2:80", ["u-2"]),
        (421, b"10.0.0.1:80", ["u-1"]),
    ],
)
def test_a_full_queue_of_an_engine_is_not_told_to_other_gateways(status, address, sent):
    """Guards against gateways that all leave a full engine for the same others."""
    known = ("u-1", "10.0.0.1:80"), ("u-2", "10.0.0.2:80")
    outcome, view = refused_by(status, address, *known, shares_health=True)
    waiting = view.observer.shared_health.waiting
    assert [each.observation.upstream_id for each in waiting] == sent
    upstream_id = outcome.at_fault or "u-1"
    assert (upstream_id in view.observer.shared_health.answered_at) is (status == 503)
    assert view.health.estimate(upstream_id, time.monotonic()).failure_rate > 0.2


@pytest.mark.parametrize(("engine", "sent"), [(ENGINE, []), (None, ["u-1"])])
def test_a_refusal_of_a_plain_service_is_told_and_one_of_an_engine_is_not(engine, sent):
    """Guards against telling of full engines for prompts whose size is not known.

    A plain upstream that fails is still to be avoided by all gateways at once.
    """
    _, view = refused_by(
        503,
        b"10.0.0.1:80",
        ("u-1", "10.0.0.1:80"),
        engine=engine,
        sized=False,
        shares_health=True,
    )
    waiting = view.observer.shared_health.waiting
    assert [each.observation.upstream_id for each in waiting] == sent


def leave(view: FleetView) -> None:
    leaving = heartbeat("u-2", 2, UpstreamPhase.LEAVING, "10.0.0.2:80")
    view.record_heartbeat(leaving, 0.0)


def evacuate(view: FleetView) -> None:
    view.apply_evacuations("replica", EvacuationState(1, ("here",)))


@pytest.mark.parametrize("change", [leave, evacuate])
def test_a_helper_that_may_no_longer_be_used_is_still_found_at_fault(change):
    """Guards against a decoder that is avoided for a helper that leaves."""
    known = ("u-1", "10.0.0.1:80"), ("u-2", "10.0.0.2:80")
    outcome, view = refused_by(421, b"10.0.0.2:80", *known, change=change)
    assert outcome == NotRun(421, "u-2")
    assert view.health.estimate("u-1", time.monotonic()) == (1.0, 0.0, False)


class DroppedConnection(FakeConnection):
    """Send the pieces, then wait until the gateway drops the attempt or frees it."""

    def __init__(self, *pieces: bytes) -> None:
        super().__init__(200, *pieces)
        self.sent_all = asyncio.Event()
        self.freed = asyncio.Event()
        self.dropped = False

    async def body(self):
        for piece in self.pieces:
            yield piece
        self.sent_all.set()
        await self.freed.wait()
        if self.dropped:
            raise UpstreamLostError("read answer", "peer", "began there", True)

    def drop(self, reason, upstream_restarted=False) -> None:
        self.dropped = True
        self.freed.set()


class PoolThatForgets(FakePool):
    """Accept that an upstream is forgotten."""

    def forget(self, upstream_id) -> None:
        return None


class GrantedMemory:
    """Grant all memory without asking an engine."""

    @asynccontextmanager
    async def reserved(self, tickets, upstream):
        yield ReservedMemory()


def replaced_during_attempt(
    replaced: str, *pieces: bytes, holds_memory: bool = False
) -> tuple[Answered | Broken, FleetView]:
    """Run an attempt on u-1 with the helper u-2, and replace one of them meanwhile."""
    decoder, helper = (UpstreamStart(name, 1).upstream_id for name in ("u-1", "u-2"))

    async def attempt():
        view = FleetView.from_settings(GATEWAY_SETTINGS._replace(shares_health=True))
        connection = DroppedConnection(*pieces)
        runner = AttemptRunner(view, PoolThatForgets(connection), MachinesDialect())
        runner.memory = GrantedMemory()
        view.on_start_replaced = runner.drop_replaced_start
        for upstream_id in (decoder, helper):
            view.record_heartbeat(heartbeat(upstream_id), 0.0)
        parts = (
            EnginePart(decoder, 0.1, 1, decodes=True),
            EnginePart(helper, 0.1, 1, decodes=False),
        )
        work = EngineWork("w-0", parts, 1.0, 0.3, 0.25)
        ticket = MemoryTicket(helper, "10.0.0.2:80", "w-0-0", 1)
        placed = Placement(
            heartbeat(decoder), work, tickets=(ticket,) if holds_memory else ()
        )
        running = asyncio.create_task(runner.run(task(), placed))
        await connection.sent_all.wait()
        later = UpstreamStart(replaced, unix_milliseconds() + 60_000)
        view.record_heartbeat(heartbeat(later.upstream_id, 2), 0.0)
        connection.freed.set()
        return await running, view

    return asyncio.run(attempt())


def test_a_helper_that_restarts_leaves_no_mark_on_the_engine_that_answers():
    """Guards against a data centre that is doubtful since one helper restarted.

    Each joint prefill with that helper counted as a loss of the engine that answers.
    """
    outcome, view = replaced_during_attempt("u-2")
    helper, decoder = (UpstreamStart(name, 1).upstream_id for name in ("u-2", "u-1"))
    assert isinstance(outcome, Broken)
    assert outcome.replaced == helper
    assert outcome.upstream_exited
    assert view.health.estimate(decoder, time.monotonic()) == (1.0, 0.0, False)
    assert view.health.records == {}
    assert view.observer.shared_health.waiting == []


def test_an_engine_that_restarts_ends_its_own_attempts():
    """Guards against a stream that waits for a process that is gone."""
    outcome, _ = replaced_during_attempt("u-1", b"id: 1\ndata: x\n\n")
    assert isinstance(outcome, Broken)
    assert outcome.replaced == UpstreamStart("u-1", 1).upstream_id


@pytest.mark.parametrize(("holds_memory", "kind"), [(False, Answered), (True, Broken)])
def test_after_the_first_event_only_helpers_with_memory_are_needed(holds_memory, kind):
    """Guards against cut streams whose helper restarts after its prefill is done."""
    first = b"id: 1\ndata: x\n\n"
    outcome, _ = replaced_during_attempt("u-2", first, holds_memory=holds_memory)
    assert isinstance(outcome, kind)


@pytest.mark.parametrize(
    ("engine", "exited", "told"),
    [(ENGINE, False, False), (ENGINE, True, True), (None, False, True)],
)
def test_the_silence_of_an_engine_is_not_told_to_other_gateways(engine, exited, told):
    """Guards against a data centre that is avoided because its engines are slow.

    Several engines that read one prompt are silent together, and a gateway that gives
    them up judges by its own forecast.
    """
    _, view = refused_by(
        503,
        b"10.9.9.9:80",
        ("u-1", "10.0.0.1:80"),
        engine=engine,
        shares_health=True,
        max_data_centre_failures=1,
    )
    view.observer.shared_health.waiting.clear()
    runner = AttemptRunner(view, FakePool(None), MachinesDialect())
    broken = Broken("wait for answer", "silent", exited)
    runner.observations.record_outcome(placement("w-0"), broken, 1.0)
    assert bool(view.observer.shared_health.waiting) is told
    assert bool(view.outages.losses) is told
    assert view.health.estimate("u-1", time.monotonic()).avoided
