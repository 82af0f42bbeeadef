"""Measure the processor cost of messages, heartbeats and streamed frames.

Run `python benchmarks/fleet.py [--seconds 5] [--out FILE]`; the result is JSON.
Sender and receiver are separate processes, each measured by its processor time.
"""

import argparse
import json
import platform
import sys
from pathlib import Path

from fleet_mailboxes import measure_idle_peers, measure_messages
from fleet_streams import measure_streams

MESSAGE_BYTES = (100, 1_000, 10_000, 100_000)
PEER_COUNTS = (0, 100, 300)
STREAM_COUNTS = (1, 50, 300)


def measure(seconds: float) -> dict[str, object]:
    """Run all measurements in turn."""
    return {
        "python": platform.python_version(),
        "seconds_each": seconds,
        "messages": [measure_messages(size, seconds) for size in MESSAGE_BYTES],
        "idle_peers": [measure_idle_peers(count, seconds) for count in PEER_COUNTS],
        "streams": [measure_streams(count, seconds) for count in STREAM_COUNTS],
    }


def main() -> None:
    """Run the measurements and write the result."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--out", type=Path)
    arguments = parser.parse_args()
    text = json.dumps(measure(arguments.seconds), indent=2) + "\n"
    if arguments.out is None:
        sys.stdout.write(text)
    else:
        arguments.out.write_text(text)


if __name__ == "__main__":
    main()
