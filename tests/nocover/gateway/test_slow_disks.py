"""Bootstrap a fleet of real gateways whose disks take a second per sync."""

from itertools import count

from common.gateway_fleet import document, running_fleet
from common.polling import wait_for

MAX_SYNC_SECONDS = 1.0
FOUNDED_SECONDS = 60.0
"""Two dozen syncs in sequence, and twice that on a busy machine."""


def test_a_fleet_on_slow_disks_takes_its_first_changes(tmp_path):
    """Guards against elections that never end, so that no change is accepted."""
    with running_fleet(tmp_path, max_sync_seconds=MAX_SYNC_SECONDS) as fleet:
        turns = count()
        for version in (1, 2):
            wait_for(
                lambda v=version: fleet.put(document(v), next(turns) % 3) == 200,
                FOUNDED_SECONDS,
            )
