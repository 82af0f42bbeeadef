"""Check the program as a separate process."""

import json
import os
import signal
import subprocess
import sys
from pathlib import Path

import pytest

from common.settings import entry_document

TIMEOUT_SECONDS = 60
MANY_FILES = 3_000
"""Enough problems to fill a pipe that is not read."""
MORE_THAN_PIPE_CAPACITY_BYTES = 4 * 1024 * 1024


def start(*arguments: str, **streams: int) -> subprocess.Popen[bytes]:
    environment = os.environ | {
        "PYTHONPATH": os.pathsep.join(sys.path),
        "COWSLIPSHELF_OPERATOR_KEY": "an-operators-key",
    }
    return subprocess.Popen(
        [sys.executable, "-m", "cowslipshelf_cli", *arguments],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        env=environment,
        # Tests that run in the background may ignore interrupts. The program would
        # inherit that, and rightly not stop.
        preexec_fn=restore_interrupts,
        **streams,
    )


def restore_interrupts() -> None:
    signal.signal(signal.SIGINT, signal.SIG_DFL)


@pytest.mark.parametrize(("role", "code"), [("entry", 0), ("nobody", 6)])
def test_the_exit_code_reaches_the_shell(tmp_path: Path, role: str, code: int) -> None:
    file = tmp_path / "settings.json"
    file.write_text(json.dumps(entry_document() | {"role": role}))
    process = start("check", str(file))
    output, errors = process.communicate(timeout=TIMEOUT_SECONDS)
    assert process.returncode == code, errors
    assert b"1 file(s)" in output


def test_a_reader_that_leaves_causes_no_traceback() -> None:
    """Guards against a traceback when `head` closes the pipe after some lines.

    The next write fails, and so does the interpreter's flush at exit.
    """
    process = start("check", *(f"missing-{n}.json" for n in range(MANY_FILES)))
    process.stdout.readline()
    process.stdout.close()
    errors = process.stderr.read()
    process.stderr.close()
    assert process.wait(timeout=TIMEOUT_SECONDS) == 1
    assert errors == b""


def test_an_interrupt_ends_with_its_code_and_no_traceback() -> None:
    process = start("plan", "-", "--entry", "127.0.0.1:1", stdin=subprocess.PIPE)
    # Only part of this fits the pipe, so the program is reading once all is written.
    process.stdin.write(b" " * MORE_THAN_PIPE_CAPACITY_BYTES)
    process.stdin.flush()
    process.send_signal(signal.SIGINT)
    _, errors = process.communicate(timeout=TIMEOUT_SECONDS)
    assert process.returncode == 130
    assert errors == b""
