"""Test mailboxes over real connections, with failures between them."""

import socket

from common.forwarder import Forwarder
from common.polling import wait_for
from cowslipshelf_core.messages import Withdraw
from cowslipshelf_fleet.mailboxes import Mailbox, MailboxConfig

HEARTBEAT_SECONDS = 0.05
SILENCE_SECONDS = 0.4


def start_mailbox(name: str, received: list, **settings) -> Mailbox:
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


def send_until_received(
    sender: Mailbox, address: str, received: list, mark: str
) -> None:
    """Send until a message arrives; all users of mailboxes send repeatedly."""

    def attempt() -> bool:
        sender.send(address, Withdraw(mark, "e"))
        return any(item.message.upstream_id == mark for item in received)

    wait_for(attempt)


def test_a_message_arrives_with_what_is_known_of_its_sender():
    received = []
    sender, receiver = start_mailbox("a", []), start_mailbox("b", received)
    send_until_received(sender, receiver.address, received, "u")
    first = received[0]
    assert (first.sender, first.sender_epoch) == ("a", "epoch of a")
    assert first.sender_address == sender.address
    assert first.configuration_version == 7
    sender.stop()
    receiver.stop()


def test_a_connection_gone_silent_is_replaced():
    """An entry could permanently stop receiving from an upstream that is alive.

    A device between two processes drops the state of their connection, which then
    accepts bytes and delivers none, without any error. New connections work. Without
    heartbeats, the sender would use the dead connection forever.
    """
    received = []
    sender, receiver = start_mailbox("a", []), start_mailbox("b", received)
    with Forwarder(receiver.address) as forwarder:
        for mark in ("before", "after", "again"):
            send_until_received(sender, forwarder.address, received, mark)
            forwarder.silence_existing()
        assert sender.counters.connections_silent >= 2
        sender.stop()
        receiver.stop()


def test_a_dead_peer_is_reached_again_when_it_returns():
    """A process restarts at its address after its peers tried it for a while."""
    received = []
    sender, receiver = start_mailbox("a", []), start_mailbox("b", received)
    address = receiver.address
    send_until_received(sender, address, received, "before")
    receiver.stop()
    wait_for(
        lambda: (
            sender.send(address, Withdraw("lost", "e")) or has_silent_connection(sender)
        )
    )
    returned = start_mailbox("b", received, listen_address=address)
    send_until_received(sender, address, received, "after")
    sender.stop()
    returned.stop()


def has_silent_connection(mailbox: Mailbox) -> bool:
    return mailbox.counters.connections_silent > 0


def test_a_dead_peer_costs_bounded_memory():
    """A burst of messages to a dead process could fill the memory of the sender.

    The receiving process is frozen: its port accepts connections and bytes, but never
    answers, while the sender continues at full speed. The bytes queued for one peer
    stay under the limit, and the other messages are counted as dropped.
    """
    sender = start_mailbox(
        "a", [], max_unacknowledged_bytes=10_000, silence_seconds=60.0
    )
    with socket.create_server(("127.0.0.1", 0)) as frozen:
        address = "{}:{}".format(*frozen.getsockname())
        for _ in range(200):
            sender.send(address, Withdraw("u" * 1000, "e"))
        counters = sender.counters
        assert counters.sent_bytes <= 10_000
        assert counters.sent + counters.dropped_no_room == 200
        sender.stop()


def test_what_was_sent_before_stopping_arrives():
    """A leaving sidecar announces it last, so that entries need not await its lease.

    Closing the connection would drop the messages still queued on it.
    """
    received = []
    receiver = start_mailbox("b", received)
    sender = start_mailbox("a", [], flush_seconds=60.0)
    for number in range(100):
        sender.send(receiver.address, Withdraw(f"{number}", "e"))
    sender.stop()
    wait_for(lambda: len(received) == 100)
    receiver.stop()


def test_an_idle_peer_is_forgotten_on_both_sides():
    received = []
    sender = start_mailbox("a", [], idle_seconds=0.1)
    receiver = start_mailbox("b", received, idle_seconds=0.1)
    send_until_received(sender, receiver.address, received, "u")
    wait_for(lambda: not sender.peers and not receiver.peers)
    send_until_received(sender, receiver.address, received, "v")
    sender.stop()
    receiver.stop()


def test_an_oversized_message_is_dropped_where_it_is_sent():
    sender = start_mailbox("a", [], max_message_bytes=1000)
    sender.send("127.0.0.1:1", Withdraw("u" * 1000, "e"))
    assert sender.counters.dropped_oversized == 1
    assert not sender.peers
    sender.stop()
