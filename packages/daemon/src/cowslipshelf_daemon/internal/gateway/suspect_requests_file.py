"""Store the requests under which upstreams exited, for a restart."""

import time
from typing import NamedTuple

import msgspec

from cowslipshelf_core.gateway import (
    HeldPartReport,
    PartReport,
    PromptPartsTold,
    SuspectRequestReport,
    SuspectRequestsTold,
)
from cowslipshelf_daemon.internal.gateway.hint_file import HintFile

FILE_NAME = "suspects"


class SuspectRequestsDocument(msgspec.Struct, frozen=True, array_like=True):
    """Hold what a gateway knew of requests under which upstreams exited."""

    written_at: float
    """Unix time in seconds."""
    told: SuspectRequestsTold
    parts: PromptPartsTold = PromptPartsTold()


class StoredSuspects(NamedTuple):
    """Hold what was stored, with the ages brought up to now."""

    requests: SuspectRequestsTold = SuspectRequestsTold(())
    parts: PromptPartsTold = PromptPartsTold()


class SuspectRequestsFile(HintFile[SuspectRequestsDocument]):
    """Manage the file of suspect requests in the data folder.

    If all gateways are killed at once, none is left to tell the others of them.
    """

    def __init__(self, folder: str) -> None:
        super().__init__(folder, FILE_NAME, SuspectRequestsDocument)

    def read(self) -> StoredSuspects:
        """Return what was written last; nothing if there is no valid file."""
        document = self.read_document()
        if document is None:
            return StoredSuspects()
        # The system clock may have been set back since.
        passed = max(0.0, time.time() - document.written_at)
        suspects = document.told.suspects
        return StoredSuspects(
            SuspectRequestsTold(tuple(aged(each, passed) for each in suspects)),
            aged_parts(document.parts, passed),
        )

    def needs_write(self, changes: int) -> bool:
        """Return whether there are changes to write and no write is in progress."""
        return not self.is_writing() and changes != (self.written_key or 0)

    def write_soon(
        self, told: SuspectRequestsTold, parts: PromptPartsTold, changes: int
    ) -> None:
        """Begin to write the suspects known after a number of changes."""
        self.begin_write(SuspectRequestsDocument(time.time(), told, parts), changes)


def aged(suspect: SuspectRequestReport, seconds: float) -> SuspectRequestReport:
    """Return a report with all ages increased by some seconds."""
    exits = tuple(
        each._replace(age_seconds=each.age_seconds + seconds) for each in suspect.exits
    )
    return suspect._replace(
        exits=exits, trial_age_seconds=suspect.trial_age_seconds + seconds
    )


def aged_parts(told: PromptPartsTold, seconds: float) -> PromptPartsTold:
    """Return a report of prompt parts with all ages increased by some seconds."""
    exits = tuple(
        each._replace(age_seconds=each.age_seconds + seconds) for each in told.exits
    )
    return PromptPartsTold(
        exits, tuple(aged_part(each, seconds) for each in told.parts)
    )


def aged_part(report: PartReport, seconds: float) -> PartReport:
    """Return a report of one part with all ages increased by some seconds."""
    answer_age, held = report.answer_age_seconds, report.held
    return PartReport(
        report.part,
        None if answer_age is None else answer_age + seconds,
        None if held is None else aged_held(held, seconds),
    )


def aged_held(held: HeldPartReport, seconds: float) -> HeldPartReport:
    """Return what is reported of a held part with all ages increased."""
    return held._replace(
        exit_age_seconds=held.exit_age_seconds + seconds,
        trial_age_seconds=held.trial_age_seconds + seconds,
    )
