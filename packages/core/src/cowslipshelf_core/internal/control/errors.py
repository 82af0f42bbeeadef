"""Define the errors of the replicated control state."""


class ControlError(Exception):
    """Report an error of the control state, and the step that failed."""

    def __init__(self, step: str, detail: str) -> None:
        super().__init__(f"{step}: {detail}")
        self.step = step
        self.detail = detail


class ControlCodecError(ControlError):
    """Report that bytes from the log, the network or a snapshot can't be decoded."""


class AppliedOutOfOrderError(ControlError):
    """Report a log entry that was applied before; replicas would diverge on it."""
