"""Check how gateways exchange observations of upstreams."""

import asyncio
import time

from common.gateway_samples import GATEWAY_SETTINGS, heartbeat
from cowslipshelf_adapter.wire import MachinesDialect
from cowslipshelf_core.gateway import (
    Relayed,
    ReportsOutcome,
    UpstreamObservation,
    UpstreamObservations,
    UpstreamOutcome,
    UpstreamStart,
)
from cowslipshelf_core.identifiers import DataCentre, Epoch
from cowslipshelf_core.messages import PeerAlive
from cowslipshelf_daemon.internal.gateway.fleet_view import FleetView
from cowslipshelf_daemon.internal.gateway.gossip import Gossip
from cowslipshelf_daemon.internal.messenger import Delivered
from cowslipshelf_host.metrics import Metrics

SHARING = GATEWAY_SETTINGS._replace(shares_health=True)
FAILURE = UpstreamObservation("u-1", UpstreamOutcome.FAILED, None, 0.0)


class RecordingMessenger:
    """Record what is sent, and to which addresses."""

    def __init__(self) -> None:
        self.sent: list[tuple[list[str], object]] = []

    def send_to_all(self, addresses, message) -> None:
        if addresses:
            self.sent.append((list(addresses), message))


def gossip_of(settings) -> Gossip:
    view = FleetView.from_settings(settings)
    view.record_heartbeat(heartbeat("u-1"), 0.0)
    for name, place in (("10.0.0.2", "here"), ("10.1.0.1", "far"), ("10.1.0.2", "far")):
        alive = PeerAlive(Epoch("e"), DataCentre(place), True, 0, ())
        view.peers.record_alive(name, alive, time.monotonic())
    gossip = Gossip(view, RecordingMessenger(), None, MachinesDialect(), Metrics())
    view.observer.on_observed = gossip.queue_observations
    return gossip


def sent_after_failures(settings) -> list:
    async def fail() -> list:
        gossip = gossip_of(settings)
        for _ in range(5):
            gossip.view.observer.observe("u-1", UpstreamOutcome.FAILED)
        gossip.view.observer.observe("u-2", UpstreamOutcome.ANSWERED)
        await asyncio.sleep(0.1)
        return gossip.messenger.sent

    return asyncio.run(fail())


def test_observations_are_batched_and_reach_remote_gateways_through_one():
    """Guards against a message for each failure and gateway on links of 10 Mbit/s."""
    (near, message), (far, relayed) = sent_after_failures(SHARING)
    assert [address.split(":")[0] for address in near] == ["10.0.0.2"]
    assert len(far) == 1
    assert isinstance(relayed, Relayed)
    assert relayed.message == message
    assert [each.outcome for each in message.observations] == ["failed"] * 5
    assert message.answered_upstreams == 2


def test_confirmations_are_collected_longer_than_new_faults():
    """Guards against fifty messages a second while a marked upstream answers."""

    async def answer_and_fail() -> list[list]:
        gossip = gossip_of(SHARING)
        sent = gossip.messenger.sent
        gossip.view.observer.observe("u-1", UpstreamOutcome.FAILED)
        await asyncio.sleep(0.06)
        sent.clear()
        gossip.view.observer.observe("u-1", UpstreamOutcome.ANSWERED)
        await asyncio.sleep(0.06)
        early = list(sent)
        gossip.view.observer.observe("u-1", UpstreamOutcome.ANSWERED, 3.0)
        await asyncio.sleep(0.06)
        slow = list(sent)
        sent.clear()
        gossip.view.observer.observe("u-1", UpstreamOutcome.ANSWERED, 3.0)
        await asyncio.sleep(0.06)
        confirmed = list(sent)
        await asyncio.sleep(0.3)
        return [early, slow, confirmed, list(sent)]

    early, slow, confirmed, late = asyncio.run(answer_and_fail())
    assert early == confirmed == []
    assert [each.slowness for each in slow[0][1].observations] == [None, 3.0]
    assert [each.slowness for each in late[0][1].observations] == [3.0]
    # Two gateways are sent to, one of them through a relay; each message goes once.
    assert len(slow) == len(late) == 2


def test_a_gateway_that_shares_nothing_sends_nothing_and_ignores_what_it_receives():
    """Guards against a deployment that is served differently without asking for it."""
    assert sent_after_failures(GATEWAY_SETTINGS) == []
    gossip = gossip_of(GATEWAY_SETTINGS)
    received = Delivered("10.0.0.2", "a", UpstreamObservations((FAILURE,) * 9))
    gossip.receive(received)
    assert gossip.view.health.records == {}
    assert gossip.view.observer.shared_health.trust.reporters == {}


def test_received_observations_count_and_are_passed_on():
    """Guards against a remote data centre of which only one gateway learns."""
    gossip = gossip_of(SHARING)
    message = UpstreamObservations((FAILURE,), 3, 1)
    gossip.receive(Delivered("10.1.0.1", "a", Relayed("10.1.0.2", message, True)))
    assert gossip.view.health.estimate("u-1", time.monotonic()).failure_rate > 0.2
    assert [each.pass_on for _, each in gossip.messenger.sent] == [False]
    text = gossip.metrics.prometheus_text()
    assert 'cowslipshelf_upstream_observations_total{fate="recorded"' in text


def test_own_observations_that_come_back_count_once():
    """Guards against a relay that returns a message to its sender."""
    view = gossip_of(SHARING).view
    own = view.observer.record_observations(
        "10.0.0.1", UpstreamObservations((FAILURE,))
    )
    assert own is ReportsOutcome.IGNORED
    assert view.health.records == {}


def test_records_of_upstreams_that_are_gone_are_dropped():
    """Guards against memory that grows with each upstream that ends under a request.

    An attempt that ends after its upstream was forgotten records an outcome for it.
    """
    view = FleetView.from_settings(SHARING)
    former, later = (UpstreamStart("u-1", start).upstream_id for start in (1, 2))
    for upstream_id in (former, later):
        view.record_heartbeat(heartbeat(upstream_id), 0.0)
    for upstream_id in (former, later):
        view.observer.observe(upstream_id, UpstreamOutcome.LOST)
    assert former in view.health.records
    assert former in view.observer.marked
    view.forget_old()
    assert view.health.records.keys() == {later}
    assert view.observer.marked == {later}
