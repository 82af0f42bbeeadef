"""Define the snapshot of the replicated control state."""

import msgspec

from cowslipshelf_core.configuration import FleetConfiguration
from cowslipshelf_core.identifiers import FencingNumber
from cowslipshelf_core.internal.control.audit import AuditRecord
from cowslipshelf_core.internal.control.errors import ControlCodecError
from cowslipshelf_core.internal.control.grants import OpenGrant
from cowslipshelf_core.internal.control.orders import OrderSlot
from cowslipshelf_core.internal.control.route_register import NO_ROUTES
from cowslipshelf_core.messages import (
    NO_EVACUATIONS,
    EvacuationState,
    Message,
    RoutesDocument,
)

SNAPSHOT_FORMAT = 1


class ControlSnapshot(Message, frozen=True):
    """Hold the whole control state; equal states are encoded to equal bytes.

    Tables are encoded as they are, as maps of encoded records in their order. An object
    for each of a hundred thousand records would block the replica for most of a second.
    """

    format_version: int
    applied_index: int
    clock: float
    configuration: FleetConfiguration
    changes: dict[str, bytes]
    pending: dict[str, bytes]
    confirmations: dict[str, bytes]
    claims: dict[str, bytes]
    answers: dict[str, bytes]
    late_finishes: int
    order_slots: tuple[OrderSlot, ...]
    dropped_fencing: FencingNumber
    grants: tuple[OpenGrant, ...]
    grant_tokens: float | None
    grants_filled_at: float
    audit: tuple[AuditRecord, ...]
    routes: RoutesDocument = NO_ROUTES
    """Absent from snapshots written before replicas stored routes."""
    evacuations: EvacuationState = NO_EVACUATIONS
    """Absent from snapshots written before replicas stored evacuations."""


SNAPSHOT_DECODER = msgspec.msgpack.Decoder(ControlSnapshot)


def decode_snapshot(data: bytes) -> ControlSnapshot:
    """Decode a snapshot, or raise `ControlCodecError` if the bytes are invalid."""
    step = "decode control snapshot"
    try:
        snapshot = SNAPSHOT_DECODER.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise ControlCodecError(step, str(error)) from error
    if snapshot.format_version != SNAPSHOT_FORMAT:
        detail = f"format {snapshot.format_version}, expected {SNAPSHOT_FORMAT}"
        raise ControlCodecError(step, detail)
    return snapshot
