"""Define the errors of the links between the system's own processes."""

from typing import NamedTuple


class FleetError(Exception):
    """Be an error that names the step and the peer at which it arose."""

    def __init__(self, step: str, peer: str, detail: str) -> None:
        super().__init__(f"{step} at {peer}: {detail}")
        self.step = step
        self.peer = peer
        self.detail = detail


class StreamLostError(FleetError):
    """Tell that a stream ended, or fell silent, before its last frame."""


class FrameError(ValueError):
    """Tell that bytes are not the frames of a stream."""


class FrameOrderError(ValueError):
    """Tell that a writer broke the order of a stream's frames."""


class HandOverFailed(NamedTuple):
    """Tell that a hand-over got no answer, and whether it may have arrived."""

    may_have_arrived: bool
    """False only if no connection could be made, so no byte was sent."""
    step: str
    peer: str
    detail: str
