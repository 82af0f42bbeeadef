"""Define the errors that arise towards callers."""

from cowslipshelf_core.errors import Refusal


class CallerGoneError(Exception):
    """Say that a caller closed its connection, or stopped reading its answer."""

    def __init__(self, step: str, peer: str, detail: str) -> None:
        super().__init__(f"{step}: caller {peer}: {detail}")
        self.step = step
        self.peer = peer
        self.detail = detail


class BadCallError(Exception):
    """Say what is wrong with a call, as the refusal that its caller gets."""

    def __init__(self, refusal: Refusal, status: int | None = None) -> None:
        super().__init__(f"{refusal.step}: {refusal.detail}")
        self.refusal = refusal
        self.status = status
        """HTTP status where the refusal's reason does not give it."""
