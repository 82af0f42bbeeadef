"""Describe the accepted configuration of a fleet."""

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
    """Be a record that operators write as a JSON object; unknown fields are refused."""


class Customer(Document, frozen=True):
    """Describe a customer: its key as a hash, its weight and its limits."""

    name: CustomerName
    key_hash: str
    """Hex SHA-256 of the key; the key itself is never stored."""
    services: tuple[ServiceName, ...]
    weight: int = 1
    """Share of a contended engine second, against other customers' weights."""
    most_concurrent: int = 256
    """Requests that one entry instance runs for the customer at a time."""


class Model(Document, frozen=True):
    """Describe a model that services may use."""

    name: ModelName
    version: str
    context_tokens: int = 1_048_576


class Service(Document, frozen=True):
    """Describe a service: a fleet of engines or a plain service."""

    name: ServiceName
    kind: ServiceKind
    models: tuple[ModelName, ...] = ()
    idempotent: bool = True
    """False where no call may run twice, whatever its headers say."""
    default_deadline_seconds: float = DEFAULT_DEADLINE_SECONDS
    long_prompt_weight: float = 1.0
    """Worth of a second saved for long prompts against one saved for short ones."""


class WeightStoreLimits(Document, frozen=True):
    """Limit how fast the whole fleet loads weights from the weight store."""

    tokens_per_second: float = 1.0
    """Tokens are the unit of the store's own rate limit; a load costs one or more."""
    burst_tokens: int = 4
    most_open_grants: int = 8


class FleetConfiguration(Document, frozen=True):
    """Be everything that operators have put in force, under one version."""

    version: ConfigurationVersion = NO_CONFIGURATION
    customers: tuple[Customer, ...] = ()
    services: tuple[Service, ...] = ()
    models: tuple[Model, ...] = ()
    draining: tuple[UpstreamId, ...] = ()
    """Upstreams that leave: no new work, running work finishes."""
    weight_store: WeightStoreLimits = WeightStoreLimits()
