"""Check what becomes of a process when one of its actors fails."""

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
LIMIT_SECONDS = 60.0


def test_a_process_whose_actor_fails_ends_and_says_why():
    """A sidecar takes hand-overs and answers none: an exception has ended its actor.

    The process lives on, its sockets accept, and the platform sees nothing wrong. It
    has to end, so that it is started anew.
    """
    environment = os.environ | {"PYTHONPATH": os.pathsep.join(sys.path)}
    ended = subprocess.run(
        [sys.executable, "-c", PROGRAM],
        env=environment,
        capture_output=True,
        timeout=LIMIT_SECONDS,
        check=False,
    )
    assert ended.returncode == EXIT_ACTOR_FAILED
    assert b"no decider expects this" in ended.stdout + ended.stderr
