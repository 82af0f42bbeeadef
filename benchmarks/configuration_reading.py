"""Measure what a change of one route costs a gateway, by the number of routes.

`read_whole_ms` is what it cost before: decoded, checked and digested as a whole, 44 ms
with 4,450 routes. `read_changed_ms` is what it costs now, 7 ms: unpacked, decoded where
it is new, and indexed.
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


def least_milliseconds(work: Callable[[], object]) -> float:
    """Return the shortest time of some rounds, in milliseconds."""
    times = []
    for _ in range(ROUNDS):
        began = time.perf_counter()
        work()
        times.append(time.perf_counter() - began)
    return min(times) * 1e3


def row_of(routes: int) -> dict[str, float]:
    """Measure one size: bytes, and milliseconds for a version of one route more."""
    before, after = many_routes(7, routes - 1), many_routes(9, routes)

    def accepted() -> None:
        reader = ConfigurationReader()
        reader.read_accepted(before)
        began = time.perf_counter()
        configuration = reader.read_accepted(
            decompress_configuration(small).ok_value
        ).ok_value
        RouteTable.from_configuration(configuration)
        in_force.append(time.perf_counter() - began)

    small = compress_configuration(after)
    in_force: list[float] = []
    for _ in range(ROUNDS):
        accepted()
    return {
        "routes": routes,
        "written_kb": len(after) / 1e3,
        "packed_kb": len(small) / 1e3,
        "read_whole_ms": least_milliseconds(lambda: ConfigurationReader().read(after)),
        "read_changed_ms": min(in_force) * 1e3,
        "pack_ms": least_milliseconds(lambda: compress_configuration(after)),
    }


def main() -> None:
    """Print a line for each size."""
    for routes in ROUTES:
        row = row_of(routes)
        print(json.dumps({name: round(value, 2) for name, value in row.items()}))


if __name__ == "__main__":
    main()
