"""Keep what happened to recent requests, for `explain`."""

import threading
import time
from collections import OrderedDict
from typing import Any

import msgspec
from cowslipshelf_core.requests import CallerRequest

from cowslipshelf_core.identifiers import RequestId
from cowslipshelf_core.routing import PlacementExplanation

MOST_RECORDS = 2048
MOST_NOTES = 64


class RequestRecord:
    """Collect what happened to one request; written by its own thread."""

    def __init__(self, request: CallerRequest) -> None:
        self.request = request
        self.started_at = time.time()
        self.begun = time.monotonic()
        self.notes: list[str] = []
        self.placements: list[PlacementExplanation] = []
        self.chunks = 0
        self.first_chunk_seconds: float | None = None
        self.seconds: float | None = None
        self.outcome = "running"

    def note(self, text: str) -> None:
        """Add a line, as long as there is room."""
        if len(self.notes) < MOST_NOTES:
            self.notes.append(f"{time.monotonic() - self.begun:.3f} s: {text}")

    def placed(self, explanation: PlacementExplanation) -> None:
        """Keep why an upstream was chosen."""
        if len(self.placements) < MOST_NOTES:
            self.placements.append(explanation)

    def chunk_written(self) -> None:
        """Count a piece of the answer."""
        self.chunks += 1
        if self.first_chunk_seconds is None:
            self.first_chunk_seconds = time.monotonic() - self.begun

    def end(self, outcome: str) -> None:
        """Keep how the request ended."""
        self.outcome = outcome
        self.seconds = time.monotonic() - self.begun

    def document(self) -> dict[str, Any]:
        """Return the record in the shape that operators read."""
        return {
            "request_id": self.request.request_id,
            "customer": self.request.customer,
            "service": self.request.service,
            "model": self.request.model,
            "prompt_tokens": self.request.prompt_tokens,
            "started_at": self.started_at,
            "outcome": self.outcome,
            "chunks": self.chunks,
            "first_chunk_seconds": self.first_chunk_seconds,
            "seconds": self.seconds,
            "placements": [explain(placement) for placement in self.placements],
            "notes": list(self.notes),
        }


def explain(placement: PlacementExplanation) -> dict[str, Any]:
    """Return a placement with the names of its fields."""
    considered = [
        entry._asdict() | {"prediction": entry.prediction._asdict()}
        for entry in placement.considered
    ]
    return msgspec.to_builtins(placement._asdict() | {"considered": considered})


class RequestRecords:
    """Keep the newest records; safe between threads."""

    def __init__(self) -> None:
        self.records: OrderedDict[RequestId, RequestRecord] = OrderedDict()
        self.lock = threading.Lock()

    def begin(self, request: CallerRequest) -> RequestRecord:
        """Begin the record of a request; the oldest goes where there are too many."""
        record = RequestRecord(request)
        with self.lock:
            self.records[request.request_id] = record
            if len(self.records) > MOST_RECORDS:
                self.records.popitem(last=False)
        return record

    def find(self, request_id: RequestId) -> RequestRecord | None:
        """Return the record of a request that this entry carried lately."""
        with self.lock:
            return self.records.get(request_id)
