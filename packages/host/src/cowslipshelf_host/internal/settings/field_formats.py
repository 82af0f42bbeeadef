"""Define formats of settings fields that are stricter than their types."""

from enum import StrEnum
from typing import Annotated

import msgspec

FORMAT_KEY = "form"
SECRET_KEY = "secret"

NAME_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}\Z"
KEY_HASH_PATTERN = r"^[0-9a-f]{64}\Z"


class FieldFormat(StrEnum):
    """Name the format of a text field."""

    NAME = "name"
    LISTEN_ADDRESS = "listen_address"
    """May be the wildcard address, as it is not sent to peers."""
    PEER_ADDRESS = "peer_address"
    """Sent to peers, so it must be an address that they can reach."""
    KEY_HASH = "key_hash"
    FOLDER = "folder"
    OTHER = "other"


Name = msgspec.Meta(pattern=NAME_PATTERN, extra={FORMAT_KEY: FieldFormat.NAME})

ListenAddress = Annotated[
    str, msgspec.Meta(extra={FORMAT_KEY: FieldFormat.LISTEN_ADDRESS})
]
PeerAddress = Annotated[str, msgspec.Meta(extra={FORMAT_KEY: FieldFormat.PEER_ADDRESS})]
KeyHash = Annotated[
    str,
    msgspec.Meta(
        pattern=KEY_HASH_PATTERN,
        extra={FORMAT_KEY: FieldFormat.KEY_HASH, SECRET_KEY: True},
    ),
]
Folder = Annotated[
    str, msgspec.Meta(min_length=1, extra={FORMAT_KEY: FieldFormat.FOLDER})
]


def between(low: float, high: float) -> msgspec.Meta:
    """Return the constraint for a range of numbers, both ends included."""
    return msgspec.Meta(ge=low, le=high)
