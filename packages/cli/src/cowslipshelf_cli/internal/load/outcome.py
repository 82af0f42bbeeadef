"""Define how the requests of a load can end."""

from enum import StrEnum
from typing import NamedTuple

from cowslipshelf_cli.internal.load.shape import Arrival


class Ending(StrEnum):
    """Enumerate how a request can end."""

    WHOLE = "whole"
    """Complete, with the final marker."""
    REFUSED = "refused"
    """With an error that names its reason, before or within the answer."""
    CUT = "cut"
    """Without a final marker or an error."""
    UNREACHABLE = "unreachable"
    """Without any answer."""
    NOT_SENT = "not_sent"
    """Skipped for good, as too many requests were open."""


class Outcome(NamedTuple):
    """Hold one request and how it ended; times count from its planned arrival."""

    arrival: Arrival
    ending: Ending
    code: str = ""
    """Code and reason of a refusal, or the error that broke the answer."""
    late_seconds: float = 0.0
    """Delay between the planned and the actual sending, caused by the tool."""
    first_token_seconds: float | None = None
    total_seconds: float | None = None
