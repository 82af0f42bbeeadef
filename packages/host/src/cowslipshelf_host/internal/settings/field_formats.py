"""Name the forms that a settings field may take beyond its type."""

from enum import StrEnum
from typing import Annotated

import msgspec

FORMAT_KEY = "form"
SECRET_KEY = "secret"

NAME_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}\Z"
KEY_HASH_PATTERN = r"^[0-9a-f]{64}\Z"


class FieldFormat(StrEnum):
    """Tell what a text field stands for."""

    NAME = "name"
    LISTEN_ADDRESS = "listen_address"
    """May be the address of all interfaces, as nobody is told of it."""
    PEER_ADDRESS = "peer_address"
    """Is told to peers, so it must be one that they can reach."""
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
    """Give the range of a number, both ends allowed."""
    return msgspec.Meta(ge=low, le=high)
