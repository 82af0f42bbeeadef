"""Check that a real gateway ends if its event loop is stuck, and only then."""

import os
import signal
import time
from pathlib import Path

import pytest

import common
from common.gateway_fleet import document, route, running_fleet

EXIT_STUCK = 10
ENDS_SECONDS = 40.0
STOPPED_SECONDS = 8.0


@pytest.fixture
def fleet(tmp_path, monkeypatch):
    folder = Path(common.__path__[0]) / "spin_on_signal"
    paths = filter(None, (str(folder), os.environ.get("PYTHONPATH")))
    monkeypatch.setenv("PYTHONPATH", os.pathsep.join(paths))
    with running_fleet(tmp_path) as fleet:
        fleet.accept(document(1, route("/safe/")))
        yield fleet


def test_a_gateway_whose_loop_is_stuck_ends_and_says_where(fleet):
    """Guards against a gateway that answers nobody and keeps its connections open."""
    gateway = fleet.gateways[0]
    gateway.process.send_signal(signal.SIGUSR1)
    assert gateway.process.wait(ENDS_SECONDS) == EXIT_STUCK
    log = (gateway.folder / "log").read_text()
    assert "Event loop stuck." in log
    assert "in spin" in log


def test_a_gateway_that_was_stopped_serves_on(fleet):
    """Guards against gateways that end after their machine was suspended."""
    gateway = fleet.gateways[0]
    gateway.process.send_signal(signal.SIGSTOP)
    time.sleep(STOPPED_SECONDS)
    gateway.process.send_signal(signal.SIGCONT)
    fleet.accept(document(2, route("/safe/")))
    assert gateway.process.poll() is None
