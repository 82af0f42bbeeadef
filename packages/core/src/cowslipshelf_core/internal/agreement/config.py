"""Define the settings of a replica."""

from typing import NamedTuple

from cowslipshelf_core.identifiers import InstanceId


class ReplicaConfig(NamedTuple):
    """Set the pace and the bounds of a replica."""

    replica_instances: tuple[InstanceId, ...]
    """Every instance that the settings give a data folder, this one included."""
    heartbeat_seconds: float = 0.1
    election_seconds: float = 0.5
    """Shortest silence before an election; the longest is twice as long.

    A quarter of it must outlast a round of votes, syncs included.
    """
    lease_seconds: float = 0.5
    """A leader that has heard from no quorum for so long steps down."""
    join_retry_seconds: float = 0.5
    """Pause between two questions of an empty replica to be taken in."""
    snapshot_after_entries: int = 4096
    entries_kept: int = 1024
    """Entries kept before a snapshot for replicas that are a little behind."""
    max_uncommitted_entries: int = 4096
    max_entries_per_message: int = 512
    max_bytes_per_message: int = 262_144
    """Bound on payloads in one message; a larger single entry still travels."""
    max_messages_in_flight: int = 8
    open_membership: bool = False
    """Whether replicas find each other: any that asks is taken in, the cluster is
    founded by the one that is told to, and a silent voter gives way to a new one."""
    max_failures: int = 0
    """Replicas that may be lost at once; with open membership, commands wait until
    there are enough voters for that."""
    voter_removal_seconds: float = 6.0
    """Silence of a voter after which a newer voter has taken its place."""

    @property
    def min_voters(self) -> int:
        """Return how many voters can lose the most that may be lost."""
        return 2 * self.max_failures + 1
