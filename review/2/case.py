"""Take the keys of the only tenant away, then send requests without a valid key."""

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))

from fleet import (  # noqa: E402
    BOUNDS,
    LIMITS,
    CannotRunError,
    Fleet,
    Runner,
    call,
    run_case,
)

KEYS = ["n2ctnfzs989anu6wsjnb", "anfqasnmgkcuyj8pjbvk"]
NEVER_HELD = "zzzzzzzzzzzzzzzzzzzz"
REVOKE_GAP_SECONDS = 0.5
SERVICE = "wuno96b"


def configuration(version: int, keys: list[str]) -> dict:
    """Return the example of the protocol's page with its plain service alone."""
    route = {
        "name": "r-fi6y7z5",
        "host": "ficu95.example",
        "path_prefix": "/pufi791/",
        "kind": "idempotent",
        "timeout_ms": 3000,
        "slo_ms": 300,
        "priority": 1,
        "service": SERVICE,
        "attempts": 2,
        "public": False,
    }
    service = {"name": SERVICE, "health_path": "/healthz", "max_conns": 56}
    return {
        "version": version,
        "routes": [route],
        "services": [service],
        "limits": LIMITS,
        "tenants": [{"name": "hule930", "api_keys": keys, "priority": 1}],
    }


async def ask(fleet: Fleet, attempt: str, key: str | None) -> list[int]:
    """Send one request to each gateway; return the statuses."""
    statuses = []
    for number, gateway in enumerate(fleet.gateways):
        headers = {
            "Host": "ficu95.example",
            "X-Attempt-Id": f"{attempt}-{number}",
            "X-Deadline-Ms": "3000",
        }
        if key is not None:
            headers["Authorization"] = f"Token {key}"
        answer = await call(gateway.front, "GET", "/pufi791/2f", headers)
        shown = "no key" if key is None else f"key {key}"
        fleet.record.write(
            f"client: {attempt}-{number} with {shown} to {gateway.name}: "
            f"{answer.status}"
        )
        statuses.append(answer.status)
    return statuses


async def play(fleet: Fleet, trouble: bool) -> bool:
    """Play the case; return whether the rule was broken."""
    fleet.start_first(
        [
            ("front-maadi-1", "maadi"),
            ("front-nasr-1", "nasr"),
            ("front-sv-1", "smart-village"),
        ]
    )
    runner = Runner(fleet, SERVICE, "maadi")
    await runner.start()
    if not await fleet.put(configuration(7, KEYS), 12.0):
        raise CannotRunError("the first configuration is not acknowledged")
    for gateway in fleet.gateways:
        await fleet.wait_ready(gateway, 5.0)
    await asyncio.sleep(3.0)
    if await ask(fleet, "valid", KEYS[0]) != [200] * 3:
        raise CannotRunError("a valid key is not served")
    if set(await ask(fleet, "invented", NEVER_HELD)) != {401}:
        raise CannotRunError("a key that was never held is not refused")
    # With the disruption, both keys of the tenant are taken away, one after the other.
    for version, kept in ((9, KEYS[1:]), (12, [])):
        if not await fleet.put(configuration(version, kept if trouble else KEYS), 8.0):
            raise CannotRunError(f"version {version} is not acknowledged")
        await asyncio.sleep(REVOKE_GAP_SECONDS)
    # Over twice the time in which a change has to be in force.
    await asyncio.sleep(2 * BOUNDS["config_apply_ms"] / 1000 + 1.0)
    if trouble:
        await ask(fleet, "revoked", KEYS[0])
        await ask(fleet, "revoked-too", KEYS[1])
    await ask(fleet, "never-held", NEVER_HELD)
    await ask(fleet, "keyless", None)
    await runner.stop()
    ran = [run["x-attempt-id"] for run in runner.runs]
    ran = [attempt for attempt in ran if not attempt.startswith("valid")]
    fleet.record.write(f"runs without a valid key: {ran}")
    # The rule asks for a key that no configuration ever held.
    return any(attempt.startswith("never-held") for attempt in ran)


run_case(HERE, play)
