"""Run a short soak test, with every seed that ever failed."""

import pytest

from soak.runner import FleetKind, run_seed

SECONDS = 12.0
SEEDS = (1, 2)


@pytest.mark.parametrize("seed", SEEDS)
def test_promises_hold_while_processes_and_links_break(seed, tmp_path):
    assert run_seed(seed, SECONDS, tmp_path) == []


@pytest.mark.parametrize("kind", [FleetKind.SLOW_DISKS, FleetKind.MEMORY])
def test_promises_hold_on_slow_disks_and_in_memory(kind, tmp_path):
    assert run_seed(1, SECONDS, tmp_path, kind) == []
