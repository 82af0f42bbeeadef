"""Store the claims by which requests with idempotency keys run at most once."""

from collections import Counter
from dataclasses import dataclass, field

import msgspec

from cowslipshelf_core.identifiers import (
    CustomerName,
)
from cowslipshelf_core.internal.control.bounded_records import BoundedRecords
from cowslipshelf_core.internal.control.claim_records import (
    ANSWER_DECODER,
    CLAIM_DECODER,
    EXPIRY_BUCKET_SECONDS,
    ClaimRecord,
    claim_key,
    expiry_bucket,
    grace_expired,
    is_repeated_move,
    move_refusal_reason,
    moved_record,
    short_digest,
    trim_answer,
)
from cowslipshelf_core.internal.control.limits import (
    MAX_CLAIM_DEADLINE_SECONDS,
    MAX_CLAIM_KEY_BYTES,
    MAX_CLAIM_RECORD_BYTES,
    MAX_CLAIMS,
    MAX_CLAIMS_PER_CUSTOMER,
    MAX_STORED_ANSWER_BYTES,
    MAX_TOTAL_ANSWER_BYTES,
)
from cowslipshelf_core.messages import (
    ClaimAbsent,
    ClaimAsked,
    ClaimFinished,
    ClaimGranted,
    ClaimHeld,
    ClaimLookedUp,
    ClaimMoved,
    ClaimRefused,
    StoredAnswer,
)


@dataclass
class ClaimTable:
    """Open at most one attempt per customer key, and none after it has finished.

    Records stay encoded, for the reason given in `BoundedRecords`. A claim expires a
    fixed time after its deadline. Bodies of answers may be evicted earlier, keys never.
    """

    records: dict[str, bytes] = field(default_factory=dict)
    """Encoded `ClaimRecord` by claim key."""
    answers: BoundedRecords = field(
        default_factory=lambda: BoundedRecords(MAX_CLAIMS, MAX_TOTAL_ANSWER_BYTES)
    )
    expiry_buckets: dict[int, list[str]] = field(default_factory=dict)
    """Claim keys by the bucket in which they expire."""
    customer_counts: Counter[CustomerName] = field(default_factory=Counter)
    """Number of claims of each customer."""
    late_finishes: int = 0
    """Finishes refused because their attempt was not the open one."""

    def acquire(
        self, command: ClaimAsked, at: float
    ) -> ClaimGranted | ClaimHeld | ClaimRefused:
        """Grant a key to the first request that claims it, and to no other."""
        self.remove_expired(at)
        key = claim_key(command.customer, command.key)
        record = self.get(key)
        if record is None:
            return self.open_claim(key, command, at)
        if record.body_digest != short_digest(command.body_digest.encode()):
            return ClaimRefused("key_reused")
        same = (command.request_id, command.attempt_id) == (
            record.request_id,
            record.attempt_id,
        )
        if same and not record.finished and not grace_expired(record, at):
            # A resend, whose first answer may be lost, still holds the claim.
            return ClaimGranted(record.attempt_id)
        return self.describe(key, record, at)

    def look_up(
        self, command: ClaimLookedUp, at: float
    ) -> ClaimAbsent | ClaimHeld | ClaimRefused:
        """Return who holds a key, without opening, changing or extending a claim."""
        self.remove_expired(at)
        key = claim_key(command.customer, command.key)
        digest = short_digest(command.body_digest.encode())
        match self.get(key):
            case None:
                return ClaimAbsent()
            case ClaimRecord(body_digest=held_digest) as record:
                if held_digest != digest:
                    return ClaimRefused("key_reused")
                return self.describe(key, record, at)

    def open_claim(
        self, key: str, command: ClaimAsked, at: float
    ) -> ClaimGranted | ClaimRefused:
        """Open a claim on a key that is not claimed."""
        reason = self.refusal_reason(command)
        if reason:
            return ClaimRefused(reason)
        record = ClaimRecord(
            customer=command.customer,
            request_id=command.request_id,
            attempt_id=command.attempt_id,
            upstream_id=command.upstream_id,
            sidecar_epoch=command.sidecar_epoch,
            owner=command.owner,
            body_digest=short_digest(command.body_digest.encode()),
            deadline_at=at + command.deadline_seconds,
        )
        if not self.store(key, record):
            return ClaimRefused("claim_too_large")
        self.index_claim(key, record)
        return ClaimGranted(command.attempt_id)

    def refusal_reason(self, command: ClaimAsked) -> str:
        """Return why a claim can't be opened, or an empty string if it can."""
        if len(command.key.encode()) > MAX_CLAIM_KEY_BYTES:
            return "key_too_long"
        if not 0 < command.deadline_seconds <= MAX_CLAIM_DEADLINE_SECONDS:
            return "bad_deadline"
        if self.customer_counts[command.customer] >= MAX_CLAIMS_PER_CUSTOMER:
            return "customer_claims_full"
        if len(self.records) >= MAX_CLAIMS:
            # Evicting a key to make room would let its resend run a second time.
            return "claims_full"
        return ""

    def move(self, command: ClaimMoved, at: float) -> ClaimGranted | ClaimRefused:
        """Replace an attempt that never ran and never will by a new one.

        The holder moves its claim after the sidecar has guaranteed not to run the old
        attempt. Another request with the same key takes the claim over after such a
        guarantee, or after a stored "not run" refusal, which implies it.
        """
        self.remove_expired(at)
        key = claim_key(command.customer, command.key)
        record = self.get(key)
        if record is None:
            return ClaimRefused("unknown_claim")
        reason = move_refusal_reason(record, command, at)
        if reason:
            return ClaimRefused(reason)
        if not is_repeated_move(record, command) and not self.store(
            key, moved_record(record, command, at)
        ):
            return ClaimRefused("claim_too_large")
        return ClaimGranted(command.to_attempt)

    def finish(self, command: ClaimFinished, at: float) -> ClaimHeld | ClaimRefused:
        """Store the result of the open attempt; a resend gets the first result."""
        self.remove_expired(at)
        key = claim_key(command.customer, command.key)
        record = self.get(key)
        if record is None or record.request_id != command.request_id:
            self.late_finishes += 1
            return ClaimRefused("not_the_holder")
        if record.attempt_id != command.attempt_id:
            self.late_finishes += 1
            return ClaimRefused("attempt_not_open")
        if record.finished:
            return self.describe(key, record, at)
        if (command.answer is None) == (command.refusal is None):
            return ClaimRefused("needs_an_answer_or_a_refusal")
        ended = record._replace(
            finished=True,
            status=command.answer.status if command.answer else 0,
            refusal=command.refusal,
        )
        if not self.store(key, ended):
            ended = ended._replace(refusal=command.refusal._replace(detail=""))
            self.records[key] = msgspec.msgpack.encode(ended)
        if command.answer is not None:
            self.store_answer(key, command.answer)
        return self.describe(key, ended, at)

    def store_answer(self, key: str, answer: StoredAnswer) -> None:
        """Store an answer, without its body or not at all if it is too large."""
        data = msgspec.msgpack.encode(trim_answer(answer))
        if len(data) <= MAX_STORED_ANSWER_BYTES:
            self.answers.put(key, data)

    def describe(self, key: str, record: ClaimRecord, at: float) -> ClaimHeld:
        """Build the answer that describes a claim to another request."""
        return ClaimHeld(
            request_id=record.request_id,
            attempt_id=record.attempt_id,
            upstream_id=record.upstream_id,
            sidecar_epoch=record.sidecar_epoch,
            owner=record.owner,
            deadline_passed=not record.finished and grace_expired(record, at),
            answer=self.stored_answer(key, record),
            refusal=record.refusal,
        )

    def stored_answer(self, key: str, record: ClaimRecord) -> StoredAnswer | None:
        """Return the stored answer, or its status alone if it was evicted."""
        data = self.answers.get(key)
        if data is not None:
            return ANSWER_DECODER.decode(data)
        if record.status:
            return StoredAnswer(record.status, (), b"", whole=False)
        return None

    def get(self, key: str) -> ClaimRecord | None:
        """Return a claim, or None if the key is not claimed."""
        data = self.records.get(key)
        return None if data is None else CLAIM_DECODER.decode(data)

    def store(self, key: str, record: ClaimRecord) -> bool:
        """Store a claim, and return False if it is too large."""
        data = msgspec.msgpack.encode(record)
        if len(data) > MAX_CLAIM_RECORD_BYTES:
            return False
        self.records[key] = data
        return True

    def index_claim(self, key: str, record: ClaimRecord) -> None:
        """Add a claim to the counts and to its expiry bucket."""
        self.customer_counts[record.customer] += 1
        self.expiry_buckets.setdefault(expiry_bucket(record), []).append(key)

    def remove_expired(self, at: float) -> None:
        """Remove the claims whose retention has ended."""
        current_bucket = int(at // EXPIRY_BUCKET_SECONDS)
        for bucket in [each for each in self.expiry_buckets if each <= current_bucket]:
            for key in self.expiry_buckets.pop(bucket):
                self.remove_or_reschedule(key, current_bucket)

    def remove_or_reschedule(self, key: str, current_bucket: int) -> None:
        """Remove a claim, or reschedule it if it was taken over with a later deadline.

        If it expired by its first deadline, a resend would run beside the new holder.
        """
        bucket = expiry_bucket(self.get(key))
        if bucket > current_bucket:
            self.expiry_buckets.setdefault(bucket, []).append(key)
        else:
            self.remove(key)

    def remove(self, key: str) -> None:
        """Remove one claim and its answer."""
        record = CLAIM_DECODER.decode(self.records.pop(key))
        self.answers.remove(key)
        self.customer_counts[record.customer] -= 1
        if not self.customer_counts[record.customer]:
            del self.customer_counts[record.customer]

    def restore(self, records: dict[str, bytes], answers: dict[str, bytes]) -> None:
        """Load the claims and answers of a snapshot."""
        self.records = records
        for key, data in records.items():
            self.index_claim(key, CLAIM_DECODER.decode(data))
        self.answers.restore(answers)
