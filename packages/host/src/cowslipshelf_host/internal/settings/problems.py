"""Describe what is wrong with settings."""

import json
from typing import NamedTuple

WHOLE_FILE = "(file)"
MAX_VALUE_CHARACTERS = 60


class SettingsProblem(NamedTuple):
    """Be one thing that is wrong: where it is, what was found, what is allowed."""

    file: str
    field: str
    """Path in the JSON, such as `entries[2].mailbox_address`."""
    found: str
    allowed: str

    def __str__(self) -> str:
        """Show the problem as one line."""
        return f"{self.file}: {self.field}: found {self.found}; allowed: {self.allowed}"


def format_value(value: object) -> str:
    """Show a JSON value on one short line; of lists and objects only the kind."""
    if isinstance(value, dict):
        return "an object"
    if isinstance(value, list):
        return f"a list of {len(value)}"
    # Escaped to ASCII: a line feed or half a surrogate pair in a value must not
    # break the one line that is promised for each problem.
    text = json.dumps(value)
    if len(text) > MAX_VALUE_CHARACTERS:
        return text[:MAX_VALUE_CHARACTERS] + "..."
    return text
