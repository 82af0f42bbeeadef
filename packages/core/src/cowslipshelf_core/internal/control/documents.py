"""Define the JSON documents with which operators change the configuration."""

import hashlib

import msgspec

from cowslipshelf_core.configuration import (
    Customer,
    Document,
    Model,
    Service,
    WeightStoreLimits,
)
from cowslipshelf_core.identifiers import (
    ChangeId,
    ConfigurationVersion,
    CustomerName,
    ModelName,
    OperatorName,
    ServiceName,
    UpstreamId,
)
from cowslipshelf_core.internal.control.commands import RecordPlan
from cowslipshelf_core.internal.control.plans import Change, WantedState
from cowslipshelf_core.upstream import UpstreamDescription

MAX_CHANGE_ID_CHARACTERS = 128
MIN_KEY_CHARACTERS = 16
"""Keys are stored as unsalted SHA-256, which protects only keys of high entropy."""


class CustomerDocument(Document, frozen=True):
    """Describe a customer; without `key` and `key_hash` it keeps the key it has."""

    name: CustomerName
    services: tuple[ServiceName, ...]
    key: str | None = None
    key_hash: str | None = None
    weight: int = 1
    """Share of contended engine time, relative to the weights of other customers."""
    most_concurrent: int = 256
    """Maximum number of concurrent requests."""

    def __post_init__(self) -> None:
        if self.key is not None and self.key_hash is not None:
            raise ValueError("give `key` or `key_hash`, not both")
        if self.key is not None and len(self.key) < MIN_KEY_CHARACTERS:
            raise ValueError(f"`key` needs at least {MIN_KEY_CHARACTERS} characters")

    def __repr__(self) -> str:
        """Omit the key, so that it never appears in a log or traceback."""
        return f"CustomerDocument(name={self.name!r})"

    def to_customer(self) -> Customer:
        """Convert to a `Customer`, with the key replaced by its hash."""
        key_hash = self.key_hash or ""
        if self.key is not None:
            key_hash = hash_key(self.key)
        return Customer(
            self.name, key_hash, self.services, self.weight, self.most_concurrent
        )


class ChangeDocument(Document, frozen=True):
    """Change parts of the configuration; anything not named stays."""

    put_customers: tuple[CustomerDocument, ...] = ()
    remove_customers: tuple[CustomerName, ...] = ()
    put_services: tuple[Service, ...] = ()
    remove_services: tuple[ServiceName, ...] = ()
    put_models: tuple[Model, ...] = ()
    remove_models: tuple[ModelName, ...] = ()
    drain: tuple[UpstreamId, ...] = ()
    undrain: tuple[UpstreamId, ...] = ()
    weight_store: WeightStoreLimits | None = None

    def to_change(self) -> Change:
        """Convert to a `Change`, with keys replaced by their hashes."""
        fields = msgspec.structs.asdict(self)
        fields["put_customers"] = tuple(
            customer.to_customer() for customer in self.put_customers
        )
        return Change(**fields)


class WantedDocument(Document, frozen=True):
    """Replace the whole configuration; anything not named is removed."""

    customers: tuple[CustomerDocument, ...] = ()
    services: tuple[Service, ...] = ()
    models: tuple[Model, ...] = ()
    draining: tuple[UpstreamId, ...] = ()
    weight_store: WeightStoreLimits = WeightStoreLimits()

    def to_wanted(self) -> WantedState:
        """Convert to a `WantedState`, with keys replaced by their hashes."""
        fields = msgspec.structs.asdict(self)
        fields["customers"] = tuple(
            customer.to_customer() for customer in self.customers
        )
        return WantedState(**fields)


class PlanDocument(Document, frozen=True):
    """Request a plan for either a whole wanted state or a change."""

    change_id: ChangeId
    based_on: ConfigurationVersion
    """Version of the configuration that the operator has seen, 0 if none."""
    wanted: WantedDocument | None = None
    change: ChangeDocument | None = None

    def __post_init__(self) -> None:
        if (self.wanted is None) == (self.change is None):
            raise ValueError("give `wanted` or `change`, and not both")
        if not 1 <= len(self.change_id) <= MAX_CHANGE_ID_CHARACTERS:
            raise ValueError(
                f"`change_id` has 1 to {MAX_CHANGE_ID_CHARACTERS} characters"
            )
        if self.based_on < 0:
            raise ValueError("`based_on` is a version, 0 where there is none yet")

    def to_change(self) -> Change | WantedState:
        """Return the wanted state or change, with keys replaced by their hashes."""
        if self.wanted is not None:
            return self.wanted.to_wanted()
        return self.change.to_change()

    def to_command(
        self, operator: OperatorName, upstreams: tuple[UpstreamDescription, ...]
    ) -> RecordPlan:
        """Build the command; reduce the upstreams by `relevant_upstreams` first."""
        return RecordPlan(
            self.change_id, operator, self.based_on, self.to_change(), upstreams
        )


class ConfirmDocument(Document, frozen=True):
    """Confirm a plan; the change id protects against confirming the wrong plan."""

    change_id: ChangeId | None = None


def hash_key(key: str) -> str:
    """Compute the hex SHA-256 of a customer's or an operator's key."""
    return hashlib.sha256(key.encode()).hexdigest()
