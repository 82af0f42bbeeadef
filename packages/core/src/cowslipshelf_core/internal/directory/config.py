"""Set the times and shares by which the directory decides."""

from typing import NamedTuple


class DirectoryConfig(NamedTuple):
    """Set how an entry judges the upstreams that it hears of, in seconds."""

    max_lease_seconds: float = 30.0
    """A longer announced lease is cut down to this."""
    removal_seconds: float = 10.0
    """Silence past the lease after which a confirmed suspicion removes.

    Never less than the lease: in a cut of everything, leases end within one lease of
    each other, and the cut must be seen before the first upstream is removed.
    """
    sole_observer_removal_seconds: float = 30.0
    """Silence past the lease that removes where there is no other observer."""
    unconfirmed_removal_seconds: float = 120.0
    """Silence past the lease that removes though no other observer confirms it."""
    suspicion_repeat_seconds: float = 2.0
    suspicion_max_age_seconds: float = 10.0
    """Age at which another observer's suspicion no longer counts."""
    mass_loss_share: float = 0.5
    """Silence of more than this share of the fleet is taken for a cut on our side."""
    mass_loss_min_upstreams: int = 2
    """Fewer silent upstreams are never a mass loss."""
    mass_loss_window_seconds: float = 30.0
    """Leases that end within this time count as lost together."""
    doubtful_seconds: float = 300.0
    """Time for which silent upstreams stay in use in a mass loss, if others are heard.

    Where none is heard they stay for as long as it takes.
    """
    rejoin_spacing_seconds: float = 0.2
    """Time between two upstreams that come back into use after a mass loss."""
    flap_pause_seconds: float = 2.0
    """Pause before the second return; it doubles with each further one."""
    max_flap_pause_seconds: float = 60.0
    flap_reset_seconds: float = 300.0
    """Time without a loss after which pauses begin anew; removed ones are kept so."""
    max_retired_epochs: int = 8

    def max_silence_seconds(self, lease_seconds: float) -> float:
        """Return the longest silence before a single dead upstream gets no new work."""
        return min(lease_seconds, self.max_lease_seconds)

    def max_removal_seconds(self, lease_seconds: float) -> float:
        """Return the longest silence before a single dead upstream is removed."""
        return self.max_silence_seconds(lease_seconds) + max(
            self.sole_observer_removal_seconds,
            self.unconfirmed_removal_seconds,
            self.removal_seconds,
        )
