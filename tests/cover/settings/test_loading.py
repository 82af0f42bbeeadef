"""Check that settings load whole, or with every problem named."""

from pathlib import Path

import pytest

from cowslipshelf_platform.settings import load_settings

EXAMPLES = Path(__file__).parents[3] / "examples" / "settings"


@pytest.mark.parametrize("name", ["entry.json", "sidecar.json"])
def test_the_example_settings_load(name: str) -> None:
    settings = load_settings(EXAMPLES / name).unwrap()
    assert settings.cluster_key not in repr(settings)
