"""Define the errors between the operators' interface and its two ends."""

from http import HTTPStatus


class OperatorsError(Exception):
    """Be an error with the step and the peer at which it arose."""

    def __init__(self, step: str, peer: str, detail: str) -> None:
        super().__init__(f"{step} ({peer}): {detail}")
        self.step = step
        self.peer = peer
        self.detail = detail


class HandlerError(OperatorsError):
    """Say why a handler cannot answer; the server passes it on to the operator."""

    def __init__(
        self,
        step: str,
        peer: str,
        detail: str,
        *,
        status: HTTPStatus = HTTPStatus.SERVICE_UNAVAILABLE,
        code: str = "unavailable",
        retry_after_seconds: float | None = None,
    ) -> None:
        super().__init__(step, peer, detail)
        self.status = status
        self.code = code
        self.retry_after_seconds = retry_after_seconds


class RequestError(HandlerError):
    """Say what is wrong with an operator's request."""

    def __init__(
        self,
        step: str,
        detail: str,
        *,
        status: HTTPStatus = HTTPStatus.BAD_REQUEST,
        code: str = "bad_request",
    ) -> None:
        super().__init__(step, "operator", detail, status=status, code=code)


class ClientError(OperatorsError):
    """Say why the client has no answer: no address answered, or not in our format."""


class HttpStatusError(ClientError):
    """Say that the server answered with an error."""

    def __init__(
        self,
        step: str,
        peer: str,
        detail: str,
        *,
        status: int,
        code: str,
        retry_after_seconds: float | None = None,
    ) -> None:
        super().__init__(step, peer, detail)
        self.status = status
        self.code = code
        self.retry_after_seconds = retry_after_seconds
