"""Check how a gateway runs attempts, and what it reports about them."""

import asyncio
import time

import pytest

from common.attempts import (
    FakeConnection,
    FakePool,
    placement,
    task,
)
from common.gateway_samples import (
    GATEWAY_SETTINGS,
    heartbeat,
)
from cowslipshelf_adapter.wire import MachinesDialect
from cowslipshelf_core.gateway import (
    UpstreamPhase,
    UpstreamStart,
    WorkChanged,
)
from cowslipshelf_daemon.internal.gateway.attempt import AttemptRunner
from cowslipshelf_daemon.internal.gateway.attempt_outcomes import (
    Answered,
    Broken,
    NotRun,
)
from cowslipshelf_daemon.internal.gateway.fleet_view import FleetView
from cowslipshelf_daemon.internal.gateway.placement import Placement
from cowslipshelf_daemon.internal.gateway.upstream_connection import (
    UpstreamHead,
)


def run(*connections: FakeConnection):
    """Run one attempt per connection; return the outcomes and the work changes."""

    async def attempts():
        view = FleetView.from_settings(GATEWAY_SETTINGS)
        told: list[WorkChanged] = []
        view.on_work_changed = told.append
        runner = AttemptRunner(view, FakePool(*connections), MachinesDialect())
        shared = task()
        outcomes = [
            await runner.run(shared, placement(f"w-{number}"))
            for number in range(len(connections))
        ]
        return outcomes, told, view

    return asyncio.run(attempts())


def test_a_resumed_stream_reports_its_first_token_on_each_engine():
    """Guards against an engine that counts as prefilling until a resumed stream ends.

    The first engine breaks off, and the stream resumes on another one. Until it ends,
    other prompts avoid that engine as if the prompt still had to be prefilled.
    """
    outcomes, told, view = run(
        FakeConnection(200, b"id: 1\ndata: x\n\n", breaks=True),
        FakeConnection(200, b"id: 2\ndata: x\n\n"),
    )
    assert [type(outcome) for outcome in outcomes] == [Broken, Answered]
    first = [name for changed in told for name in changed.first_tokens]
    assert first == ["w-0", "w-1"]
    assert view.engines.placed == {}


def test_the_end_of_work_is_reported_whatever_the_outcome():
    _, told, view = run(FakeConnection(503), FakeConnection(200, breaks=True))
    ended = [name for changed in told for name in changed.ended]
    assert ended == ["w-0", "w-1"]
    assert view.engines.placed == {}


@pytest.mark.parametrize(("status", "avoided"), [(421, True), (200, False)])
def test_an_address_that_belongs_to_another_upstream_is_avoided(status, avoided):
    """Guards against a service that refuses every second request for seconds.

    An upstream crashed and its address now belongs to another one, while its last
    heartbeat is still valid.
    """
    outcomes, _, view = run(FakeConnection(status, b"data: x\n\n"))
    assert isinstance(outcomes[0], NotRun) is avoided
    assert view.health.estimate("u-1", time.monotonic()).avoided is avoided


class HangingConnection(FakeConnection):
    """Accept a request and never answer it."""

    async def head(self) -> UpstreamHead:
        await asyncio.Event().wait()


@pytest.mark.parametrize("answered_before", [True, False])
def test_a_route_that_nobody_ever_answers_speaks_against_no_upstream(answered_before):
    """Guards against a healthy local upstream that is avoided for a remote one.

    The work of one route takes longer than its callers wait. Each timeout counted
    against the upstream, which answers all other routes at once.
    """

    async def wait_in_vain() -> bool:
        view = FleetView.from_settings(GATEWAY_SETTINGS)
        for _ in range(10):
            view.answer_times.add("s", 0.001)
        pool = FakePool(FakeConnection(200, b"data: x\n\n"), HangingConnection(200))
        runner = AttemptRunner(view, pool, MachinesDialect())
        if answered_before:
            await runner.run(task(), Placement(heartbeat()))
        else:
            pool.connections.pop(0)
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.4):
                await runner.run(task(), Placement(heartbeat()))
        return view.health.estimate("u-1", time.monotonic()).avoided

    assert asyncio.run(wait_in_vain()) is answered_before


@pytest.mark.parametrize(
    ("later", "phase", "dropped"),
    [
        (UpstreamStart("u-1", 2), UpstreamPhase.READY, ["u-1#1"]),
        (UpstreamStart("u-1", 2), UpstreamPhase.LEFT, []),
        (UpstreamStart("u-1", 1), UpstreamPhase.LEAVING, []),
    ],
)
def test_open_attempts_end_with_a_later_start_but_not_when_an_upstream_leaves(
    later, phase, dropped
):
    """Guards against cut streams on an upstream that leaves and would finish them.

    A gateway that had just started did not know the upstream, and reported its leaving
    with a start time of its own.
    """
    view = FleetView.from_settings(GATEWAY_SETTINGS)
    ended = []
    view.on_start_replaced = lambda former, _later: ended.append(former.upstream_id)
    view.record_heartbeat(heartbeat(UpstreamStart("u-1", 1).upstream_id), 0.0)
    view.record_heartbeat(heartbeat(later.upstream_id, 9, phase), 0.0)
    assert ended == dropped
