"""Define the errors of calls to an upstream."""


class UpstreamError(Exception):
    """Report an error with the step and the peer at which it occurred."""

    def __init__(self, step: str, peer: str, detail: str) -> None:
        super().__init__(f"{step} at {peer}: {detail}")
        self.step = step
        self.peer = peer
        self.detail = detail


class UpstreamLostError(UpstreamError):
    """Report a timeout, a lost connection or a violation of the protocol."""

    def __init__(
        self, step: str, peer: str, detail: str, may_have_arrived: bool = True
    ) -> None:
        super().__init__(step, peer, detail)
        self.may_have_arrived = may_have_arrived
        """False only if no byte of the request can have reached the upstream."""


class UpstreamFailedError(UpstreamLostError):
    """Report an error that the upstream itself sent in the stream."""


class UpstreamRefusedError(UpstreamError):
    """Report an error status in the answer to a control request."""

    def __init__(self, step: str, peer: str, status: int, detail: str) -> None:
        super().__init__(step, peer, f"status {status}: {detail}")
        self.status = status
