"""Measure changes, claims, snapshots and configurations, and message sizes."""

from time import process_time

import msgspec
from control import apply_change, measure_claims
from control import customer as customer_document

from cowslipshelf_core.configuration import Model, Service
from cowslipshelf_core.configuration_view import (
    ConfigurationView,
    ConfigurationViewConfig,
    SnapshotArrived,
)
from cowslipshelf_core.control import Change, ControlState, WantedState
from cowslipshelf_core.identifiers import InstanceId
from cowslipshelf_core.messages import (
    AnnounceAnswer,
    ConfigurationSnapshot,
    EntryAlive,
    Message,
)
from cowslipshelf_daemon.internal.entry.configuration_in_force import ConfigurationIndex
from cowslipshelf_daemon.internal.wire import MailboxMessage
from cowslipshelf_fleet.internal.envelope import (
    Envelope,
    EnvelopeCodec,
    MailboxHeartbeat,
)
from slopes.decision_costs import MICROSECONDS, microseconds
from slopes.fitting import Experiment, Reading
from slopes.samples import DATA_CENTRE, EPOCH, announce, configuration

CHANGES = 100
CLAIM_COUNTS = (2_000, 10_000, 40_000)
CUSTOMER_COUNTS = (10, 200, 1_900)
ENTRY_COUNTS = (1, 3, 7, 50, 400)
ENTRY_ADDRESS = "10.20.30.40:45678"
CLUSTER_KEY = b"a-cluster-key-of-thirty-two-bytes"


def codec() -> EnvelopeCodec:
    """Build the codec that all mailboxes use."""
    max_bytes = 1 << 24
    return EnvelopeCodec.from_config(CLUSTER_KEY, MailboxMessage, max_bytes)


def envelope(message: Message) -> Envelope:
    """Wrap a message in an envelope to an entry."""
    sender = InstanceId(f"{DATA_CENTRE}-runner-0000-sidecar")
    return Envelope(sender, ENTRY_ADDRESS, EPOCH, 1, message)


def message_readings(name: str, message: Message) -> list[Reading]:
    """Measure the size and codec time of one message."""
    wire = codec()
    wrapped = envelope(message)
    data = wire.encode(wrapped)
    return [
        Reading(f"{name} size", "B", len(data)),
        Reading(f"{name} encode", "us", microseconds(lambda _: wire.encode(wrapped))),
        Reading(f"{name} decode", "us", microseconds(lambda _: wire.decode(data))),
    ]


def measure_messages(entries: int, repeats: int) -> list[list[Reading]]:
    """Measure the messages of a fleet with a number of entries."""
    known = tuple(
        (InstanceId(f"{DATA_CENTRE}-entry-{number:03}"), ENTRY_ADDRESS)
        for number in range(entries)
    )
    sent = announce(0, 1)
    answer = AnnounceAnswer(sent.description.upstream_id, known)
    alive = EntryAlive(DATA_CENTRE, True, 1, 1_800_000_000.0)
    heartbeat = MailboxHeartbeat(1 << 31, 1 << 20, True, True, 1 << 31, 1 << 20)
    messages: dict[str, Message] = {
        "announcement": sent,
        "answer to an announcement": answer,
        "word of an entry": alive,
        "heartbeat": heartbeat,
    }
    return [
        [
            reading
            for name, message in messages.items()
            for reading in message_readings(name, message)
        ]
        for _ in range(repeats)
    ]


def build_state(customers: int) -> ControlState:
    """Build a control state with a number of customers."""
    state = ControlState()
    models = tuple(Model(f"ledger-{number}", "1") for number in range(4))
    names = tuple(model.name for model in models)
    services = (Service("assist-llm", "model", names),)
    all_customers = tuple(customer_document(number, 1) for number in range(customers))
    apply_change(state, WantedState(all_customers, services, models), "first")
    return state


def change_microseconds(state: ControlState, customers: int, tag: str) -> float:
    """Return the time to plan and confirm a change of one customer."""
    began = process_time()
    for number in range(CHANGES):
        changed = customer_document(number % customers, number + 2)
        change = Change(put_customers=(changed,))
        apply_change(state, change, f"{tag}-{number}")
    return (process_time() - began) / CHANGES * MICROSECONDS


def measure_configuration(customers: int, repeats: int) -> list[list[Reading]]:
    """Measure a change, and the steps by which a process applies a configuration."""
    state = build_state(customers)
    return [
        [
            Reading("change", "us", change_microseconds(state, customers, f"r{n}")),
            *configuration_readings(customers),
            Reading("state snapshot", "B", len(build_state(customers).to_snapshot())),
        ]
        for n in range(repeats)
    ]


def configuration_readings(customers: int) -> list[Reading]:
    """Measure a configuration message, and each step of applying it."""
    message = ConfigurationSnapshot(configuration(customers), False)
    view = ConfigurationView.from_config(ConfigurationViewConfig(EPOCH))

    def update_view(call: int) -> None:
        newer = msgspec.structs.replace(message.configuration, version=call + 1)
        arrived = ConfigurationSnapshot(newer, False)
        view.handle(SnapshotArrived(arrived, ENTRY_ADDRESS), 0.0)

    def index(_: int) -> None:
        ConfigurationIndex.from_configuration(message.configuration, 0.0)

    return [
        *message_readings("whole configuration", message),
        Reading("view takes it", "us", microseconds(update_view)),
        Reading("index of it", "us", microseconds(index)),
    ]


def measure_claim_state(claims: int, repeats: int) -> list[list[Reading]]:
    """Measure the time of claims, and their size in memory and in a snapshot."""
    rounds = []
    for _ in range(repeats):
        figures = measure_claims(claims)
        per_command = MICROSECONDS / figures.applied_per_second
        rounds.append(
            [
                Reading("claim and its end", "us each", 2 * per_command),
                Reading("memory", "B", figures.memory_bytes_per_claim * claims),
                Reading("snapshot", "B", figures.snapshot_bytes_per_claim * claims),
                Reading(
                    "snapshot written", "us", figures.snapshot_encode_seconds * 1e6
                ),
                Reading("longest apply", "us", figures.longest_apply_seconds * 1e6),
            ]
        )
    return rounds


EXPERIMENTS = (
    Experiment("messages", "entry instance", ENTRY_COUNTS, measure_messages),
    Experiment("configuration", "customer", CUSTOMER_COUNTS, measure_configuration),
    Experiment("claims", "claim kept", CLAIM_COUNTS, measure_claim_state),
)
