"""Measure mailboxes: messages by size, and the cost of idle peers."""

import sys
from time import monotonic, process_time, sleep

from helper_process import helper_process, resident_kilobytes, serve_queries

from cowslipshelf_core.messages import Withdraw
from cowslipshelf_fleet.mailboxes import Mailbox, MailboxConfig, Received

HEARTBEAT_SECONDS = 1.0
SILENCE_SECONDS = 5.0
SETTLE_SECONDS = 2.0
MAX_IN_FLIGHT_BYTES = 4_000_000
MICROSECONDS = 1e6


def start_mailbox(name: str) -> Mailbox:
    """Start a mailbox that only counts messages."""
    config = MailboxConfig(
        instance=name,
        epoch=name,
        listen_address="127.0.0.1:0",
        cluster_key=b"benchmark",
        heartbeat_seconds=HEARTBEAT_SECONDS,
        silence_seconds=SILENCE_SECONDS,
        message_types=Withdraw,
        idle_seconds=600.0,
    )
    mailbox = Mailbox.from_config(config, ignore, lambda: 1)
    mailbox.start()
    return mailbox


def ignore(_: Received) -> None:
    """Drop a message; the mailbox has counted it."""


def measure_messages(size: int, seconds: float) -> dict[str, object]:
    """Send messages of one size as fast as the receiver handles them."""
    message = Withdraw("u" * size, "e")
    with helper_process(__file__, "1") as helper:
        address = helper.query("addresses")["addresses"][0]
        sender = start_mailbox("sender")
        sender.send(address, message)
        sleep(SETTLE_SECONDS)
        before, cpu, began = helper.query("state"), process_time(), monotonic()
        sent_before = sender.counters
        while monotonic() - began < seconds:
            send_within_window(sender, address, message)
        cpu, took, after = (
            process_time() - cpu,
            monotonic() - began,
            helper.query("state"),
        )
        counters = sender.counters
        sender.stop()
    sent = counters.sent - sent_before.sent
    received = after["received"] - before["received"]
    return {
        "message_bytes": size,
        "messages_per_second": round(received / took),
        "sender_cpu_microseconds": round(cpu / sent * MICROSECONDS, 1),
        "receiver_cpu_microseconds": round(
            (after["cpu"] - before["cpu"]) / received * MICROSECONDS, 1
        ),
        "envelope_bytes": round((counters.sent_bytes - sent_before.sent_bytes) / sent),
        "dropped": counters.dropped_no_room - sent_before.dropped_no_room,
    }


def send_within_window(sender: Mailbox, address: str, message: Withdraw) -> None:
    """Send one message, or sleep if too many bytes are in flight."""
    link = sender.peer_at(address).link
    if link.sent_bytes - link.acknowledged_bytes > MAX_IN_FLIGHT_BYTES:
        sleep(0.0005)
        return
    sender.send(address, message)


def measure_idle_peers(count: int, seconds: float) -> dict[str, object]:
    """Measure the cost of connections to a number of idle peers."""
    with helper_process(__file__, str(max(count, 1))) as helper:
        addresses = helper.query("addresses")["addresses"][:count]
        sender = start_mailbox("sender")
        memory = resident_kilobytes()
        for address in addresses:
            sender.send(address, Withdraw("u", "e"))
        sleep(SETTLE_SECONDS)
        memory = resident_kilobytes() - memory
        cpu, before = process_time(), sender.counters
        sleep(seconds)
        cpu, after = process_time() - cpu, sender.counters
        sender.stop()
    heartbeats = after.received - before.received
    received_bytes = after.received_bytes - before.received_bytes
    return {
        "peers": count,
        "kilobytes_per_peer": round(memory / max(count, 1), 1),
        "heartbeat_seconds": HEARTBEAT_SECONDS,
        "cpu_share_of_a_core": round(cpu / seconds, 5),
        "heartbeats_received_per_second": round(heartbeats / seconds, 1),
        "envelope_bytes_per_heartbeat": round(received_bytes / max(heartbeats, 1), 1),
        "silent_connections": after.connections_silent,
    }


def main() -> None:
    """Run the helper process: a number of receiving mailboxes."""
    mailboxes = [
        start_mailbox(f"receiver {number}") for number in range(int(sys.argv[1]))
    ]

    def state() -> dict[str, object]:
        total_received = sum(mailbox.counters.received for mailbox in mailboxes)
        return {"received": total_received, "cpu": process_time()}

    addresses = [mailbox.address for mailbox in mailboxes]
    serve_queries({"addresses": lambda: {"addresses": addresses}, "state": state})


if __name__ == "__main__":
    main()
