"""Provide shared servers for tests that change no state."""

import pytest

from common.callers_http import RecordingHandler, running_server


@pytest.fixture(scope="module")
def shared():
    """Serve with small size limits for all tests that change no state."""
    handler = RecordingHandler()
    with running_server(handler, max_body_bytes=4096, max_header_bytes=4096) as it:
        yield it, handler


@pytest.fixture(scope="module")
def refusing():
    """Serve with a handler that sends the refusal that a test sets."""
    handler = RecordingHandler(chunks=())
    with running_server(handler) as server:
        yield server, handler
