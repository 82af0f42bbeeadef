"""Define what can go wrong towards the weight store."""


class WeightStoreLostError(Exception):
    """Report a weight store that was silent, cut a connection or can't be reached."""

    def __init__(self, step: str, peer: str, detail: str) -> None:
        super().__init__(f"{step} at {peer}: {detail}")
        self.step = step
        self.peer = peer
        self.detail = detail
