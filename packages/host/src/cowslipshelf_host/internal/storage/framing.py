"""Frame records with their length and checksums, and judge damage."""

import struct
import zlib
from typing import NamedTuple

HEADER = struct.Struct("<IIII")
HEADER_FIELDS = struct.Struct("<III")
SECTOR_BYTES = 512
MIN_ZERO_BYTES = 32
"""A shorter run of zeros at a sector's end may well belong to a record."""


class FramedRecord(NamedTuple):
    """Be a whole record of a file."""

    offset: int
    payload: bytes


class ScanResult(NamedTuple):
    """Be what a file holds, up to its first bad record if there is one."""

    records: list[FramedRecord]
    end: int
    """Offset after the last whole record."""
    corrupt: bool
    """True where bytes after the end were synced and have been damaged since."""


def frame_record(payload: bytes, synced: int = 0) -> bytes:
    """Return a record; `synced` is the length of the file known to be synced."""
    checked = HEADER_FIELDS.pack(len(payload), synced, zlib.crc32(payload))
    return checked + struct.pack("<I", zlib.crc32(checked)) + payload


def scan_records(data: bytes) -> ScanResult:
    """Read records from the start, and judge what follows the last whole one."""
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
    """Return length, synced length and checksum, or nothing for a bad header."""
    if offset + HEADER.size > len(data):
        return None
    length, synced, checksum, header_checksum = HEADER.unpack_from(data, offset)
    checked = data[offset : offset + HEADER_FIELDS.size]
    return (
        (length, synced, checksum) if zlib.crc32(checked) == header_checksum else None
    )


def record_at(data: bytes, offset: int) -> bytes | None:
    """Return the payload of a whole record, or nothing for a bad one."""
    header = header_at(data, offset)
    if header is None:
        return None
    length, _, checksum = header
    start = offset + HEADER.size
    payload = data[start : start + length]
    whole = len(payload) == length and zlib.crc32(payload) == checksum
    return payload if whole else None


def is_torn(data: bytes, offset: int) -> bool:
    """Tell whether a bad record was never synced, so that cutting it loses nothing.

    A crash leaves a record that the file ends in, or sectors of zeros where the
    length of the file was written and the bytes were not. Anything else that
    doesn't match its checksum was once synced and has been damaged, and cutting
    it would silently take back what was promised. A later record that was written
    when the file was already synced past this point proves the damage.
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
    """Tell whether a later whole record knows the bytes at an offset as synced."""
    for later in range(offset + 1, len(data) - HEADER.size + 1):
        header = header_at(data, later)
        if header is None or header[1] <= offset:
            continue
        if record_at(data, later) is not None:
            return True
    return False


def has_zero_sector(data: bytes, offset: int) -> bool:
    """Tell whether any sector from an offset on holds nothing but zeros."""
    start = offset
    while start < len(data):
        end = min(len(data), start - start % SECTOR_BYTES + SECTOR_BYTES)
        if end - start >= MIN_ZERO_BYTES and not any(data[start:end]):
            return True
        start = end
    return False
