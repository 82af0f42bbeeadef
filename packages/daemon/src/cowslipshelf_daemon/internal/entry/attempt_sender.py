"""Hand over one request's attempts, each to one sidecar or to several."""

from cowslipshelf_core.chosen_upstream import ChosenUpstream
from cowslipshelf_core.messages import AttemptRefused
from cowslipshelf_core.upstream import HandOver
from cowslipshelf_daemon.internal.entry.part_stream import PartStream
from cowslipshelf_daemon.internal.entry.spread_hand_over import (
    SpreadHandOver,
    SpreadServices,
)
from cowslipshelf_fleet.attempts import AttemptStream, HandOverFailed


class AttemptSender:
    """Hand over attempts, and track the parts of a spread prompt."""

    def __init__(self, services: SpreadServices) -> None:
        self.services = services
        self.spread: SpreadHandOver | None = None

    def hand_over(
        self, chosen: ChosenUpstream, hand_over: HandOver
    ) -> AttemptStream | PartStream | AttemptRefused | HandOverFailed:
        """Hand over an attempt; for a spread prompt, return its last part."""
        if not chosen.helpers:
            address = chosen.attempts_address
            return self.services.attempts.hand_over(address, hand_over)
        self.spread = SpreadHandOver(chosen, hand_over, self.services)
        return self.spread.run()

    def lost_part(self) -> str:
        """Return why a helper's part was lost; empty if none was."""
        return self.spread.lost_part() if self.spread is not None else ""

    def cancel_helpers(self) -> None:
        """Cancel the parts of the prompt that helpers still hold."""
        if self.spread is not None:
            self.spread.cancel_helpers()
        self.spread = None
