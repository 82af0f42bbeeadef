"""Frame records with length and checksums, and tell torn from corrupt ones."""

import struct
import zlib
from typing import NamedTuple

HEADER = struct.Struct("<IIII")
HEADER_FIELDS = struct.Struct("<III")
SECTOR_BYTES = 512
MIN_ZERO_BYTES = 32
"""A shorter run of zeros at the end of a sector may be part of a record."""


class FramedRecord(NamedTuple):
    """Hold a valid record and its offset in the file."""

    offset: int
    payload: bytes


class ScanResult(NamedTuple):
    """Hold the records of a file before its first invalid one."""

    records: list[FramedRecord]
    end: int
    """Offset after the last valid record."""
    corrupt: bool
    """Whether bytes after `end` were synced and became corrupt since."""


def frame_record(payload: bytes, synced: int = 0) -> bytes:
    """Return a framed record; `synced` is the synced length of the file, in bytes."""
    checked = HEADER_FIELDS.pack(len(payload), synced, zlib.crc32(payload))
    return checked + struct.pack("<I", zlib.crc32(checked)) + payload


def scan_records(data: bytes) -> ScanResult:
    """Read records until the first invalid one, and classify what follows."""
    records = []
    offset = 0
    while offset < len(data):
        payload = record_at(data, offset)
        if payload is None:
            return ScanResult(records, offset, not is_torn(data, offset))
        records.append(FramedRecord(offset, payload))
        offset += HEADER.size + len(payload)
    return ScanResult(records, offset, corrupt=False)


def header_at(data: bytes, offset: int) -> tuple[int, int, int] | None:
    """Return length, synced length and checksum, or None for an invalid header."""
    if offset + HEADER.size > len(data):
        return None
    length, synced, checksum, header_checksum = HEADER.unpack_from(data, offset)
    checked = data[offset : offset + HEADER_FIELDS.size]
    return (
        (length, synced, checksum) if zlib.crc32(checked) == header_checksum else None
    )


def record_at(data: bytes, offset: int) -> bytes | None:
    """Return the payload of a record, or None if the record is invalid."""
    header = header_at(data, offset)
    if header is None:
        return None
    length, _, checksum = header
    start = offset + HEADER.size
    payload = data[start : start + length]
    whole = len(payload) == length and zlib.crc32(payload) == checksum
    return payload if whole else None


def is_torn(data: bytes, offset: int) -> bool:
    """Return whether an invalid record was never synced, so that it can be truncated.

    A crash can leave an incomplete record at the end of the file, or sectors of zeros
    if the file's length was written and the data was not. Any other record with a wrong
    checksum was synced and became corrupt later; truncating it would silently lose
    acknowledged entries. A later record that was written when the file was already
    synced past this offset proves the corruption.
    """
    if is_followed_by_synced(data, offset):
        return False
    if offset + HEADER.size > len(data):
        return True
    header = header_at(data, offset)
    if header is not None and offset + HEADER.size + header[0] > len(data):
        return True
    return has_zero_sector(data, offset)


def is_followed_by_synced(data: bytes, offset: int) -> bool:
    """Return whether a later valid record states that this offset was synced."""
    for later in range(offset + 1, len(data) - HEADER.size + 1):
        header = header_at(data, later)
        if header is None or header[1] <= offset:
            continue
        if record_at(data, later) is not None:
            return True
    return False


def has_zero_sector(data: bytes, offset: int) -> bool:
    """Return whether any sector after an offset holds only zeros."""
    start = offset
    while start < len(data):
        end = min(len(data), start - start % SECTOR_BYTES + SECTOR_BYTES)
        if end - start >= MIN_ZERO_BYTES and not any(data[start:end]):
            return True
        start = end
    return False
