"""Keep in a file what makes a restart easier, and may be lost."""

import asyncio
import math
import time
from collections.abc import Hashable
from pathlib import Path
from typing import Generic, TypeVar

import msgspec

from cowslipshelf_host.logs import part_logger
from cowslipshelf_host.storage import StorageError, read_file, replace_file

LOG = part_logger("hint_file")

Document = TypeVar("Document")


class HintFile(Generic[Document]):
    """Own one file in the data folder, which is synced and replaced as a whole."""

    def __init__(self, folder: str, name: str, document_type: type[Document]) -> None:
        self.path = Path(folder) / name
        self.document_type = document_type
        self.writing: asyncio.Future[None] | None = None
        self.written_key: Hashable = None
        """Stands for what was written last."""
        self.written_at = -math.inf

    def read_document(self) -> Document | None:
        """Return what was written last, or nothing."""
        try:
            return msgspec.msgpack.decode(read_file(self.path), type=self.document_type)
        except FileNotFoundError:
            return None
        except (OSError, StorageError, msgspec.MsgspecError) as error:
            # A disk that lost it or spoilt it is no reason not to start.
            LOG.warning("Hints not read.", path=str(self.path), error=str(error))
            return None

    def is_writing(self) -> bool:
        """Tell whether a write is under way."""
        return self.writing is not None and not self.writing.done()

    def begin_write(self, document: Document, key: Hashable) -> None:
        """Write on another thread: a disk that hangs must not hold up requests."""
        data = msgspec.msgpack.encode(document)
        loop = asyncio.get_running_loop()
        self.writing = loop.run_in_executor(None, self.write, data, key)

    def write(self, data: bytes, key: Hashable) -> None:
        """Replace the file."""
        try:
            replace_file(self.path, data)
        except OSError as error:
            LOG.warning("Hints not written.", path=str(self.path), error=str(error))
            return
        self.written_key, self.written_at = key, time.monotonic()
