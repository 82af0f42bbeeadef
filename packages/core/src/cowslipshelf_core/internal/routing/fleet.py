"""Group the available upstreams by the requests that they can serve."""

from dataclasses import dataclass, field
from typing import NamedTuple

from cowslipshelf_core.configuration import FleetConfiguration
from cowslipshelf_core.directory_events import UpstreamAvailable
from cowslipshelf_core.identifiers import Epoch, ModelName, ServiceName, UpstreamId
from cowslipshelf_core.internal.routing.long_prompt_pool import LongPromptDemand, ranked
from cowslipshelf_core.internal.routing.settings import RouterConfig
from cowslipshelf_core.internal.routing.shedding import Shedding
from cowslipshelf_core.internal.routing.upstream_view import UpstreamView
from cowslipshelf_core.upstream import LoadReport, UpstreamDescription

MIN_CAPACITY_SHARE = 0.05
NO_MODEL = ModelName("")


class GroupKey(NamedTuple):
    """Identify the group of upstreams that serve one model of one service."""

    service: ServiceName
    model: ModelName
    """Empty for a plain service."""


@dataclass(slots=True)
class Group:
    """Hold the upstreams for the same requests, in an order that all entries share."""

    long_prompt_demand: LongPromptDemand
    shedding: Shedding
    members: list[UpstreamView] = field(default_factory=list)
    """All upstreams that take new work; the pool for long prompts comes first."""
    long_prompt_pool: list[UpstreamView] = field(default_factory=list)
    general_pool: list[UpstreamView] = field(default_factory=list)
    largest_memory: int = 0
    """Memory of the largest upstream in tokens; zero if there is no limit."""
    capacity: float = 1.0
    """Engine seconds per second that this entry may expect of the group."""

    def assign_long_prompt_pool(self) -> None:
        """Size the pool for long prompts by demand."""
        size = self.long_prompt_demand.resize(len(self.members))
        self.long_prompt_pool = self.members[:size]
        self.general_pool = self.members[size:]

    def estimate_capacity(self) -> None:
        """Estimate this entry's share of the group by its share of running attempts."""
        ours = sum(len(view.attempts) for view in self.members)
        reported = sum(view.load.running for view in self.members)
        share = ours / max(ours, reported) if ours else 1.0
        self.capacity = max(share, MIN_CAPACITY_SHARE) * max(1, len(self.members))


@dataclass(slots=True)
class Fleet:
    """Hold every available upstream and the groups that requests are placed in."""

    config: RouterConfig
    configuration: FleetConfiguration = field(default_factory=FleetConfiguration)
    views: dict[UpstreamId, UpstreamView] = field(default_factory=dict)
    groups: dict[GroupKey, Group] = field(default_factory=dict)
    absent: dict[UpstreamId, UpstreamView] = field(default_factory=dict)
    """Unavailable upstreams that are expected back."""

    def add(self, event: UpstreamAvailable, now: float) -> None:
        """Add an upstream, or update a known one."""
        upstream_id = event.description.upstream_id
        self.absent.pop(upstream_id, None)
        known = self.views.get(upstream_id)
        if known is not None and known.epoch == event.epoch:
            before = known.description
            known.description = event.description
            known.update_load(event.load, now)
            if before != event.description:
                self.rebuild_groups_of(before)
                self.rebuild_groups_of(event.description)
            return
        view = UpstreamView(event.description, event.epoch, event.load, now, now)
        if known is not None:
            view.ejection_count = known.ejection_count
            self.views[upstream_id] = view
            self.rebuild_groups_of(known.description)
        self.views[upstream_id] = view
        self.rebuild_groups_of(event.description)

    def remove(self, upstream_id: UpstreamId, may_return: bool) -> None:
        """Remove an upstream; it is kept in `absent` if it is expected back."""
        view = self.views.pop(upstream_id, None)
        if view is not None:
            self.rebuild_groups_of(view.description)
        if not may_return:
            self.absent.pop(upstream_id, None)
        elif view is not None:
            self.absent[upstream_id] = view

    def expected_back(self, key: GroupKey) -> list[UpstreamView]:
        """List the upstreams of a group that are unavailable only temporarily."""
        ejected = [v for v in self.views.values() if v.ejected_until is not None]
        return [
            view
            for view in (*self.absent.values(), *ejected)
            if key in group_keys_of(view.description)
            and view.description.upstream_id not in self.configuration.draining
        ]

    def update_load(
        self, upstream_id: UpstreamId, epoch: Epoch, load: LoadReport, now: float
    ) -> None:
        """Apply a load report, unless its epoch differs from the known one."""
        view = self.views.get(upstream_id)
        if view is not None and view.epoch == epoch:
            view.update_load(load, now)

    def apply_configuration(self, configuration: FleetConfiguration) -> None:
        """Apply a configuration; one older than the current one is ignored."""
        if configuration.version < self.configuration.version:
            return
        self.configuration = configuration
        for key in list(self.groups):
            self.rebuild(key)

    def rebuild_groups_of(self, description: UpstreamDescription) -> None:
        """Rebuild the groups that an upstream belongs to."""
        for key in group_keys_of(description):
            self.rebuild(key)

    def rebuild(self, key: GroupKey) -> None:
        """Rebuild one group from the upstreams that are not draining or ejected."""
        group = self.groups.get(key)
        if group is None:
            group = self.groups[key] = Group(
                LongPromptDemand(self.config.long_prompt_pool),
                Shedding(self.config.shedding),
            )
        takes_work = [
            upstream_id
            for upstream_id, view in self.views.items()
            if key in group_keys_of(view.description)
            and view.ejected_until is None
            and upstream_id not in self.configuration.draining
        ]
        order = ranked(self.configuration.version, takes_work)
        group.members = [self.views[upstream_id] for upstream_id in order]
        limits = [view.memory_limit() for view in group.members]
        group.largest_memory = max(limits, default=0)
        group.assign_long_prompt_pool()
        group.estimate_capacity()


def group_keys_of(description: UpstreamDescription) -> tuple[GroupKey, ...]:
    """Return the groups that an upstream belongs to."""
    if description.kind == "plain":
        return (GroupKey(description.service, NO_MODEL),)
    return tuple(GroupKey(description.service, model) for model in description.models)
