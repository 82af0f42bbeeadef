"""Record an audit trail of the changes to the control state."""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from cowslipshelf_core.identifiers import (
    ChangeId,
    ConfigurationVersion,
    OperatorName,
)
from cowslipshelf_core.internal.control.limits import (
    MAX_AUDIT_DETAIL_CHARACTERS,
    MAX_AUDIT_RECORDS,
)


class AuditRecord(NamedTuple):
    """Describe one change: who made it, when, what, and the versions around it."""

    index: int
    """Index of the log entry that made the change."""
    at: float
    """Unix time in seconds, by the leader's clock."""
    operator: OperatorName
    action: str
    change_id: ChangeId | None
    version_before: ConfigurationVersion
    version_after: ConfigurationVersion
    detail: str


@dataclass
class AuditTrail:
    """Keep the newest audit records; each log entry adds at most one."""

    records: deque[AuditRecord] = field(
        default_factory=lambda: deque(maxlen=MAX_AUDIT_RECORDS)
    )

    def add(self, record: AuditRecord) -> None:
        """Append a record and drop the oldest one if the trail is full."""
        detail = record.detail[:MAX_AUDIT_DETAIL_CHARACTERS]
        self.records.append(record._replace(detail=detail))

    def since(self, index: int, limit: int) -> tuple[AuditRecord, ...]:
        """Return up to `limit` records after a log index, oldest first."""
        newer = (record for record in self.records if record.index > index)
        return tuple(record for record, _ in zip(newer, range(limit), strict=False))

    def for_change(self, change_id: ChangeId) -> tuple[AuditRecord, ...]:
        """Return the records of one change."""
        return tuple(record for record in self.records if record.change_id == change_id)

    def restore(self, records: Iterable[AuditRecord]) -> None:
        """Load the records of a snapshot."""
        self.records.extend(records)
