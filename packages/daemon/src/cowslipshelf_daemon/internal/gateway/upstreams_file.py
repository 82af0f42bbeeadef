"""Remember the upstreams over a restart, so that the first requests find them all."""

import asyncio
import time
from pathlib import Path

import msgspec

from cowslipshelf_core.routed import HeartbeatSeen
from cowslipshelf_host.logs import part_logger

LOG = part_logger("upstreams_file")

FILE_NAME = "upstreams"
NEW_SUFFIX = ".new"
OLDEST_SECONDS = 60.0
"""Age of the file beyond which it says nothing of the present. It goes by the time of
day, which may be off by seconds."""


class UpstreamsDocument(msgspec.Struct, frozen=True, array_like=True):
    """Be the upstreams that a gateway knew."""

    written_at: float
    """Seconds since 1970."""
    seen: tuple[HeartbeatSeen, ...]


class UpstreamsFile:
    """Own one file in the data folder; what is in it is a hint and may be lost.

    After all gateways were killed at once, each upstream is heard of only with its
    next heartbeat; until then all requests would go to the few that were first. An
    upstream that has gone meanwhile costs one failed attempt.
    """

    def __init__(self, folder: str) -> None:
        self.path = Path(folder) / FILE_NAME
        self.writing: asyncio.Future[None] | None = None

    def read(self) -> tuple[HeartbeatSeen, ...]:
        """Return what was written last, or nothing."""
        try:
            document = msgspec.msgpack.decode(
                self.path.read_bytes(), type=UpstreamsDocument
            )
        except FileNotFoundError:
            return ()
        except (OSError, msgspec.MsgspecError) as error:
            # It is never synced, so that a loss of power may leave any part of it.
            LOG.warning("Upstreams not read.", path=str(self.path), error=str(error))
            return ()
        age = time.time() - document.written_at
        if abs(age) > OLDEST_SECONDS:
            LOG.info("Upstreams too old.", age_seconds=round(age, 1))
            return ()
        return document.seen

    def write_soon(self, seen: tuple[HeartbeatSeen, ...]) -> None:
        """Write on another thread: a disk that hangs must not hold up requests."""
        if self.writing is not None and not self.writing.done():
            return
        data = msgspec.msgpack.encode(UpstreamsDocument(time.time(), seen))
        loop = asyncio.get_running_loop()
        self.writing = loop.run_in_executor(None, self.write, data)

    def write(self, data: bytes) -> None:
        """Replace the file."""
        new = self.path.with_suffix(NEW_SUFFIX)
        try:
            new.write_bytes(data)
            new.replace(self.path)
        except OSError as error:
            LOG.warning("Upstreams not written.", path=str(new), error=str(error))
