"""Check that a process exits when one of its actors fails."""

import os
import subprocess
import sys

from cowslipshelf_daemon.internal.actor import EXIT_ACTOR_FAILED

PROGRAM = """
import threading
from cowslipshelf_daemon.internal.actor import DaemonActor

class Failing(DaemonActor):
    def on_receive(self, message):
        raise ValueError(message)

Failing.start().tell("no decider expects this")
threading.Event().wait()
"""
TIMEOUT_SECONDS = 60.0


def test_a_process_whose_actor_fails_ends_and_says_why():
    """Guards against a process that accepts connections but answers nothing.

    An exception ends the actor of a sidecar. If the process kept running, its sockets
    would still accept and the platform would see no failure. It must exit, so that it
    is restarted.
    """
    environment = os.environ | {"PYTHONPATH": os.pathsep.join(sys.path)}
    ended = subprocess.run(
        [sys.executable, "-c", PROGRAM],
        env=environment,
        capture_output=True,
        timeout=TIMEOUT_SECONDS,
        check=False,
    )
    assert ended.returncode == EXIT_ACTOR_FAILED
    assert b"no decider expects this" in ended.stdout + ended.stderr
