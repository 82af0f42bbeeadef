"""Serve callers for the tests that leave nothing behind."""

import pytest

from common.callers_http import RecordingHandler, running_server


@pytest.fixture(scope="module")
def shared():
    """Serve with tight limits of size for all tests that leave nothing behind."""
    handler = RecordingHandler()
    with running_server(handler, max_body_bytes=4096, max_header_bytes=4096) as it:
        yield it, handler


@pytest.fixture(scope="module")
def refusing():
    """Serve with a handler that refuses what it is set to."""
    handler = RecordingHandler(chunks=())
    with running_server(handler) as server:
        yield server, handler
