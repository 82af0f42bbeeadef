"""Check that valid settings load and that every problem of others is reported."""

import json
from pathlib import Path

import msgspec
import pytest
from hypothesis import example, given
from hypothesis import strategies as st
from result import Err, Ok

from common.deterministic import DETERMINISTIC
from common.settings import (
    CLUSTER_KEY,
    FAULTS,
    Fault,
    entry_document,
    sidecar_document,
)
from cowslipshelf_host.settings import (
    DaemonSettings,
    decode_settings,
    load_settings,
)
from cowslipshelf_host.settings_page import render_settings_page

ROOT = Path(__file__).parents[3]
VALID_DOCUMENTS = {"entry": entry_document, "sidecar": sidecar_document}
KEY_MARKER = "\u00a7"
EXAMPLES = sorted((ROOT / "examples" / "settings").glob("*.json"))


def decode(document: object) -> Ok[DaemonSettings] | Err:
    return decode_settings(json.dumps(document).encode(), "settings.json")


@DETERMINISTIC
@given(st.lists(st.sampled_from(FAULTS), min_size=1, unique=True))
def test_every_fault_of_a_file_is_named_in_one_run(faults: list[Fault]) -> None:
    """Guard against a loader that stops at the first problem.

    Each correction would then reveal only the next problem, while the instance stays
    down; all problems must be reported in one run.
    """
    document = entry_document()
    for fault in faults:
        fault.apply(document)
    problems = decode(document).unwrap_err()
    named = {problem.field for problem in problems}
    # A rule that reads a faulty field is not checked until that field is corrected.
    unchecked = {
        fault.field
        for fault in faults
        for other in faults
        if other is not fault and other.field.startswith(fault.other_fields)
    }
    assert {fault.field for fault in faults} - unchecked <= named
    for problem in problems:
        line = str(problem)
        assert line.startswith("settings.json: ")
        assert line.isprintable()
        for secret in (CLUSTER_KEY, "short-secret", "the key itself"):
            assert secret not in line


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.field)
def test_a_single_fault_gives_its_problems_and_no_others(fault: Fault) -> None:
    document = entry_document()
    fault.apply(document)
    problems = decode(document).unwrap_err()
    section = fault.field.split(".")[0]
    assert fault.field in {problem.field for problem in problems}
    assert {problem.field.split(".")[0] for problem in problems} == {section}


@DETERMINISTIC
@given(
    st.sampled_from(sorted(VALID_DOCUMENTS)),
    st.floats(0.2, 10),
    st.integers(1, 65_535),
    st.text(min_size=15, max_size=40).map(KEY_MARKER.__add__),
)
def test_sound_settings_survive_a_round_trip(
    role: str, announce: float, port: int, key: str
) -> None:
    document = VALID_DOCUMENTS[role]()
    document["timings"] = {"announce_seconds": announce, "lease_seconds": 2 * announce}
    document["cluster_key"] = key
    document["entries"][1]["mailbox_address"] = f"[fd00::2]:{port}"
    settings = decode(document).unwrap()
    again = decode_settings(msgspec.json.encode(settings), "again.json").unwrap()
    assert again == settings
    assert settings.cluster_key == key
    assert KEY_MARKER not in repr(settings)
    assert "ab" * 32 not in "".join(settings.__rich_repr__())


JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)


@DETERMINISTIC
@given(st.sampled_from(sorted(VALID_DOCUMENTS)), st.data())
def test_any_value_in_any_place_is_taken_or_named(
    role: str, data: st.DataObject
) -> None:
    document = VALID_DOCUMENTS[role]()
    place, path = document, ""
    while isinstance(place, dict):
        name = data.draw(st.sampled_from(sorted(place)))
        path = f"{path}.{name}" if path else name
        if not isinstance(place[name], dict) or data.draw(st.booleans()):
            place[name] = data.draw(JSON_VALUES)
            break
        place = place[name]
    match decode(document):
        case Err(problems):
            assert all(str(problem).isprintable() for problem in problems)
        case Ok(settings):
            assert decode(json.loads(msgspec.json.encode(settings))).is_ok()


@DETERMINISTIC
@given(st.binary() | st.text().map(str.encode))
@example(b"[" * 100_000)
@example(b"9" * 5000)
@example(b'{"instance": NaN}')
@example(b"\xef\xbb\xbf{}")
def test_arbitrary_bytes_are_refused_in_one_line_each(data: bytes) -> None:
    problems = decode_settings(data, "settings.json").unwrap_err()
    assert problems
    assert all(str(problem).isprintable() for problem in problems)


def test_malformed_json_is_named_with_line_and_column() -> None:
    data = b'{\n  "instance": "a",,\n}'
    (problem,) = decode_settings(data, "settings.json").unwrap_err()
    assert problem.field == "line 2, column 19"


def test_a_field_given_twice_is_refused() -> None:
    """Guard against an edit that has no effect because the field is there twice.

    JSON decoders silently keep the last duplicate.
    """
    data = json.dumps(entry_document()).replace('"log"', '"role": "entry", "log"')
    (problem,) = decode_settings(data.encode(), "settings.json").unwrap_err()
    assert problem.field == '"role"'


@pytest.mark.parametrize("name", ["missing.json", ".", "nul\0.json"])
def test_an_unreadable_file_is_named(tmp_path: Path, name: str) -> None:
    (problem,) = load_settings(tmp_path / name).unwrap_err()
    assert problem.file == str(tmp_path / name)


@pytest.mark.parametrize("path", EXAMPLES, ids=lambda path: path.name)
def test_the_example_settings_load(path: Path) -> None:
    assert load_settings(path).unwrap().role == path.stem


def test_the_page_on_settings_is_what_the_types_say() -> None:
    committed = (ROOT / "docs" / "SETTINGS.md").read_text(encoding="utf-8")
    assert committed == render_settings_page(), "run `make settings-page`"
