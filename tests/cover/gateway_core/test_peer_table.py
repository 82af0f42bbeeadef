"""Check how gateways discover each other, and which one bootstraps the cluster."""

import pytest

from cowslipshelf_core.gateway import PeerChange, PeerTable, PeerTableConfig
from cowslipshelf_core.messages import PeerAlive

SEEDS = ("10.0.0.1", "10.0.0.2", "10.0.0.3")


def table(instance: str, holds_replica: bool = True, seeds=SEEDS) -> PeerTable:
    return PeerTable.from_config(
        PeerTableConfig(instance, "epoch", "here", holds_replica, seeds)
    )


def alive(holds_replica: bool = True, peers=(), epoch: str = "e-1") -> PeerAlive:
    return PeerAlive(epoch, "here", holds_replica, 0, tuple(peers))


def test_a_gateway_discovers_the_others_through_one_of_them():
    own = table("10.0.0.9", holds_replica=False)
    own.record_alive("10.0.0.1", alive(peers=("10.0.0.4", "10.0.0.9")), 0.0)
    assert set(own.gossip_targets()) == {*SEEDS, "10.0.0.4"}
    assert own.alive(0.0) == ["10.0.0.1"]


def test_only_the_lowest_seed_with_a_disk_bootstraps():
    """Guards against a first start that bootstraps two clusters.

    Each gateway discovers the others at another time; all must choose the same one to
    bootstrap, whatever messages they have received.
    """
    first = table("10.0.0.1", holds_replica=False)
    second = table("10.0.0.2")
    third = table("10.0.0.3")
    assert second.bootstrap_instance() is None
    for each in (second, third):
        each.record_alive("10.0.0.1", alive(holds_replica=False), 0.0)
    first.record_alive("10.0.0.2", alive(), 0.0)
    third.record_alive("10.0.0.2", alive(), 0.0)
    assert {each.bootstrap_instance() for each in (first, second, third)} == {
        "10.0.0.2"
    }


def test_a_gateway_that_has_not_heard_a_lower_seed_waits():
    assert table("10.0.0.3").bootstrap_instance() is None


def test_a_silent_gateway_still_gets_messages_until_it_is_forgotten():
    """Guards against two halves that stay apart after a partition of ten seconds."""
    own = table("10.0.0.1")
    own.record_alive("10.0.0.7", alive(), 0.0)
    assert own.alive(10.0) == []
    own.forget_old(10.0)
    assert "10.0.0.7" in own.gossip_targets()
    own.forget_old(31.0)
    assert "10.0.0.7" not in own.gossip_targets()


def test_a_return_after_silence_is_reported():
    own = table("10.0.0.1")
    assert own.record_alive("10.0.0.7", alive(), 0.0) is PeerChange.RETURNED
    assert own.record_alive("10.0.0.7", alive(), 1.0) is PeerChange.NONE
    assert own.record_alive("10.0.0.7", alive(), 9.0) is PeerChange.RETURNED


def test_lost_holders_of_replicas_are_told_from_those_that_leave():
    """A gateway that is gone keeps its vote, or one that runs loses it."""
    own = table("10.0.0.1")
    for peer in ("10.0.0.2", "10.0.0.3", "10.0.0.4"):
        own.record_alive(peer, alive(), 0.0)
    own.record_alive("10.0.0.2", alive(), 4.0)
    own.record_alive("10.0.0.4", alive(holds_replica=False), 4.0)
    seen = own.replicas_seen(4.0)
    assert seen.replicas == ("10.0.0.1", "10.0.0.2", "10.0.0.3")
    assert (seen.silent, seen.without_replica) == ({"10.0.0.3"}, {"10.0.0.4"})


def test_a_gateway_that_leaves_holds_no_replica_for_the_others():
    """A planned end counts as a loss until its silence shows it."""
    own = table("10.0.0.1")
    own.leaving = True
    assert not own.alive_message(0, 0, 0, with_peers=False).holds_replica
    assert own.replicas_seen(0.0).replicas == ()
    assert own.holds_replica


def test_a_restart_is_distinguished_from_a_return():
    own = table("10.0.0.1")
    own.record_alive("10.0.0.7", alive(), 0.0)
    assert own.record_alive("10.0.0.7", alive(epoch="e-2"), 0.5) is PeerChange.RESTARTED


def remote(data_centre: str) -> PeerAlive:
    return PeerAlive("e-1", data_centre, False, 0, ())


def table_of_three_data_centres() -> PeerTable:
    own = table("10.0.0.1")
    own.record_alive("10.0.0.2", alive(), 0.0)
    for number in (1, 2, 3):
        own.record_alive(f"10.1.0.{number}", remote("there"), 0.0)
        own.record_alive(f"10.2.0.{number}", remote("yonder"), 0.0)
    return own


def test_messages_go_to_all_local_gateways_and_one_in_each_other_data_centre():
    own = table_of_three_data_centres()
    assert own.local_peers(0.0) == ["10.0.0.2"]
    relays = own.relays(0.0)
    assert sorted(relay[:4] for relay in relays) == ["10.1", "10.2"]
    assert own.relays(0.0) == relays


def test_relays_rotate_through_all_gateways_of_a_data_centre():
    """Guards against a relay that is partitioned from its own data centre only.

    Messages from it still arrive, so the fault does not show. If it were chosen each
    time, its data centre would take all upstreams that are heard here for gone.
    """
    own = table_of_three_data_centres()
    chosen = {relay for turn in range(3) for relay in own.relays(0.0, turn)}
    assert len(chosen) == 6


def test_a_silent_gateway_is_not_used_as_a_relay():
    own = table_of_three_data_centres()
    silent = own.relays(0.0)[0]
    for peer, known in list(own.known.items()):
        if peer != silent:
            own.record_alive(peer, known.alive, 5.0)
    assert silent not in own.relays(5.0)
    assert len(own.relays(5.0)) == 2


DATA_CENTRES = ("east", "north", "west")


def diskless_tables(size: int) -> dict[str, PeerTable]:
    """Create the tables of gateways without disks; the first three hold a replica."""
    return {
        f"10.0.0.{number:03}": PeerTable.from_config(
            PeerTableConfig(
                f"10.0.0.{number:03}",
                f"epoch-{number}",
                DATA_CENTRES[number % 3],
                number < 3,
                (),
                has_disk=False,
            )
        )
        for number in range(size)
    }


def exchange_messages(tables: dict[str, PeerTable]) -> None:
    for sender, table_of_sender in tables.items():
        message = table_of_sender.alive_message(1, 100, 0, False)
        for receiver, table_of_receiver in tables.items():
            if receiver != sender:
                table_of_receiver.record_alive(sender, message, 0.0)


@pytest.mark.parametrize(
    ("size", "expected"), [(3, 3), (4, 4), (7, 7), (9, 9), (10, 9), (70, 9)]
)
def test_without_disks_up_to_nine_gateways_hold_replicas(size, expected):
    """Guards against a configuration that is lost with three of many gateways."""
    tables = diskless_tables(size)
    exchange_messages(tables)
    chosen = {name for name, each in tables.items() if each.should_hold_replica()}
    for name in chosen:
        tables[name].holds_replica = True
    exchange_messages(tables)
    holders = tables["10.0.0.000"].replicas()
    assert len(holders) == expected
    data_centres = [tables[name].config.data_centre for name in holders]
    assert {data_centres.count(centre) for centre in DATA_CENTRES} <= {
        expected // 3,
        -(-expected // 3),
    }
    assert not any(
        each.should_hold_replica() for each in tables.values() if not each.holds_replica
    )


def test_a_fleet_with_a_disk_adds_no_replicas_in_memory():
    tables = diskless_tables(7)
    tables["10.0.0.000"].config = tables["10.0.0.000"].config._replace(has_disk=True)
    exchange_messages(tables)
    assert not any(each.should_hold_replica() for each in tables.values())


def test_no_replica_is_added_to_a_fleet_that_has_none():
    alone = diskless_tables(7)["10.0.0.005"]
    assert not alone.should_hold_replica()
