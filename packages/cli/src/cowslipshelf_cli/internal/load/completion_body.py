"""Generate request bodies in chunks, as the longest take megabytes."""

import json
from collections.abc import Iterator
from typing import NamedTuple

BYTES_PER_TOKEN = 4
"""Entries estimate the tokens of a prompt as its bytes over four, rounded up."""
CHUNK_BYTES = 64 * 1024
PADDING = b"x " * (CHUNK_BYTES // 2)


class CompletionBody(NamedTuple):
    """Describe a body; its marker makes the prefix of the prompt unique."""

    model: str
    marker: str
    """Letters, digits and dashes; truncated if the prompt is shorter."""
    prompt_tokens: int
    output_tokens: int

    def head(self) -> bytes:
        """Return the part before the text of the prompt."""
        fields = {
            "model": self.model,
            "max_tokens": self.output_tokens,
            "stream": True,
            "prompt": "",
        }
        return json.dumps(fields).encode().removesuffix(b'"}')

    def length(self) -> int:
        """Return the number of bytes of the body."""
        return len(self.head()) + self.prompt_tokens * BYTES_PER_TOKEN + len(b'"}')

    def chunks(self) -> Iterator[bytes]:
        """Yield the body in chunks."""
        yield self.head()
        left = self.prompt_tokens * BYTES_PER_TOKEN
        marker = self.marker.encode()[:left]
        yield marker
        left -= len(marker)
        while left > 0:
            yield PADDING[:left]
            left -= min(left, CHUNK_BYTES)
        yield b'"}'
