"""Measure what one of three gateways serves while most new connections go to it.

Run `PYTHONPATH=benchmarks:tests python benchmarks/new_connections.py`. Each request
comes on a new connection, with a deadline of 1 s, from two processes on this machine.
"""

import tempfile
import time
from collections import Counter
from pathlib import Path

from common.connection_load import Fate, Load, run_apart
from common.gateway_fleet import (
    HOST,
    KEY,
    GatewayProcess,
    document,
    route,
    running_fleet,
    send_heartbeats,
)
from common.scripted_upstream import Exchange, ScriptedUpstream

UPSTREAMS = 4
ANSWER_SECONDS = 0.02
SECONDS = 6.0
AT_ONCE = 12
"""Connections with which the rate is measured that the gateway can serve."""
DESCRIPTORS = (1024, 4100)
OVERLOADS = (1, 2, 4, 8)
REQUEST = (
    f"POST /safe/x HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Token {KEY}\r\n"
    "X-Attempt-Id: load\r\nX-Deadline-Ms: 1000\r\nContent-Length: 5\r\n"
    "Connection: close\r\n\r\nhello"
).encode()


def answer(exchange: Exchange) -> None:
    """Answer like a small service."""
    time.sleep(ANSWER_SECONDS)
    exchange.answer(200, b"hello")


def send_in_turn(gateway: GatewayProcess, at_once: int) -> Counter[Fate]:
    """Send one request after the other for a while."""
    return run_apart([Load(gateway.callers, REQUEST, at_once=at_once, seconds=SECONDS)])


def send_at_rate(gateway: GatewayProcess, rate: float) -> Counter[Fate]:
    """Send at a rate from two processes."""
    load = Load(gateway.callers, REQUEST, rate / 2, seconds=SECONDS)
    return run_apart([load, load])


def measure(descriptors: int) -> None:
    """Print a row for each overload."""
    with (
        tempfile.TemporaryDirectory() as folder,
        running_fleet(Path(folder), max_descriptors=descriptors) as fleet,
    ):
        fleet.accept(document(1, route("/safe/")))
        upstreams = [
            ScriptedUpstream(f"u-{number}", "plain", answer)
            for number in range(UPSTREAMS)
        ]
        send_heartbeats(fleet, *upstreams)
        gateway = fleet.gateways[0]
        usual = send_in_turn(gateway, AT_ONCE)[Fate.SERVED] / SECONDS
        for overload in OVERLOADS:
            fates = send_at_rate(gateway, overload * usual)
            read = fates[Fate.SERVED] + fates[Fate.FAILED]
            after = send_in_turn(gateway, 1)
            print(
                f"| {descriptors} | {usual:.0f} | {overload} "
                f"| {fates[Fate.SERVED] / SECONDS:.0f} "
                f"| {fates[Fate.SERVED] / max(1, read):.3f} of {read} "
                f"| {fates[Fate.REFUSED]} | {after[Fate.SERVED]} of {after.total()} |",
                flush=True,
            )


def main() -> None:
    """Print the table."""
    print(
        "| descriptors | usual rate | times | served a second | in time of those read "
        "| refused unread | afterwards |"
    )
    print("| --- | --- | --- | --- | --- | --- | --- |")
    for descriptors in DESCRIPTORS:
        measure(descriptors)


if __name__ == "__main__":
    main()
