"""Define what is kept of one claim."""

import hashlib
from typing import NamedTuple

import msgspec

from cowslipshelf_core.errors import Refusal
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
    MOST_STORED_ANSWER_BYTES,
)
from cowslipshelf_core.messages import ClaimMoved, StoredAnswer

CLAIM_DIGEST_BYTES = 16


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


RECORD_DECODER = msgspec.msgpack.Decoder(ClaimRecord)
ANSWER_DECODER = msgspec.msgpack.Decoder(StoredAnswer)


def claim_key(customer: CustomerName, key: str) -> str:
    """Name a customer's key by a digest of fixed size."""
    data = msgspec.msgpack.encode((customer, key))
    return short_digest(data).hex()


def short_digest(data: bytes) -> bytes:
    """Digest bytes to the size that claims are told apart by."""
    return hashlib.blake2b(data, digest_size=CLAIM_DIGEST_BYTES).digest()


def is_past(record: ClaimRecord, at: float) -> bool:
    """Tell whether nobody works on a claim any more, whatever became of it."""
    return at > record.deadline_at + CLAIM_GRACE_SECONDS


def was_moved(record: ClaimRecord, moved: ClaimMoved) -> bool:
    """Tell whether this is a resend of the last move, whose answer was lost."""
    last_retired = record.retired[-1:]
    return (*last_retired, record.attempt_id) == (moved.from_attempt, moved.to_attempt)


def trim_answer(answer: StoredAnswer) -> StoredAnswer:
    """Leave out a body that is too large to be stored; entries trim before sending."""
    if len(answer.body) <= MOST_STORED_ANSWER_BYTES // 2:
        return answer
    return msgspec.structs.replace(answer, body=b"", whole=False)
