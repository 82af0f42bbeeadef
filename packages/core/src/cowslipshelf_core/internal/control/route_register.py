"""Hold the newest routed configuration that was accepted."""

from dataclasses import dataclass

from cowslipshelf_core.identifiers import NO_CONFIGURATION
from cowslipshelf_core.internal.control.commands import PutRoutes
from cowslipshelf_core.internal.control.outcomes import RoutesConflict, RoutesHeld
from cowslipshelf_core.messages import RoutesDocument

NO_ROUTES = RoutesDocument(NO_CONFIGURATION, "", b"")


@dataclass(slots=True)
class RouteRegister:
    """Keep the document with the highest version."""

    document: RoutesDocument = NO_ROUTES

    def put(self, command: PutRoutes) -> RoutesHeld | RoutesConflict:
        """Hold a newer document; an older one is answered and changes nothing.

        Two operators may give the same number to two contents. The first one in the
        log keeps it, and the other is told, since it would wait for its change.
        """
        document = command.document
        if document.version > self.document.version:
            self.document = document
        same_version = document.version == self.document.version
        if same_version and document.digest != self.document.digest:
            return RoutesConflict(document.version)
        return RoutesHeld(self.document.version)
