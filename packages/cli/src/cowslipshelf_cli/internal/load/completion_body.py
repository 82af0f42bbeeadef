"""Build bodies of requests piece by piece, as the longest take megabytes."""

import json
from collections.abc import Iterator
from typing import NamedTuple

BYTES_PER_TOKEN = 4
"""The entries count a prompt's bytes over four, rounded up."""
PIECE_BYTES = 64 * 1024
FILLING = b"x " * (PIECE_BYTES // 2)


class CompletionBody(NamedTuple):
    """Be what a body is built from; its marker makes its prefix one of its own."""

    model: str
    marker: str
    """Letters, digits and dashes; cut where the prompt is shorter."""
    prompt_tokens: int
    output_tokens: int

    def head(self) -> bytes:
        """Give what comes before the text of the prompt."""
        fields = {
            "model": self.model,
            "max_tokens": self.output_tokens,
            "stream": True,
            "prompt": "",
        }
        return json.dumps(fields).encode().removesuffix(b'"}')

    def length(self) -> int:
        """Count the bytes of the whole body."""
        return len(self.head()) + self.prompt_tokens * BYTES_PER_TOKEN + len(b'"}')

    def pieces(self) -> Iterator[bytes]:
        """Give the body in pieces."""
        yield self.head()
        left = self.prompt_tokens * BYTES_PER_TOKEN
        marker = self.marker.encode()[:left]
        yield marker
        left -= len(marker)
        while left > 0:
            yield FILLING[:left]
            left -= min(left, PIECE_BYTES)
        yield b'"}'
