"""Define what can go wrong between a sidecar and its upstream."""


class UpstreamError(Exception):
    """Report what went wrong, with the step and the peer at which it arose."""

    def __init__(self, step: str, peer: str, detail: str) -> None:
        super().__init__(f"{step} at {peer}: {detail}")
        self.step = step
        self.peer = peer
        self.detail = detail


class UpstreamLostError(UpstreamError):
    """Report an upstream that was silent, cut a connection or broke its protocol."""

    def __init__(
        self, step: str, peer: str, detail: str, may_have_arrived: bool = True
    ) -> None:
        super().__init__(step, peer, detail)
        self.may_have_arrived = may_have_arrived
        """False only where no byte of the request can have reached the upstream."""


class UpstreamFailedError(UpstreamLostError):
    """Report an upstream that said itself, in the stream, that it failed."""


class UpstreamRefusedError(UpstreamError):
    """Report an upstream that answered a control request with an error status."""

    def __init__(self, step: str, peer: str, status: int, detail: str) -> None:
        super().__init__(step, peer, f"status {status}: {detail}")
        self.status = status
