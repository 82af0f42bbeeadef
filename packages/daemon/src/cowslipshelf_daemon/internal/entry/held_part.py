"""Hold one part of a spread prompt at its sidecar."""

from collections.abc import Callable, Iterator
from threading import Thread

from cowslipshelf_core.errors import Refusal, RefusalCode, RefusalReason
from cowslipshelf_core.messages import (
    AttemptRefused,
    AttemptReserved,
    Frame,
    PartPrefilled,
    StreamEnd,
)
from cowslipshelf_core.prompt_parts import KvReference
from cowslipshelf_core.upstream import HandOver
from cowslipshelf_fleet import (
    AttemptsClient,
    AttemptStream,
    HandOverFailed,
    StreamLostError,
)

STEP = "spread"
MOST_BEGINS = 3


class PartLostError(Exception):
    """Tell that a part can't be had, and what may be claimed about it."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.detail)
        self.refusal = refusal


class HeldPart:
    """Be one hand-over of a spread prompt, accepted by its sidecar."""

    def __init__(
        self, address: str, hand_over: HandOver, client: AttemptsClient
    ) -> None:
        self.address = address
        self.hand_over = hand_over
        self.client = client
        self.stream: AttemptStream | None = None
        self.frames: Iterator[Frame] = iter(())
        self.lost = ""
        """Why the part was lost after it was prefilled; empty while it is held."""

    def __iter__(self) -> Iterator[Frame]:
        return self.frames

    def ask(self) -> AttemptRefused | HandOverFailed | None:
        """Hand the part over, once; None where the sidecar took it."""
        answer = self.client.hand_over(self.address, self.hand_over)
        if isinstance(answer, AttemptRefused | HandOverFailed):
            return answer
        self.stream = answer
        self.frames = iter(answer)
        return None

    def wait_reserved(self, check: Callable[[], None]) -> None:
        """Wait until memory is reserved; `check` raises where that takes too long."""
        self.wait_for(AttemptReserved, check)

    def wait_prefilled(self, check: Callable[[], None]) -> KvReference:
        """Wait until the part is prefilled and return where it is."""
        return self.wait_for(PartPrefilled, check).part

    def wait_for(
        self,
        kind: type[AttemptReserved] | type[PartPrefilled],
        check: Callable[[], None],
    ) -> AttemptReserved | PartPrefilled:
        """Read frames up to the one of a kind; heartbeats let `check` look."""
        try:
            for frame in self.frames:
                if isinstance(frame, kind):
                    return frame
                if isinstance(frame, StreamEnd):
                    raise PartLostError(frame.refusal or self.loss("ended early"))
                check()
        except StreamLostError as error:
            raise PartLostError(self.loss(str(error))) from error
        raise PartLostError(self.loss("ended early"))

    def begin(self, parts: tuple[KvReference, ...]) -> bool:
        """Let the part begin; repeated where the answer is lost, which does no harm."""
        attempt_id = self.hand_over.attempt_id
        return any(
            self.client.begin(self.address, attempt_id, parts)
            for _ in range(MOST_BEGINS)
        )

    def watch(self) -> None:
        """Notice on a thread of its own when a prefilled part is lost."""
        name = f"part-{self.hand_over.attempt_id}"
        Thread(target=self.read_on, name=name, daemon=True).start()

    def read_on(self) -> None:
        """Read to the end, which comes only where the part is given up."""
        try:
            for frame in self.frames:
                if isinstance(frame, StreamEnd):
                    break
            self.lost = f"{self.hand_over.upstream_id} gave its part up"
        except StreamLostError as error:
            self.lost = str(error)

    def close(self) -> None:
        """Give up the connection; the part itself is ended by a cancel."""
        if self.stream is not None:
            self.stream.close()

    def loss(self, detail: str) -> Refusal:
        """Describe a part that was lost."""
        return Refusal(
            RefusalCode.NOT_RUN,
            RefusalReason.UPSTREAM_FAILED,
            STEP,
            self.hand_over.upstream_id,
            detail,
        )
