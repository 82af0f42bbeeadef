"""Plan how a prompt that no single upstream can hold is spread over several."""

from typing import NamedTuple

from cowslipshelf_core.identifiers import UpstreamId
from cowslipshelf_core.internal.routing.cost import RequestProfile
from cowslipshelf_core.internal.routing.fleet import Group
from cowslipshelf_core.internal.routing.upstream_view import UpstreamView
from cowslipshelf_core.prompt_parts import PartAssignment

PREFERRED_MEMORY_SHARE = 0.8
"""Share of each upstream's memory that a spread prompt uses if enough upstreams can
share it; the rest stays free for short prompts, which would otherwise be blocked."""
MAX_PARTS = 16


class Spread(NamedTuple):
    """Hold the upstreams of a prompt's parts; the last one generates the answer."""

    last: UpstreamView
    from_token: int
    """First token of the last upstream's part."""
    helpers: tuple[PartAssignment, ...]

    @property
    def reason(self) -> str:
        """Return the reason of the placement, for operators."""
        names = [place.upstream_id for place in self.helpers] + [
            upstream_id_of(self.last)
        ]
        return f"fits no upstream alone; spread over {', '.join(names)}"


def needs_spread(group: Group, profile: RequestProfile) -> bool:
    """Return whether a request fits no single upstream of a group."""
    return 0 < group.largest_memory < profile.memory_tokens


def plan_spread(
    group: Group, profile: RequestProfile, excluded: frozenset[UpstreamId]
) -> Spread | None:
    """Choose the upstreams of a spread prompt; None if the group can't hold it.

    It uses as few upstreams as possible, those with the most free memory first. Every
    entry then requests the parts in the order of upstream ids.
    """
    able = [
        view
        for view in group.members
        if view.description.upstream_id not in excluded and view.memory_limit()
    ]
    able.sort(key=lambda view: (-reported_free_tokens(view), upstream_id_of(view)))
    for share in (PREFERRED_MEMORY_SHARE, 1.0):
        for count in range(2, min(len(able), MAX_PARTS) + 1):
            views = sorted(able[:count], key=upstream_id_of)
            spread = divide(views, profile, share)
            if spread is not None:
                return spread
    return None


def reported_free_tokens(view: UpstreamView) -> int:
    """Return the free memory of an upstream by its last report, in tokens."""
    return view.memory_limit() - view.load.reserved_tokens


def upstream_id_of(view: UpstreamView) -> UpstreamId:
    """Return the id that defines the fixed order of the parts of all spread prompts."""
    return view.description.upstream_id


def divide(
    views: list[UpstreamView], profile: RequestProfile, share: float
) -> Spread | None:
    """Split a prompt in proportion to memory; None if it does not fit this way."""
    limits = [int(view.memory_limit() * share) for view in views]
    total = sum(limits)
    needed = profile.memory_tokens
    if needed > total:
        return None
    helpers = []
    start = 0
    for view, limit in zip(views[:-1], limits[:-1], strict=True):
        # Rounded up; it can't exceed the limit, since `needed` is at most `total`.
        end = start - (-needed * limit // total)
        helpers.append(part_place(view, start, end))
        start = end
    if start >= profile.facts.prompt_tokens:
        # Mostly output: the last upstream would have nothing to prefill.
        return None
    return Spread(views[-1], start, tuple(helpers))


def part_place(view: UpstreamView, start: int, end: int) -> PartAssignment:
    """Return the place of one part of a prompt."""
    return PartAssignment(
        view.description.upstream_id,
        view.epoch,
        view.description.attempts_address,
        view.load.sequence,
        start,
        end,
    )
