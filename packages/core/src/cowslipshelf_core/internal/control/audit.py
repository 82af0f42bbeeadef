"""Keep the audit trail of everything that changed the control state."""

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
    """Tell one change: who, when, what, and between which versions."""

    index: int
    at: float
    """Seconds since 1970, by the leader's clock."""
    operator: OperatorName
    action: str
    change_id: ChangeId | None
    version_before: ConfigurationVersion
    version_after: ConfigurationVersion
    detail: str


@dataclass
class AuditTrail:
    """Keep the newest records; one log entry leaves one at most."""

    records: deque[AuditRecord] = field(
        default_factory=lambda: deque(maxlen=MAX_AUDIT_RECORDS)
    )

    def add(self, record: AuditRecord) -> None:
        """Keep a record; the oldest goes where there are too many."""
        detail = record.detail[:MAX_AUDIT_DETAIL_CHARACTERS]
        self.records.append(record._replace(detail=detail))

    def since(self, index: int, limit: int) -> tuple[AuditRecord, ...]:
        """Read the records after a log index, the oldest first."""
        newer = (record for record in self.records if record.index > index)
        return tuple(record for record, _ in zip(newer, range(limit), strict=False))

    def for_change(self, change_id: ChangeId) -> tuple[AuditRecord, ...]:
        """Read the records of one change."""
        return tuple(record for record in self.records if record.change_id == change_id)

    def restore(self, records: Iterable[AuditRecord]) -> None:
        """Take over the records of a snapshot."""
        self.records.extend(records)
