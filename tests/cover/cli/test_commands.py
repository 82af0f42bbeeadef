"""Check the command line against a real operators' server with a control state."""

import io
import json
import re
import socket
from collections.abc import Sequence
from contextlib import ExitStack
from pathlib import Path
from typing import Any, NamedTuple

import cappa
import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from common.deterministic import DETERMINISTIC
from common.operators import CUSTOMER_KEY, OPERATOR_KEY, StateHandler, serving
from common.settings import CLUSTER_KEY, entry_document, sidecar_document
from cowslipshelf_cli.exit_codes import ExitCode
from cowslipshelf_cli.internal.command_context import CommandContext
from cowslipshelf_cli.internal.output import one_line
from cowslipshelf_cli.program import run
from cowslipshelf_operators import OperatorsClient, StateAnswer, UpstreamStatus
from cowslipshelf_operators.errors import HandlerError

CHANGE = {
    "put_models": [{"name": "ledger-1", "version": "1"}],
    "put_services": [{"name": "scribe", "kind": "model", "models": ["ledger-1"]}],
    "put_customers": [
        {"name": "front-desk", "key": CUSTOMER_KEY, "services": ["scribe"]}
    ],
}
ROOT = Path(__file__).parents[3]
BOUND_SOCKET = socket.socket()
BOUND_SOCKET.bind(("127.0.0.1", 0))
UNREACHABLE_ENTRY = f"127.0.0.1:{BOUND_SOCKET.getsockname()[1]}"
"""Address of a socket that is bound but not listening while the tests run."""


class CommandResult(NamedTuple):
    """Hold the exit code and the output of one command line."""

    code: ExitCode
    output: str
    errors: str

    @property
    def json(self) -> Any:
        return json.loads(self.output)


def command_line(
    *arguments: str,
    entries: Sequence[str] = (),
    key: str = OPERATOR_KEY,
    given_input: object = None,
) -> CommandResult:
    output, errors = io.StringIO(), io.StringIO()
    environment = {
        "COWSLIPSHELF_ENTRIES": ",".join(entries),
        "COWSLIPSHELF_OPERATOR_KEY": key,
    }
    context = CommandContext(
        environment,
        io.StringIO(json.dumps(given_input)),
        output,
        errors,
        OperatorsClient.from_config,
    )
    code = run(arguments, context)
    ran = CommandResult(code, output.getvalue(), errors.getvalue())
    for secret in (OPERATOR_KEY, CUSTOMER_KEY, CLUSTER_KEY):
        assert secret not in ran.output + ran.errors
    is_document = "--json" in arguments and bool(ran.output)
    if code is not ExitCode.DONE and not is_document:
        assert "next" in ran.output + ran.errors, "an error says what to do next"
    return ran


def change(change_id: str, based_on: int = 0, **fields: object) -> dict[str, object]:
    return {"change_id": change_id, "based_on": based_on, "change": fields or CHANGE}


def test_a_change_goes_from_plan_to_audit() -> None:
    with serving(StateHandler()) as server:
        entries = (UNREACHABLE_ENTRY, server.address)

        def line(*arguments: str, given_input: object = None) -> CommandResult:
            return command_line(*arguments, entries=entries, given_input=given_input)

        planned = line("plan", "-", given_input=change("c-1"))
        again = line("plan", "-", "--json", given_input=change("c-1"))
        plan_id = again.json["plan"]["plan_id"]
        assert planned.code is again.code is ExitCode.DONE
        assert f"next: cowslipshelf confirm {plan_id}" in planned.output
        assert "version 0," in line("status").output, "a plan alone changes nothing"
        confirmed = line("confirm", plan_id, "--json")
        assert confirmed.code is ExitCode.DONE
        assert line("confirm", plan_id, "--json").json == confirmed.json
        status = line("status", "--json").json
        assert status["configuration"]["version"] == 1
        assert line("explain", "change", "c-1").code is ExitCode.DONE
        assert "c-1" in line("audit").output
        assert "for more" in line("audit", "--limit", "1").output


def test_the_second_of_two_equal_changes_gets_a_fresh_plan_to_confirm() -> None:
    """Guards against a lost update when two operators change the same version.

    The second confirmation would succeed on a version that its operator has not seen.
    """
    with serving(StateHandler()) as server:

        def line(*arguments: str, given_input: object = None) -> CommandResult:
            return command_line(
                *arguments, entries=[server.address], given_input=given_input
            )

        plans = [
            line("plan", "-", "--json", given_input=change(name)).json["plan"]
            for name in ("c-1", "c-2")
        ]
        model = {"name": "ledger-2", "version": "1"}
        late = line(
            "plan", "-", "--json", given_input=change("c-3", put_models=[model])
        )
        assert line("confirm", plans[0]["plan_id"]).code is ExitCode.DONE
        second = line("confirm", late.json["plan"]["plan_id"], "--json")
        assert second.code is ExitCode.OUTDATED_PLAN
        fresh = second.json["fresh_plan"]["plan_id"]
        assert line("confirm", fresh).code is ExitCode.DONE
        stale = line("plan", "-", "--based-on", "0", given_input=change("c-4"))
        assert stale.code is ExitCode.OUTDATED_PLAN


class HandlerWithUpstream(StateHandler):
    """Handle requests as an entry that knows one upstream."""

    def state(self) -> StateAnswer:
        names = ("runner-1", "maadi", "scribe", "epoch-1")
        heard = UpstreamStatus(*names, True, False, 0, 0, 400_000)
        return msgspec.structs.replace(super().state(), upstreams=(heard,))


def test_drain_shows_its_plan_and_acts_only_when_told_to() -> None:
    handler = HandlerWithUpstream()
    with serving(handler) as server:

        def drained_after(*arguments: str) -> tuple[str, ...]:
            ran = command_line(*arguments, entries=[server.address])
            assert ran.code is ExitCode.DONE
            return handler.state_machine.configuration.draining

        assert drained_after("drain", "runner-1") == ()
        assert drained_after("drain", "runner-1", "--yes") == ("runner-1",)
        assert drained_after("drain", "runner-1", "--undo") == ("runner-1",)
        assert drained_after("drain", "runner-1", "--undo", "--yes") == ()


def test_a_misspelt_upstream_is_not_drained() -> None:
    """Guards against stopping an engine that still runs requests.

    The name `runer-1` would be accepted, as such an upstream might start later, and
    the operator would believe `runner-1` to be drained.
    """
    handler = StateHandler()
    with serving(handler) as server:
        ran = command_line("drain", "runer-1", "--yes", entries=[server.address])
    assert ran.code is ExitCode.REFUSED
    assert handler.state_machine.configuration.draining == ()


def test_what_one_entry_does_not_know_the_next_one_is_asked() -> None:
    """Guards against reporting a request as unknown although it ran.

    Only the entry that served a request knows it, and another entry may be queried.
    """
    knowing, ignorant = StateHandler(), StateHandler()
    with ExitStack() as stack:
        servers = [stack.enter_context(serving(each)) for each in (ignorant, knowing)]
        addresses = [server.address for server in servers]
        command_line("plan", "-", entries=addresses[1:], given_input=change("c-1"))
        found = command_line("explain", "change", "c-1", entries=addresses)
        assert found.code is ExitCode.DONE
        nowhere = command_line("explain", "change", "c-2", entries=addresses)
        assert nowhere.code is ExitCode.REFUSED
        unsure = command_line(
            "explain", "change", "c-2", entries=[*addresses, UNREACHABLE_ENTRY]
        )
        assert unsure.code is ExitCode.UNREACHABLE, "one entry could not be queried"
        assert "not known to those that answered" in unsure.errors


def test_refusals_end_with_their_codes(tmp_path: Path) -> None:
    handler = StateHandler()
    with serving(handler) as server:
        there = [server.address]
        wrong_key = command_line("status", entries=there, key="another-key")
        unknown_plan = command_line("confirm", "nosuch", entries=there)
        unknown_service = change("c-1", put_services=[{"name": "s", "kind": "odd"}])
        malformed = command_line(
            "plan", "-", entries=there, given_input=unknown_service
        )
        missing = change("c-1", put_customers=[CHANGE["put_customers"][0]])
        refused = command_line("plan", "-", entries=there, given_input=missing)
        handler.failure = HandlerError("commit", "replicas", "no quorum")
        unready = command_line("plan", "-", entries=there, given_input=change("c-1"))
    assert wrong_key.code is unknown_plan.code is refused.code is ExitCode.REFUSED
    assert malformed.code is ExitCode.USAGE
    assert unready.code is ExitCode.UNREACHABLE
    assert (
        command_line("status", entries=[UNREACHABLE_ENTRY]).code is ExitCode.UNREACHABLE
    )
    assert command_line("status").code is ExitCode.USAGE
    assert command_line("status", entries=["host:1"]).code is ExitCode.USAGE
    assert (
        command_line("status", entries=[UNREACHABLE_ENTRY], key="").code
        is ExitCode.USAGE
    )
    no_file = str(tmp_path / "none")
    assert (
        command_line("plan", no_file, entries=[UNREACHABLE_ENTRY]).code
        is ExitCode.USAGE
    )
    failure = json.loads(command_line("status", "--json").errors)["error"]
    assert failure["exit_code"] == ExitCode.USAGE


@pytest.mark.parametrize("arguments", [[], ["nosuch"], ["confirm"], ["audit", "x"]])
def test_wrong_usage_ends_with_code_two(arguments: list[str]) -> None:
    with pytest.raises(cappa.Exit) as ended:
        command_line(*arguments)
    assert ended.value.code == ExitCode.USAGE


def test_the_help_names_every_exit_code(capsys: pytest.CaptureFixture) -> None:
    with pytest.raises(cappa.Exit) as ended:
        command_line("--help")
    assert ended.value.code == ExitCode.DONE
    shown = " ".join(capsys.readouterr().out.split())
    for code in ExitCode:
        assert re.search(rf"[:;] {code.value} [a-z]", shown), code


def test_check_names_the_problems_of_all_files(tmp_path: Path) -> None:
    documents = {"a": entry_document(), "b": sidecar_document()}
    documents["c"] = sidecar_document() | {"cluster_key": "another-key-of-16"}
    documents["d"] = entry_document() | {"role": "nobody"}
    files = {name: tmp_path / f"{name}.json" for name in documents}
    for name, document in documents.items():
        files[name].write_text(json.dumps(document))
    sound = command_line("check", str(files["a"]), str(files["b"]))
    assert sound.code is ExitCode.DONE
    ran = command_line("check", "--json", *map(str, files.values()))
    assert ran.code is ExitCode.BAD_SETTINGS
    named = {(problem["file"], problem["field"]) for problem in ran.json["problems"]}
    c, d = str(files["c"]), str(files["d"])
    assert {(c, "instance"), (c, "cluster_key"), (c, "mailbox_address")} <= named
    assert {(c, "sidecar.upstream.upstream_id"), (d, "role")} <= named
    assert {file for file, _ in named} == {c, d}


def test_the_examples_fit_together() -> None:
    examples = sorted((ROOT / "examples" / "settings").glob("*.json"))
    assert len(examples) == 2
    assert command_line("check", *map(str, examples)).code is ExitCode.DONE


def test_an_entry_that_others_list_wrongly_is_named(tmp_path: Path) -> None:
    """Guards against a sidecar that cannot reach its entry and gets no work.

    Its settings list the entry under an address that the entry no longer has.
    """
    entry, sidecar = entry_document(), sidecar_document()
    entry["mailbox_address"] = "10.0.0.9:7000"
    entry["entries"][0]["mailbox_address"] = "10.0.0.9:7000"
    files = [tmp_path / "entry.json", tmp_path / "sidecar.json"]
    for file, document in zip(files, (entry, sidecar), strict=True):
        file.write_text(json.dumps(document))
    ran = command_line("check", "--json", *map(str, files))
    (problem,) = ran.json["problems"]
    assert problem["file"] == str(files[1])
    assert problem["field"] == "entries[0].mailbox_address"


LOAD = ("load", "--callers", UNREACHABLE_ENTRY, "--model", "m", "--seconds", "0.2")


def test_a_load_without_answers_says_so(tmp_path: Path) -> None:
    customers, figures = tmp_path / "customers.json", tmp_path / "figures.json"
    customers.write_text(json.dumps([{"name": "c", "key": CUSTOMER_KEY}]))
    options = ("--customers", str(customers), "--rate", "50", "--calibrate", "1")
    ran = command_line(*LOAD, *options, "--json", "--output", str(figures))
    assert ran.code is ExitCode.NOT_WHOLE
    assert json.loads(figures.read_text()) == ran.json
    endings = ran.json["figures"]["endings"]
    assert endings == {"unreachable": ran.json["figures"]["planned"]}
    assert ran.json["figures"]["short_slowdown"] is None
    command_line(*LOAD, *options)


@pytest.mark.parametrize(
    "customers",
    [
        [],
        {},
        [{"name": "c"}],
        [{"name": "c", "key": "line\nbreak"}],
        [{"name": "c", "key": CUSTOMER_KEY}] * 2,
        [{"name": "c", "key": CUSTOMER_KEY, "share": -1}],
    ],
)
def test_wrong_customers_of_a_load_are_refused(customers: object) -> None:
    ran = command_line(*LOAD, "--customers", "-", given_input=customers)
    assert ran.code is ExitCode.USAGE


@DETERMINISTIC
@given(st.text())
def test_text_from_peers_cannot_steer_the_terminal(text: str) -> None:
    assert one_line(text).isprintable()


def test_a_request_that_is_held_back_is_listed_and_released() -> None:
    handler = StateHandler(held={"4f14", "77ab"})
    with serving(handler) as server:

        def line(*arguments: str) -> CommandResult:
            return command_line(*arguments, entries=[server.address])

        listed = line("suspects")
        assert listed.code is ExitCode.DONE
        assert "4f14    held back  30 s" in listed.output
        assert "u-1, u-2, u-3" in listed.output
        released = line("release", "4f14")
        assert released.code is ExitCode.DONE
        assert "released 4f14" in released.output
        assert [each["digest"] for each in line("suspects", "--json").json["suspects"]]
        assert handler.held == {"77ab"}
        assert handler.released_by == ["rita"]


def test_a_release_of_what_is_not_held_back_says_so() -> None:
    with serving(StateHandler()) as server:
        refused = command_line("release", "no/such", entries=[server.address])
    assert refused.code is not ExitCode.DONE
    assert "nothing speaks against" in refused.errors
