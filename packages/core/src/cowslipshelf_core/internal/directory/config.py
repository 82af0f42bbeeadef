"""Define the configuration of the directory."""

from typing import NamedTuple


class DirectoryConfig(NamedTuple):
    """Configure when an entry uses, suspects and removes announced upstreams."""

    max_lease_seconds: float = 30.0
    """Upper bound on announced leases."""
    removal_seconds: float = 10.0
    """Silence past the lease after which a suspicion confirmed by others removes.

    The lease is a lower bound on it: if all announcements stop at once, the leases end
    within one lease of each other, and the mass loss must be detected before the first
    upstream is removed.
    """
    sole_observer_removal_seconds: float = 30.0
    """Silence past the lease that removes if there are no other entries."""
    unconfirmed_removal_seconds: float = 120.0
    """Silence past the lease that removes if no other entry confirms it."""
    suspicion_repeat_seconds: float = 2.0
    suspicion_max_age_seconds: float = 10.0
    """Age from which the suspicion of another entry is ignored."""
    mass_loss_share: float = 0.5
    """Share of silent upstreams above which a fault at this entry is assumed."""
    mass_loss_min_upstreams: int = 2
    """Fewer silent upstreams than this are never a mass loss."""
    mass_loss_window_seconds: float = 30.0
    """Leases that have ended within this time count as lost together."""
    doubtful_seconds: float = 300.0
    """Time for which silent upstreams stay in use in a mass loss if others are heard.

    If none is heard, they stay in use without a time limit.
    """
    rejoin_spacing_seconds: float = 0.2
    """Interval between upstreams that come back into use after a mass loss."""
    flap_pause_seconds: float = 2.0
    """Delay of the second return of an upstream; it doubles with each further one."""
    max_flap_pause_seconds: float = 60.0
    flap_reset_seconds: float = 300.0
    """Time without a return after which the delay is reset.

    The records of removed upstreams are kept for this time.
    """
    max_retired_epochs: int = 8

    def max_silence_seconds(self, lease_seconds: float) -> float:
        """Return how long a single upstream can be silent and still be used."""
        return min(lease_seconds, self.max_lease_seconds)

    def max_removal_seconds(self, lease_seconds: float) -> float:
        """Return the longest silence before a single dead upstream is removed."""
        return self.max_silence_seconds(lease_seconds) + max(
            self.sole_observer_removal_seconds,
            self.unconfirmed_removal_seconds,
            self.removal_seconds,
        )
