"""Define what is kept of one claim."""

import hashlib
from typing import NamedTuple

import msgspec

from cowslipshelf_core.configuration import DEFAULT_DEADLINE_SECONDS
from cowslipshelf_core.errors import Refusal, RefusalCode
from cowslipshelf_core.identifiers import (
    AttemptId,
    CustomerName,
    Epoch,
    InstanceId,
    RequestId,
    UpstreamId,
)
from cowslipshelf_core.internal.control.limits import (
    CLAIM_GRACE_SECONDS,
    CLAIM_RETENTION_SECONDS,
    MAX_CLAIM_DEADLINE_SECONDS,
    MAX_RETIRED_ATTEMPTS,
    MAX_STORED_ANSWER_BYTES,
)
from cowslipshelf_core.messages import ClaimMoved, StoredAnswer

CLAIM_DIGEST_BYTES = 16
EXPIRY_BUCKET_SECONDS = 60.0


class ClaimRecord(NamedTuple):
    """Be what is kept of one claim; its stored answer is kept apart."""

    customer: CustomerName
    request_id: RequestId
    attempt_id: AttemptId
    upstream_id: UpstreamId
    sidecar_epoch: Epoch
    owner: InstanceId
    body_digest: bytes
    """A digest of the asker's digest: a quarter of its size."""
    deadline_at: float
    retired: tuple[AttemptId, ...] = ()
    """Attempts that the claim was moved away from; none is ever opened again."""
    finished: bool = False
    status: int = 0
    """Status of the answer; zero where a refusal ended the claim."""
    refusal: Refusal | None = None


CLAIM_DECODER = msgspec.msgpack.Decoder(ClaimRecord)
ANSWER_DECODER = msgspec.msgpack.Decoder(StoredAnswer)


def claim_key(customer: CustomerName, key: str) -> str:
    """Name a customer's key by a digest of fixed size."""
    data = msgspec.msgpack.encode((customer, key))
    return short_digest(data).hex()


def short_digest(data: bytes) -> bytes:
    """Digest bytes to the size that claims are told apart by."""
    return hashlib.blake2b(data, digest_size=CLAIM_DIGEST_BYTES).digest()


def grace_expired(record: ClaimRecord, at: float) -> bool:
    """Tell whether nobody works on a claim any more, whatever became of it."""
    return at > record.deadline_at + CLAIM_GRACE_SECONDS


def expiry_bucket(record: ClaimRecord) -> int:
    """Tell the minute in which a claim is forgotten; rounded up, never down."""
    expires_at = record.deadline_at + CLAIM_RETENTION_SECONDS
    return int(expires_at // EXPIRY_BUCKET_SECONDS) + 1


def move_refusal_reason(record: ClaimRecord, command: ClaimMoved, at: float) -> str:
    """Find what stands against moving a claim."""
    if is_repeated_move(record, command):
        return "finished" if record.finished else ""
    if record.finished and not never_ran(record):
        return "finished"
    if record.attempt_id != command.from_attempt:
        return "attempt_not_open"
    if record.request_id == command.request_id and grace_expired(record, at):
        return "deadline_passed"
    if command.to_attempt in (*record.retired, record.attempt_id):
        # A retired attempt was promised never to run, and is refused for good.
        return "attempt_retired"
    return ""


def never_ran(record: ClaimRecord) -> bool:
    """Tell whether a claim ended with the promise that its request never ran."""
    return record.refusal is not None and record.refusal.code is RefusalCode.NOT_RUN


def moved_record(record: ClaimRecord, command: ClaimMoved, at: float) -> ClaimRecord:
    """Give a claim to its new attempt, and perhaps to its new holder."""
    deadline_at = record.deadline_at
    if record.request_id != command.request_id:
        # Written so that NaN falls out as well: it would make the claim immortal.
        has_valid_deadline = 0 < command.deadline_seconds <= MAX_CLAIM_DEADLINE_SECONDS
        seconds = (
            command.deadline_seconds if has_valid_deadline else DEFAULT_DEADLINE_SECONDS
        )
        deadline_at = max(deadline_at, at + seconds)
    retired = (*record.retired, record.attempt_id)[-MAX_RETIRED_ATTEMPTS:]
    return record._replace(
        request_id=command.request_id,
        attempt_id=command.to_attempt,
        upstream_id=command.upstream_id,
        sidecar_epoch=command.sidecar_epoch,
        owner=command.owner,
        deadline_at=deadline_at,
        retired=retired,
        finished=False,
        refusal=None,
    )


def is_repeated_move(record: ClaimRecord, command: ClaimMoved) -> bool:
    """Tell whether this is a resend of the last move, whose answer was lost."""
    if record.request_id != command.request_id:
        return False
    last_retired = record.retired[-1:]
    return (*last_retired, record.attempt_id) == (
        command.from_attempt,
        command.to_attempt,
    )


def trim_answer(answer: StoredAnswer) -> StoredAnswer:
    """Leave out a body that is too large to be stored; entries trim before sending."""
    if len(answer.body) <= MAX_STORED_ANSWER_BYTES // 2:
        return answer
    return msgspec.structs.replace(answer, body=b"", whole=False)
