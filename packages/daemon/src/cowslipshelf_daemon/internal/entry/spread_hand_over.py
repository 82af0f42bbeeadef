"""Hand one prompt over to several sidecars: reserve all, prefill in order, generate.

Every entry asks for parts in the one order of upstream ids and asks for the next only
when the one before is reserved. Whoever waits therefore waits for an upstream behind
all that it holds, so no two prompts can wait for each other.
"""

import random
import time
from collections.abc import Callable
from typing import NamedTuple

from cowslipshelf_core.chosen_upstream import ChosenUpstream
from cowslipshelf_core.errors import Refusal, RefusalCode, RefusalReason
from cowslipshelf_core.identifiers import AttemptId
from cowslipshelf_core.messages import AttemptRefused, MayHaveRun, NeverRan
from cowslipshelf_core.prompt_parts import KvReference, PartPlace
from cowslipshelf_core.upstream import HandOver, LoadReport
from cowslipshelf_daemon.internal.entry.cancel_desk import CancelDesk
from cowslipshelf_daemon.internal.entry.held_part import (
    STEP,
    HeldPart,
    PartLostError,
)
from cowslipshelf_fleet import AttemptsClient, HandOverFailed

RESERVE_SHARE = 0.5
"""Part of the time left that may pass until all memory is reserved."""
BACKOFF_SECONDS = 0.05
BACKOFF_CAP_SECONDS = 2.0
REASONS_THAT_PASS = frozenset(
    {RefusalReason.BUSY, RefusalReason.OVERLOADED, RefusalReason.NOT_READY}
)
"""Refusals of a part that may be otherwise a moment later."""


class SpreadServices(NamedTuple):
    """Be what the hand-over of a spread prompt uses."""

    attempts: AttemptsClient
    cancels: CancelDesk
    new_attempt_id: Callable[[], AttemptId]
    note: Callable[[str], None]
    still_wanted: Callable[[], bool]
    """Whether the caller still waits and its deadline has not passed."""


class SpreadHandOver:
    """Own the parts of one attempt; used on the thread of its request.

    Only the last part generates anything: until it begins the request has not run, and
    what ends before that is refused as "not run" on the word of its sidecar.
    """

    def __init__(
        self, chosen: ChosenUpstream, hand_over: HandOver, services: SpreadServices
    ) -> None:
        self.chosen = chosen
        self.hand_over = hand_over
        self.services = services
        self.helpers: list[HeldPart] = []
        now = time.monotonic()
        self.deadline_at = now + hand_over.deadline_seconds
        self.reserve_until = now + hand_over.deadline_seconds * RESERVE_SHARE

    def run(self) -> HeldPart | AttemptRefused | HandOverFailed:
        """Return the last part, which generates, or why there is none."""
        try:
            self.reserve_helpers_or_retry()
        except PartLostError as error:
            # The last part was not handed over, so no engine can generate.
            self.release()
            return refused(error.refusal)
        last = HeldPart(
            self.chosen.attempts_address,
            self.hand_over._replace(deadline_seconds=self.seconds_left()),
            self.services.attempts,
        )
        failure = last.ask()
        if failure is not None:
            self.release()
            return failure
        return self.run_accepted(last)

    def run_accepted(
        self, last: HeldPart
    ) -> HeldPart | AttemptRefused | HandOverFailed:
        """Prefill all parts once the last one's memory is reserved as well."""
        try:
            last.wait_reserved(self.check_reserving)
            self.services.note("memory is reserved for all parts")
            parts = self.prefill_helpers()
        except PartLostError as error:
            last.close()
            self.release()
            return self.give_up(last, error.refusal)
        for helper in self.helpers:
            helper.watch()
        if not last.begin(parts):
            last.close()
            self.release()
            return self.give_up(last, last.loss("could not be told to begin"))
        return last

    def give_up(
        self, last: HeldPart, refusal: Refusal
    ) -> AttemptRefused | HandOverFailed:
        """Have the last part promised never to run; without that claim nothing."""
        last_id = last.hand_over.attempt_id
        answer = self.services.attempts.revoke(
            last.address,
            last_id,
            last.hand_over.sidecar_epoch,
            last.hand_over.load_sequence,
        )
        match answer:
            case NeverRan(attempt_id) if attempt_id == last_id:
                return refused(refusal)
            case NeverRan() | MayHaveRun() | None:
                return HandOverFailed(True, STEP, last.address, refusal.detail)

    # Memory, all or nothing.

    def reserve_helpers_or_retry(self) -> None:
        """Reserve every helper's memory, and again after what passes."""
        tries = 0
        while True:
            try:
                self.reserve_helpers()
                return
            except PartLostError as error:
                self.release()
                passing = error.refusal.reason in REASONS_THAT_PASS
                if not passing or time.monotonic() >= self.reserve_until:
                    raise
            step = min(BACKOFF_CAP_SECONDS, BACKOFF_SECONDS * 2.0**tries)
            # Jitter, or prompts that refused each other's place would meet again.
            time.sleep(random.uniform(0.0, step))
            tries += 1

    def reserve_helpers(self) -> None:
        """Reserve in the order of upstream ids, one after the other."""
        for place in self.chosen.helpers:
            helper = HeldPart(
                place.attempts_address, self.part_of(place), self.services.attempts
            )
            # It is to be cancelled whatever comes: an answer may be lost.
            self.helpers.append(helper)
            match helper.ask():
                case AttemptRefused(refusal):
                    raise PartLostError(refusal._replace(code=RefusalCode.NOT_RUN))
                case HandOverFailed(detail=detail):
                    raise PartLostError(helper.loss(detail))
            helper.wait_reserved(self.check_reserving)

    def part_of(self, place: PartPlace) -> HandOver:
        """Address a part to a helper; it only prefills, so it may be repeated."""
        return self.hand_over._replace(
            attempt_id=self.services.new_attempt_id(),
            upstream_id=place.upstream_id,
            sidecar_epoch=place.epoch,
            load_sequence=place.load_sequence,
            from_token=place.from_token,
            to_token=place.to_token,
            non_idempotent=False,
            delivered_tokens=0,
            deadline_seconds=self.seconds_left(),
        )

    def check_reserving(self) -> None:
        """Raise where memory is awaited for too long, or for nobody."""
        self.check_wanted()
        if time.monotonic() >= self.reserve_until:
            detail = f"no memory for {len(self.chosen.helpers) + 1} parts in time"
            raise PartLostError(self.refusal(RefusalReason.BUSY, detail))

    def check_wanted(self) -> None:
        """Raise where nobody waits for the answer any more."""
        if not self.services.still_wanted():
            detail = "the caller went away or its deadline passed"
            raise PartLostError(self.refusal(RefusalReason.CANCELLED, detail))

    # Prefill, in token order.

    def prefill_helpers(self) -> tuple[KvReference, ...]:
        """Prefill each part with what those before it hold."""
        parts: tuple[KvReference, ...] = ()
        for helper in self.helpers:
            if not helper.begin(parts):
                raise PartLostError(helper.loss("could not be told to begin"))
            parts = (*parts, helper.wait_prefilled(self.check_wanted))
            self.services.note(f"{helper.hand_over.upstream_id} prefilled its part")
        return parts

    # The end.

    def lost_part(self) -> str:
        """Tell which helper was lost while the last part generates; empty for none."""
        return next((helper.lost for helper in self.helpers if helper.lost), "")

    def release(self) -> None:
        """Cancel every helper; a lost cancel is made good by lease or deadline."""
        for helper in self.helpers:
            self.services.cancels.send(helper.address, helper.hand_over.attempt_id)
            helper.close()
        self.helpers = []

    def seconds_left(self) -> float:
        """Return the time left of the caller's deadline, in seconds."""
        return self.deadline_at - time.monotonic()

    def refusal(self, reason: RefusalReason, detail: str) -> Refusal:
        """Refuse on our own account before the last part began."""
        return Refusal(RefusalCode.NOT_RUN, reason, STEP, detail=detail)


def refused(refusal: Refusal) -> AttemptRefused:
    """Answer as a sidecar that refused; its load is not known here."""
    return AttemptRefused(refusal._replace(code=RefusalCode.NOT_RUN), LoadReport())
