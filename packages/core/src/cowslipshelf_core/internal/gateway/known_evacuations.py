"""Track which data centres are evacuated, as replicas and other gateways report."""

from dataclasses import dataclass, field

from cowslipshelf_core.identifiers import DataCentre
from cowslipshelf_core.messages import NO_EVACUATIONS, EvacuationState


@dataclass(slots=True)
class KnownEvacuations:
    """Hold the evacuations with the highest revision that was heard."""

    state: EvacuationState = NO_EVACUATIONS
    data_centres: frozenset[DataCentre] = field(default_factory=frozenset)

    def merge(self, reported: EvacuationState) -> bool:
        """Take over a higher revision; return whether it was higher.

        Reports arrive late, twice, in another order or not at all. A lower revision
        never comes back in force, since it would undo an acknowledged order.
        """
        if reported.revision <= self.state.revision:
            return False
        self.state = reported
        self.data_centres = frozenset(reported.data_centres)
        return True
