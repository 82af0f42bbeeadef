"""Replace one machine of the core as planned, then let another lose its disk."""

import asyncio
import signal
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))

from fleet import BOUNDS, LIMITS, CannotRunError, Fleet, run_case  # noqa: E402

READ_SECONDS = 10.0
"""Time for which the configuration is read back, over three stability windows."""


def configuration(version: int) -> dict:
    """Return a configuration of one route; its time limit tells the version."""
    route = {
        "name": "r-1",
        "host": "ficu95.example",
        "path_prefix": "/pufi791/",
        "kind": "idempotent",
        "timeout_ms": 3000 + version,
        "slo_ms": 300,
        "priority": 1,
        "service": "wuno96b",
        "attempts": 2,
        "public": True,
    }
    service = {"name": "wuno96b", "health_path": "/healthz", "max_conns": 110}
    return {
        "version": version,
        "routes": [route],
        "services": [service],
        "limits": LIMITS,
    }


async def play(fleet: Fleet, trouble: bool) -> bool:
    """Play the case; return whether the rule was broken."""
    core = fleet.start_first(
        [
            ("front-maadi-1", "maadi"),
            ("front-nasr-1", "nasr"),
            ("front-sv-1", "smart-village"),
        ]
    )
    if not await fleet.put(configuration(7), 12.0):
        raise CannotRunError("the first configuration is not acknowledged")
    for gateway in core:
        await fleet.wait_ready(gateway, 5.0)
    # The planned replacement: the new machine first, then SIGTERM for the old one.
    new = fleet.add("front-sv-2", "smart-village")
    new.start()
    await fleet.wait_ready(new, 10.0)
    await asyncio.sleep(BOUNDS["catch_up_s"] + 1.0)
    old = core[2]
    old.signal(signal.SIGTERM)
    ends = time.monotonic() + BOUNDS["grace_s"]
    while old.runs and time.monotonic() < ends:
        await asyncio.sleep(0.05)
    if old.runs:
        old.kill()
    fleet.record.write(f"platform: {old.name} has ended and does not come back")
    if not await fleet.put(configuration(9), BOUNDS["ack_ms"] / 1000):
        raise CannotRunError("a change after the replacement is not acknowledged")
    # The core is stable again, and the successor has run for over `catch_up_s`.
    await asyncio.sleep(BOUNDS["stability_window_ms"] / 1000 + 0.5)
    if trouble:
        lost = core[1]
        lost.kill()
        lost.lose_disk()
        await asyncio.sleep(1.0)
        lost.start()
    # All three machines run from here on, and nothing else happens to them.
    await asyncio.sleep(BOUNDS["recover_s"])
    versions: set[int] = set()
    ends = time.monotonic() + READ_SECONDS
    while time.monotonic() < ends and not versions:
        for gateway in [each for each in fleet.gateways if each.runs]:
            version = await fleet.read(gateway)
            if version is not None:
                versions.add(version)
        await asyncio.sleep(0.5)
    await fleet.put(configuration(12), 8.0)
    return not versions or max(versions) < 9


run_case(HERE, play)
