"""Compute the keyed tags that show that a message comes from a cluster member."""

from dataclasses import dataclass
from hashlib import blake2b
from hmac import compare_digest

TAG_BYTES = 16


@dataclass(frozen=True, slots=True)
class Tagger:
    """Compute and check tags for one purpose, under one cluster key."""

    key: bytes
    purpose: bytes

    @classmethod
    def from_cluster_key(cls, cluster_key: bytes, purpose: bytes) -> "Tagger":
        """Derive a key of fixed length, since BLAKE2b takes 64 bytes at most."""
        return cls(blake2b(cluster_key).digest(), purpose)

    def tag(self, *parts: bytes) -> bytes:
        """Return the tag of the parts; each is tagged with its length.

        Without the lengths, bytes could be moved from one part to its neighbour
        under the same tag: from a request's path into its body, for example.
        """
        digest = blake2b(key=self.key, digest_size=TAG_BYTES, person=self.purpose)
        for part in parts:
            digest.update(len(part).to_bytes(8))
            digest.update(part)
        return digest.digest()

    def accepts(self, tag: bytes, *parts: bytes) -> bool:
        """Tell in constant time whether the tag is that of the parts."""
        return compare_digest(tag, self.tag(*parts))
