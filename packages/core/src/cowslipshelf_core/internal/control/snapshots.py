"""Define the snapshot of the replicated control state."""

import msgspec

from cowslipshelf_core.configuration import FleetConfiguration
from cowslipshelf_core.identifiers import FencingNumber
from cowslipshelf_core.internal.control.audit import AuditRecord
from cowslipshelf_core.internal.control.errors import ControlCodecError
from cowslipshelf_core.internal.control.grants import OpenGrant
from cowslipshelf_core.internal.control.orders import OrderSlot
from cowslipshelf_core.internal.control.route_register import NO_ROUTES
from cowslipshelf_core.messages import Message, RoutesDocument

SNAPSHOT_FORMAT = 1


class ControlSnapshot(Message, frozen=True):
    """Be the whole control state; equal states give equal bytes.

    Tables go in as the maps that they are, in their order: an object for each of a
    hundred thousand records would stop the replica for most of a second.
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
    """Absent from snapshots of replicas that knew no routes."""


SNAPSHOT_DECODER = msgspec.msgpack.Decoder(ControlSnapshot)


def decode_snapshot(data: bytes) -> ControlSnapshot:
    """Decode a snapshot; `ControlCodecError` where the bytes are none."""
    step = "decode control snapshot"
    try:
        snapshot = SNAPSHOT_DECODER.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise ControlCodecError(step, str(error)) from error
    if snapshot.format_version != SNAPSHOT_FORMAT:
        detail = f"format {snapshot.format_version}, expected {SNAPSHOT_FORMAT}"
        raise ControlCodecError(step, detail)
    return snapshot
