"""Describe how the requests of a load ended."""

from enum import StrEnum
from typing import NamedTuple

from cowslipshelf_cli.internal.load.shape import Arrival


class Ending(StrEnum):
    """Tell how a request ended."""

    WHOLE = "whole"
    """With its final marker."""
    REFUSED = "refused"
    """With an error that says what happened, before or within the answer."""
    CUT = "cut"
    """Without a final marker or an error."""
    UNREACHABLE = "unreachable"
    """Without any answer."""
    NOT_SENT = "not_sent"
    """Never sent, as too many requests were open; not sent later either."""


class Outcome(NamedTuple):
    """Be one request and how it ended; times count from its planned arrival."""

    arrival: Arrival
    ending: Ending
    code: str = ""
    """Code and reason of a refusal, or what broke."""
    late_seconds: float = 0.0
    """Time by which the request was sent too late, by a fault of the tool."""
    first_token_seconds: float | None = None
    total_seconds: float | None = None
