"""Store the log in segments: files that grow by appends and are removed whole."""

import os
from array import array
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from cowslipshelf_core.agreement import Entry
from cowslipshelf_host.internal.storage.errors import StorageError
from cowslipshelf_host.internal.storage.files import (
    FILE_MODE,
    sync_folder,
    write_all,
)
from cowslipshelf_host.internal.storage.framing import frame_record, scan_records

SEGMENT_PATTERN = "log-*"
SEGMENT_NAME = "log-{first_index:020d}"

ENTRY_ENCODER = msgspec.msgpack.Encoder()
ENTRY_DECODER = msgspec.msgpack.Decoder(Entry)


@dataclass(slots=True)
class Segment:
    """Hold the state of one file of the log."""

    path: Path
    first_index: int
    size: int = 0
    synced_size: int = 0
    offsets: array = field(default_factory=lambda: array("Q"))
    """Byte offset of each entry, at which the log can be truncated."""

    @property
    def next_index(self) -> int:
        """Return the index after the last entry."""
        return self.first_index + len(self.offsets)


class SegmentedLog:
    """Append entries, truncate the end and drop the beginning of the log."""

    def __init__(self, folder: Path, segment_bytes: int) -> None:
        self.folder = folder
        self.segment_bytes = segment_bytes
        self.segments: list[Segment] = []
        self.descriptor: int | None = None
        self.pending = bytearray()

    def load(self, snapshot_index: int) -> tuple[Entry, ...]:
        """Read all entries; truncate a torn tail, or raise `StorageError`."""
        paths = sorted(self.folder.glob(SEGMENT_PATTERN))
        if not paths:
            raise StorageError.corrupt(self.folder, "the log is missing")
        entries: list[Entry] = []
        for path in paths:
            found = self.load_segment(path, is_last=path == paths[-1])
            first_index = first_index_of(path)
            expected = self.segments[-1].next_index if self.segments else first_index
            if first_index != expected:
                self.finish_reset(path, snapshot_index)
                entries.clear()
            segment = Segment(path, first_index)
            self.segments.append(segment)
            for offset, end, entry in found:
                if entry.index != segment.next_index:
                    detail = f"entry {entry.index} stands for {segment.next_index}"
                    raise StorageError.corrupt(path, detail, offset)
                segment.offsets.append(offset)
                segment.size = segment.synced_size = end
                entries.append(entry)
        if self.segments[0].first_index > snapshot_index + 1:
            detail = f"the entries from {snapshot_index + 1} on are missing"
            raise StorageError.corrupt(self.segments[0].path, detail)
        self.open_last()
        self.truncate_torn_tail()
        return tuple(entries)

    def finish_reset(self, path: Path, snapshot_index: int) -> None:
        """Remove the segments that an interrupted reset left behind.

        Such a reset leaves a gap before the new segment, which begins after the
        snapshot. Without the gap, a segment that begins there may be an old one, and
        the entries before it tell whether it conflicts with the snapshot.
        """
        if first_index_of(path) != snapshot_index + 1:
            detail = f"entry {self.segments[-1].next_index} is missing"
            raise StorageError.corrupt(path, detail)
        for covered in self.segments:
            covered.path.unlink()
        self.segments.clear()
        sync_folder(self.folder)

    def load_segment(self, path: Path, is_last: bool) -> list[tuple[int, int, Entry]]:
        """Read a segment; only the last one may end in a torn record."""
        data = path.read_bytes()
        found = scan_records(data)
        if found.corrupt or (found.end < len(data) and not is_last):
            detail = "a record that was synced is damaged"
            raise StorageError.corrupt(path, detail, found.end)
        ends = [record.offset for record in found.records[1:]] + [found.end]
        return [
            (record.offset, end, decode_entry(path, record.offset, record.payload))
            for record, end in zip(found.records, ends, strict=False)
        ]

    def truncate_torn_tail(self) -> None:
        """Truncate an incomplete record that a crash left, and sync the rest."""
        segment = self.segments[-1]
        if os.fstat(self.descriptor).st_size > segment.size:
            os.ftruncate(self.descriptor, segment.size)
        # The entries read may still be in the page cache only, if the last process
        # ended between write and sync; from here on they count as durable.
        os.fsync(self.descriptor)

    def create(self, first_index: int) -> None:
        """Create a new segment, durably."""
        path = self.folder / SEGMENT_NAME.format(first_index=first_index)
        self.segments.append(Segment(path, first_index))
        self.open_last(os.O_TRUNC)
        os.fsync(self.descriptor)
        sync_folder(self.folder)

    def open_last(self, flags: int = 0) -> None:
        """Open the last segment for appending."""
        self.close()
        flags |= os.O_RDWR | os.O_CREAT | os.O_APPEND
        self.descriptor = os.open(self.segments[-1].path, flags, FILE_MODE)

    def close(self) -> None:
        """Close the open segment, if any."""
        if self.descriptor is not None:
            os.close(self.descriptor)
            self.descriptor = None

    def append(self, entries: tuple[Entry, ...]) -> None:
        """Append entries to a buffer; `flush` writes it, `sync` makes it durable."""
        for entry in entries:
            segment = self.segments[-1]
            if segment.size >= self.segment_bytes:
                self.sync()
                self.create(segment.next_index)
                segment = self.segments[-1]
            record = frame_record(ENTRY_ENCODER.encode(entry), segment.synced_size)
            segment.offsets.append(segment.size)
            segment.size += len(record)
            self.pending += record

    def flush(self) -> None:
        """Write the buffer to the file."""
        if self.pending:
            write_all(self.descriptor, self.pending)
            self.pending.clear()

    def sync(self) -> None:
        """Make all appended entries durable."""
        self.flush()
        segment = self.segments[-1]
        if segment.synced_size < segment.size:
            os.fdatasync(self.descriptor)
            segment.synced_size = segment.size

    def truncate_from(self, index: int) -> None:
        """Remove an entry and all after it, the newest file first.

        The truncation is synced before anything is appended: otherwise a crash could
        leave new bytes before old ones, which would look like corruption.
        """
        self.flush()
        while len(self.segments) > 1 and self.segments[-1].first_index >= index:
            self.segments.pop().path.unlink()
            self.open_last()
        segment = self.segments[-1]
        position = index - segment.first_index
        if position < len(segment.offsets):
            segment.size = segment.offsets[position]
            del segment.offsets[position:]
        segment.synced_size = min(segment.synced_size, segment.size)
        os.ftruncate(self.descriptor, segment.size)
        os.fsync(self.descriptor)
        sync_folder(self.folder)

    def drop_before(self, index: int) -> None:
        """Remove the segments whose entries all have a lower index."""
        dropped = False
        while len(self.segments) > 1 and self.segments[1].first_index <= index:
            self.segments.pop(0).path.unlink()
            dropped = True
        if dropped:
            sync_folder(self.folder)

    def reset(self, first_index: int) -> None:
        """Remove the whole log and start a new one after a snapshot.

        The newest files are removed first, so that a crash leaves a prefix of the old
        log, which loading compares with the snapshot and discards.
        """
        self.truncate_from(self.segments[0].first_index)
        oldest = self.segments.pop()
        if oldest.first_index == first_index:
            self.segments.append(oldest)
            return
        self.create(first_index)
        oldest.path.unlink()
        sync_folder(self.folder)


def first_index_of(path: Path) -> int:
    """Return the first index from a segment's file name."""
    try:
        return int(path.name.removeprefix(SEGMENT_PATTERN.rstrip("*")))
    except ValueError as error:
        raise StorageError("load", path, "this is no segment of the log") from error


def decode_entry(path: Path, offset: int, payload: bytes) -> Entry:
    """Decode an entry whose checksum is valid."""
    try:
        return ENTRY_DECODER.decode(payload)
    except msgspec.DecodeError as error:
        raise StorageError.corrupt(path, f"no entry: {error}", offset) from error
