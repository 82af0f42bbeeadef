"""Check that logged attempts are replayed on the engines that ran them."""

import json

import pytest

from cowslipshelf_emulator.internal.load import NILEGATE
from cowslipshelf_emulator.internal.log_comparison import compare, read_attempts


def line(event: str, **fields) -> str:
    fields["event"] = f"request: {event}"
    fields.setdefault("timestamp", "2026-04-06T09:20:09Z")
    return f"   0.0664 front-1 {json.dumps(fields)}"


def begins(name: str, second: float, tokens: int, upstream: str, helpers=()) -> str:
    stamp = f"2026-04-06T09:20:{second:09.6f}Z"
    return line(
        "Attempt begins.",
        request=name,
        tokens=tokens,
        upstream=upstream,
        helpers=list(helpers),
        timestamp=stamp,
    )


def ended(name: str, outcome: str = "Answered", **fields) -> str:
    return line("Attempt ended.", request=name, outcome=outcome, **fields)


def test_only_complete_answers_of_engines_are_read(tmp_path):
    path = tmp_path / "log"
    path.write_text(
        "\n".join(
            [
                begins("whole", 1.0, 5_000, "e-1", ["e-2"]),
                begins("cut", 1.1, 5_000, "e-1"),
                line("Attempt begins.", request="plain", tokens=None, upstream="p"),
                "no line of ours { not even json",
                ended("whole", first=0.1, pause=0.05, seconds=1.0),
                ended("cut", "Broken", first=None, pause=None, seconds=1.0),
                ended("plain", first=None, pause=None, seconds=0.1),
            ]
        )
    )
    (attempt,) = read_attempts([path])
    assert attempt.request == "whole"
    assert attempt.engines == ("e-1", "e-2")


def test_a_prompt_alone_takes_as_long_as_on_a_recorded_engine(tmp_path):
    """A prompt of 1,319 tokens on an idle engine had its first event after 13 ms."""
    path = tmp_path / "log"
    alone = [begins("alone", 1.0, 1_319, "e-1")]
    alone.append(ended("alone", first=0.013, pause=0.0868, seconds=3.7746))
    path.write_text("\n".join(alone))
    compared = compare(NILEGATE, list(read_attempts([path])))
    measured, emulated = compared["short"]["first_p50"]
    assert emulated == pytest.approx(measured, abs=3)
