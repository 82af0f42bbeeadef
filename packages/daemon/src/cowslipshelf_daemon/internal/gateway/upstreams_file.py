"""Remember the upstreams over a restart, so that the first requests find them all."""

import time

import msgspec

from cowslipshelf_core.gateway import HeartbeatSeen
from cowslipshelf_daemon.internal.gateway.hint_file import HintFile
from cowslipshelf_host.logs import part_logger

LOG = part_logger("upstreams_file")

FILE_NAME = "upstreams"
REFRESH_SECONDS = 20.0
"""Age at which the file is written again although nothing in it has changed; a third
of the age beyond which it isn't believed."""
MAX_AGE_SECONDS = 60.0
"""Age of the file beyond which it says nothing of the present. It goes by the time of
day, which may be off by seconds."""


class UpstreamsDocument(msgspec.Struct, frozen=True, array_like=True):
    """Be the upstreams that a gateway knew."""

    written_at: float
    """Seconds since 1970."""
    seen: tuple[HeartbeatSeen, ...]


class UpstreamsFile(HintFile[UpstreamsDocument]):
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
        super().__init__(folder, FILE_NAME, UpstreamsDocument)

    def read(self) -> tuple[HeartbeatSeen, ...]:
        """Return what was written last, or nothing."""
        document = self.read_document()
        if document is None:
            return ()
        age = time.time() - document.written_at
        if abs(age) > MAX_AGE_SECONDS:
            LOG.info("Upstreams too old.", age_seconds=round(age, 1))
            return ()
        return document.seen

    def write_soon(self, seen: tuple[HeartbeatSeen, ...]) -> None:
        """Write what has changed."""
        if self.is_writing():
            return
        phases = frozenset(restart_key(each) for each in seen)
        now = time.monotonic()
        if phases == self.written_key and now - self.written_at < REFRESH_SECONDS:
            return
        self.begin_write(UpstreamsDocument(time.time(), seen), phases)


def restart_key(seen: HeartbeatSeen) -> tuple[str, int, str]:
    """Return what a restart goes by: the start of an upstream, and its phase."""
    return seen.heartbeat.upstream_id, seen.began_ms, seen.heartbeat.phase
