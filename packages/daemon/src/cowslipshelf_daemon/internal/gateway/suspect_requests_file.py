"""Remember over a restart which requests ended upstreams."""

import time

import msgspec

from cowslipshelf_core.gateway import SuspectRequestReport, SuspectRequestsTold
from cowslipshelf_daemon.internal.gateway.hint_file import HintFile

FILE_NAME = "suspects"


class SuspectRequestsDocument(msgspec.Struct, frozen=True, array_like=True):
    """Be what a gateway knew of requests under which upstreams ended."""

    written_at: float
    """Seconds since 1970."""
    told: SuspectRequestsTold


class SuspectRequestsFile(HintFile[SuspectRequestsDocument]):
    """Own one file in the data folder.

    After all gateways were killed at once, none is left to tell the others.
    """

    def __init__(self, folder: str) -> None:
        super().__init__(folder, FILE_NAME, SuspectRequestsDocument)

    def read(self) -> SuspectRequestsTold:
        """Return what was written last, with ages as of now."""
        document = self.read_document()
        if document is None:
            return SuspectRequestsTold(())
        # The time of day may have been put back since.
        passed = max(0.0, time.time() - document.written_at)
        suspects = document.told.suspects
        return SuspectRequestsTold(tuple(aged(each, passed) for each in suspects))

    def needs_write(self, changes: int) -> bool:
        """Tell whether anything has changed since it was written, and may be."""
        return not self.is_writing() and changes != (self.written_key or 0)

    def write_soon(self, told: SuspectRequestsTold, changes: int) -> None:
        """Write what is known after so many changes."""
        self.begin_write(SuspectRequestsDocument(time.time(), told), changes)


def aged(suspect: SuspectRequestReport, seconds: float) -> SuspectRequestReport:
    """Return word of a request as it would be told some seconds later."""
    exits = tuple(
        each._replace(age_seconds=each.age_seconds + seconds) for each in suspect.exits
    )
    return suspect._replace(
        exits=exits, trial_age_seconds=suspect.trial_age_seconds + seconds
    )
