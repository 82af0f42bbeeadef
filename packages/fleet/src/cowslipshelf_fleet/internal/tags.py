"""Compute the message authentication codes (tags) of cluster members."""

from dataclasses import dataclass
from hashlib import blake2b
from hmac import compare_digest

TAG_BYTES = 16


@dataclass(frozen=True, slots=True)
class Tagger:
    """Compute and verify tags for one purpose under one cluster key."""

    key: bytes
    purpose: bytes

    @classmethod
    def from_cluster_key(cls, cluster_key: bytes, purpose: bytes) -> "Tagger":
        """Derive a key of fixed length, since BLAKE2b accepts at most 64 bytes."""
        return cls(blake2b(cluster_key).digest(), purpose)

    def tag(self, *parts: bytes) -> bytes:
        """Return the tag of the parts, each of which is hashed after its length.

        Without the lengths, moving bytes from one part to the next would not change
        the tag: from a request's path into its body, for example.
        """
        digest = blake2b(key=self.key, digest_size=TAG_BYTES, person=self.purpose)
        for part in parts:
            digest.update(len(part).to_bytes(8))
            digest.update(part)
        return digest.digest()

    def accepts(self, tag: bytes, *parts: bytes) -> bool:
        """Return whether the tag matches the parts, compared in constant time."""
        return compare_digest(tag, self.tag(*parts))
