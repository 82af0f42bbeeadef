"""Define the errors of the interface that callers use."""

from cowslipshelf_core.errors import Refusal


class CallerGoneError(Exception):
    """Report that a caller closed its connection or stopped reading its answer."""

    def __init__(self, step: str, peer: str, detail: str) -> None:
        super().__init__(f"{step}: caller {peer}: {detail}")
        self.step = step
        self.peer = peer
        self.detail = detail


class BadCallError(Exception):
    """Carry the refusal to send for a call that cannot be accepted."""

    def __init__(self, refusal: Refusal, status: int | None = None) -> None:
        super().__init__(f"{refusal.step}: {refusal.detail}")
        self.refusal = refusal
        self.status = status
        """HTTP status, if it is not the one that the refusal's reason gives."""
