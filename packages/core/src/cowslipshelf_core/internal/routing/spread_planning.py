"""Place a prompt that fits no single upstream over several."""

from typing import NamedTuple

from cowslipshelf_core.identifiers import UpstreamId
from cowslipshelf_core.internal.routing.cost import RequestProfile
from cowslipshelf_core.internal.routing.fleet import Group
from cowslipshelf_core.internal.routing.upstream_view import UpstreamView
from cowslipshelf_core.prompt_parts import PartPlace

PREFERRED_MEMORY_SHARE = 0.8
"""Part of each upstream's memory that a spread prompt takes where enough upstreams
can share it; the rest stays for short prompts, which would otherwise be shut out."""
MAX_PARTS = 16


class Spread(NamedTuple):
    """Be the places of a prompt's parts; the last one generates the answer."""

    last: UpstreamView
    from_token: int
    """Where the last one's part begins."""
    helpers: tuple[PartPlace, ...]

    @property
    def reason(self) -> str:
        """Explain the choice to operators."""
        names = [place.upstream_id for place in self.helpers] + [
            upstream_id_of(self.last)
        ]
        return f"fits no upstream alone; spread over {', '.join(names)}"


def needs_spread(group: Group, profile: RequestProfile) -> bool:
    """Return whether a request fits no upstream of a group alone."""
    return 0 < group.largest_memory < profile.memory_tokens


def plan_spread(
    group: Group, profile: RequestProfile, excluded: frozenset[UpstreamId]
) -> Spread | None:
    """Choose the upstreams of a spread prompt; None where the group can't hold it.

    Fewest upstreams first, those with the most memory free before others. Every entry
    asks for parts in the order of upstream ids, whatever it chose by.
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
    """Return the tokens that the last report left free at an upstream."""
    return view.memory_limit() - view.load.reserved_tokens


def upstream_id_of(view: UpstreamView) -> UpstreamId:
    """Return what the one fixed order of all spread prompts goes by."""
    return view.description.upstream_id


def divide(
    views: list[UpstreamView], profile: RequestProfile, share: float
) -> Spread | None:
    """Divide a prompt in proportion to memory; None where it does not fit so."""
    limits = [int(view.memory_limit() * share) for view in views]
    total = sum(limits)
    needed = profile.memory_tokens
    if needed > total:
        return None
    helpers = []
    start = 0
    for view, limit in zip(views[:-1], limits[:-1], strict=True):
        # Rounded up, and never past the limit since what is needed is no more than all.
        end = start - (-needed * limit // total)
        helpers.append(part_place(view, start, end))
        start = end
    if start >= profile.facts.prompt_tokens:
        # Mostly output: the last one would have nothing to prefill.
        return None
    return Spread(views[-1], start, tuple(helpers))


def part_place(view: UpstreamView, start: int, end: int) -> PartPlace:
    """Say where a part goes."""
    return PartPlace(
        view.description.upstream_id,
        view.epoch,
        view.description.attempts_address,
        view.load.sequence,
        start,
        end,
    )
