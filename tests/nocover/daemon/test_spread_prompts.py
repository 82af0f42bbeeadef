"""Check, on real processes, prompts that do not fit on a single engine."""

import json
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
import urllib3

from common.daemon_fleet import (
    CUSTOMER_KEY,
    DONE,
    MODEL,
    TIMINGS,
    StreamedCall,
    available,
    start_fleet,
)
from local_fleet import LocalFleet, Upstream, wait_until

SMALL_MEMORY = 14_000
FAST = ("--time-scale", "0.05", "--memory-tokens")
SMALL = tuple(
    Upstream(
        f"small-{number}",
        "scribe",
        "model",
        (MODEL,),
        SMALL_MEMORY,
        options=(*FAST, str(SMALL_MEMORY)),
    )
    for number in (1, 2, 3)
)
LARGE = Upstream(
    "large-1", "notices", "model", (MODEL,), 400_000, options=(*FAST, "400000")
)
LONG_PROMPT = "beet load paid " * 8_000
"""About thirty thousand tokens: more than two small engines can hold."""
TOKENS = 40
LONG_ANSWER = 4_000


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[LocalFleet]:
    with LocalFleet(tmp_path, timings=TIMINGS) as fleet:
        start_fleet(fleet, SMALL)
        fleet.start_upstream(LARGE)
        yield fleet


def held_tokens(fleet: LocalFleet, upstream: str) -> int:
    """Return how much memory an engine holds for attempts, in tokens."""
    address = fleet.upstream_addresses[upstream]
    response = fleet.http.request("GET", f"http://{address}/v1/inventory")
    return sum(one["tokens"] for one in json.loads(response.data)["held"])


def direct_text(fleet: LocalFleet, upstream: str) -> str:
    """Send the whole prompt directly to one engine and return its answer."""
    body = {"model": MODEL, "prompt": LONG_PROMPT, "max_tokens": TOKENS}
    response = fleet.http.request(
        "POST",
        f"http://{fleet.upstream_addresses[upstream]}/v1/completions",
        body=json.dumps(body).encode(),
        headers={"X-Attempt-Id": "direct", "X-Request-Id": "direct"},
        timeout=urllib3.Timeout(read=60.0),
    )
    document: dict[str, Any] = json.loads(response.data)
    return document["choices"][0]["text"]


def test_a_prompt_of_twice_an_engine_is_answered_as_one_large_engine_would(fleet):
    """Check the answer to a prompt that fits only on three engines together.

    The entry reserves memory on all three, has two of them prefill their parts and the
    last one generate. Once the caller has its answer, no engine may hold a part of the
    prompt.
    """
    call = StreamedCall(fleet, "entry-1", LONG_PROMPT, TOKENS)
    assert call.text() == direct_text(fleet, "large-1")
    wait_until(
        lambda: not any(held_tokens(fleet, one.name) for one in SMALL),
        "all memory back",
    )


def test_a_prompt_that_all_engines_together_cannot_hold_is_refused_with_why(fleet):
    body = {"model": MODEL, "prompt": LONG_PROMPT * 2, "max_tokens": TOKENS}
    response = fleet.http.request(
        "POST",
        f"http://{fleet.callers['entry-1']}/v1/completions",
        body=json.dumps(body).encode(),
        headers={"Authorization": f"Bearer {CUSTOMER_KEY}"},
        timeout=urllib3.Timeout(read=60.0),
    )
    text = response.data.decode()
    assert response.status >= 400
    assert "not_run" in text
    assert "too_large" in text
    assert str(3 * SMALL_MEMORY) in text


@pytest.mark.parametrize("victim", ["small-1-sidecar", "small-3-sidecar", "entry-1"])
def test_memory_of_all_parts_comes_back_when_one_process_dies(fleet, victim):
    """Guards against engines that keep a part of a prompt whose answer was cut.

    After the first tokens, the sidecar of a helper, the sidecar of the generating
    engine, or the entry is killed. The next long prompt must be answered, with killed
    sidecars restarted.
    """
    call = StreamedCall(fleet, "entry-1", LONG_PROMPT, LONG_ANSWER)
    call.wait_for_tokens(3)
    fleet.kill(victim)
    call.thread.join(60.0)
    assert call.lines[-1] != DONE
    for one in SMALL:
        if victim.startswith(one.name):
            fleet.start_sidecar(one)
    wait_until(
        lambda: not any(held_tokens(fleet, one.name) for one in SMALL),
        "all memory back",
    )
    wait_until(lambda: len(available(fleet, "entry-2")) == len(SMALL) + 1, "upstreams")
    later = StreamedCall(fleet, "entry-2", LONG_PROMPT, TOKENS)
    assert later.text() == direct_text(fleet, "large-1")
