"""Remember the upstreams over a restart, so that the first requests find them all."""

import asyncio
import math
import time
from pathlib import Path

import msgspec

from cowslipshelf_core.routed import HeartbeatSeen
from cowslipshelf_host.logs import part_logger
from cowslipshelf_host.storage import StorageError, read_file, replace_file

LOG = part_logger("upstreams_file")

FILE_NAME = "upstreams"
REFRESH_SECONDS = 20.0
"""Age at which the file is written again although nothing in it has changed; a third
of the age beyond which it isn't believed."""
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

    The file is synced. Written without, a loss of power tore it or brought back one of
    fifteen seconds before, which named engines that had left since; gossip spread them,
    and callers' attempts waited 0.6 s for each. Of all attempts in the first six
    seconds after such a loss 53 failed in three plays of one day, 10 with the sync.
    """

    def __init__(self, folder: str) -> None:
        self.path = Path(folder) / FILE_NAME
        self.writing: asyncio.Future[None] | None = None
        self.written: frozenset[tuple[str, int, str]] = frozenset()
        self.written_at = -math.inf

    def read(self) -> tuple[HeartbeatSeen, ...]:
        """Return what was written last, or nothing."""
        try:
            document = msgspec.msgpack.decode(
                read_file(self.path), type=UpstreamsDocument
            )
        except FileNotFoundError:
            return ()
        except (OSError, StorageError, msgspec.MsgspecError) as error:
            # A disk that lost it or spoilt it is no reason not to start.
            LOG.warning("Upstreams not read.", path=str(self.path), error=str(error))
            return ()
        age = time.time() - document.written_at
        if abs(age) > OLDEST_SECONDS:
            LOG.info("Upstreams too old.", age_seconds=round(age, 1))
            return ()
        return document.seen

    def write_soon(self, seen: tuple[HeartbeatSeen, ...]) -> None:
        """Write what has changed, on another thread.

        A disk that hangs must not hold up requests.
        """
        if self.writing is not None and not self.writing.done():
            return
        phases = frozenset(phase_of(each) for each in seen)
        now = time.monotonic()
        if phases == self.written and now - self.written_at < REFRESH_SECONDS:
            return
        data = msgspec.msgpack.encode(UpstreamsDocument(time.time(), seen))
        loop = asyncio.get_running_loop()
        self.writing = loop.run_in_executor(None, self.write, data, phases)

    def write(self, data: bytes, phases: frozenset[tuple[str, int, str]]) -> None:
        """Replace the file."""
        try:
            replace_file(self.path, data)
        except OSError as error:
            LOG.warning("Upstreams not written.", path=str(self.path), error=str(error))
            return
        self.written, self.written_at = phases, time.monotonic()


def phase_of(seen: HeartbeatSeen) -> tuple[str, int, str]:
    """Return what a restart goes by: the start of an upstream, and its phase."""
    return seen.heartbeat.upstream_id, seen.began_ms, seen.heartbeat.phase
