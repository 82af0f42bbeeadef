"""Check how gateways find each other, and who of them founds the cluster."""

import pytest

from cowslipshelf_core.gateway import PeerChange, PeerTable, PeerTableConfig
from cowslipshelf_core.messages import PeerAlive

SEEDS = ("10.0.0.1", "10.0.0.2", "10.0.0.3")


def book(instance: str, holds_replica: bool = True, seeds=SEEDS) -> PeerTable:
    return PeerTable.from_config(
        PeerTableConfig(instance, "epoch", "here", holds_replica, seeds)
    )


def alive(holds_replica: bool = True, peers=(), epoch: str = "e-1") -> PeerAlive:
    return PeerAlive(epoch, "here", holds_replica, 0, tuple(peers))


def test_a_gateway_learns_of_the_others_from_one_of_them():
    own = book("10.0.0.9", holds_replica=False)
    own.record_alive("10.0.0.1", alive(peers=("10.0.0.4", "10.0.0.9")), 0.0)
    assert set(own.gossip_targets()) == {*SEEDS, "10.0.0.4"}
    assert own.alive(0.0) == ["10.0.0.1"]


def test_only_the_lowest_seed_with_a_disk_founds():
    """A system that starts for the first time becomes two systems.

    Each gateway sees the others at another time; whoever founds must be the same
    for all of them, whatever they have heard so far.
    """
    first = book("10.0.0.1", holds_replica=False)
    second = book("10.0.0.2")
    third = book("10.0.0.3")
    assert second.bootstrap_instance() is None
    for each in (second, third):
        each.record_alive("10.0.0.1", alive(holds_replica=False), 0.0)
    first.record_alive("10.0.0.2", alive(), 0.0)
    third.record_alive("10.0.0.2", alive(), 0.0)
    assert {each.bootstrap_instance() for each in (first, second, third)} == {
        "10.0.0.2"
    }


def test_one_that_has_not_heard_a_lower_seed_waits():
    assert book("10.0.0.3").bootstrap_instance() is None


def test_a_silent_gateway_is_told_on_until_it_is_forgotten():
    """Two halves never find each other again after a cut of ten seconds."""
    own = book("10.0.0.1")
    own.record_alive("10.0.0.7", alive(), 0.0)
    assert own.alive(10.0) == []
    own.forget_old(10.0)
    assert "10.0.0.7" in own.gossip_targets()
    own.forget_old(31.0)
    assert "10.0.0.7" not in own.gossip_targets()


def test_a_return_after_silence_is_news():
    own = book("10.0.0.1")
    assert own.record_alive("10.0.0.7", alive(), 0.0) is PeerChange.RETURNED
    assert own.record_alive("10.0.0.7", alive(), 1.0) is PeerChange.NONE
    assert own.record_alive("10.0.0.7", alive(), 9.0) is PeerChange.RETURNED


def test_a_new_start_is_told_from_a_return():
    own = book("10.0.0.1")
    own.record_alive("10.0.0.7", alive(), 0.0)
    assert own.record_alive("10.0.0.7", alive(epoch="e-2"), 0.5) is PeerChange.RESTARTED


def far(data_centre: str) -> PeerAlive:
    return PeerAlive("e-1", data_centre, False, 0, ())


def book_of_three_data_centres() -> PeerTable:
    own = book("10.0.0.1")
    own.record_alive("10.0.0.2", alive(), 0.0)
    for number in (1, 2, 3):
        own.record_alive(f"10.1.0.{number}", far("there"), 0.0)
        own.record_alive(f"10.2.0.{number}", far("yonder"), 0.0)
    return own


def test_messages_go_to_all_near_gateways_and_to_one_in_each_other_data_centre():
    own = book_of_three_data_centres()
    assert own.local_peers(0.0) == ["10.0.0.2"]
    relays = own.relays(0.0)
    assert sorted(relay[:4] for relay in relays) == ["10.1", "10.2"]
    assert own.relays(0.0) == relays


def test_by_turns_every_gateway_of_another_data_centre_passes_messages_on():
    """The one that passes heartbeats on is cut off from its neighbours only.

    It is still heard, so nothing shows. Were it chosen each time, a data centre would
    take all upstreams that are heard here for gone.
    """
    own = book_of_three_data_centres()
    chosen = {relay for turn in range(3) for relay in own.relays(0.0, turn)}
    assert len(chosen) == 6


def test_a_gateway_that_has_fallen_silent_passes_nothing_on():
    own = book_of_three_data_centres()
    silent = own.relays(0.0)[0]
    for peer, known in list(own.known.items()):
        if peer != silent:
            own.record_alive(peer, known.alive, 5.0)
    assert silent not in own.relays(5.0)
    assert len(own.relays(5.0)) == 2


DATA_CENTRES = ("east", "north", "west")


def diskless_books(size: int) -> dict[str, PeerTable]:
    """Make gateways without disks, of which the first three hold a replica."""
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


def tell_each_other(books: dict[str, PeerTable]) -> None:
    for sender, book_of_sender in books.items():
        word = book_of_sender.alive_message(1, 100, 0, False)
        for receiver, book_of_receiver in books.items():
            if receiver != sender:
                book_of_receiver.record_alive(sender, word, 0.0)


@pytest.mark.parametrize(
    ("size", "expected"), [(3, 3), (4, 4), (7, 7), (9, 9), (10, 9), (70, 9)]
)
def test_without_disks_up_to_nine_gateways_hold_replicas(size, expected):
    """A configuration is gone with three of many gateways that serve by it."""
    books = diskless_books(size)
    tell_each_other(books)
    chosen = {name for name, each in books.items() if each.should_hold_replica()}
    for name in chosen:
        books[name].holds_replica = True
    tell_each_other(books)
    holders = books["10.0.0.000"].replicas()
    assert len(holders) == expected
    centres = [books[name].config.data_centre for name in holders]
    assert {centres.count(centre) for centre in DATA_CENTRES} <= {
        expected // 3,
        -(-expected // 3),
    }
    assert not any(
        each.should_hold_replica() for each in books.values() if not each.holds_replica
    )


def test_beside_a_disk_no_further_replica_is_held_in_memory():
    books = diskless_books(7)
    books["10.0.0.000"].config = books["10.0.0.000"].config._replace(has_disk=True)
    tell_each_other(books)
    assert not any(each.should_hold_replica() for each in books.values())


def test_nobody_holds_a_replica_for_a_fleet_that_has_none():
    alone = diskless_books(7)["10.0.0.005"]
    assert not alone.should_hold_replica()
