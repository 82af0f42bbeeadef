"""Store which data centres are evacuated."""

from dataclasses import dataclass

from cowslipshelf_core.internal.control.commands import SetEvacuation
from cowslipshelf_core.internal.control.limits import MAX_EVACUATED_DATA_CENTRES
from cowslipshelf_core.internal.control.outcomes import (
    EvacuationOutdated,
    EvacuationRecorded,
    EvacuationRefused,
)
from cowslipshelf_core.messages import NO_EVACUATIONS, EvacuationState


@dataclass(slots=True)
class EvacuationRegister:
    """Store the evacuated data centres and the revision of their last change."""

    state: EvacuationState = NO_EVACUATIONS

    def set(
        self, command: SetEvacuation, index: int
    ) -> EvacuationRecorded | EvacuationOutdated | EvacuationRefused:
        """Apply an order; one that asks for what is in force changes nothing.

        A command may be committed more than once, seconds later. A late copy must not
        undo the orders acknowledged since, so an order whose sender did not know the
        present revision is not applied; a sender that still waits submits it again.

        The revision is the log index of the change. Gateways ignore a revision below
        the one that they know, so it exceeds that one even if the log was lost and its
        indexes begin again. The evacuations that the gateways know then hold on.
        """
        known = command.known_revision
        if known > self.state.revision:
            self.state = EvacuationState(
                known, tuple(sorted(command.known_data_centres))
            )
        names = set(self.state.data_centres)
        if command.evacuated:
            names.add(command.data_centre)
        else:
            names.discard(command.data_centre)
        if len(names) > MAX_EVACUATED_DATA_CENTRES:
            return EvacuationRefused(
                f"{MAX_EVACUATED_DATA_CENTRES} data centres are evacuated already"
            )
        data_centres = tuple(sorted(names))
        changed = data_centres != self.state.data_centres
        if changed and known < self.state.revision:
            return EvacuationOutdated(self.state.revision)
        if changed:
            self.state = EvacuationState(max(index, known + 1), data_centres)
        return EvacuationRecorded(self.state.revision)
