"""Check what a gateway remembers of the upstreams over a restart."""

import time

import msgspec
import pytest

from common.routed import heartbeat
from cowslipshelf_core.routed import HeartbeatSeen
from cowslipshelf_daemon.internal.gateway.upstreams_file import (
    UpstreamsDocument,
    UpstreamsFile,
)

SEEN = (HeartbeatSeen(heartbeat("u-1"), 0.5), HeartbeatSeen(heartbeat("u-2"), 1.5))


def written(tmp_path) -> UpstreamsFile:
    file = UpstreamsFile(str(tmp_path))
    file.write(encoded(SEEN))
    return file


def encoded(seen) -> bytes:
    return msgspec.msgpack.encode(UpstreamsDocument(time.time(), seen))


def test_what_was_written_is_read(tmp_path):
    assert written(tmp_path).read() == SEEN


def test_a_first_start_knows_nothing(tmp_path):
    assert UpstreamsFile(str(tmp_path)).read() == ()


@pytest.mark.parametrize("keep", [0, 1, 7, 20])
def test_a_torn_file_is_no_reason_not_to_start(tmp_path, keep):
    """A gateway never comes back after a loss of power.

    The file is not synced, so any part of it may be missing afterwards.
    """
    file = written(tmp_path)
    file.path.write_bytes(file.path.read_bytes()[:keep])
    assert file.read() == ()


def test_a_folder_that_takes_no_writes_is_no_reason_to_fail(tmp_path):
    file = UpstreamsFile(str(tmp_path / "missing"))
    file.write(b"")
    assert file.read() == ()
