"""Check that only the adapter knows the names of the machines' protocol."""

import platform
import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[3]
ADAPTER_NAMES = re.compile(
    r"x-(deadline-ms|expect-|tenant|token-count|prompt-prefix|helpers"
    r"|not-run|runner-|response-stamp|request-priority|model|length-hint)"
    r"|path_prefix|gap_target_ms|timeout_ms|slo_ms|kv_tokens|kv_used|beat_addr"
    r"|cold_left_ms|server-limit|peer_port_range|COWSLIPSHELF_CONFIG\b|/api/(config|runners|order"
    r"|report|ready)\b",
    re.IGNORECASE,
)
"""Does not contain the header of the attempt's id, which the project's own protocol for
engines used before there was an adapter."""
SOURCES = sorted(ROOT.glob("packages/*/src/**/*.py"))


@pytest.mark.parametrize("source", SOURCES, ids=lambda path: path.stem)
def test_no_name_of_the_machines_protocol_stands_outside_the_adapter(source):
    found = ADAPTER_NAMES.findall(source.read_text(encoding="utf-8"))
    assert found == []


def test_there_are_sources_to_look_at():
    assert len(SOURCES) > 100


def test_the_folder_does_not_hide_the_module_of_the_same_name():
    assert Path(platform.__file__).name == "platform.py"
