"""Describe problems in settings."""

import json
from typing import NamedTuple

WHOLE_FILE = "(file)"
MAX_VALUE_CHARACTERS = 60


class SettingsProblem(NamedTuple):
    """Describe one problem: its place, what was found, what is allowed."""

    file: str
    field: str
    """Path in the JSON, such as `entries[2].mailbox_address`."""
    found: str
    allowed: str

    def __str__(self) -> str:
        """Format the problem as one line."""
        return f"{self.file}: {self.field}: found {self.found}; allowed: {self.allowed}"


def format_value(value: object) -> str:
    """Format a JSON value as one short line; lists and objects by their kind only."""
    if isinstance(value, dict):
        return "an object"
    if isinstance(value, list):
        return f"a list of {len(value)}"
    # json.dumps escapes to ASCII: a line feed or a lone surrogate in a value must not
    # break the output, which has one line per problem.
    text = json.dumps(value)
    if len(text) > MAX_VALUE_CHARACTERS:
        return text[:MAX_VALUE_CHARACTERS] + "..."
    return text
