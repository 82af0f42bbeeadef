"""Check, on real processes, that a passed deadline does not affect other callers."""

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
"""Enough at the speed that the router assumes; here the tokens take twice as long."""
FEW_TOKENS = 4


def stream_with_deadline(fleet: LocalFleet, seconds: float) -> bytes:
    """Request a streamed answer with a deadline and return all its bytes."""
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
    """Tell whether an entry sees its configuration version at every sidecar."""
    return all(
        one["configuration_version"] == version(fleet, entry)
        for one in state(fleet, entry)["instances"]
        if one["role"] == "sidecar"
    )


def test_a_deadline_within_a_stream_leaves_the_engine_in_service(tmp_path):
    """A long answer is cut by its deadline, and the next caller finds no upstream.

    If the sidecar ended the stream as if it had forwarded no tokens yet, its frame
    buffer would raise an error. The error would end the sidecar's actor, and the fleet
    would lose the engine for good.
    """
    with LocalFleet(tmp_path, timings=TIMINGS) as fleet:
        start_fleet(fleet, ENGINES[:1])
        entry = fleet.entry_names[0]
        wait_until(lambda: sidecars_are_up_to_date(fleet, entry), "a version in force")
        cut = stream_with_deadline(fleet, DEADLINE_SECONDS)
        assert b'"text"' in cut
        assert b"deadline_passed" in cut
        assert StreamedCall(fleet, entry, "notice", FEW_TOKENS).text()
