"""Print the encoded sizes of the messages about upstream health and evacuations."""

import msgspec

from cowslipshelf_core.gateway import (
    HeartbeatSeen,
    UpstreamHeartbeat,
    UpstreamObservation,
    UpstreamObservations,
    UpstreamOutcome,
    UpstreamPhase,
)
from cowslipshelf_core.identifiers import Epoch
from cowslipshelf_core.messages import PeerAlive

UPSTREAM = "i-9dfbcfb7b6#1775556290838"


def encoded_bytes(message: object) -> int:
    """Return the size of a message as gateways send it, without its envelope."""
    return len(msgspec.msgpack.encode(message))


def main() -> None:
    """Print a line for each message."""
    observed = UpstreamObservation(UPSTREAM, UpstreamOutcome.ANSWERED, 1.74, 0.01, True)
    for count in (1, 10, 200):
        message = UpstreamObservations((observed,) * count, 45, 1000)
        print(f"observations, {count}: {encoded_bytes(message)} B")
    heartbeat = UpstreamHeartbeat(
        "i-9dfbcfb7b6",
        "service-1",
        "10.1.64.50:8084",
        "hki-a",
        6,
        UpstreamPhase.READY,
        9,
    )
    for label, cold in (("without cold time", None), ("with cold time", 2.5)):
        seen = HeartbeatSeen(heartbeat, 0.2, 1775556290838, cold)
        print(f"heartbeat, {label}: {encoded_bytes(seen)} B")
    for evacuated in ((), ("hki-a",)):
        alive = PeerAlive(
            Epoch("e" * 32), "hki-a", True, 9, (), 5, 900, False, 1234, evacuated
        )
        print(f"alive, {len(evacuated)} evacuated: {encoded_bytes(alive)} B")


if __name__ == "__main__":
    main()
