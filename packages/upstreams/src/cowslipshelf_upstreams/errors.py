"""Define what can go wrong between a sidecar and its upstream."""


class UpstreamLostError(Exception):
    """Report an upstream that was silent, cut a connection or broke its protocol."""

    def __init__(
        self, step: str, peer: str, detail: str, may_have_arrived: bool = True
    ) -> None:
        super().__init__(f"{step} at {peer}: {detail}")
        self.step = step
        self.peer = peer
        self.detail = detail
        self.may_have_arrived = may_have_arrived
        """False only where no byte of the request can have reached the upstream."""


class UpstreamFailedError(UpstreamLostError):
    """Report an upstream that said itself, in the stream, that it failed."""


class UpstreamRefusedError(Exception):
    """Report an upstream that answered a control request with an error status."""

    def __init__(self, step: str, peer: str, status: int, detail: str) -> None:
        super().__init__(f"{step} at {peer}: status {status}: {detail}")
        self.step = step
        self.peer = peer
        self.status = status
        self.detail = detail
