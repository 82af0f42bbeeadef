"""Define the configuration of a replica."""

from typing import NamedTuple

from cowslipshelf_core.identifiers import InstanceId


class ReplicaConfig(NamedTuple):
    """Configure the timing and the limits of a replica."""

    replica_instances: tuple[InstanceId, ...]
    """Instances that hold replicas, this one included."""
    heartbeat_seconds: float = 0.1
    election_seconds: float = 0.5
    """Minimum election timeout; the maximum is twice as long.

    A quarter of it must be longer than a round of votes, including disk syncs.
    """
    lease_seconds: float = 0.5
    """Time without answers from a quorum after which a leader steps down."""
    join_retry_seconds: float = 0.5
    """Pause between two join requests of an empty replica."""
    snapshot_after_entries: int = 4096
    """Committed entries after the last snapshot that trigger a new one."""
    entries_kept: int = 1024
    """Entries before a snapshot that stay in the log for slightly lagging replicas."""
    max_log_bytes: int = 8 * 1024 * 1024
    """Payloads of the entries held that trigger a snapshot; half of them stay."""
    max_uncommitted_entries: int = 4096
    max_entries_per_message: int = 512
    max_bytes_per_message: int = 262_144
    """Limit on the payloads of one message; a larger single entry is still sent."""
    max_messages_in_flight: int = 8
    """Unacknowledged messages with entries per follower."""
    open_membership: bool = False
    """Whether any replica may join, without a fixed list of instances.

    Only the replica that receives `BootstrapCluster` starts a cluster, and the leader
    removes lost voters as long as enough others are left.
    """
    max_failures: int = 0
    """Replicas that may be lost at once.

    With open membership, commands are refused until there are enough voters for it.
    """
    voter_removal_seconds: float = 6.0
    """Silence after which an open cluster removes a voter that it can do without.

    A voter whose instance is silent, too, goes sooner if the voters that answer could
    not lose `max_failures` more.
    """

    @property
    def min_voters(self) -> int:
        """Return how many voters tolerate `max_failures` losses."""
        return 2 * self.max_failures + 1
