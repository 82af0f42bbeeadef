"""Define the errors of communication between the processes of the system."""

from typing import NamedTuple


class FleetError(Exception):
    """Report an error together with the step and the peer at which it occurred."""

    def __init__(self, step: str, peer: str, detail: str) -> None:
        super().__init__(f"{step} at {peer}: {detail}")
        self.step = step
        self.peer = peer
        self.detail = detail


class StreamLostError(FleetError):
    """Report that a stream ended, or timed out, before its last frame."""


class FrameError(ValueError):
    """Report that bytes can't be decoded as stream frames."""


class FrameOrderError(ValueError):
    """Report that a writer appended a frame out of order."""


class HandOverFailed(NamedTuple):
    """Report that a hand-over got no answer, and whether it may have arrived."""

    may_have_arrived: bool
    """False only if no connection was established, so that no byte was sent."""
    step: str
    peer: str
    detail: str
