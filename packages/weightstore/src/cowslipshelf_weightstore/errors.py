"""Define the errors of calls to the weight store."""


class WeightStoreLostError(Exception):
    """Report a timeout, a lost connection or an unreachable weight store."""

    def __init__(self, step: str, peer: str, detail: str) -> None:
        super().__init__(f"{step} at {peer}: {detail}")
        self.step = step
        self.peer = peer
        self.detail = detail
