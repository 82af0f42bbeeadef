"""Check the day files that are run on deployments."""

import tomllib
from collections import Counter
from pathlib import Path

import pytest

DAYS = sorted((Path(__file__).parents[3] / "deploy" / "days").glob("*.toml"))


def plan_and_faults(day: dict) -> list[dict]:
    return [*day["plan"], *day["faults"]]


def test_there_are_days():
    assert len(DAYS) > 40


@pytest.mark.parametrize("path", DAYS, ids=lambda path: path.stem)
def test_a_day_is_named_after_its_file_and_has_faults(path):
    day = tomllib.loads(path.read_text())
    assert day["name"] == path.stem
    assert plan_and_faults(day) or "closing" in day


@pytest.mark.parametrize("path", DAYS, ids=lambda path: path.stem)
def test_every_fault_of_a_day_comes_twice(path):
    """State left over from a fault shows only when the same fault comes again."""
    counts = Counter(
        str({name: value for name, value in each.items() if name != "at"})
        for each in plan_and_faults(tomllib.loads(path.read_text()))
    )
    assert set(counts.values()) <= {2}


def test_a_restart_under_the_former_name_is_among_the_faults():
    variants = [
        each.get("how", "")
        for path in DAYS
        for each in plan_and_faults(tomllib.loads(path.read_text()))
    ]
    assert sum("reborn" in how for how in variants) >= 10
