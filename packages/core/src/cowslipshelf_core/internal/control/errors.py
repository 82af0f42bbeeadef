"""Define the errors of the replicated control state."""


class ControlError(Exception):
    """Be an error of the control state, with the step at which it arose."""

    def __init__(self, step: str, detail: str) -> None:
        super().__init__(f"{step}: {detail}")
        self.step = step
        self.detail = detail


class ControlCodecError(ControlError):
    """Say that bytes from the log, the wire or a snapshot can't be decoded."""


class AppliedOutOfOrderError(ControlError):
    """Say that a log entry came again; applying it would fork the state."""
