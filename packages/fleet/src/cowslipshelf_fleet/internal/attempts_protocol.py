"""Define the HTTP requests of entries about the attempts of a sidecar."""

from dataclasses import dataclass
from typing import NamedTuple
from urllib.parse import parse_qs, quote, unquote, urlsplit

import msgspec

from cowslipshelf_core.identifiers import AttemptId, Epoch
from cowslipshelf_core.messages import (
    AttemptRefused,
    MayHaveRun,
    NeverRan,
    PartsReady,
)
from cowslipshelf_core.upstream import HandOver
from cowslipshelf_fleet.internal.tags import Tagger

TAG_HEADER = "X-Cowslipshelf-Tag"
CONTENT_TYPE = "application/vnd.msgpack"
ATTEMPTS_PATH = "/v1/attempts"
PURPOSE = b"attempts"
MAX_BODY_BYTES = 32 * 1024 * 1024

STATUS_STREAM = 200
STATUS_DONE = 204
STATUS_MALFORMED = 400
STATUS_WRONG_TAG = 403
STATUS_UNKNOWN = 404
STATUS_REFUSED = 409
STATUS_GONE = 410

encoder = msgspec.msgpack.Encoder()
hand_over_decoder = msgspec.msgpack.Decoder(HandOver)
refused_decoder = msgspec.msgpack.Decoder(AttemptRefused)
parts_decoder = msgspec.msgpack.Decoder(PartsReady)
revoked_decoder = msgspec.msgpack.Decoder(NeverRan | MayHaveRun)


class RevokeBody(NamedTuple):
    """Identify the sidecar start and load report that an attempt was based on."""

    epoch: Epoch
    load_sequence: int = 0
    """`HandOver.load_sequence` of the attempt, or zero if unknown."""


revoke_body_decoder = msgspec.msgpack.Decoder(RevokeBody)


@dataclass(frozen=True, slots=True)
class HandOverRequest:
    """Request to run an attempt."""


@dataclass(frozen=True, slots=True)
class FramesRequest:
    """Request the frames of an attempt after one of its chunks."""

    attempt_id: AttemptId
    after_sequence: int


@dataclass(frozen=True, slots=True)
class RevokeRequest:
    """Request the guarantee that an attempt never ran and never will."""

    attempt_id: AttemptId


@dataclass(frozen=True, slots=True)
class CancelRequest:
    """Request to cancel an attempt."""

    attempt_id: AttemptId


@dataclass(frozen=True, slots=True)
class PartsRequest:
    """Request to start a reserved attempt, after the parts before it were prefilled."""

    attempt_id: AttemptId


AttemptsRequest = (
    HandOverRequest | FramesRequest | RevokeRequest | CancelRequest | PartsRequest
)


def attempts_tagger(cluster_key: bytes) -> Tagger:
    """Return the tagger for requests."""
    return Tagger.from_cluster_key(cluster_key, PURPOSE)


def request_tag(tagger: Tagger, method: str, target: str, body: bytes) -> str:
    """Return the value of the tag header."""
    return tagger.tag(method.encode(), target.encode(), body).hex()


def verify_request_tag(
    tagger: Tagger, tag: str, method: str, target: str, body: bytes
) -> bool:
    """Return whether the tag header of a request was made with the cluster key."""
    try:
        given = bytes.fromhex(tag)
    except ValueError:
        return False
    return tagger.accepts(given, method.encode(), target.encode(), body)


def request_target(request: AttemptsRequest) -> str:
    """Return the path and query of a request."""
    match request:
        case HandOverRequest():
            return ATTEMPTS_PATH
        case FramesRequest(attempt_id, after):
            return f"{ATTEMPTS_PATH}/{quote(attempt_id, safe='')}/frames?after={after}"
        case RevokeRequest(attempt_id):
            return f"{ATTEMPTS_PATH}/{quote(attempt_id, safe='')}/revoke"
        case PartsRequest(attempt_id):
            return f"{ATTEMPTS_PATH}/{quote(attempt_id, safe='')}/parts"
        case CancelRequest(attempt_id):
            return f"{ATTEMPTS_PATH}/{quote(attempt_id, safe='')}"


def parse_request(method: str, target: str) -> AttemptsRequest | None:
    """Parse a method and target, or return None if they are unknown."""
    parts = urlsplit(target)
    if not parts.path.startswith(ATTEMPTS_PATH):
        return None
    names = parts.path.removeprefix(ATTEMPTS_PATH).split("/")[1:]
    match method, names:
        case "POST", []:
            return HandOverRequest()
        case "GET", [attempt, "frames"]:
            return parse_frames_request(attempt, parts.query)
        case "POST", [attempt, "revoke"]:
            return RevokeRequest(AttemptId(unquote(attempt)))
        case "POST", [attempt, "parts"]:
            return PartsRequest(AttemptId(unquote(attempt)))
        case "DELETE", [attempt]:
            return CancelRequest(AttemptId(unquote(attempt)))
        case _:
            return None


def parse_frames_request(attempt: str, query: str) -> FramesRequest | None:
    """Parse a request for frames, or return None if its number is invalid."""
    after = parse_qs(query).get("after", [""])[0]
    if not (after.isascii() and after.isdigit()):
        return None
    return FramesRequest(AttemptId(unquote(attempt)), int(after))
