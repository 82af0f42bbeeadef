"""Keep the claims of requests that run at most once."""

from collections import Counter
from dataclasses import dataclass, field

import msgspec

from cowslipshelf_core.identifiers import (
    CustomerName,
)
from cowslipshelf_core.internal.control.bounded import BoundedRecords
from cowslipshelf_core.internal.control.claim_records import (
    ANSWER_DECODER,
    EXPIRY_BUCKET_SECONDS,
    RECORD_DECODER,
    ClaimRecord,
    claim_key,
    expiry_bucket,
    is_past,
    moved_record,
    reason_against_move,
    short_digest,
    trim_answer,
    was_moved,
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
    """Open at most one attempt for each customer's key, and none after it finished.

    Records are kept encoded, as `BoundedRecords` explains. A claim is forgotten a
    fixed time after its deadline; bodies of answers may go earlier, keys never.
    """

    records: dict[str, bytes] = field(default_factory=dict)
    answers: BoundedRecords = field(
        default_factory=lambda: BoundedRecords(MAX_CLAIMS, MAX_TOTAL_ANSWER_BYTES)
    )
    expiring: dict[int, list[str]] = field(default_factory=dict)
    """Claims by the minute in which they are forgotten."""
    counts: Counter[CustomerName] = field(default_factory=Counter)
    late_finishes: int = 0
    """Finishes that were refused because their attempt was no longer the open one."""

    def acquire(
        self, asked: ClaimAsked, at: float
    ) -> ClaimGranted | ClaimHeld | ClaimRefused:
        """Grant the right to run to the first asker of a key, and to nobody after."""
        self.forget_expired(at)
        key = claim_key(asked.customer, asked.key)
        record = self.find(key)
        if record is None:
            return self.open_claim(key, asked, at)
        if record.body_digest != short_digest(asked.body_digest.encode()):
            return ClaimRefused("key_reused")
        same = (asked.request_id, asked.attempt_id) == (
            record.request_id,
            record.attempt_id,
        )
        if same and not record.finished and not is_past(record, at):
            # The answer to the first copy was lost: the asker still has the right.
            return ClaimGranted(record.attempt_id)
        return self.held(key, record, at)

    def look_up(
        self, asked: ClaimLookedUp, at: float
    ) -> ClaimAbsent | ClaimHeld | ClaimRefused:
        """Tell who holds a key; no claim is opened, changed or kept longer."""
        self.forget_expired(at)
        key = claim_key(asked.customer, asked.key)
        digest = short_digest(asked.body_digest.encode())
        match self.find(key):
            case None:
                return ClaimAbsent()
            case ClaimRecord(body_digest=held_digest) as record:
                if held_digest != digest:
                    return ClaimRefused("key_reused")
                return self.held(key, record, at)

    def open_claim(
        self, key: str, asked: ClaimAsked, at: float
    ) -> ClaimGranted | ClaimRefused:
        """Open a claim on a key that nobody has."""
        reason = self.reason_against(asked)
        if reason:
            return ClaimRefused(reason)
        record = ClaimRecord(
            customer=asked.customer,
            request_id=asked.request_id,
            attempt_id=asked.attempt_id,
            upstream_id=asked.upstream_id,
            sidecar_epoch=asked.sidecar_epoch,
            owner=asked.owner,
            body_digest=short_digest(asked.body_digest.encode()),
            deadline_at=at + asked.deadline_seconds,
        )
        if not self.keep(key, record):
            return ClaimRefused("claim_too_large")
        self.index_claim(key, record)
        return ClaimGranted(asked.attempt_id)

    def reason_against(self, asked: ClaimAsked) -> str:
        """Find what stands against a new claim."""
        if len(asked.key.encode()) > MAX_CLAIM_KEY_BYTES:
            return "key_too_long"
        if not 0 < asked.deadline_seconds <= MAX_CLAIM_DEADLINE_SECONDS:
            return "bad_deadline"
        if self.counts[asked.customer] >= MAX_CLAIMS_PER_CUSTOMER:
            return "customer_claims_full"
        if len(self.records) >= MAX_CLAIMS:
            # Making room by forgetting a key would let its resend run again.
            return "claims_full"
        return ""

    def move(self, moved: ClaimMoved, at: float) -> ClaimGranted | ClaimRefused:
        """Open another attempt in place of one that never ran and never will.

        The holder moves its claim after its sidecar's promise. Another request takes
        the claim over after such a promise, or after a stored "not run", which is one.
        """
        self.forget_expired(at)
        key = claim_key(moved.customer, moved.key)
        record = self.find(key)
        if record is None:
            return ClaimRefused("unknown_claim")
        reason = reason_against_move(record, moved, at)
        if reason:
            return ClaimRefused(reason)
        if not was_moved(record, moved) and not self.keep(
            key, moved_record(record, moved, at)
        ):
            return ClaimRefused("claim_too_large")
        return ClaimGranted(moved.to_attempt)

    def finish(self, finished: ClaimFinished, at: float) -> ClaimHeld | ClaimRefused:
        """Store how the open attempt ended; a resend gets what was stored first."""
        self.forget_expired(at)
        key = claim_key(finished.customer, finished.key)
        record = self.find(key)
        if record is None or record.request_id != finished.request_id:
            self.late_finishes += 1
            return ClaimRefused("not_the_holder")
        if record.attempt_id != finished.attempt_id:
            self.late_finishes += 1
            return ClaimRefused("attempt_not_open")
        if record.finished:
            return self.held(key, record, at)
        if (finished.answer is None) == (finished.refusal is None):
            return ClaimRefused("needs_an_answer_or_a_refusal")
        ended = record._replace(
            finished=True,
            status=finished.answer.status if finished.answer else 0,
            refusal=finished.refusal,
        )
        if not self.keep(key, ended):
            ended = ended._replace(refusal=finished.refusal._replace(detail=""))
            self.records[key] = msgspec.msgpack.encode(ended)
        if finished.answer is not None:
            self.store_answer(key, finished.answer)
        return self.held(key, ended, at)

    def store_answer(self, key: str, answer: StoredAnswer) -> None:
        """Store an answer, without what is too large of it."""
        data = msgspec.msgpack.encode(trim_answer(answer))
        if len(data) <= MAX_STORED_ANSWER_BYTES:
            self.answers.put(key, data)

    def held(self, key: str, record: ClaimRecord, at: float) -> ClaimHeld:
        """Tell what is known of a claim."""
        return ClaimHeld(
            request_id=record.request_id,
            attempt_id=record.attempt_id,
            upstream_id=record.upstream_id,
            sidecar_epoch=record.sidecar_epoch,
            owner=record.owner,
            deadline_passed=not record.finished and is_past(record, at),
            answer=self.answer(key, record),
            refusal=record.refusal,
        )

    def answer(self, key: str, record: ClaimRecord) -> StoredAnswer | None:
        """Read the stored answer; of one that was dropped, the status is left."""
        data = self.answers.get(key)
        if data is not None:
            return ANSWER_DECODER.decode(data)
        if record.status:
            return StoredAnswer(record.status, (), b"", whole=False)
        return None

    def find(self, key: str) -> ClaimRecord | None:
        """Read a claim."""
        data = self.records.get(key)
        return None if data is None else RECORD_DECODER.decode(data)

    def keep(self, key: str, record: ClaimRecord) -> bool:
        """Write a claim, unless it is too large to be kept."""
        data = msgspec.msgpack.encode(record)
        if len(data) > MAX_CLAIM_RECORD_BYTES:
            return False
        self.records[key] = data
        return True

    def index_claim(self, key: str, record: ClaimRecord) -> None:
        """Count a claim, and note when it is forgotten."""
        self.counts[record.customer] += 1
        self.expiring.setdefault(expiry_bucket(record), []).append(key)

    def forget_expired(self, at: float) -> None:
        """Forget claims whose retention is over."""
        present = int(at // EXPIRY_BUCKET_SECONDS)
        for bucket in [entry for entry in self.expiring if entry <= present]:
            for key in self.expiring.pop(bucket):
                self.forget_or_keep(key, present)

    def forget_or_keep(self, key: str, present: int) -> None:
        """Forget a claim, unless it was taken over and so lives longer.

        Forgotten with its first deadline, a resend would run beside the new holder.
        """
        bucket = expiry_bucket(self.find(key))
        if bucket > present:
            self.expiring.setdefault(bucket, []).append(key)
        else:
            self.forget(key)

    def forget(self, key: str) -> None:
        """Forget one claim."""
        record = RECORD_DECODER.decode(self.records.pop(key))
        self.answers.drop(key)
        self.counts[record.customer] -= 1
        if not self.counts[record.customer]:
            del self.counts[record.customer]

    def restore(self, records: dict[str, bytes], answers: dict[str, bytes]) -> None:
        """Take over the claims and answers of a snapshot."""
        self.records = records
        for key, data in records.items():
            self.index_claim(key, RECORD_DECODER.decode(data))
        self.answers.restore(answers)
