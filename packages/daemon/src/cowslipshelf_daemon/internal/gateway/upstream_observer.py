"""Judge upstreams by what attempts of this and the other gateways observe of them."""

import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Self

from cowslipshelf_core.gateway import (
    DataCentreOutages,
    OutageBegan,
    OutageEnded,
    OutagesConfig,
    PeerTable,
    ReportsOutcome,
    SharedHealth,
    UpstreamHealth,
    UpstreamObservation,
    UpstreamObservations,
    UpstreamOutcome,
    UpstreamPhase,
    UpstreamRegistry,
)
from cowslipshelf_core.identifiers import DataCentre, InstanceId, UpstreamId
from cowslipshelf_daemon.internal.gateway.settings import GatewaySettings
from cowslipshelf_host.logs import part_logger

LOG = part_logger("upstream_observer")


@dataclass(slots=True)
class UpstreamObserver:
    """Hold the health of upstreams, and which data centres may have failed."""

    settings: GatewaySettings
    registry: UpstreamRegistry
    peers: PeerTable
    shared_health: SharedHealth
    outages: DataCentreOutages
    """Empty unless gateways share health, and a data centre is expected to fail."""
    on_observed: Callable[[], None] = lambda: None
    """Sends the collected observations of upstreams soon; set in assembly."""
    marked: set[UpstreamId] = field(default_factory=set)
    """Upstreams that fail, are slow or avoided, as last logged."""

    @classmethod
    def from_settings(
        cls, settings: GatewaySettings, registry: UpstreamRegistry, peers: PeerTable
    ) -> Self:
        """Create an observer that has observed nothing."""
        silence = registry.config.silence_seconds
        config = OutagesConfig(settings.instance, settings.data_centre, silence)
        return cls(
            settings,
            registry,
            peers,
            SharedHealth(settings.instance, UpstreamHealth()),
            DataCentreOutages.from_config(config),
        )

    @property
    def detects_outages(self) -> bool:
        """Return whether losses may show that a data centre has failed.

        Where none is expected to fail, several losses are of upstreams by themselves.
        """
        settings = self.settings
        return settings.shares_health and settings.max_data_centre_failures > 0

    def observe(
        self,
        upstream_id: UpstreamId,
        outcome: UpstreamOutcome,
        slowness: float | None = None,
        running: bool = False,
        local_only: bool = False,
    ) -> None:
        """Record what an attempt of this gateway showed about an upstream.

        While an answer is `running`, only its slowness is known. What is `local_only`
        is neither reported to the other gateways nor a sign of an outage.
        """
        now = time.monotonic()
        observation = UpstreamObservation(upstream_id, outcome, slowness, 0.0, running)
        if not self.settings.shares_health:
            self.shared_health.health.record_own(observation, now)
            return
        if local_only:
            self.shared_health.record_own(observation, now)
            self.log_mark(upstream_id, now)
            return
        if self.shared_health.observe(observation, now):
            self.on_observed()
        self.log_mark(upstream_id, now)
        settings = self.settings
        self.record_for_outages(
            upstream_id, outcome, settings.instance, settings.data_centre, now
        )

    def record_observations(
        self, reporter: InstanceId, message: UpstreamObservations
    ) -> ReportsOutcome:
        """Record what another gateway observed of upstreams; return what became of it.

        Gateways that share nothing ignore it.
        """
        own = self.settings.instance
        if not self.settings.shares_health or reporter == own:
            return ReportsOutcome.IGNORED
        now = time.monotonic()
        outcome = self.shared_health.receive(
            reporter, message, self.registry.known, now
        )
        self.log_trust(reporter, outcome)
        if outcome is not ReportsOutcome.DOUBLED:
            suspected = outcome is ReportsOutcome.LEFT_OUT
            self.record_reported_for_outages(reporter, message, suspected)
        if outcome is ReportsOutcome.RECORDED:
            for observation in message.observations:
                self.log_mark(observation.upstream_id, now)
        return outcome

    def log_mark(self, upstream_id: UpstreamId, now: float) -> None:
        """Log that an upstream came to be marked, or is no longer."""
        marked = self.shared_health.health.is_marked(upstream_id, now)
        if marked == (upstream_id in self.marked):
            return
        estimate = self.shared_health.health.estimate(upstream_id, now)
        if marked:
            self.marked.add(upstream_id)
        else:
            self.marked.discard(upstream_id)
        LOG.info(
            "Upstream marked." if marked else "Upstream healthy.",
            upstream=upstream_id,
            slowness=round(estimate.slowness, 2),
            failure_rate=round(estimate.failure_rate, 3),
            avoided=estimate.avoided,
        )

    def log_trust(self, reporter: InstanceId, outcome: ReportsOutcome) -> None:
        """Log that a reporter's observations are left out, or count again."""
        left_out = self.shared_health.trust.left_out
        if outcome is ReportsOutcome.LEFT_OUT and reporter not in left_out:
            left_out.add(reporter)
            LOG.warning("Observations left out.", reporter=reporter)
        elif outcome is ReportsOutcome.RECORDED and reporter in left_out:
            left_out.discard(reporter)
            LOG.info("Observations count again.", reporter=reporter)

    def record_reported_for_outages(
        self, reporter: InstanceId, message: UpstreamObservations, suspected: bool
    ) -> None:
        """Record the losses and answers of another gateway for outages.

        Those of a gateway whose data centre is not known yet are ignored, since a loss
        counts by where it was seen.
        """
        peer = self.peers.known.get(reporter)
        if peer is None or peer.alive is None:
            return
        now = time.monotonic()
        for each in message.observations:
            at = now - max(0.0, each.age_seconds)
            self.record_for_outages(
                each.upstream_id,
                each.outcome,
                reporter,
                peer.alive.data_centre,
                at,
                suspected,
            )

    def record_for_outages(
        self,
        upstream_id: UpstreamId,
        outcome: UpstreamOutcome,
        reporter: InstanceId,
        data_centre: DataCentre,
        at: float,
        suspected: bool = False,
    ) -> None:
        """Record a loss or an answer that a gateway of a data centre saw.

        A failure is neither: another upstream may have named this one as its cause.
        """
        if not self.detects_outages:
            return
        if outcome is UpstreamOutcome.LOST:
            now = time.monotonic()
            self.outages.record_loss(
                upstream_id, reporter, data_centre, at, now, suspected
            )
        elif outcome is UpstreamOutcome.ANSWERED:
            self.outages.record_answer(upstream_id, at)

    def log_outages(self) -> None:
        """End the outages that are over, and log the changes since the last call."""
        for change in self.outages.take_changes(time.monotonic()):
            match change:
                case OutageBegan():
                    LOG.warning(
                        "Data centre doubtful.",
                        data_centre=change.data_centre,
                        lost=list(change.lost),
                        upstreams=change.avoided,
                        seconds=change.doubt_seconds,
                    )
                case OutageEnded():
                    LOG.info(
                        "Data centre believed again.",
                        data_centre=change.data_centre,
                        seconds=round(change.seconds, 3),
                        upstreams=change.avoided,
                        heard=change.heard,
                    )

    def record_heartbeat(self, upstream_id: UpstreamId) -> None:
        """Record the newest heartbeat of an upstream for the detection of outages.

        One that leaves announces its end, which is no sign of an outage.
        """
        known = self.registry.latest_start(upstream_id)
        if known is None or not self.detects_outages:
            return
        heartbeat = known.heartbeat
        if heartbeat.phase is UpstreamPhase.READY:
            self.outages.record_heartbeat(
                heartbeat.upstream_id,
                heartbeat.data_centre,
                heartbeat.sequence,
                known.heard_at,
            )
        else:
            self.outages.forget(heartbeat.upstream_id)

    def forget(self, upstream_id: UpstreamId) -> None:
        """Forget an upstream that has gone."""
        self.shared_health.health.forget(upstream_id)
        self.marked.discard(upstream_id)
        self.outages.forget(upstream_id)

    def forget_old(self, now: float) -> None:
        """Drop what no longer counts.

        Attempts that end after their upstream was forgotten record it once more.
        """
        recorded = self.shared_health.health.records.keys() | self.marked
        for upstream_id in recorded - self.registry.known.keys():
            self.shared_health.health.forget(upstream_id)
            self.marked.discard(upstream_id)
        self.shared_health.forget_old(now)
