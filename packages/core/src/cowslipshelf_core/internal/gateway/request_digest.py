"""Tell whether two requests are the same, whatever their ids."""

import re
from hashlib import blake2b
from typing import NewType

from cowslipshelf_core.identifiers import CustomerName

RequestDigest = NewType("RequestDigest", str)
"""Names the content of a request, in hexadecimal."""

DIGEST_BYTES = 16
LENGTH_BYTES = 8
FORM = re.compile(f"[0-9a-f]{{{2 * DIGEST_BYTES}}}")


def request_digest(
    customer: CustomerName | None, method: str, host: str, target: str, body: bytes
) -> RequestDigest:
    """Digest who asks for what.

    Each field is preceded by its length, so that no two requests have the same
    digested bytes, and the customer is one of them, so that nobody can make a request
    that is taken for another customer's.
    """
    digest = blake2b(digest_size=DIGEST_BYTES)
    for text in (customer or "", method, host, target):
        data = text.encode(errors="surrogateescape")
        digest.update(len(data).to_bytes(LENGTH_BYTES))
        digest.update(data)
    digest.update(body)
    return RequestDigest(digest.hexdigest())


def is_request_digest(text: str) -> bool:
    """Tell whether a text has the form of a digest."""
    return FORM.fullmatch(text) is not None
