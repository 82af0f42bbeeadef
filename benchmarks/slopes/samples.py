"""Build sample messages and events for the measurements."""

from cowslipshelf_core.configuration import Customer, FleetConfiguration, Model, Service
from cowslipshelf_core.identifiers import (
    AttemptId,
    ConfigurationVersion,
    CustomerName,
    DataCentre,
    Epoch,
    InstanceId,
    ModelName,
    RequestId,
    ServiceName,
    UpstreamId,
)
from cowslipshelf_core.messages import Announce
from cowslipshelf_core.routing import PlacementFacts
from cowslipshelf_core.upstream import HandOver, LoadReport, UpstreamDescription

SERVICE = ServiceName("assist-llm")
MODEL = ModelName("ledger-1")
DATA_CENTRE = DataCentre("coruche-hall")
EPOCH = Epoch("0123456789abcdef0123456789abcdef")
MEMORY_TOKENS = 400_000
LEASE_SECONDS = 3.0
HOT_PREFIXES = 16
"""The most that a sidecar reports."""
KEY_HASH_CHARACTERS = 64
ENTRIES_DIGEST = "0123456789abcdef"
MODELS = 4
DEADLINE_SECONDS = 120.0


def description(number: int) -> UpstreamDescription:
    """Describe one of many engines."""
    return UpstreamDescription(
        UpstreamId(f"{DATA_CENTRE}-runner-{number:04}"),
        DATA_CENTRE,
        SERVICE,
        "model",
        (MODEL,),
        MEMORY_TOKENS,
        True,
        "10.20.30.40:45678",
    )


def load(sequence: int, hot_prefixes: int = HOT_PREFIXES) -> LoadReport:
    """Build the load report of a busy engine."""
    return LoadReport(
        sequence=sequence,
        running=4,
        decoding=3,
        prefill_tokens=2_000,
        reserved_tokens=50_000,
        memory_tokens=MEMORY_TOKENS,
        prefill_seconds_per_token=25e-6,
        prefill_seconds_per_token_squared=3e-11,
        decode_seconds_per_token=0.02,
        hot_prefixes=tuple(
            (number + 1) * 0x1234567890ABCDE for number in range(hot_prefixes)
        ),
    )


def announce(
    number: int,
    sequence: int,
    lease_seconds: float = LEASE_SECONDS,
    known_entries_digest: str = ENTRIES_DIGEST,
) -> Announce:
    """Build the announcement of one of many engines."""
    upstream, report = description(number), load(sequence)
    return Announce(
        upstream, EPOCH, lease_seconds, report, entries_digest=known_entries_digest
    )


def configuration(customers: int, version: int = 1) -> FleetConfiguration:
    """Build a configuration of a number of customers and four models."""
    models = tuple(Model(ModelName(f"ledger-{n + 1}"), "1") for n in range(MODELS))
    names = tuple(model.name for model in models)
    return FleetConfiguration(
        ConfigurationVersion(version),
        tuple(
            Customer(
                CustomerName(f"customer-{number:04}"),
                f"{number:0{KEY_HASH_CHARACTERS}x}",
                (SERVICE,),
            )
            for number in range(customers)
        ),
        (Service(SERVICE, "model", names),),
        models,
    )


def facts(number: int, prompt_tokens: int = 2_000) -> PlacementFacts:
    """Build the placement facts of one request."""
    return PlacementFacts(
        RequestId(f"request-{number}"),
        AttemptId(f"attempt-{number}"),
        CustomerName("customer-0000"),
        SERVICE,
        MODEL,
        prompt_tokens,
        200,
        0,
        DEADLINE_SECONDS,
    )


def hand_over(number: int) -> HandOver:
    """Build the hand-over of one attempt to engine 0."""
    return HandOver(
        RequestId(f"request-{number}"),
        AttemptId(f"attempt-{number}"),
        InstanceId("entry-1"),
        description(0).upstream_id,
        EPOCH,
        ConfigurationVersion(1),
        CustomerName("customer-0000"),
        SERVICE,
        MODEL,
        non_idempotent=False,
        deadline_seconds=DEADLINE_SECONDS,
        prompt_tokens=100,
        max_output_tokens=100,
        priority=0,
        prefix_hash=number % 50,
        method="POST",
        path="/v1/completions",
        headers=(),
        body=b"",
        load_sequence=1,
    )
