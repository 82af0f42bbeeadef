"""Record what happened to recent requests, for `explain`."""

import threading
import time
from collections import OrderedDict

from cowslipshelf_core.identifiers import RequestId
from cowslipshelf_core.requests import CallerRequest
from cowslipshelf_core.routing import PlacementExplanation
from cowslipshelf_daemon.internal.entry.entry_metrics import EntryMetrics

MAX_RECORDS = 2048
MAX_NOTES = 64


class RequestRecord:
    """Record what happened to one request; written by the request's thread alone."""

    def __init__(self, request: CallerRequest, metrics: EntryMetrics) -> None:
        # Records are kept for long; what a caller may send in any length is not.
        self.request = request._replace(path="", headers=(), body=b"")
        self.metrics = metrics
        self.started_at = time.time()
        self.started_monotonic = time.monotonic()
        self.notes: list[str] = []
        self.placements: list[PlacementExplanation] = []
        self.chunks = 0
        self.first_chunk_seconds: float | None = None
        self.seconds: float | None = None
        self.outcome = "running"

    def note(self, text: str) -> None:
        """Add a line with its time, unless there are `MAX_NOTES` already."""
        if len(self.notes) < MAX_NOTES:
            self.notes.append(
                f"{time.monotonic() - self.started_monotonic:.3f} s: {text}"
            )

    def add_placement(self, explanation: PlacementExplanation) -> None:
        """Record why an upstream was chosen."""
        if len(self.placements) < MAX_NOTES:
            self.placements.append(explanation)

    def count_chunk(self) -> None:
        """Count a chunk of the answer, and time the first one."""
        self.chunks += 1
        if self.first_chunk_seconds is None:
            self.first_chunk_seconds = time.monotonic() - self.started_monotonic
            self.metrics.first_chunk(self.request, self.first_chunk_seconds)

    def end(self, outcome: str) -> None:
        """Record the outcome and the duration of the request."""
        self.outcome = outcome
        self.seconds = time.monotonic() - self.started_monotonic
        self.metrics.ended(self.request, outcome, self.seconds)

    def lines(self) -> tuple[str, ...]:
        """Describe what happened in lines of text, the oldest first."""
        request = self.request
        what = f"{request.prompt_tokens} prompt tokens for {request.model or 'a call'}"
        head = f"customer {request.customer}, service {request.service}, {what}"
        placements = [
            line for placement in self.placements for line in placement_lines(placement)
        ]
        return (head, *placements, *self.notes, self.last_line())

    def last_line(self) -> str:
        """Describe the outcome of the request, or that it is running."""
        first = self.first_chunk_seconds
        waited = (
            "nothing written yet" if first is None else f"first after {first:.3f} s"
        )
        took = "" if self.seconds is None else f" in {self.seconds:.3f} s"
        return f"{self.outcome}{took}: {self.chunks} pieces, {waited}"


def placement_lines(placement: PlacementExplanation) -> list[str]:
    """Describe where an attempt was placed and which upstreams were considered."""
    where = placement.chosen or "nowhere"
    head = (
        f"attempt {placement.attempt_id} placed on {where} after "
        f"{placement.queued_seconds:.3f} s in the queue: {placement.reason}"
    )
    considered = [
        f"  considered {entry.upstream_id}: first token in "
        f"{entry.prediction.first_token_seconds:.3f} s, delay to others "
        f"{entry.prediction.delay_to_others_seconds:.3f} s, fits: {entry.fits}"
        for entry in placement.considered
    ]
    return [head, *considered]


class RequestRecords:
    """Keep the records of the most recent requests; thread-safe."""

    def __init__(self, metrics: EntryMetrics) -> None:
        self.metrics = metrics
        self.records: OrderedDict[RequestId, RequestRecord] = OrderedDict()
        self.lock = threading.Lock()

    def begin(self, request: CallerRequest) -> RequestRecord:
        """Add a record for a request; evict the oldest beyond `MAX_RECORDS`."""
        record = RequestRecord(request, self.metrics)
        with self.lock:
            self.records[request.request_id] = record
            if len(self.records) > MAX_RECORDS:
                self.records.popitem(last=False)
        return record

    def find(self, request_id: RequestId) -> RequestRecord | None:
        """Return the record of a request, if this entry ran it recently."""
        with self.lock:
            return self.records.get(request_id)
