"""Write small files atomically and lock folders."""

import fcntl
import os
from pathlib import Path

from cowslipshelf_host.internal.storage.errors import StorageError
from cowslipshelf_host.internal.storage.framing import frame_record, scan_records

TEMPORARY_SUFFIX = ".tmp"
FILE_MODE = 0o600


def sync_folder(folder: Path) -> None:
    """Sync a folder, so that created, renamed and removed names are durable."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def write_all(descriptor: int, data: bytes) -> None:
    """Write all of the data; one call may write only a part, as on a full disk."""
    view = memoryview(data)
    while view:
        view = view[os.write(descriptor, view) :]


def replace_record_file(path: Path, payload: bytes) -> None:
    """Replace a file of one record, durably; a crash leaves the old or the new."""
    temporary = path.with_name(path.name + TEMPORARY_SUFFIX)
    descriptor = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, FILE_MODE)
    try:
        write_all(descriptor, frame_record(payload))
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
    os.replace(temporary, path)
    sync_folder(path.parent)


def read_record_file(path: Path) -> bytes:
    """Read a file of one record, or raise `StorageError` if it is corrupt."""
    data = path.read_bytes()
    found = scan_records(data)
    if len(found.records) != 1 or found.end != len(data):
        raise StorageError.corrupt(path, "the checksum does not match", found.end)
    return found.records[0].payload


def lock_folder(path: Path) -> int:
    """Lock a folder by a file in it; the lock is released when the process ends.

    Without the lock, two processes could append to one log, as when a restart leaves
    the old process running, and each would rely on entries that the other overwrote.
    """
    descriptor = os.open(path, os.O_RDWR | os.O_CREAT, FILE_MODE)
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError as error:
        os.close(descriptor)
        detail = "another process uses this data folder"
        raise StorageError("lock", path, detail) from error
    return descriptor
