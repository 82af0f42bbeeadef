"""Check that a key's request runs at most once, over arbitrary histories."""

from dataclasses import dataclass, field

from hypothesis import strategies as st
from hypothesis.stateful import rule

from common.control import MACHINE_SETTINGS, ReplicasMachine
from cowslipshelf_core.errors import Refusal, RefusalCode, RefusalReason
from cowslipshelf_core.internal.control.limits import (
    CLAIM_GRACE_SECONDS,
    CLAIM_RETENTION_SECONDS,
)
from cowslipshelf_core.messages import (
    ClaimAsked,
    ClaimFinished,
    ClaimGranted,
    ClaimHeld,
    ClaimMoved,
    ClaimRefused,
    StoredAnswer,
)

CLAIM_DEADLINE = 20.0
KEYS = st.just("key")
REQUESTS = st.sampled_from(["request-1", "request-2"])
ATTEMPTS = st.sampled_from([f"attempt-{number}" for number in range(3)])


@dataclass
class SeenClaim:
    """Be what a caller may rely on about one key."""

    request_id: str
    digest: str
    deadline_at: float
    attempts: list[str] = field(default_factory=list)
    ended_with: ClaimHeld | None = None


class ClaimMachine(ReplicasMachine):
    """Claim, move and finish, by right and wrong holders, in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.claims: dict[str, SeenClaim] = {}

    @rule(
        key=KEYS,
        request=REQUESTS,
        attempt=ATTEMPTS,
        digest=st.sampled_from(["a", "a", "b"]),
    )
    def ask_claim(self, key: str, request: str, attempt: str, digest: str) -> None:
        self.forget_old_claims()
        outcome = self.apply(
            ClaimAsked(
                "north", key, request, attempt, "u", "e", "o", digest, CLAIM_DEADLINE
            )
        )
        claim = self.claims.get(key)
        match outcome:
            case ClaimGranted(attempt_id=granted) if claim is None:
                deadline_at = self.now() + CLAIM_DEADLINE
                self.claims[key] = SeenClaim(request, digest, deadline_at, [granted])
            case ClaimGranted(attempt_id=granted):
                assert self.now() <= claim.deadline_at + CLAIM_GRACE_SECONDS
                assert (granted, claim.ended_with) == (claim.attempts[-1], None)
                assert (attempt, request) == (granted, claim.request_id)
            case ClaimHeld() if claim is not None:
                assert digest == claim.digest
                self.check_held(outcome, claim)
            case ClaimRefused(reason=reason) if claim is not None:
                assert (reason == "key_reused") == (digest != claim.digest)

    def check_held(self, held: ClaimHeld, claim: SeenClaim) -> None:
        """Check what somebody else is told of a claim."""
        assert held.request_id == claim.request_id
        assert held.attempt_id == claim.attempts[-1]
        past = self.now() > claim.deadline_at + CLAIM_GRACE_SECONDS
        assert held.deadline_passed == (past and claim.ended_with is None)
        if claim.ended_with is None:
            assert held.answer is None and held.refusal is None
        else:
            assert held == claim.ended_with

    @rule(key=KEYS, request=REQUESTS, old=ATTEMPTS, new=ATTEMPTS, rightly=st.booleans())
    def move_claim(
        self, key: str, request: str, old: str, new: str, rightly: bool
    ) -> None:
        self.forget_old_claims()
        request, old = self.holder(key, rightly, request, old)
        outcome = self.apply(ClaimMoved("north", key, request, old, new, "u", "e", "o"))
        claim = self.claims.get(key)
        if isinstance(outcome, ClaimGranted) and claim is not None:
            assert claim.ended_with is None
            assert request == claim.request_id
            if claim.attempts[-2:] == [old, new]:
                return
            assert old == claim.attempts[-1]
            assert new not in claim.attempts
            claim.attempts.append(new)

    @rule(
        key=KEYS,
        request=REQUESTS,
        attempt=ATTEMPTS,
        rightly=st.booleans(),
        refused=st.booleans(),
    )
    def finish_claim(
        self, key: str, request: str, attempt: str, rightly: bool, refused: bool
    ) -> None:
        self.forget_old_claims()
        request, attempt = self.holder(key, rightly, request, attempt)
        answer = StoredAnswer(200, (("a", "b"),), attempt.encode(), whole=True)
        refusal = Refusal(RefusalCode.FAILED, RefusalReason.CANCELLED, "stream")
        outcome = self.apply(
            ClaimFinished(
                "north",
                key,
                request,
                attempt,
                None if refused else answer,
                refusal if refused else None,
            )
        )
        claim = self.claims.get(key)
        if claim is None:
            return
        is_open = (request, attempt) == (claim.request_id, claim.attempts[-1])
        assert isinstance(outcome, ClaimHeld) == is_open
        if is_open and claim.ended_with is None:
            claim.ended_with = outcome
            stored = (None, refusal) if refused else (answer, None)
            assert (outcome.answer, outcome.refusal) == stored
        elif is_open:
            assert outcome == claim.ended_with

    def holder(
        self, key: str, rightly: bool, request: str, attempt: str
    ) -> tuple[str, str]:
        """Give the ids of the key's holder, or arbitrary ones."""
        claim = self.claims.get(key)
        if not rightly or claim is None:
            return request, attempt
        return claim.request_id, claim.attempts[-1]

    def forget_old_claims(self) -> None:
        """Expect nothing of claims whose promised retention is over."""
        self.claims = {
            key: claim
            for key, claim in self.claims.items()
            if self.now() < claim.deadline_at + CLAIM_RETENTION_SECONDS
        }


TestClaimMachine = ClaimMachine.TestCase
TestClaimMachine.settings = MACHINE_SETTINGS
