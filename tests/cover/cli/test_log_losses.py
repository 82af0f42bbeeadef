"""Check to which causes the lost value of requests is attributed."""

import io
import json

import pytest

from cowslipshelf_cli.exit_codes import ExitCode
from cowslipshelf_cli.internal.command_context import CommandContext
from cowslipshelf_cli.program import run
from cowslipshelf_operators import OperatorsClient

OBJECTIVE, PAUSE = 0.3, 0.25


def entry(event: str, **fields) -> dict:
    return {"event": event, "timestamp": "2026-04-06T09:19:01Z", **fields}


def begins(**fields) -> dict:
    usual = {"route": "r", "tokens": 0, "predicted": 0.1}
    allowed = {"objective": OBJECTIVE, "pause_allowed": PAUSE}
    return entry("request: Attempt begins.", **(usual | allowed | fields))


def attempt(outcome: str = "Answered", **fields) -> dict:
    usual = {"seconds": 2.0, "first": 0.1, "pause": 0.1}
    return entry("request: Attempt ended.", outcome=outcome, **(usual | fields))


def ended(outcome: str = "200", seconds: float = 2.0) -> dict:
    return entry("request: Request ended.", outcome=outcome, seconds=seconds)


LOGS_BY_CAUSE = {
    "in time": [begins(), attempt(), ended()],
    "held up while writing": [begins(), attempt(pause=0.3), ended()],
    "late, not foreseen": [begins(), attempt(first=0.4), ended()],
    "late, as foreseen": [begins(predicted=0.5), attempt(first=0.4), ended()],
    "late after Broken": [
        begins(),
        attempt("Broken", seconds=0.5, first=None, pause=None),
        begins(),
        attempt(),
        ended(seconds=2.5),
    ],
    "the gateway ended": [begins()],
    "caller left": [begins(), ended("caller left")],
    "given up: out of time": [
        begins(),
        entry("request: Request refused.", reason="out of time"),
        ended("504"),
    ],
    "given up: no upstream is known": [
        begins(),
        attempt("Broken"),
        entry("request: Answer cut.", reason="no upstream is known"),
        ended("cut"),
    ],
    "the upstream answered 500, attempt 2": [
        begins(),
        attempt("FailedThere"),
        begins(),
        attempt("FailedThere"),
        ended("500"),
    ],
    "refused: no engine can answer in time": [
        entry("request: Request refused.", reason="no engine can answer in time"),
        ended("503"),
    ],
    "no configuration": [entry("request: No configuration."), ended("503")],
    "answered 404": [ended("404")],
}


def losses(tmp_path, logs: dict[str, list[dict]], *more: str):
    log = tmp_path / "gateway.log"
    lines = [
        json.dumps(each | {"request": name})
        for name, entries in logs.items()
        for each in entries
    ]
    log.write_text("\n".join(["no entry", *lines]))
    output = io.StringIO()
    context = CommandContext(
        {}, io.StringIO(), output, io.StringIO(), OperatorsClient.from_config
    )
    code = run(("losses", "--log", str(log), *more), context)
    return code, output.getvalue()


@pytest.mark.parametrize("cause", LOGS_BY_CAUSE)
def test_a_request_is_counted_under_its_one_cause(tmp_path, cause):
    code, output = losses(tmp_path, {"a": LOGS_BY_CAUSE[cause]}, "--json")
    assert code is ExitCode.DONE
    [row] = json.loads(output)["losses"]
    assert (row["cause"], row["requests"]) == (cause, 1)


def test_shares_go_by_value_and_the_greatest_loss_comes_first(tmp_path):
    """Two short prompts weigh less than one long prompt of 190,000 tokens."""
    logs = {
        "short-1": LOGS_BY_CAUSE["caller left"],
        "short-2": LOGS_BY_CAUSE["in time"],
        "long": [begins(tokens=190_000, route="l"), ended("caller left")],
    }
    _, output = losses(tmp_path, logs, "--json")
    rows = json.loads(output)["losses"]
    assert [(row["route"], round(row["share"], 3)) for row in rows] == [
        ("l", 0.909),
        ("r", 0.045),
        ("r", 0.0),
    ]


def test_logs_without_requests_are_refused(tmp_path):
    code, _ = losses(tmp_path, {})
    assert code is ExitCode.REFUSED
