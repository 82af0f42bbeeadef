"""Check that the machines' settings are decoded, and reloaded when they change."""

import pytest

from cowslipshelf_adapter.machine_settings import MachineSettings

SETTINGS = """
node = "front-1"
ip = "10.1.0.40"
zone = "maadi"
peer_port_range = [7340, 7355]
seeds = ["10.1.0.40:8229", "10.2.0.29:8229"]
bootstrap = true
counts_as_loss = true
data_dir = "/data/my-front"
heartbeat_ms = 1200
field_of_tomorrow = 1
[zones]
maadi = "10.1.0.0/16"
zeitoun = "10.2.0.0/16"
[listen]
front = "10.1.0.40:8227"
ready = "10.1.0.40:8220"
control = "10.1.0.40:8229"
[limits]
max_fds = 4100
[fault_tolerance]
machines = 1
[bounds]
grace_s = 8
retry_budget_ratio = 0.2
retry_budget_slack = 106
"""


@pytest.fixture
def source(tmp_path) -> MachineSettings:
    path = tmp_path / "settings.toml"
    path.write_text(SETTINGS)
    return MachineSettings(path)


def test_the_settings_are_decoded_into_our_words_and_units(source):
    settings = source.load().unwrap()
    assert settings.instance == "10.1.0.40"
    assert settings.data_centre == "maadi"
    assert settings.data_centres == ("maadi", "zeitoun")
    assert settings.peer_address("10.2.0.29") == "10.2.0.29:7340"
    assert settings.seeds == ("10.1.0.40", "10.2.0.29")
    assert settings.first_start
    assert settings.data_folder == "/data/my-front"
    assert settings.max_failures == 1
    assert settings.upstream_heartbeat_seconds == pytest.approx(1.2)
    assert settings.retry_budget_slack == 106


@pytest.mark.parametrize(
    ("before", "after", "shares_health", "crosses", "data_centre_failures"),
    [
        ("", "", False, False, 0),
        ('contracts = ["base"]', "", False, False, 0),
        ('contracts = ["base", "health"]', "", True, False, 0),
        ('contracts = ["places"]', "", False, True, 0),
        ('contracts = ["health", "places"]', "zones = 1", True, True, 1),
    ],
)
def test_parts_are_in_force_only_where_the_settings_ask_for_them(
    source, before, after, shares_health, crosses, data_centre_failures
):
    """Guards against a change for deployments whose settings name none of them."""
    text = SETTINGS.replace("machines = 1", f"machines = 1\n{after}")
    source.path.write_text(f"{before}\n{text}")
    settings = source.load().unwrap()
    assert settings.shares_health is shares_health
    assert (settings.crossing_cost > 0) is crosses
    assert settings.max_data_centre_failures == data_centre_failures


def test_a_machine_without_a_disk_holds_no_replica_unless_its_loss_counts(source):
    """Guards against a fleet without disks that never accepts a change."""
    text = SETTINGS.replace('data_dir = "/data/my-front"', "")
    source.path.write_text(text)
    settings = source.load().unwrap()
    assert settings.holds_replica
    assert settings.replica_in_memory
    assert settings.data_folder is None
    source.path.write_text(text.replace("loss = true", "loss = false"))
    assert not source.load().unwrap().holds_replica
    source.path.write_text(SETTINGS)
    assert source.load().unwrap().holds_replica
    assert not source.load().unwrap().replica_in_memory


def test_a_change_of_the_file_is_seen_once(source):
    source.load()
    assert source.load_if_changed() is None
    source.path.write_text(SETTINGS.replace("10.2.0.29", "10.2.0.130"))
    assert source.load_if_changed().unwrap().seeds[1] == "10.2.0.130"
    assert source.load_if_changed() is None


@pytest.mark.parametrize("broken", ["", "node = ", 'node = "x"', "\0", "seeds = 3"])
def test_settings_that_cannot_be_read_are_refused_with_the_reason(source, broken):
    source.path.write_text(broken)
    assert str(source.path) in source.load().unwrap_err()


def test_a_missing_file_is_refused_with_the_reason(source):
    source.path.unlink()
    assert source.load().is_err()
    assert source.load_if_changed().is_err()


def test_the_limit_on_cold_upstreams_is_off_unless_the_settings_name_it(source):
    """Guards against a limit in deployments that don't ask for it."""
    assert source.load().unwrap().cold_over == 0
    source.path.write_text(SETTINGS + "cold_over = 1.5\ncold_slack = 5\n")
    settings = source.load().unwrap()
    assert (settings.cold_over, settings.cold_slack) == (1.5, 5)
