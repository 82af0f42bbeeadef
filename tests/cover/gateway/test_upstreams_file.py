"""Check what a gateway knows of the upstreams after a restart."""

import asyncio
import os
import stat
import time
from tempfile import TemporaryDirectory

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from common.gateway_samples import heartbeat
from cowslipshelf_core.gateway import HeartbeatSeen, UpstreamPhase
from cowslipshelf_daemon.internal.gateway.upstreams_file import (
    UpstreamsDocument,
    UpstreamsFile,
)

SEEN = (HeartbeatSeen(heartbeat("u-1"), 0.5), HeartbeatSeen(heartbeat("u-2"), 1.5))


def stored(tmp_path) -> UpstreamsFile:
    file = UpstreamsFile(str(tmp_path))
    file.write(encoded(SEEN), frozenset())
    return file


def encoded(seen) -> bytes:
    return msgspec.msgpack.encode(UpstreamsDocument(time.time(), seen))


def test_what_was_written_is_read(tmp_path):
    assert stored(tmp_path).read() == SEEN


def test_a_first_start_knows_nothing(tmp_path):
    assert UpstreamsFile(str(tmp_path)).read() == ()


@pytest.mark.parametrize("keep", [0, 1, 7, 20])
def test_a_truncated_file_does_not_prevent_a_start(tmp_path, keep):
    """Guards against a gateway that can't start after a power loss.

    A disk that does not keep synced data may lose any part of the file.
    """
    file = stored(tmp_path)
    file.path.write_bytes(file.path.read_bytes()[:keep])
    assert file.read() == ()


def test_a_folder_that_is_not_writable_causes_no_failure(tmp_path):
    file = UpstreamsFile(str(tmp_path / "missing"))
    file.write(b"", frozenset())
    assert file.read() == ()


def test_a_written_file_survives_a_power_loss(tmp_path, monkeypatch):
    """Guards against requests that try engines which left long ago.

    Every instance lost power. A file that was not synced came back fifteen seconds old,
    and named seven engines that had left since.
    """
    synced = []
    monkeypatch.setattr(os, "fsync", lambda fd: synced.append(os.fstat(fd).st_mode))
    stored(tmp_path)
    assert [stat.S_ISDIR(mode) for mode in synced] == [False, True]


def test_the_file_is_written_where_something_in_it_has_changed(tmp_path):
    """Guards against needless syncs, one a second, that delay others on the disk."""

    async def write(file: UpstreamsFile, seen) -> bytes:
        file.write_soon(seen)
        await file.writing
        return file.path.read_bytes()

    async def write_in_turn() -> list[bytes]:
        file = UpstreamsFile(str(tmp_path))
        first = await write(file, SEEN)
        later = tuple(
            HeartbeatSeen(each.heartbeat._replace(sequence=9), 0.1) for each in SEEN
        )
        same = await write(file, later)
        leaves = later[0].heartbeat._replace(phase=UpstreamPhase.LEAVING)
        changed = await write(file, (HeartbeatSeen(leaves, 0.0), later[1]))
        return [first, same, changed]

    first, same, changed = asyncio.run(write_in_turn())
    assert first == same != changed


@given(st.binary(max_size=200))
def test_arbitrary_file_contents_do_not_prevent_a_start(data):
    with TemporaryDirectory() as folder:
        file = UpstreamsFile(folder)
        file.path.write_bytes(data)
        assert file.read() == ()
        file.write(data, frozenset())
        assert file.read() == ()
