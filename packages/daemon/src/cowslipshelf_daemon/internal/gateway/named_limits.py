"""Record the limits that upstreams name in their answers."""

from dataclasses import dataclass, field

from cowslipshelf_core.dialect import (
    AnswerLimit,
    LimitNamed,
    LimitUnreadable,
    NoLimit,
)
from cowslipshelf_core.identifiers import AttemptId, UpstreamId
from cowslipshelf_host.logs import part_logger

LOG = part_logger("limits")


@dataclass(slots=True)
class NamedLimits:
    """Hold the last limit that each upstream named to this gateway."""

    rates: dict[UpstreamId, float] = field(default_factory=dict)
    """In requests a second."""

    def record_answer(
        self, upstream_id: UpstreamId, attempt: AttemptId, limit: AnswerLimit
    ) -> None:
        """Record what an answer to one attempt says of its upstream's limit."""
        before = self.rates.get(upstream_id)
        match limit:
            case NoLimit() if before is not None:
                del self.rates[upstream_id]
                event = "Limit ended."
            case LimitNamed(rate) if rate != before:
                self.rates[upstream_id] = rate
                event = "Limit named."
            case LimitUnreadable():
                event = "Limit not readable."
            case _:
                return
        LOG.info(
            event,
            upstream=upstream_id,
            request=attempt,
            limit=limit,
            before=before,
        )
