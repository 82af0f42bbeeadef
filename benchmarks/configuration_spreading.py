"""Measure how a change reaches every gateway, by routes, gateways and links.

On a clock of its own, with the gateways' own parts: processor time counts for nothing.
Before, a change of 1,600 routes at 24 gateways took 2.7 s on links of 0.4 MB/s and
24.1 MB; now 0.2 s and 2.0 MB, two versions in a row each time.
"""

import json
import logging
import sys
from pathlib import Path

import pytest
import structlog

sys.path.append(str(Path(__file__).parents[1] / "tests"))

from common.slow_links import SlowLinkFleet, accepted, many_routes

ROUTES = (250, 1600, 4450, 8000)
GATEWAYS = (8, 32, 64)
LINKS_MBIT = (10, 100)
REPLICAS = 6
SECONDS = 20.0


def row_of(routes: int, gateways: int, link_mbit: int) -> dict[str, float]:
    """Measure one size: seconds to the last gateway, and what each one receives."""
    with pytest.MonkeyPatch.context() as patch:
        rate = link_mbit * 1e6 / 8
        world = SlowLinkFleet(patch, REPLICAS, gateways - REPLICAS, rate)
        world.run(3.0)
        world.commit(accepted(many_routes(3, routes - 1)))
        world.run(10.0)
        began, before = world.clock.now, world.received()
        world.commit(accepted(many_routes(7, routes)))
        world.run(SECONDS)
        with_change, before = world.received() - before, world.received()
        # What they tell each other without any change is not the change's cost.
        world.run(SECONDS)
        spent = with_change - (world.received() - before)
        return {
            "link_mbit": link_mbit,
            "gateways": gateways,
            "routes": routes,
            "seconds": round(world.last_in_force(7) - began, 3),
            "kb_each": round(spent / (gateways - REPLICAS) / 1e3, 1),
            "most_copies": max(world.copies[7].values()),
        }


def main() -> None:
    """Print a line for each size."""
    quiet = structlog.make_filtering_bound_logger(logging.CRITICAL)
    structlog.configure(wrapper_class=quiet)
    for link_mbit in LINKS_MBIT:
        for gateways in GATEWAYS:
            for routes in ROUTES:
                print(json.dumps(row_of(routes, gateways, link_mbit)), flush=True)


if __name__ == "__main__":
    main()
