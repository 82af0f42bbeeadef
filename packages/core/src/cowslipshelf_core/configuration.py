"""Define the accepted configuration of a fleet."""

from typing import Literal

import msgspec

from cowslipshelf_core.identifiers import (
    NO_CONFIGURATION,
    ConfigurationVersion,
    CustomerName,
    ModelName,
    ServiceName,
    UpstreamId,
)

ServiceKind = Literal["model", "plain"]

DEFAULT_DEADLINE_SECONDS = 120.0


class Document(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Define a record that is written as a JSON object; unknown fields are refused."""


class Customer(Document, frozen=True):
    """Describe a customer: its key as a hash, its weight and its limits."""

    name: CustomerName
    key_hash: str
    """SHA-256 of the key in hex; the key itself is never stored."""
    services: tuple[ServiceName, ...]
    weight: int = 1
    """Share of engine time relative to other customers when they compete for it."""
    most_concurrent: int = 256
    """Concurrent requests of the customer per entry instance."""


class Model(Document, frozen=True):
    """Describe a model that services may use."""

    name: ModelName
    version: str
    context_tokens: int = 1_048_576


class Service(Document, frozen=True):
    """Describe a service: a fleet of inference engines, or a plain HTTP service."""

    name: ServiceName
    kind: ServiceKind
    models: tuple[ModelName, ...] = ()
    idempotent: bool = True
    """If false, no request may run twice, whatever its headers say."""
    default_deadline_seconds: float = DEFAULT_DEADLINE_SECONDS
    long_prompt_weight: float = 1.0
    """Value of a second saved for long prompts, relative to short prompts."""


class WeightStoreLimits(Document, frozen=True):
    """Limit how fast the whole fleet loads weights from the weight store."""

    tokens_per_second: float = 1.0
    """Refill rate in tokens of the store's own rate limit; a load costs one or more."""
    burst_tokens: int = 4
    most_open_grants: int = 8


class FleetConfiguration(Document, frozen=True):
    """Hold the whole configuration that operators put in force, with its version."""

    version: ConfigurationVersion = NO_CONFIGURATION
    customers: tuple[Customer, ...] = ()
    services: tuple[Service, ...] = ()
    models: tuple[Model, ...] = ()
    draining: tuple[UpstreamId, ...] = ()
    """Upstreams that receive no new requests; running requests finish."""
    weight_store: WeightStoreLimits = WeightStoreLimits()
