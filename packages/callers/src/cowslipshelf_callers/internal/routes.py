"""Parse a request line, headers and a body into a call."""

import re
from collections.abc import Callable, Mapping
from hashlib import blake2b
from typing import NamedTuple

from cowslipshelf_callers.errors import BadCallError
from cowslipshelf_callers.internal.answer_writer import EVENT_STREAM, HOP_BY_HOP
from cowslipshelf_callers.internal.call import CallerCall
from cowslipshelf_callers.internal.model_call import (
    ModelCallFacts,
    parse_chat,
    parse_completion,
)
from cowslipshelf_core.errors import Refusal, RefusalCode, RefusalReason
from cowslipshelf_core.identifiers import ModelName, RequestId, ServiceName

MODELS_PATH = "/v1/models"
DIGEST_BYTES = 16
MAX_KEY_LENGTH = 255
MAX_DEADLINE_SECONDS = 3_600.0
BEARER = "bearer "

BODY_PARSERS: dict[str, Callable[[bytes], ModelCallFacts]] = {
    "/v1/chat/completions": parse_chat,
    "/v1/completions": parse_completion,
}
SERVICE_PATH = re.compile(r"/services/([A-Za-z0-9][A-Za-z0-9._-]{0,127})(/[^?]*)?")
SERVICE_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,127}")
DOT_SEGMENTS = frozenset({".", "..", "%2e", "%2e%2e", ".%2e", "%2e."})

NOT_FORWARDED_HEADERS = HOP_BY_HOP | {
    "authorization",
    "host",
    "expect",
    "x-service",
    "x-deadline-seconds",
}


class RequestLine(NamedTuple):
    """Hold the request line and the headers, before the body is read."""

    method: str
    path: str
    query: str
    headers: Mapping[str, str]
    """Names in lower case."""
    peer: str


def bad_request(detail: str) -> BadCallError:
    """Return the error for a malformed call."""
    return BadCallError(
        Refusal(RefusalCode.NOT_RUN, RefusalReason.BAD_REQUEST, "parse", detail=detail)
    )


def customer_key_of(headers: Mapping[str, str]) -> str:
    """Return the customer's key from the Authorization header."""
    value = headers.get("authorization", "")
    key = value[len(BEARER) :].strip()
    if not value.lower().startswith(BEARER) or not key:
        detail = "send the key as 'Authorization: Bearer KEY'"
        raise BadCallError(
            Refusal(RefusalCode.NOT_RUN, RefusalReason.BAD_KEY, "parse", detail=detail)
        )
    return key


class Route(NamedTuple):
    """Hold the service, the path and the body parser that a path leads to."""

    service: ServiceName | None
    path: str
    body_parser: Callable[[bytes], ModelCallFacts] | None
    """Parses the body of a model call; None for a plain service."""


def find_route(line: RequestLine) -> Route:
    """Find the route for a path and method, or refuse the call."""
    body_parser = BODY_PARSERS.get(line.path)
    if body_parser is not None:
        _require_post(line)
        return Route(_named_service(line), line.path, body_parser)
    match = SERVICE_PATH.fullmatch(line.path)
    if match is None:
        detail = f"no such path: {line.path[:200]}"
        raise BadCallError(
            Refusal(
                RefusalCode.NOT_RUN,
                RefusalReason.UNKNOWN_SERVICE,
                "parse",
                detail=detail,
            )
        )
    path = match[2] or "/"
    if any(part.lower() in DOT_SEGMENTS for part in path.split("/")):
        raise bad_request("a path must not have '.' or '..' segments")
    body_parser = BODY_PARSERS.get(path) if line.method == "POST" else None
    return Route(ServiceName(match[1]), path, body_parser)


def _require_post(line: RequestLine) -> None:
    if line.method != "POST":
        raise bad_request(f"{line.path} takes POST, not {line.method}")


def _named_service(line: RequestLine) -> ServiceName | None:
    name = line.headers.get("x-service")
    if name is None:
        return None
    if SERVICE_NAME.fullmatch(name) is None:
        raise bad_request("X-Service is not the name of a service")
    return ServiceName(name)


def deadline_of(headers: Mapping[str, str]) -> float | None:
    """Return the caller's deadline in seconds from now, or None without one."""
    text = headers.get("x-deadline-seconds")
    if text is None:
        return None
    try:
        seconds = float(text)
    except ValueError:
        seconds = 0.0
    if not 0.0 < seconds <= MAX_DEADLINE_SECONDS:
        raise bad_request(
            f"X-Deadline-Seconds must be above 0 and at most {MAX_DEADLINE_SECONDS:g}"
        )
    return seconds


def idempotency_key_of(headers: Mapping[str, str]) -> str | None:
    """Return the idempotency key, which makes resending safe, or None without one.

    An empty key is refused: the caller would rely on a protection that it lacks.
    """
    key = headers.get("idempotency-key")
    if key is None:
        return None
    if not 0 < len(key) <= MAX_KEY_LENGTH or not key.isprintable():
        raise bad_request(
            f"Idempotency-Key must have 1 to {MAX_KEY_LENGTH} printable characters"
        )
    return key


def make_call(
    line: RequestLine, route: Route, request_id: RequestId, body: bytes
) -> CallerCall:
    """Build the call from its parsed parts."""
    facts = _facts_of(line, route, body)
    path = f"{route.path}?{line.query}" if line.query else route.path
    return CallerCall(
        request_id=request_id,
        customer_key=customer_key_of(line.headers),
        service=route.service,
        kind="plain" if route.body_parser is None else "model",
        model=facts.model,
        method=line.method,
        path=path,
        headers=_forwarded_headers(line.headers),
        body=body,
        body_digest=_call_digest(line.method, route.service or "", path, body),
        streamed=facts.streamed,
        prompt_tokens=facts.prompt_tokens,
        max_output_tokens=facts.max_output_tokens,
        prefix_hash=facts.prefix_hash,
        idempotency_key=idempotency_key_of(line.headers),
        deadline_seconds=deadline_of(line.headers),
        peer=line.peer,
        shared_parts=facts.shared_parts,
    )


def _facts_of(line: RequestLine, route: Route, body: bytes) -> ModelCallFacts:
    if route.body_parser is not None:
        return route.body_parser(body)
    streamed = EVENT_STREAM in line.headers.get("accept", "")
    return ModelCallFacts(ModelName(""), streamed, 0, 0, 0)


def _forwarded_headers(headers: Mapping[str, str]) -> tuple[tuple[str, str], ...]:
    named = {part.strip().lower() for part in headers.get("connection", "").split(",")}
    return tuple(
        (name, value)
        for name, value in headers.items()
        if name not in NOT_FORWARDED_HEADERS and name not in named
    )


def _call_digest(method: str, service: str, path: str, body: bytes) -> str:
    """Return a digest of the call; includes the service, as two may share a path."""
    digest = blake2b(f"{method} {service} {path}\n".encode(), digest_size=DIGEST_BYTES)
    digest.update(body)
    return digest.hexdigest()
