"""Keep the replicated control state: configuration, claims, orders, grants, audit."""

from cowslipshelf_core.internal.control.audit import AuditRecord
from cowslipshelf_core.internal.control.claim_records import trim_answer
from cowslipshelf_core.internal.control.codec import (
    decode_command,
    decode_outcome,
    encode_command,
    encode_outcome,
)
from cowslipshelf_core.internal.control.commands import (
    AskLoadGrant,
    CloseOrder,
    ConfirmPlan,
    ControlCommand,
    RecordMembership,
    RecordPlan,
    RequestOrder,
    ReturnLoadGrant,
)
from cowslipshelf_core.internal.control.documents import (
    ChangeDocument,
    ConfirmDocument,
    CustomerDocument,
    PlanDocument,
    WantedDocument,
    hash_key,
)
from cowslipshelf_core.internal.control.errors import (
    AppliedOutOfOrderError,
    ControlCodecError,
    ControlError,
)
from cowslipshelf_core.internal.control.grants import OpenGrant
from cowslipshelf_core.internal.control.outcomes import (
    ControlOutcome,
    LoadGranted,
    LoadGrantRefused,
    LoadGrantReturned,
    MembershipRecorded,
    OrderClosed,
    OrderGranted,
    OrderRefused,
    PlanConfirmed,
    PlanOutdated,
    PlanRecorded,
    PlanRefused,
    PlanUnknown,
)
from cowslipshelf_core.internal.control.planning import (
    Draft,
    draft_plan,
    relevant_upstreams,
)
from cowslipshelf_core.internal.control.plans import (
    Change,
    FieldChange,
    NotDone,
    OrderKind,
    Plan,
    PlannedOrder,
    Touched,
    WantedState,
)
from cowslipshelf_core.internal.control.state import ChangeExplanation, ControlState

__all__ = [
    "AppliedOutOfOrderError",
    "AskLoadGrant",
    "AuditRecord",
    "Change",
    "ChangeDocument",
    "ChangeExplanation",
    "CloseOrder",
    "ConfirmDocument",
    "ConfirmPlan",
    "ControlCodecError",
    "ControlCommand",
    "ControlError",
    "ControlOutcome",
    "ControlState",
    "CustomerDocument",
    "Draft",
    "FieldChange",
    "LoadGrantRefused",
    "LoadGrantReturned",
    "LoadGranted",
    "MembershipRecorded",
    "NotDone",
    "OpenGrant",
    "OrderClosed",
    "OrderGranted",
    "OrderKind",
    "OrderRefused",
    "Plan",
    "PlanConfirmed",
    "PlanDocument",
    "PlanOutdated",
    "PlanRecorded",
    "PlanRefused",
    "PlanUnknown",
    "PlannedOrder",
    "RecordMembership",
    "RecordPlan",
    "RequestOrder",
    "ReturnLoadGrant",
    "Touched",
    "WantedDocument",
    "WantedState",
    "decode_command",
    "decode_outcome",
    "draft_plan",
    "encode_command",
    "encode_outcome",
    "hash_key",
    "relevant_upstreams",
    "trim_answer",
]
