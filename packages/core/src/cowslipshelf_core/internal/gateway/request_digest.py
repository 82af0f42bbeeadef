"""Compute digests of requests, equal for requests with the same content."""

import re
from hashlib import blake2b
from typing import NewType

from cowslipshelf_core.identifiers import CustomerName

RequestDigest = NewType("RequestDigest", str)
"""Digest of the content of a request, in hexadecimal."""

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


def is_request_digest(text: str) -> bool:
    """Return whether a text has the form of a digest."""
    return DIGEST_PATTERN.fullmatch(text) is not None
