"""Check, on real processes, that a passed deadline harms nobody else."""

import json

import urllib3

from common.daemon_fleet import (
    CUSTOMER_KEY,
    ENGINES,
    MODEL,
    TIMINGS,
    StreamedCall,
    start_fleet,
    state,
    version,
)
from local_fleet import LocalFleet, wait_until

MANY_TOKENS = 100
DEADLINE_SECONDS = 2.5
"""Enough for the tokens at the speed that is assumed, half of what they take here."""
FEW_TOKENS = 4


def stream_with_deadline(fleet: LocalFleet, seconds: float) -> bytes:
    """Read a streamed answer to its end, whatever that is."""
    body = {"model": MODEL, "prompt": "ledger", "max_tokens": MANY_TOKENS}
    response = fleet.http.request(
        "POST",
        f"http://{fleet.callers[fleet.entry_names[0]]}/v1/completions",
        body=json.dumps(body | {"stream": True}).encode(),
        headers={
            "Authorization": f"Bearer {CUSTOMER_KEY}",
            "X-Deadline-Seconds": str(seconds),
            "Connection": "close",
        },
        timeout=urllib3.Timeout(connect=5.0, read=60.0),
    )
    return response.data


def sidecars_are_up_to_date(fleet: LocalFleet, entry: str) -> bool:
    """Tell whether an entry sees the version in force at every sidecar."""
    return all(
        one["configuration_version"] == version(fleet, entry)
        for one in state(fleet, entry)["instances"]
        if one["role"] == "sidecar"
    )


def test_a_deadline_within_a_stream_leaves_the_engine_in_service(tmp_path):
    """A long answer is cut by its deadline; the next caller finds no upstream.

    Some tokens have been passed on when the deadline passes. The sidecar ends the
    stream as if none had been, which is an error to its own frame buffer; the error
    ends the sidecar's actor, and the engine is lost to the fleet for good.
    """
    with LocalFleet(tmp_path, timings=TIMINGS) as fleet:
        start_fleet(fleet, ENGINES[:1])
        entry = fleet.entry_names[0]
        wait_until(lambda: sidecars_are_up_to_date(fleet, entry), "a version in force")
        cut = stream_with_deadline(fleet, DEADLINE_SECONDS)
        assert b'"text"' in cut
        assert b"deadline_passed" in cut
        assert StreamedCall(fleet, entry, "notice", FEW_TOKENS).text()
