"""Perform the effects of a `SpreadMachine`, on the thread of its request."""

import random
import time
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from cowslipshelf_core.chosen_upstream import ChosenUpstream
from cowslipshelf_core.identifiers import AttemptId
from cowslipshelf_core.messages import AttemptRefused, NeverRan
from cowslipshelf_core.spread import (
    BackOff,
    BackoffElapsed,
    BeginAnswered,
    BeginPart,
    CancelPart,
    HandOverPart,
    LastRevoked,
    NoLongerWanted,
    PartRefused,
    PartUnanswered,
    RevokeLast,
    SpreadBegun,
    SpreadConfig,
    SpreadEffect,
    SpreadEvent,
    SpreadMachine,
    SpreadRefused,
    SpreadResult,
    SpreadStarted,
    SpreadUncertain,
    TimePassed,
)
from cowslipshelf_core.upstream import HandOver
from cowslipshelf_daemon.internal.entry.cancel_sender import CancelSender
from cowslipshelf_daemon.internal.entry.part_stream import PartStream
from cowslipshelf_fleet.attempts import AttemptsClient, HandOverFailed

STEP = "spread"
MAX_BEGIN_SENDS = 3
"""Times that a begin message is sent if its answer is lost; resending is safe."""


class SpreadServices(NamedTuple):
    """Hold the dependencies of a spread hand-over."""

    attempts: AttemptsClient
    cancels: CancelSender
    note: Callable[[str], None]
    still_wanted: Callable[[], bool]
    """Tells whether the caller still waits and its deadline has not passed."""


class SpreadHandOver:
    """Hand over the parts of one attempt, and own their streams."""

    def __init__(
        self, chosen: ChosenUpstream, hand_over: HandOver, services: SpreadServices
    ) -> None:
        self.machine = SpreadMachine.from_config(
            chosen, hand_over, SpreadConfig(), time.monotonic()
        )
        self.last_address = chosen.attempts_address
        self.last_id = hand_over.attempt_id
        self.random = random.Random()
        self.services = services
        self.effects: deque[SpreadEffect] = deque()
        self.parts: dict[AttemptId, PartStream] = {}
        self.reading_part: AttemptId = hand_over.attempt_id
        self.result: SpreadResult | None = None

    def run(self) -> PartStream | AttemptRefused | HandOverFailed:
        """Return the stream of the last part, which generates, or the failure."""
        self.handle(SpreadStarted())
        while self.result is None or self.effects:
            if self.effects:
                self.perform(self.effects.popleft())
            elif not self.services.still_wanted():
                self.handle(NoLongerWanted())
            else:
                self.handle(self.parts[self.reading_part].next_event())
        return self.outcome(self.result)

    def handle(self, event: SpreadEvent) -> None:
        """Pass an event to the state machine and queue its effects."""
        now = time.monotonic()
        self.effects.extend(self.machine.handle(event, now, self.random))

    def perform(self, effect: SpreadEffect) -> None:
        """Perform one effect."""
        match effect:
            case HandOverPart():
                self.hand_over_part(effect)
            case BeginPart():
                self.begin(effect)
            case CancelPart(address, attempt_id):
                self.cancel(address, attempt_id)
            case RevokeLast(address, hand_over):
                self.revoke_last(address, hand_over)
            case BackOff(seconds):
                time.sleep(seconds)
                self.handle(BackoffElapsed())
            case SpreadBegun() | SpreadRefused() | SpreadUncertain():
                self.result = effect

    def hand_over_part(self, effect: HandOverPart) -> None:
        """Hand over a part to its sidecar; it is never sent again."""
        attempt_id = effect.hand_over.attempt_id
        answer = self.services.attempts.hand_over(effect.address, effect.hand_over)
        match answer:
            case AttemptRefused():
                self.handle(PartRefused(attempt_id, answer))
            case HandOverFailed(may_have_arrived, _, _, detail):
                self.handle(PartUnanswered(attempt_id, may_have_arrived, detail))
            case _:
                self.parts[attempt_id] = PartStream(attempt_id, answer)
                self.reading_part = attempt_id
                self.handle(TimePassed())

    def begin(self, effect: BeginPart) -> None:
        """Tell a sidecar to begin its part."""
        self.services.note(f"part {effect.attempt_id} begins")
        self.reading_part = effect.attempt_id
        acknowledged = any(
            self.services.attempts.begin(
                effect.address, effect.attempt_id, effect.parts
            )
            for _ in range(MAX_BEGIN_SENDS)
        )
        self.handle(BeginAnswered(effect.attempt_id, acknowledged))

    def cancel(self, address: str, attempt_id: AttemptId) -> None:
        """Cancel the part of a helper."""
        self.services.cancels.send(address, attempt_id)
        part = self.parts.pop(attempt_id, None)
        if part is not None:
            part.close()

    def revoke_last(self, address: str, hand_over: HandOver) -> None:
        """Ask the last part's sidecar to promise that it never runs."""
        answer = self.services.attempts.revoke(
            address,
            hand_over.attempt_id,
            hand_over.sidecar_epoch,
            hand_over.load_sequence,
        )
        promised = isinstance(answer, NeverRan) and answer.attempt_id == self.last_id
        self.handle(LastRevoked(promised))

    def outcome(
        self, result: SpreadResult
    ) -> PartStream | AttemptRefused | HandOverFailed:
        """Return the result in the form of a hand-over to a single sidecar."""
        if isinstance(result, SpreadBegun):
            for attempt_id, part in self.parts.items():
                if attempt_id != self.last_id:
                    part.watch_for_loss()
            return self.parts[self.last_id]
        last = self.parts.pop(self.last_id, None)
        if last is not None:
            last.close()
        if isinstance(result, SpreadRefused):
            return result.refused
        return HandOverFailed(
            result.may_have_arrived, STEP, self.last_address, result.detail
        )

    def lost_part(self) -> str:
        """Return why a helper's part was lost; empty if none was."""
        return next(
            (part.loss_reason for part in self.parts.values() if part.loss_reason), ""
        )

    def cancel_helpers(self) -> None:
        """Cancel the parts that helpers still hold."""
        for cancel in self.machine.cancel_helpers():
            self.cancel(cancel.address, cancel.attempt_id)
