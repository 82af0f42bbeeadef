"""Share the server of one sidecar between the tests of a module."""

import pytest

from common.fleet_attempts import ScriptedHandler, serving


@pytest.fixture(scope="module")
def handler():
    return ScriptedHandler()


@pytest.fixture(scope="module")
def server(handler):
    with serving(handler) as running:
        yield running
