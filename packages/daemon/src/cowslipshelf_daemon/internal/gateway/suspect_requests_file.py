"""Store the requests under which upstreams exited, for a restart."""

import time

import msgspec

from cowslipshelf_core.gateway import SuspectRequestReport, SuspectRequestsTold
from cowslipshelf_daemon.internal.gateway.hint_file import HintFile

FILE_NAME = "suspects"


class SuspectRequestsDocument(msgspec.Struct, frozen=True, array_like=True):
    """Hold what a gateway knew of requests under which upstreams exited."""

    written_at: float
    """Unix time in seconds."""
    told: SuspectRequestsTold


class SuspectRequestsFile(HintFile[SuspectRequestsDocument]):
    """Manage the file of suspect requests in the data folder.

    If all gateways are killed at once, none is left to tell the others of them.
    """

    def __init__(self, folder: str) -> None:
        super().__init__(folder, FILE_NAME, SuspectRequestsDocument)

    def read(self) -> SuspectRequestsTold:
        """Return what was written last, with the ages brought up to now."""
        document = self.read_document()
        if document is None:
            return SuspectRequestsTold(())
        # The system clock may have been set back since.
        passed = max(0.0, time.time() - document.written_at)
        suspects = document.told.suspects
        return SuspectRequestsTold(tuple(aged(each, passed) for each in suspects))

    def needs_write(self, changes: int) -> bool:
        """Return whether there are changes to write and no write is in progress."""
        return not self.is_writing() and changes != (self.written_key or 0)

    def write_soon(self, told: SuspectRequestsTold, changes: int) -> None:
        """Begin to write the suspects known after a number of changes."""
        self.begin_write(SuspectRequestsDocument(time.time(), told), changes)


def aged(suspect: SuspectRequestReport, seconds: float) -> SuspectRequestReport:
    """Return a report with all ages increased by some seconds."""
    exits = tuple(
        each._replace(age_seconds=each.age_seconds + seconds) for each in suspect.exits
    )
    return suspect._replace(
        exits=exits, trial_age_seconds=suspect.trial_age_seconds + seconds
    )
