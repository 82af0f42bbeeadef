"""Check that real gateway processes tell each other of a failing upstream."""

from common.gateway_fleet import (
    Fleet,
    GatewayProcess,
    ask,
    document,
    route,
    running_fleet,
    send_heartbeats,
)
from common.polling import wait_for
from common.scripted_upstream import ScriptedUpstream, call

METRIC = b"cowslipshelf_upstream_observations_total"


def share_health(fleet: Fleet) -> None:
    """Change the settings of running gateways, and wait until they are in force."""
    for gateway in fleet.gateways:
        path = gateway.folder / "settings.toml"
        path.write_text('contracts = ["health"]\n' + path.read_text())
    for gateway in fleet.gateways:
        wait_for(lambda g=gateway: b"Settings reloaded." in log_of(g))


def log_of(gateway: GatewayProcess) -> bytes:
    return (gateway.folder / "log").read_bytes()


def test_all_gateways_hear_of_an_upstream_that_fails_at_one(tmp_path):
    """Guards against messages that other processes can't decode or don't receive."""
    with running_fleet(tmp_path) as fleet:
        fleet.accept(document(1, route("/safe/")))
        share_health(fleet)
        failing = ScriptedUpstream("u-1", "plain", lambda each: each.answer(500))
        send_heartbeats(fleet, failing)
        assert ask(fleet.gateways[0], "/safe/x").status == 500
        for gateway in fleet.gateways:
            wait_for(lambda g=gateway: b"Upstream marked." in log_of(g))
        for gateway, fate in zip(
            fleet.gateways, (b"sent", b"recorded", b"recorded"), strict=True
        ):
            _, text = call(gateway.metrics, "GET", "/metrics")
            assert METRIC + b'{fate="' + fate + b'",outcome="failed"}' in text
