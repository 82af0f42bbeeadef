"""Store hints for a restart in a file whose loss is tolerable."""

import asyncio
import math
import time
from collections.abc import Hashable
from pathlib import Path
from typing import Generic, TypeVar

import msgspec

from cowslipshelf_host.logs import part_logger
from cowslipshelf_host.storage import (
    StorageError,
    read_record_file,
    replace_record_file,
)

LOG = part_logger("hint_file")

Document = TypeVar("Document")


class HintFile(Generic[Document]):
    """Manage one file in the data folder, which is synced and replaced as a whole."""

    def __init__(self, folder: str, name: str, document_type: type[Document]) -> None:
        self.path = Path(folder) / name
        self.document_type = document_type
        self.writing: asyncio.Future[None] | None = None
        self.written_key: Hashable = None
        """Identifies the content that was written last."""
        self.written_at = -math.inf

    def read_document(self) -> Document | None:
        """Return the document that was written last, or None."""
        try:
            return msgspec.msgpack.decode(
                read_record_file(self.path), type=self.document_type
            )
        except FileNotFoundError:
            return None
        except (OSError, StorageError, msgspec.MsgspecError) as error:
            # A lost or corrupt file must not prevent the start.
            LOG.warning("Hints not read.", path=str(self.path), error=str(error))
            return None

    def is_writing(self) -> bool:
        """Return whether a write is in progress."""
        return self.writing is not None and not self.writing.done()

    def begin_write(self, document: Document, key: Hashable) -> None:
        """Write on another thread: a stalled disk must not delay requests."""
        data = msgspec.msgpack.encode(document)
        loop = asyncio.get_running_loop()
        self.writing = loop.run_in_executor(None, self.write, data, key)

    def write(self, data: bytes, key: Hashable) -> None:
        """Replace the file, and record the key of its content."""
        try:
            replace_record_file(self.path, data)
        except OSError as error:
            LOG.warning("Hints not written.", path=str(self.path), error=str(error))
            return
        self.written_key, self.written_at = key, time.monotonic()
