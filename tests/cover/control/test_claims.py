"""Check that the request of a key runs at most once, over arbitrary histories."""

from dataclasses import dataclass, field

import msgspec
from hypothesis import strategies as st
from hypothesis.stateful import rule

from common.control import MACHINE_SETTINGS, ReplicasMachine
from cowslipshelf_core.control import ControlState
from cowslipshelf_core.errors import Refusal, RefusalCode, RefusalReason
from cowslipshelf_core.internal.control.limits import (
    CLAIM_GRACE_SECONDS,
    CLAIM_RETENTION_SECONDS,
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

CLAIM_DEADLINE = 20.0
KEYS = st.just("key")
REQUESTS = st.sampled_from(["request-1", "request-2"])
ATTEMPTS = st.sampled_from([f"attempt-{number}" for number in range(3)])


@dataclass
class ExpectedClaim:
    """Hold what callers may rely on about one key."""

    request_id: str
    digest: str
    deadline_at: float
    attempts: list[str] = field(default_factory=list)
    ended_with: ClaimHeld | None = None

    def never_ran(self) -> bool:
        """Return whether it ended with the guarantee that it never ran."""
        refusal = self.ended_with.refusal if self.ended_with else None
        return refusal is not None and refusal.code is RefusalCode.NOT_RUN


class ClaimMachine(ReplicasMachine):
    """Claim, move and finish by holders and others, in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.claims: dict[str, ExpectedClaim] = {}
        self.last_move: ClaimMoved | None = None
        self.ever_claimed = False

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
                self.claims[key] = ExpectedClaim(
                    request, digest, deadline_at, [granted]
                )
                self.ever_claimed = True
            case ClaimGranted(attempt_id=granted):
                assert self.now() <= claim.deadline_at + CLAIM_GRACE_SECONDS
                assert (granted, claim.ended_with) == (claim.attempts[-1], None)
                assert (attempt, request) == (granted, claim.request_id)
            case ClaimHeld() if claim is not None:
                assert digest == claim.digest
                self.check_held(outcome, claim)
            case ClaimRefused(reason=reason) if claim is not None:
                assert (reason == "key_reused") == (digest != claim.digest)

    @rule(key=KEYS, digest=st.sampled_from(["a", "a", "b"]))
    def look_up_claim(self, key: str, digest: str) -> None:
        self.forget_old_claims()
        before = self.state.claims.records.copy()
        outcome = self.apply(ClaimLookedUp("north", key, "request-9", digest))
        assert self.state.claims.records.items() <= before.items()
        claim = self.claims.get(key)
        match outcome:
            case ClaimHeld() if claim is not None:
                assert digest == claim.digest
                self.check_held(outcome, claim)
            case ClaimRefused(reason="key_reused") if claim is not None:
                assert digest != claim.digest
            case ClaimAbsent():
                assert claim is None
            case _:
                # Claims may be retained a little longer than guaranteed.
                assert claim is None and self.ever_claimed

    def check_held(self, held: ClaimHeld, claim: ExpectedClaim) -> None:
        """Check what another request is told about a claim."""
        assert held.request_id == claim.request_id
        assert held.attempt_id == claim.attempts[-1]
        past = self.now() > claim.deadline_at + CLAIM_GRACE_SECONDS
        assert held.deadline_passed == (past and claim.ended_with is None)
        if claim.ended_with is None:
            assert held.answer is None and held.refusal is None
        else:
            assert held == claim.ended_with

    @rule(
        key=KEYS, request=REQUESTS, old=ATTEMPTS, new=ATTEMPTS, as_holder=st.booleans()
    )
    def move_claim(
        self, key: str, request: str, old: str, new: str, as_holder: bool
    ) -> None:
        self.forget_old_claims()
        request, old = self.holder(key, as_holder, request, old)
        self.send_move(
            ClaimMoved("north", key, request, old, new, "u", "e", "o", CLAIM_DEADLINE)
        )

    @rule(by_another=st.booleans())
    def resend_move(self, by_another: bool) -> None:
        if self.last_move is None:
            return
        self.forget_old_claims()
        request = "request-3" if by_another else self.last_move.request_id
        self.send_move(msgspec.structs.replace(self.last_move, request_id=request))

    def send_move(self, moved: ClaimMoved) -> None:
        """Move a claim, as its holder or after a "not run" refusal."""
        key, request = moved.key, moved.request_id
        old, new = moved.from_attempt, moved.to_attempt
        outcome = self.apply(moved)
        self.last_move = moved
        claim = self.claims.get(key)
        if claim is None:
            return
        past = self.now() > claim.deadline_at + CLAIM_GRACE_SECONDS
        if not isinstance(outcome, ClaimGranted):
            still_open = claim.ended_with is None or claim.never_ran()
            assert (
                old != claim.attempts[-1]
                or new in claim.attempts
                or (not still_open or (request == claim.request_id and past))
            )
            return
        if claim.attempts[-2:] == [old, new] and request == claim.request_id:
            assert claim.ended_with is None
            return
        assert claim.ended_with is None or claim.never_ran()
        assert old == claim.attempts[-1]
        assert new not in claim.attempts
        if request != claim.request_id:
            new_deadline = self.now() + CLAIM_DEADLINE
            claim.deadline_at = max(claim.deadline_at, new_deadline)
        claim.request_id = request
        claim.attempts.append(new)
        claim.ended_with = None

    @rule(
        key=KEYS,
        request=REQUESTS,
        attempt=ATTEMPTS,
        as_holder=st.booleans(),
        refused=st.sampled_from([None, *RefusalCode]),
    )
    def finish_claim(
        self,
        key: str,
        request: str,
        attempt: str,
        as_holder: bool,
        refused: RefusalCode | None,
    ) -> None:
        self.forget_old_claims()
        request, attempt = self.holder(key, as_holder, request, attempt)
        answer = StoredAnswer(200, (("a", "b"),), attempt.encode(), whole=True)
        refusal = Refusal(
            refused or RefusalCode.FAILED, RefusalReason.CANCELLED, "stream"
        )
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
        self, key: str, as_holder: bool, request: str, attempt: str
    ) -> tuple[str, str]:
        """Return the ids of the holder of the key, or the given ones."""
        claim = self.claims.get(key)
        if not as_holder or claim is None:
            return request, attempt
        return claim.request_id, claim.attempts[-1]

    def forget_old_claims(self) -> None:
        """Drop the expectations about claims whose guaranteed retention has ended."""
        self.claims = {
            key: claim
            for key, claim in self.claims.items()
            if self.now() < claim.deadline_at + CLAIM_RETENTION_SECONDS
        }


TestClaimMachine = ClaimMachine.TestCase
TestClaimMachine.settings = MACHINE_SETTINGS


def test_a_request_cannot_share_the_attempt_of_another() -> None:
    """Two resends find the same failed holder, and both move its key to one attempt.

    Only the first may become the holder. If the move of the second were mistaken for a
    resend, both would hand over the attempt.
    """
    state = ControlState()
    state.apply(ClaimAsked("north", "key", "r1", "a", "u", "e", "o", "d", 10.0), 1, 1.0)
    for index, (request, granted) in enumerate((("r2", True), ("r3", False)), start=2):
        moved = ClaimMoved("north", "key", request, "a", "b", "u", "e", "o")
        outcome = state.apply(moved, index, 1.0)
        assert isinstance(outcome, ClaimGranted) == granted
