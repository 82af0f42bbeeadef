"""Set the limits and times by which a sidecar decides."""

from typing import NamedTuple

from cowslipshelf_core.identifiers import Epoch
from cowslipshelf_core.upstream import UpstreamDescription


class SidecarConfig(NamedTuple):
    """Set what a sidecar runs for, and its limits; times are in seconds."""

    description: UpstreamDescription
    epoch: Epoch
    """Start of this sidecar."""
    owner_lease_seconds: float = 10.0
    """Silence after which an owner's attempts are given up."""
    max_deadline_seconds: float = 3600.0
    """A longer deadline is cut down to this."""
    max_running: int = 256
    max_waiting: int = 16
    waiting_memory_share: float = 0.5
    """Part of the memory; nothing joins attempts that already wait for more."""
    bypass_seconds: float = 2.0
    """Wait after which smaller attempts no longer pass the first one waiting."""
    cancel_repeat_seconds: float = 2.0
    cancel_settle_seconds: float = 1.0
    """Age of a cancel from which an inventory without the attempt is believed."""
    cancel_timeout_seconds: float = 10.0
    """Time after a cancel at which its reservation ends without any word of it.

    If the engine holds the memory even then, it counts as unclaimed and is released.
    """
    unclaimed_grace_seconds: float = 3.0
    """Time for which the engine may hold memory that no attempt here claims."""
    inventory_max_age_seconds: float = 10.0
    """Age at which an inventory no longer tells anything."""
    answer_retention_seconds: float = 30.0
    """Time for which a finished attempt's frames can be read."""
    max_ended_attempts: int = 32_768
    """Ended and revoked attempts that are known by their ids."""
    max_finished: int = 512
    """Finished attempts whose frames are kept."""
    fencing_retry_seconds: float = 2.0

    def max_reservation_seconds(self, deadline_seconds: float) -> float:
        """Return the longest time for which a lost attempt's reservation lasts.

        It counts from the owner's last sign of life, and allows a second for the tick.
        Only an attempt that may not be repeated needs the whole deadline; any other
        ends with its owner's lease. Memory that the engine alone knows of is asked back
        `unclaimed_grace_seconds` after the inventory that first shows it.
        """
        return deadline_seconds + self.cancel_timeout_seconds + 1.0
