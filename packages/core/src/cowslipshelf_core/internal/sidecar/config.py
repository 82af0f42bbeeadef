"""Define the configuration of a sidecar."""

from typing import NamedTuple

from cowslipshelf_core.identifiers import Epoch
from cowslipshelf_core.upstream import UpstreamDescription


class SidecarConfig(NamedTuple):
    """Configure the upstream, the timing and the limits of a sidecar."""

    description: UpstreamDescription
    epoch: Epoch
    """Identifies this start of the sidecar."""
    owner_lease_seconds: float = 10.0
    """Silence of an owning entry after which its attempts are aborted."""
    max_deadline_seconds: float = 3600.0
    """Upper bound on the deadline of an attempt."""
    max_running: int = 256
    max_waiting: int = 16
    waiting_memory_share: float = 0.5
    """Share of the memory; new attempts are refused while waiting ones need more."""
    bypass_seconds: float = 2.0
    """Waiting time after which smaller attempts no longer overtake an attempt."""
    cancel_repeat_seconds: float = 2.0
    cancel_settle_seconds: float = 1.0
    """Age of a cancel from which an inventory without the attempt confirms it."""
    cancel_timeout_seconds: float = 10.0
    """Time after which the reservation of an unconfirmed cancel ends.

    If the engine still holds the memory then, it counts as unclaimed and is released.
    """
    unclaimed_grace_seconds: float = 3.0
    """Time for which the engine may hold memory without a reservation."""
    inventory_max_age_seconds: float = 10.0
    """Age from which an inventory is ignored."""
    answer_retention_seconds: float = 30.0
    """Time for which the frames of a finished attempt can be read."""
    max_ended_attempts: int = 32_768
    """Ended and revoked attempts that are remembered by id."""
    max_finished: int = 512
    """Finished attempts whose frames are kept at a time."""
    fencing_retry_seconds: float = 2.0

    def max_reservation_seconds(self, deadline_seconds: float) -> float:
        """Return how long the reservation of an attempt can outlive its owner.

        It counts from the owner's last message, and allows one second for the tick.
        Only a non-idempotent attempt runs until its deadline; any other ends with its
        owner's lease. Memory that only the engine knows of is released
        `unclaimed_grace_seconds` after the first inventory that shows it.
        """
        return deadline_seconds + self.cancel_timeout_seconds + 1.0
