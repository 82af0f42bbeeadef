"""Define the stored record of a claim on an idempotency key."""

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
"""Claims that expire in the same bucket are removed together."""


class ClaimRecord(NamedTuple):
    """Hold one claim; its answer is stored separately."""

    customer: CustomerName
    request_id: RequestId
    attempt_id: AttemptId
    upstream_id: UpstreamId
    sidecar_epoch: Epoch
    owner: InstanceId
    """Instance that handles the request."""
    body_digest: bytes
    """Digest of the digest in the command, at a quarter of its size."""
    deadline_at: float
    """Deadline of the request, Unix time in seconds."""
    retired: tuple[AttemptId, ...] = ()
    """Attempts that the claim was moved away from; none of them is reopened."""
    finished: bool = False
    status: int = 0
    """HTTP status of the answer; zero if the claim is open or ended in a refusal."""
    refusal: Refusal | None = None


CLAIM_DECODER = msgspec.msgpack.Decoder(ClaimRecord)
ANSWER_DECODER = msgspec.msgpack.Decoder(StoredAnswer)


def claim_key(customer: CustomerName, key: str) -> str:
    """Compute the fixed-size table key of a customer's idempotency key."""
    data = msgspec.msgpack.encode((customer, key))
    return short_digest(data).hex()


def short_digest(data: bytes) -> bytes:
    """Compute the digest that is used to compare keys and bodies."""
    return hashlib.blake2b(data, digest_size=CLAIM_DIGEST_BYTES).digest()


def grace_expired(record: ClaimRecord, at: float) -> bool:
    """Return whether the grace period is over, so that nobody works on the claim."""
    return at > record.deadline_at + CLAIM_GRACE_SECONDS


def expiry_bucket(record: ClaimRecord) -> int:
    """Return the bucket in which a claim expires, never before its retention ends."""
    expires_at = record.deadline_at + CLAIM_RETENTION_SECONDS
    return int(expires_at // EXPIRY_BUCKET_SECONDS) + 1


def move_refusal_reason(record: ClaimRecord, command: ClaimMoved, at: float) -> str:
    """Return why a claim can't be moved, or an empty string if it can."""
    if is_repeated_move(record, command):
        return "finished" if record.finished else ""
    if record.finished and not never_ran(record):
        return "finished"
    if record.attempt_id != command.from_attempt:
        return "attempt_not_open"
    if record.request_id == command.request_id and grace_expired(record, at):
        return "deadline_passed"
    if command.to_attempt in (*record.retired, record.attempt_id):
        # Its sidecar guaranteed never to run a retired attempt, and refuses it.
        return "attempt_retired"
    return ""


def never_ran(record: ClaimRecord) -> bool:
    """Return whether a claim ended with the guarantee that its request never ran."""
    return record.refusal is not None and record.refusal.code is RefusalCode.NOT_RUN


def moved_record(record: ClaimRecord, command: ClaimMoved, at: float) -> ClaimRecord:
    """Return the claim with its new attempt, and possibly with a new holder."""
    deadline_at = record.deadline_at
    if record.request_id != command.request_id:
        # The comparison also rejects NaN, with which the claim would never expire.
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
    """Return whether this repeats the last move, whose answer may be lost."""
    if record.request_id != command.request_id:
        return False
    last_retired = record.retired[-1:]
    return (*last_retired, record.attempt_id) == (
        command.from_attempt,
        command.to_attempt,
    )


def trim_answer(answer: StoredAnswer) -> StoredAnswer:
    """Remove a body that is too large to store; entries do so before sending."""
    if len(answer.body) <= MAX_STORED_ANSWER_BYTES // 2:
        return answer
    return msgspec.structs.replace(answer, body=b"", whole=False)
