"""Check the program as a process of its own."""

import json
import os
import signal
import subprocess
import sys
from pathlib import Path

import pytest

from common.settings import entry_document

WIDE_LIMIT_SECONDS = 60
MANY_FILES = 3_000
"""Enough problems to fill a pipe that nobody reads."""
MORE_THAN_A_PIPE_HOLDS = 4 * 1024 * 1024


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
        # Whoever runs the tests in the background may have interrupts ignored, which
        # the program would inherit, and rightly go on.
        preexec_fn=heed_interrupts,
        **streams,
    )


def heed_interrupts() -> None:
    signal.signal(signal.SIGINT, signal.SIG_DFL)


@pytest.mark.parametrize(("role", "code"), [("entry", 0), ("nobody", 6)])
def test_the_exit_code_reaches_the_shell(tmp_path: Path, role: str, code: int) -> None:
    file = tmp_path / "settings.json"
    file.write_text(json.dumps(entry_document() | {"role": role}))
    process = start("check", str(file))
    output, errors = process.communicate(timeout=WIDE_LIMIT_SECONDS)
    assert process.returncode == code, errors
    assert b"1 file(s)" in output


def test_a_reader_that_leaves_causes_no_traceback() -> None:
    """A traceback follows the first lines of a long list.

    The output goes through `head`, which closes the pipe; the next write fails, and
    so does the one that the interpreter does at its end.
    """
    process = start("check", *(f"missing-{n}.json" for n in range(MANY_FILES)))
    process.stdout.readline()
    process.stdout.close()
    errors = process.stderr.read()
    process.stderr.close()
    assert process.wait(timeout=WIDE_LIMIT_SECONDS) == 1
    assert errors == b""


def test_an_interrupt_ends_with_its_code_and_no_traceback() -> None:
    process = start("plan", "-", "--entry", "127.0.0.1:1", stdin=subprocess.PIPE)
    # Only part of this fits the pipe, so the program is reading once it is written.
    process.stdin.write(b" " * MORE_THAN_A_PIPE_HOLDS)
    process.stdin.flush()
    process.send_signal(signal.SIGINT)
    _, errors = process.communicate(timeout=WIDE_LIMIT_SECONDS)
    assert process.returncode == 130
    assert errors == b""
