"""Compute digests of requests and of prompt parts, equal for the same content."""

import re
from collections.abc import Iterable
from hashlib import blake2b
from itertools import islice
from typing import NewType

from cowslipshelf_core.identifiers import CustomerName

RequestDigest = NewType("RequestDigest", str)
"""Digest of the content of a request, in hexadecimal."""

PartDigest = NewType("PartDigest", str)
"""Digest of a part that several prompts share, in hexadecimal."""

MAX_SHARED_PARTS = 128
"""Most parts of one prompt that are told apart; later ones are left out."""
DIGEST_BYTES = 16
LENGTH_BYTES = 8
DIGEST_PATTERN = re.compile(f"[0-9a-f]{{{2 * DIGEST_BYTES}}}")


def request_digest(
    customer: CustomerName | None, method: str, host: str, target: str, body: bytes
) -> RequestDigest:
    """Return the digest of a request and its customer.

    Each field is preceded by its length, so that no two requests have the same digested
    bytes. The customer is included so that a request can't be mistaken for that of
    another customer.
    """
    digest = blake2b(digest_size=DIGEST_BYTES)
    for text in (customer or "", method, host, target):
        data = text.encode(errors="surrogateescape")
        digest.update(len(data).to_bytes(LENGTH_BYTES))
        digest.update(data)
    digest.update(body)
    return RequestDigest(digest.hexdigest())


def shared_part_digests(parts: Iterable[bytes]) -> tuple[PartDigest, ...]:
    """Return the digests of the parts of one prompt, each once, in order.

    The customer is not included: a part has the same effect on whoever sends it.
    """
    first = islice(dict.fromkeys(parts), MAX_SHARED_PARTS)
    return tuple(
        PartDigest(blake2b(part, digest_size=DIGEST_BYTES).hexdigest())
        for part in first
    )


def is_digest(text: str) -> bool:
    """Return whether a text has the form of a digest."""
    return DIGEST_PATTERN.fullmatch(text) is not None
