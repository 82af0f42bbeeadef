"""Define how servers hold memory for the bodies of requests."""

from contextlib import AbstractContextManager, nullcontext
from typing import Protocol


class HoldsBodies(Protocol):
    """Hold memory for request bodies, within a limit on their sum."""

    def holding(self, length: int) -> AbstractContextManager[bool]:
        """Hold memory for a body of so many bytes; tell whether there was enough."""


class UnlimitedBodies:
    """Set no limit on request bodies."""

    def holding(self, length: int) -> AbstractContextManager[bool]:  # noqa: ARG002
        """Tell that there is enough memory."""
        return nullcontext(True)


UNLIMITED = UnlimitedBodies()
