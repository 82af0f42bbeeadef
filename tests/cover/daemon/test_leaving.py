"""Check how a daemon's main thread shuts down its role."""

import threading

from cowslipshelf_daemon.internal import running
from cowslipshelf_daemon.internal.running import (
    EXIT_DONE,
    EXIT_WORK_ABORTED,
    Shutdown,
    leave,
)


class Role:
    """Simulate a role with one running request, whose stop may hang."""

    def __init__(self, finishes: bool, stop_hangs: bool = False) -> None:
        self.finishes = finishes
        self.may_stop = threading.Event()
        self.stopped = threading.Event()
        if not stop_hangs:
            self.may_stop.set()

    def leave(self):
        return self.finishes

    def running_work(self):
        return 1

    def stop(self):
        self.may_stop.wait()
        self.stopped.set()


def test_a_role_whose_work_is_done_is_stopped():
    role = Role(finishes=True)
    assert leave(role, Shutdown()) == EXIT_DONE
    assert role.stopped.is_set()


def test_a_role_whose_work_was_cut_is_not_waited_for():
    role = Role(finishes=False, stop_hangs=True)
    assert leave(role, Shutdown()) == EXIT_WORK_ABORTED


def test_a_stop_that_hangs_is_named_and_not_waited_for(monkeypatch, capsys):
    """A sidecar has finished its work, but a thread of one of its servers never ends.

    The process must not wait for it for ever. It exits with the code of finished work,
    and its log has the stack of the thread.
    """
    monkeypatch.setattr(running, "STOP_SECONDS", 0.05)
    role = Role(finishes=True, stop_hangs=True)
    assert leave(role, Shutdown()) == EXIT_DONE
    assert not role.stopped.is_set()
    logged = "".join(capsys.readouterr())
    assert "Stop not finished." in logged
    assert "self.may_stop.wait()" in logged
    role.may_stop.set()
