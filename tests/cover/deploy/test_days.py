"""Check that the days to be played on machines say what they are meant to."""

import tomllib
from collections import Counter
from pathlib import Path

import pytest

DAYS = sorted((Path(__file__).parents[3] / "deploy" / "days").glob("*.toml"))


def troubles(day: dict) -> list[dict]:
    return [*day["plan"], *day["faults"]]


def test_there_are_days():
    assert len(DAYS) > 40


@pytest.mark.parametrize("path", DAYS, ids=lambda path: path.stem)
def test_a_day_has_the_name_of_its_file_and_trouble_in_it(path):
    day = tomllib.loads(path.read_text())
    assert day["name"] == path.stem
    assert troubles(day) or "closing" in day


@pytest.mark.parametrize("path", DAYS, ids=lambda path: path.stem)
def test_every_trouble_of_a_day_comes_twice(path):
    """What a first trouble leaves behind shows with the second."""
    times = Counter(
        str({name: value for name, value in each.items() if name != "at"})
        for each in troubles(tomllib.loads(path.read_text()))
    )
    assert set(times.values()) <= {2}


def test_a_start_under_the_former_name_is_among_the_troubles():
    hows = [
        each.get("how", "")
        for path in DAYS
        for each in troubles(tomllib.loads(path.read_text()))
    ]
    assert sum("reborn" in how for how in hows) >= 10
