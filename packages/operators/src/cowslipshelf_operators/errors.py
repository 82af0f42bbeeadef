"""Define the errors of the operators' interface, of its server and its client."""

from http import HTTPStatus


class OperatorsError(Exception):
    """Carry the step and the peer at which an error occurred."""

    def __init__(self, step: str, peer: str, detail: str) -> None:
        super().__init__(f"{step} ({peer}): {detail}")
        self.step = step
        self.peer = peer
        self.detail = detail


class HandlerError(OperatorsError):
    """Report why a handler cannot answer; the server sends it to the operator."""

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
    """Report what is wrong with an operator's request."""

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
    """Report that no address answered, or that an answer could not be decoded."""


class HttpStatusError(ClientError):
    """Report that the server answered with an error."""

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
