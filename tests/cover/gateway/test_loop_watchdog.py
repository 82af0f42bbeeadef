"""Check that a stuck event loop ends its process, and that a pause does not."""

import os
import signal
import time

from hypothesis import given
from hypothesis import strategies as st

from common.polling import wait_for
from common.stuck_loops import (
    BLOCKED_SECONDS,
    EXIT_STUCK,
    block,
    spin,
    start_watched,
    stop_itself,
)
from cowslipshelf_daemon.internal.gateway.loop_watchdog import (
    MIN_CHECKS,
    EndlessTurnDetector,
)

SECONDS = st.floats(0.0, 4.9)


def test_a_loop_that_starves_all_tasks_ends_its_process():
    """Guards against a gateway that stops serving for good with connections open."""
    process = start_watched(spin)
    process.join()
    assert process.exitcode == EXIT_STUCK


def test_a_loop_that_waits_without_processor_time_is_not_ended():
    process = start_watched(block)
    process.join()
    assert process.exitcode == 0


def test_a_process_that_was_stopped_is_not_ended():
    """Guards against restarts after a machine was suspended."""
    process = start_watched(stop_itself)
    wait_for(lambda: is_stopped(process.pid))
    time.sleep(BLOCKED_SECONDS)
    os.kill(process.pid, signal.SIGCONT)
    process.join()
    assert process.exitcode == 0


def is_stopped(pid: int) -> bool:
    with open(f"/proc/{pid}/stat") as stat:
        return stat.read().rpartition(")")[2].split()[0] == "T"


@given(st.lists(SECONDS))
def test_no_number_of_turns_is_endless_if_each_is_short(seconds):
    detector, used = EndlessTurnDetector(), 0.0
    for turn, spent in enumerate(seconds):
        assert not detector.is_endless(turn, used)
        used += spent
        assert not detector.is_endless(turn, used)


@given(st.lists(SECONDS, max_size=5))
def test_a_turn_is_endless_after_its_processor_time(checks):
    detector = EndlessTurnDetector()
    detector.is_endless(1, 0.0)
    used = [sum(checks[: end + 1]) for end in range(len(checks))]
    assert [detector.is_endless(1, each) for each in used] == [
        each >= detector.max_cpu_seconds and check >= MIN_CHECKS
        for check, each in enumerate(used, 1)
    ]


def test_processor_time_that_passes_at_once_is_no_endless_turn():
    """Guards against a restart after a machine stood still and counted the time."""
    detector = EndlessTurnDetector()
    assert not detector.is_endless(1, 0.0)
    assert not detector.is_endless(1, 60.0)
    assert not detector.is_endless(2, 60.1)
