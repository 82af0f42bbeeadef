"""Measure what a change of one route costs a gateway, by the number of routes.

`read_whole_ms` is the time to decode, check and digest the whole configuration, 44 ms
with 4,450 routes. `read_changed_ms` is the time that a gateway takes, 7 ms:
decompress it, decode only the new parts, and index it.
"""

import json
import sys
import time
from collections.abc import Callable
from pathlib import Path

sys.path.append(str(Path(__file__).parents[1] / "tests"))

from common.slow_links import many_routes
from cowslipshelf_adapter.configuration import ConfigurationReader
from cowslipshelf_core.gateway import (
    RouteTable,
    compress_configuration,
    decompress_configuration,
)

ROUTES = (250, 1000, 2000, 4450, 8000)
ROUNDS = 7


def min_milliseconds(work: Callable[[], object]) -> float:
    """Return the minimum time over the rounds, in milliseconds."""
    times = []
    for _ in range(ROUNDS):
        began = time.perf_counter()
        work()
        times.append(time.perf_counter() - began)
    return min(times) * 1e3


def measure(routes: int) -> dict[str, float]:
    """Measure one size: bytes, and the time to apply a version with one more route."""
    before, after = many_routes(7, routes - 1), many_routes(9, routes)

    def apply() -> None:
        reader = ConfigurationReader()
        reader.read_accepted(before)
        began = time.perf_counter()
        configuration = reader.read_accepted(
            decompress_configuration(compressed).ok_value
        ).ok_value
        RouteTable.from_configuration(configuration)
        apply_seconds.append(time.perf_counter() - began)

    compressed = compress_configuration(after)
    apply_seconds: list[float] = []
    for _ in range(ROUNDS):
        apply()
    return {
        "routes": routes,
        "written_kb": len(after) / 1e3,
        "packed_kb": len(compressed) / 1e3,
        "read_whole_ms": min_milliseconds(lambda: ConfigurationReader().read(after)),
        "read_changed_ms": min(apply_seconds) * 1e3,
        "pack_ms": min_milliseconds(lambda: compress_configuration(after)),
    }


def main() -> None:
    """Print a JSON line for each size."""
    for routes in ROUTES:
        row = measure(routes)
        print(json.dumps({name: round(value, 2) for name, value in row.items()}))


if __name__ == "__main__":
    main()
