"""Check that the causes of real failures are found in recorded logs.

The logs are those of eight gateways in front of 17 upstreams, in a run with killed
processes and with upstreams that reset connections or fail. Each expected cause was
determined by hand from the whole logs; the file holds the lines of these requests
among lines of others.
"""

import re
from pathlib import Path

import pytest

from cowslipshelf_cli.internal.log_history import request_history
from cowslipshelf_host.log_entries import read_entries

LOG = Path(__file__).parent / "recorded" / "failed_requests.log"
CAUSES = {
    "6ca9b3107d377799": (
        "answered 500 by upstreams that ran it and failed: i-6cffc048e2, i-d880b4d106"
    ),
    "1cd9ed72185ee685": ("answered 503: no engine can answer in time; it did not run"),
    "ec685d6a9cacaad2": (
        "answered 502: wait for answer failed; it may have run; upstream "
        "i-6cffc048e2: wait for answer 10.2.64.22:8726: "
        "[Errno 104] Connection reset by peer"
    ),
    "30e97c8cb245430b": "answered 503: no configuration was known within 0.24825 s",
    "4f3168caba52fbe2": (
        "the caller left after 1.9993 s; upstream i-9a4afde820 was to begin after "
        "0.1405 s"
    ),
    "da8780c2a104f220": "no customer has the key under version 3",
    "9c7e7c50697c6d00": (
        "its process ended without a word and started again: "
        "2026-01-03 11:08:40.632529+00:00"
    ),
}


@pytest.mark.parametrize("request_id", CAUSES)
def test_the_cause_is_found_from_the_logs_alone(request_id):
    history = request_history(request_id, list(read_entries([LOG])))
    assert history is not None
    assert history.cause == CAUSES[request_id]


def test_every_recorded_request_has_a_cause_without_other_requests_lines():
    entries = list(read_entries([LOG]))
    for request_id in {entry.fields.get("request") for entry in entries} - {None}:
        history = request_history(request_id, entries)
        assert re.search(r"\w", history.cause)
        named = {entry.fields.get("request") for entry in history.entries} - {None}
        assert named == {request_id}
