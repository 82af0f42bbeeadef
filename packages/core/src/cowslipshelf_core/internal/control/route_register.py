"""Store the newest accepted configuration of the gateways."""

from dataclasses import dataclass

from cowslipshelf_core.identifiers import NO_CONFIGURATION
from cowslipshelf_core.internal.control.commands import PutRoutes
from cowslipshelf_core.internal.control.outcomes import RoutesConflict, RoutesHeld
from cowslipshelf_core.messages import RoutesDocument

NO_ROUTES = RoutesDocument(NO_CONFIGURATION, "", b"")


@dataclass(slots=True)
class RouteRegister:
    """Store the document with the highest version."""

    document: RoutesDocument = NO_ROUTES

    def put(self, command: PutRoutes) -> RoutesHeld | RoutesConflict:
        """Store a newer document, and answer an older one with the stored version.

        Two operators may use the same version for different contents. The first one in
        the log keeps it. The other is told of the conflict; otherwise it would wait for
        its change to take effect.
        """
        offered = command.document
        if offered.version > self.document.version:
            self.document = offered
        same_version = offered.version == self.document.version
        if same_version and offered.digest != self.document.digest:
            return RoutesConflict(offered.version)
        return RoutesHeld(self.document.version)
