"""Check that a failed request's cause is found from logs alone."""

import io
import json

import pytest

from cowslipshelf_cli.exit_codes import ExitCode
from cowslipshelf_cli.internal.command_context import CommandContext
from cowslipshelf_cli.program import run
from cowslipshelf_operators import OperatorsClient

TIMESTAMP = "2026-04-06T09:19:{:09.6f}Z"


def entry(second: float, event: str, **fields) -> str:
    return json.dumps({**fields, "event": event, "timestamp": TIMESTAMP.format(second)})


def begins(second: float, request: str, upstream: str) -> str:
    return entry(second, "request: Attempt begins.", request=request, upstream=upstream)


def ended(second: float, request: str, outcome: str) -> str:
    return entry(second, "request: Request ended.", request=request, outcome=outcome)


LOGS = {
    "no-room": (
        "did not run",
        [
            entry(
                1.0,
                "request: Request refused.",
                request="no-room",
                status=503,
                reason="the engines together have no memory for the prompt",
                may_have_run=False,
            ),
            ended(1.0, "no-room", "503"),
        ],
    ),
    "unknown": (
        "may have run; upstream u-1: wait for answer 10.0.0.9:80: reset",
        [
            begins(2.0, "unknown", "u-1"),
            entry(
                2.1,
                "request: Attempt ended.",
                request="unknown",
                upstream="u-1",
                outcome="Broken",
                detail="wait for answer 10.0.0.9:80: reset",
            ),
            entry(
                2.1,
                "request: Request refused.",
                request="unknown",
                status=502,
                reason="wait for answer failed",
                may_have_run=True,
            ),
            ended(2.1, "unknown", "502"),
        ],
    ),
    "broken-stream": (
        "cut after event 7: no upstream is known",
        [
            begins(3.0, "broken-stream", "u-2"),
            entry(3.5, "fleet_view: Upstream changed.", upstream="u-2", phase="left"),
            entry(
                3.6,
                "request: Answer cut.",
                request="broken-stream",
                reason="no upstream is known",
                last_event="7",
            ),
            ended(3.6, "broken-stream", "cut"),
        ],
    ),
    "killed": (
        "its process ended without a word",
        [
            begins(4.0, "killed", "u-1"),
            entry(5.2, "gateway: Started.", instance="10.0.0.1"),
        ],
    ),
    "left": (
        "the caller left",
        [begins(6.0, "left", "u-1"), ended(6.5, "left", "caller left")],
    ),
    "restarted": (
        "cut after event 4",
        [
            begins(6.6, "restarted", "u-8#1764700000000"),
            entry(
                6.7,
                "fleet_view: Upstream started again.",
                upstream="u-8#1764700060000",
                former="u-8#1764700000000",
            ),
            entry(
                6.71,
                "request: Answer cut.",
                request="restarted",
                last_event="4",
                reason="every upstream was tried",
            ),
            ended(6.72, "restarted", "cut"),
        ],
    ),
    "stranger": ("no customer has the key", [ended(7.0, "stranger", "401")]),
    "nowhere": ("no route", [ended(8.0, "nowhere", "404")]),
}


def explain(tmp_path, request: str, *more: str) -> tuple[ExitCode, str]:
    log = tmp_path / "gateway.log"
    lines = [line for _, lines in LOGS.values() for line in lines]
    log.write_text("\n".join(["not an entry", *lines, "{half"]))
    output = io.StringIO()
    context = CommandContext(
        {}, io.StringIO(), output, io.StringIO(), OperatorsClient.from_config
    )
    arguments = ("explain", "request", request, "--log", str(log), *more)
    return run(arguments, context), output.getvalue()


@pytest.mark.parametrize("request_id", LOGS)
def test_the_cause_of_a_failed_request_is_found(tmp_path, request_id):
    """Guards against a failure that can no longer be explained from the logs alone."""
    code, output = explain(tmp_path, request_id)
    assert code is ExitCode.DONE
    cause = output.splitlines()[-1]
    assert cause.startswith("cause: ")
    assert LOGS[request_id][0] in cause


def test_events_of_the_upstream_are_part_of_the_history(tmp_path):
    _, output = explain(tmp_path, "broken-stream")
    assert "phase=left" in output


def test_the_next_start_of_the_upstream_is_part_of_the_history(tmp_path):
    _, output = explain(tmp_path, "restarted")
    assert "Upstream started again." in output
    assert "upstream=u-8#1764700060000" in output


def test_a_request_that_no_log_names_is_said_to_be_unknown(tmp_path):
    code, _ = explain(tmp_path, "never-seen")
    assert code is ExitCode.REFUSED


def test_a_script_gets_the_history_as_a_document(tmp_path):
    code, output = explain(tmp_path, "unknown", "--json")
    assert code is ExitCode.DONE
    history = json.loads(output)
    assert history["request"] == "unknown"
    own = [each for each in history["entries"] if each.get("request") == "unknown"]
    assert [each["event"] for each in own] == [
        "request: Attempt begins.",
        "request: Attempt ended.",
        "request: Request refused.",
        "request: Request ended.",
    ]
