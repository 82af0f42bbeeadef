"""Read a body with chunked encoding, with a limit on every part of it.

The HTTP library's own reader limits the data but not the lines between the chunks: a
line without an end would grow in memory for as long as its caller keeps sending.
"""

import re
from io import BufferedReader

from cowslipshelf_callers.errors import BadCallError
from cowslipshelf_core.errors import Refusal, RefusalCode, RefusalReason

CRLF = b"\r\n"
MAX_LINE_BYTES = 1024
MAX_TRAILERS = 32
SIZE_LINE = re.compile(rb"([0-9A-Fa-f]{1,8})[ \t]*(;[^\r\n]*)?\r\n")


def too_large(limit: int) -> BadCallError:
    """Return the error for a body above the limit."""
    detail = f"a body may have {limit} bytes"
    return BadCallError(
        Refusal(RefusalCode.NOT_RUN, RefusalReason.TOO_LARGE, "parse", detail=detail)
    )


def read_chunked(reader: BufferedReader, limit: int) -> bytes:
    """Read the body to its end; raises ValueError if it is malformed."""
    parts: list[bytes] = []
    size = 0
    while length := _chunk_length(reader):
        size += length
        if size > limit:
            raise too_large(limit)
        part = reader.read(length + len(CRLF))
        if not part.endswith(CRLF) or len(part) != length + len(CRLF):
            raise ValueError("a chunk is not as long as it says")
        parts.append(part[:length])
    _skip_trailers(reader)
    return b"".join(parts)


def _chunk_length(reader: BufferedReader) -> int:
    match = SIZE_LINE.fullmatch(reader.readline(MAX_LINE_BYTES))
    if match is None:
        raise ValueError("a chunk has no valid size")
    return int(match[1], 16)


def _skip_trailers(reader: BufferedReader) -> None:
    for _ in range(MAX_TRAILERS):
        line = reader.readline(MAX_LINE_BYTES)
        if line == CRLF:
            return
        if not line.endswith(CRLF):
            break
    raise ValueError("the body has no valid end")
