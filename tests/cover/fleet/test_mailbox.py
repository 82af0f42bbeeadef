"""Mailboxes over real connections, with failures between them."""

import socket

from common.forwarder import Forwarder
from common.polling import wait_for
from cowslipshelf_core.messages import Withdraw
from cowslipshelf_fleet.mailboxes import Mailbox, MailboxConfig

HEARTBEAT_SECONDS = 0.05
SILENCE_SECONDS = 0.4


def started(name: str, received: list, **settings) -> Mailbox:
    config = MailboxConfig(
        instance=name,
        epoch=f"epoch of {name}",
        listen_address="127.0.0.1:0",
        cluster_key=b"cluster key",
        heartbeat_seconds=HEARTBEAT_SECONDS,
        silence_seconds=SILENCE_SECONDS,
        message_types=Withdraw,
    )
    mailbox = Mailbox.from_config(
        config._replace(**settings), received.append, lambda: 7
    )
    mailbox.start()
    return mailbox


def arrives(sender: Mailbox, address: str, received: list, mark: str) -> None:
    """Send again and again, as all users of mailboxes do, until one arrives."""

    def attempt() -> bool:
        sender.send(address, Withdraw(mark, "e"))
        return any(item.message.upstream_id == mark for item in received)

    wait_for(attempt)


def test_a_message_arrives_with_what_is_known_of_its_sender():
    received = []
    sender, receiver = started("a", []), started("b", received)
    arrives(sender, receiver.address, received, "u")
    first = received[0]
    assert (first.sender, first.sender_epoch) == ("a", "epoch of a")
    assert first.sender_address == sender.address
    assert first.configuration_version == 7
    sender.stop()
    receiver.stop()


def test_a_connection_gone_silent_is_replaced():
    """An entry stops hearing of an upstream that is alive, for good.

    The two processes exchange messages; something between them loses track of
    their connection, so it takes bytes and delivers none, and no error shows. New
    connections work. Without heartbeats the sender would use the dead one for ever.
    """
    received = []
    sender, receiver = started("a", []), started("b", received)
    with Forwarder(receiver.address) as forwarder:
        for mark in ("before", "after", "again"):
            arrives(sender, forwarder.address, received, mark)
            forwarder.silence_existing()
        assert sender.counters.connections_silent >= 2
        sender.stop()
        receiver.stop()


def test_a_dead_peer_is_reached_again_when_it_returns():
    """A process restarts on its address after its peers tried it for a while."""
    received = []
    sender, receiver = started("a", []), started("b", received)
    address = receiver.address
    arrives(sender, address, received, "before")
    receiver.stop()
    wait_for(lambda: sender.send(address, Withdraw("lost", "e")) or gone_silent(sender))
    returned = started("b", received, listen_address=address)
    arrives(sender, address, received, "after")
    sender.stop()
    returned.stop()


def gone_silent(mailbox: Mailbox) -> bool:
    return mailbox.counters.connections_silent > 0


def test_a_dead_peer_costs_bounded_memory():
    """A burst of messages to a dead process must be dropped, not kept.

    The process that they are for is frozen: its port takes connections and bytes,
    and nobody answers. Its senders go on at full speed. What waits for one peer
    stays under the limit, and the rest is counted as dropped.
    """
    sender = started("a", [], max_unacknowledged_bytes=10_000, silence_seconds=60.0)
    with socket.create_server(("127.0.0.1", 0)) as frozen:
        address = "{}:{}".format(*frozen.getsockname())
        for _ in range(200):
            sender.send(address, Withdraw("u" * 1000, "e"))
        counters = sender.counters
        assert counters.sent_bytes <= 10_000
        assert counters.sent + counters.dropped_no_room == 200
        sender.stop()


def test_what_was_sent_before_stopping_arrives():
    """A sidecar that leaves says so last; its entries must not wait for its lease.

    Closing a connection drops what still waits on it.
    """
    received = []
    receiver = started("b", received)
    sender = started("a", [], flush_seconds=60.0)
    for number in range(100):
        sender.send(receiver.address, Withdraw(f"{number}", "e"))
    sender.stop()
    wait_for(lambda: len(received) == 100)
    receiver.stop()


def test_an_idle_peer_is_forgotten_on_both_sides():
    received = []
    sender = started("a", [], idle_seconds=0.1)
    receiver = started("b", received, idle_seconds=0.1)
    arrives(sender, receiver.address, received, "u")
    wait_for(lambda: not sender.peers and not receiver.peers)
    arrives(sender, receiver.address, received, "v")
    sender.stop()
    receiver.stop()


def test_an_oversized_message_is_dropped_where_it_is_sent():
    sender = started("a", [], max_message_bytes=1000)
    sender.send("127.0.0.1:1", Withdraw("u" * 1000, "e"))
    assert sender.counters.dropped_oversized == 1
    assert not sender.peers
    sender.stop()
