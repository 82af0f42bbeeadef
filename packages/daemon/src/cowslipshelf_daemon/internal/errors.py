"""Define the errors of the daemon."""


class StartError(Exception):
    """Report the step at which a daemon could not start."""

    def __init__(self, step: str, detail: str) -> None:
        super().__init__(f"{step}: {detail}")
        self.step = step
        self.detail = detail
