"""Hold one gateway's view of the fleet: routes, upstreams, work and peers."""

import asyncio
import time
import uuid
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field
from random import Random
from typing import Self

from cowslipshelf_core.gateway import (
    MAX_COLD_SECONDS,
    START_UNKNOWN,
    UNLIMITED,
    AnswerTimes,
    ColdChoice,
    ColdLimiter,
    ColdReport,
    DataCentreOutages,
    EngineTracker,
    EngineWork,
    HeartbeatSeen,
    HeartbeatsSeen,
    KnownEvacuations,
    KnownUpstream,
    LimitChoice,
    LinkLoss,
    PeerTable,
    PeerTableConfig,
    RegistryConfig,
    RouteConfiguration,
    RouteTable,
    ServiceRetryBudget,
    UpstreamHealth,
    UpstreamHeartbeat,
    UpstreamLimits,
    UpstreamPhase,
    UpstreamRegistry,
    UpstreamStart,
    WorkChanged,
)
from cowslipshelf_core.identifiers import (
    AttemptId,
    DataCentre,
    Epoch,
    InstanceId,
    ServiceName,
    UpstreamId,
    UpstreamName,
)
from cowslipshelf_core.messages import EvacuationState, RoutesDocument
from cowslipshelf_daemon.internal.gateway.boot_time import boot_seconds
from cowslipshelf_daemon.internal.gateway.decider_settings import (
    cold_limiter_config,
    retry_budget_config,
    upstream_limits_config,
)
from cowslipshelf_daemon.internal.gateway.settings import GatewaySettings
from cowslipshelf_daemon.internal.gateway.unix_time import unix_milliseconds
from cowslipshelf_daemon.internal.gateway.upstream_observer import UpstreamObserver
from cowslipshelf_host.logs import part_logger

LOG = part_logger("fleet_view")

MAX_MISSED_HEARTBEATS = 4
"""Heartbeats that an upstream may miss. They are seconds late at times; a dead upstream
is detected sooner, by a connection that fails."""
RESTORED_SECONDS = 2.5
"""Time for which upstreams restored after a restart are used: two heartbeats, plus the
time that an upstream takes to find a gateway that answers again."""
NO_DOCUMENT = RoutesDocument(RouteConfiguration(0).version, "", b"")


@dataclass(slots=True)
class FleetView:
    """Hold the view of one gateway; only its event loop may access it."""

    settings: GatewaySettings
    registry: UpstreamRegistry
    peers: PeerTable
    retry_budget: ServiceRetryBudget
    cold: ColdLimiter
    limits: UpstreamLimits
    observer: UpstreamObserver
    on_work_changed: Callable[[WorkChanged], None]
    """Sends a change of engine work to the other gateways; set in assembly."""
    on_start_replaced: Callable[[UpstreamStart, UpstreamStart], None]
    """Drops attempts on a replaced start, given with its successor; set in assembly."""
    engines: EngineTracker = field(default_factory=EngineTracker)
    answer_times: AnswerTimes = field(default_factory=AnswerTimes)
    evacuations: KnownEvacuations = field(default_factory=KnownEvacuations)
    link_loss: LinkLoss = field(default_factory=LinkLoss)
    open_requests: dict[UpstreamId, int] = field(default_factory=dict)
    """Number of open requests of this gateway at each upstream."""
    permit_waiters: dict[ServiceName, list[object]] = field(default_factory=dict)
    """Requests of each service that wait for a permit, in the order of their coming."""
    random: Random = field(default_factory=Random)
    table: RouteTable | None = None
    document: RoutesDocument = NO_DOCUMENT
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    """Set and replaced when a configuration comes into force, an upstream changes, or
    the evacuations change."""

    @classmethod
    def from_settings(cls, settings: GatewaySettings) -> Self:
        """Create an empty view."""
        silence = MAX_MISSED_HEARTBEATS * settings.upstream_heartbeat_seconds
        registry = UpstreamRegistry.from_config(RegistryConfig(silence))
        peers = PeerTable.from_config(
            PeerTableConfig(
                settings.instance,
                Epoch(uuid.uuid4().hex),
                settings.data_centre,
                settings.holds_replica,
                settings.seeds,
                settings.data_folder is not None,
            )
        )
        return cls(
            settings,
            registry,
            peers,
            ServiceRetryBudget.from_config(
                retry_budget_config(settings),
                None if settings.first_start else time.monotonic(),
            ),
            ColdLimiter.from_config(cold_limiter_config(settings, time.monotonic())),
            UpstreamLimits.from_config(upstream_limits_config(settings)),
            UpstreamObserver.from_settings(settings, registry, peers),
            on_work_changed=lambda _changed: None,
            on_start_replaced=lambda _former, _later: None,
        )

    @property
    def health(self) -> UpstreamHealth:
        """Return the health estimates of all upstreams."""
        return self.observer.shared_health.health

    @property
    def outages(self) -> DataCentreOutages:
        """Return the data centres that may have failed."""
        return self.observer.outages

    def use_settings(self, settings: GatewaySettings) -> None:
        """Apply new settings; addresses and the data folder do not change."""
        self.settings = self.observer.settings = settings
        self.peers.seeds = settings.seeds
        self.limits.gateways.seeds = frozenset(settings.seeds)
        self.retry_budget.config = retry_budget_config(settings)
        started_at = self.cold.config.started_at
        self.cold.config = cold_limiter_config(settings, started_at)

    def apply_configuration(
        self, document: RoutesDocument, configuration: RouteConfiguration
    ) -> bool:
        """Put a newer configuration in force; return whether it is newer.

        An older one may arrive late, from a gateway that was partitioned; going back to
        it would undo what callers have seen.
        """
        if document.version <= self.document.version:
            return False
        before = self.document.version
        self.document = document
        self.table = RouteTable.from_configuration(configuration)
        self.answer_times.answered_routes &= {
            route.name for route in configuration.routes
        }
        self.notify_waiters()
        LOG.info(
            "Configuration in force.",
            version=document.version,
            before=before,
            routes=len(configuration.routes),
            customers=len(configuration.customers),
            keys=sum(len(customer.keys) for customer in configuration.customers),
            ranked_services=sorted(self.table.ranks.highest),
        )
        return True

    def apply_evacuations(self, source: InstanceId, reported: EvacuationState) -> bool:
        """Put evacuations of a higher revision in force; return whether it is higher.

        Requests that run in a data centre that is now evacuated run to completion.
        """
        before = self.evacuations.state
        if not self.evacuations.merge(reported):
            return False
        for restored in set(before.data_centres) - set(reported.data_centres):
            self.cold.data_centre_restored(restored, time.monotonic())
        self.notify_waiters()
        LOG.info(
            "Evacuations changed.",
            revision=reported.revision,
            before=before.revision,
            evacuated=reported.data_centres,
            evacuated_before=before.data_centres,
            peer=source,
        )
        return True

    def is_behind(self) -> bool:
        """Return whether another gateway has a newer configuration than this one."""
        now = time.monotonic()
        return bool(self.peers.peers_with_newer(self.document.version, now))

    def record_heartbeat(
        self, heartbeat: UpstreamHeartbeat, age: float, cold_left: float | None = None
    ) -> bool:
        """Record an upstream's heartbeat; return whether its phase changed.

        `cold_left` is the cold time that remains now, whatever the heartbeat's age.
        """
        known = self.registry.latest_start(heartbeat.upstream_id)
        now = time.monotonic()
        cold = None
        if cold_left is not None:
            left = min(max(0.0, cold_left), MAX_COLD_SECONDS)
            cold = ColdReport(heartbeat.sequence, now, left)
        changed = self.registry.record(heartbeat, now - age, cold)
        if changed:
            self.notify_waiters()
            LOG.info(
                "Upstream changed.",
                upstream=heartbeat.upstream_id,
                service=heartbeat.service,
                address=heartbeat.address,
                phase=heartbeat.phase,
                sequence=heartbeat.sequence,
                age_seconds=round(age, 3),
            )
        if known is not None:
            self.forget_replaced_start(known, heartbeat, age)
        self.observer.record_heartbeat(heartbeat.upstream_id)
        return changed

    def forget_replaced_start(
        self, former: KnownUpstream, heartbeat: UpstreamHeartbeat, age: float
    ) -> None:
        """Forget a start that a later one replaced, and drop its attempts.

        The later start has its own id and inherits nothing; attempts on the former one
        would otherwise wait until their silence is noticed. They are kept if the later
        start is only known to have left. Its start time may then be the time at which a
        gateway that did not know the upstream heard of its leaving, and the upstream
        still finishes its open attempts.
        """
        upstream_id = former.start.upstream_id
        if upstream_id in self.registry.known:
            return
        self.forget_upstream(upstream_id)
        if heartbeat.phase is UpstreamPhase.LEFT:
            return
        LOG.info(
            "Upstream started again.",
            upstream=heartbeat.upstream_id,
            former=upstream_id,
            former_age_seconds=round(time.monotonic() - former.heard_at, 3),
            former_sequence=former.heartbeat.sequence,
            sequence=heartbeat.sequence,
            age_seconds=round(age, 3),
        )
        self.on_start_replaced(former.start, UpstreamStart.of(heartbeat.upstream_id))

    def heartbeat_problem(self, heartbeat: UpstreamHeartbeat) -> str | None:
        """Return why a heartbeat can't come from the upstream itself, or None.

        Another writer may use the id of a healthy upstream; recording its heartbeat
        would take the upstream out of use at all gateways. An unknown service is no
        reason, since its configuration may still be on the way; only one that
        contradicts what is known is refused.
        """
        known = self.registry.latest_start(heartbeat.upstream_id)
        if known is None or known.heartbeat.phase is UpstreamPhase.LEFT:
            return None
        if known.heartbeat.service != heartbeat.service:
            return f"the upstream is known to serve {known.heartbeat.service}"
        start = UpstreamStart.of(heartbeat.upstream_id)
        if known.start.is_known and not start.is_known:
            return "the time of the start is missing, and was told before"
        return None

    def remove_upstream(self, name: UpstreamName, began_ms: int) -> HeartbeatSeen:
        """Remove an upstream that left; return what to send to the other gateways.

        Without a start time, the latest known start leaves. An unknown upstream is
        taken to have started before now, so that a late heartbeat does not revive it.
        """
        start = UpstreamStart(name, began_ms)
        known = self.registry.latest_start(UpstreamId(name))
        if not start.is_known and known is not None:
            start = known.start
        elif not start.is_known:
            start = UpstreamStart(name, unix_milliseconds())
        seen = self.registry.leave(start, time.monotonic())
        if known is not None:
            self.forget_replaced_start(known, seen.with_start_id, 0.0)
        self.observer.record_heartbeat(start.upstream_id)
        LOG.info(
            "Upstream left.", upstream=start.upstream_id, told=began_ms != START_UNKNOWN
        )
        return seen

    def notify_waiters(self) -> None:
        """Wake the requests that wait for a configuration or an upstream."""
        self.changed.set()
        self.changed = asyncio.Event()

    async def wait_until(self, condition: Callable[[], bool], seconds: float) -> bool:
        """Wait until a condition holds or the time is over; return whether it holds.

        A gateway that has just started receives its configuration and upstreams within
        about a second, sooner than the caller could retry.
        """
        try:
            async with asyncio.timeout(seconds):
                while not condition():
                    await self.changed.wait()
        except TimeoutError:
            return condition()
        return True

    def record_heartbeats(self, message: HeartbeatsSeen) -> None:
        """Record heartbeats that another gateway forwarded."""
        for seen in message.seen:
            self.record_heartbeat(seen.with_start_id, seen.age_seconds, seen.cold_left)

    def record_work(self, owner: InstanceId, message: WorkChanged) -> None:
        """Record another gateway's work on engines."""
        now = time.monotonic()
        for work in message.begun:
            self.engines.begin(work, owner, now)
        for attempt_id in message.first_tokens:
            self.engines.first_token(attempt_id, now)
        for attempt_id in message.ended:
            self.engines.end(attempt_id, now)

    def lossy_data_centres(self) -> frozenset[DataCentre]:
        """Return the data centres whose links to the own one lose packets now."""
        if not self.settings.crossing_cost:
            return frozenset()
        before = self.link_loss.lossy
        lossy = self.link_loss.update(self.settings.data_centre, time.monotonic())
        if lossy != before:
            LOG.info("Lossy links changed.", lossy=sorted(lossy), before=sorted(before))
        return lossy

    def begin_work(self, work: EngineWork) -> None:
        """Record work that this gateway places, and tell the others."""
        self.engines.begin(work, self.settings.instance, time.monotonic())
        self.on_work_changed(WorkChanged(begun=(work,)))

    def first_token(self, attempt_id: AttemptId) -> None:
        """Record a first token, and tell the others."""
        self.engines.first_token(attempt_id, time.monotonic())
        self.on_work_changed(WorkChanged(first_tokens=(attempt_id,)))

    def end_work(self, attempt_id: AttemptId) -> None:
        """Record the end of work, and tell the others."""
        self.engines.end(attempt_id, time.monotonic())
        self.on_work_changed(WorkChanged(ended=(attempt_id,)))

    def upstreams_of(self, service: ServiceName) -> list[UpstreamHeartbeat]:
        """List the upstreams of a service that accept new work and may be used."""
        ready = self.registry.ready_upstreams(service, time.monotonic())
        evacuated = self.evacuations.data_centres
        return [each for each in ready if each.data_centre not in evacuated]

    def is_evacuated(self, service: ServiceName) -> bool:
        """Return whether all upstreams of a service are in evacuated data centres."""
        if not self.evacuations.data_centres or self.upstreams_of(service):
            return False
        return bool(self.registry.ready_upstreams(service, time.monotonic()))

    def evacuated_among(
        self, upstream: UpstreamHeartbeat, helpers: Iterable[UpstreamId]
    ) -> DataCentre | None:
        """Return an evacuated data centre that a placed request would use, or None."""
        evacuated = self.evacuations.data_centres
        if not evacuated:
            return None
        known = map(self.registry.known.get, helpers)
        used = [upstream, *(each.heartbeat for each in known if each is not None)]
        found = (each.data_centre for each in used if each.data_centre in evacuated)
        return next(found, None)

    def upstreams_at(self, service: ServiceName, address: str) -> list[UpstreamId]:
        """List the upstreams of a service at an address.

        There may be two, since one that crashed is known until it counts as silent.
        """
        return [
            upstream.upstream_id
            for upstream in self.upstreams_of(service)
            if upstream.address == address
        ]

    def cold_choice(
        self, service: ServiceName, upstreams: list[UpstreamHeartbeat]
    ) -> ColdChoice:
        """Return which of all usable upstreams of a service are cold."""
        configuration = self.table.services.get(service) if self.table else None
        if configuration is None or not self.cold.is_limited(configuration):
            return UNLIMITED
        known = [self.registry.known[each.upstream_id] for each in upstreams]
        others = self.peers.known.keys()
        return self.cold.choose(configuration, known, others, time.monotonic())

    def limit_choice(
        self, service: ServiceName, upstream_ids: Collection[UpstreamId]
    ) -> LimitChoice:
        """Return which upstreams of a service have a limit that leaves no room now."""
        waiting = len(self.permit_waiters.get(service, ()))
        return self.limits.choose(upstream_ids, waiting, boot_seconds())

    def cold_upstreams(self) -> frozenset[UpstreamId]:
        """Return the cold upstreams of all services."""
        now = time.monotonic()
        found: set[UpstreamId] = set()
        for name, service in self.table.services.items() if self.table else ():
            if self.cold.is_limited(service):
                ready = self.registry.ready_upstreams(name, now)
                known = [self.registry.known[each.upstream_id] for each in ready]
                found |= self.cold.cold_upstreams(service, known, now).keys()
        return frozenset(found)

    def heartbeat_age(self, upstream: UpstreamHeartbeat) -> float:
        """Return the age of the last heartbeat of an upstream, in seconds."""
        known = self.registry.known.get(upstream.upstream_id)
        return 0.0 if known is None else time.monotonic() - known.heard_at

    def idle_connections(self, upstream_id: UpstreamId) -> int:
        """Return how many idle connections to an upstream this gateway may keep.

        An upstream resets connections beyond its limit over all callers; the idle ones
        of all gateways use at most half of the limit.
        """
        known = self.registry.known.get(upstream_id)
        services = {} if self.table is None else self.table.services
        service = None if known is None else services.get(known.heartbeat.service)
        if service is None:
            return 1
        return max(1, service.max_connections // (2 * self.gateway_count()))

    @property
    def sending_gateways(self) -> int:
        """Return how many gateways may be sending, also those that are not heard."""
        return self.limits.gateways.count

    def gateway_count(self) -> int:
        """Return how many gateways are alive, this one included."""
        return len(self.peers.alive(time.monotonic())) + 1

    def forget_old(self) -> None:
        """Drop expired upstreams, peers and work."""
        now = time.monotonic()
        for upstream_id in self.registry.forget_old(now):
            self.forget_upstream(upstream_id)
        self.observer.forget_old(now)
        self.peers.forget_old(now)
        self.cold.forget_old(now)
        self.limits.forget_old(self.registry.known, boot_seconds())
        forgotten = self.engines.forget_old(now)
        if forgotten:
            LOG.warning("Work forgotten whose end was not told.", attempts=forgotten)

    def forget_upstream(self, upstream_id: UpstreamId) -> None:
        """Forget the health and work of an upstream; its attempts end on their own."""
        self.observer.forget(upstream_id)
        self.limits.forget(upstream_id)
        self.engines.forget_engine(upstream_id)

    def request_started(self, upstream_id: UpstreamId) -> None:
        """Count a request of this gateway at an upstream."""
        self.open_requests[upstream_id] = self.open_requests.get(upstream_id, 0) + 1

    def request_ended(self, upstream_id: UpstreamId) -> None:
        """Stop counting a request, and drop the entry of the last one."""
        self.open_requests[upstream_id] -= 1
        if not self.open_requests[upstream_id]:
            del self.open_requests[upstream_id]

    def restore(self, seen: tuple[HeartbeatSeen, ...]) -> None:
        """Use upstreams known before a restart until they count as silent."""
        silence = self.registry.config.silence_seconds
        recent = max(0.0, silence - RESTORED_SECONDS)
        for each in seen:
            self.record_heartbeat(each.with_start_id, recent, each.cold_left)

    def heartbeats_of(
        self, upstream_ids: Iterable[UpstreamId]
    ) -> tuple[HeartbeatSeen, ...]:
        """List the latest heartbeats of some upstreams."""
        return self.registry.heartbeats_of(upstream_ids, time.monotonic())

    def heartbeat_to_send(self, heartbeat: UpstreamHeartbeat) -> HeartbeatSeen:
        """Return the message that forwards a heartbeat at once."""
        cold_left = self.registry.cold_left(heartbeat.upstream_id, time.monotonic())
        return HeartbeatSeen.from_heartbeat(heartbeat, 0.0, cold_left)

    def all_heartbeats(self) -> tuple[HeartbeatSeen, ...]:
        """List the latest heartbeats of all upstreams, for a peer or a restart."""
        return self.registry.all_heartbeats(time.monotonic())
