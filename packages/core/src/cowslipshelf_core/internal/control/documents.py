"""Define the JSON documents in which operators write changes."""

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
"""Keys are stored as plain SHA-256, which protects only keys that can't be guessed."""


class CustomerDocument(Document, frozen=True):
    """Describe a customer; without key and hash an existing one keeps its key."""

    name: CustomerName
    services: tuple[ServiceName, ...]
    key: str | None = None
    key_hash: str | None = None
    weight: int = 1
    most_concurrent: int = 256

    def __post_init__(self) -> None:
        if self.key is not None and self.key_hash is not None:
            raise ValueError("give `key` or `key_hash`, not both")
        if self.key is not None and len(self.key) < MIN_KEY_CHARACTERS:
            raise ValueError(f"`key` needs at least {MIN_KEY_CHARACTERS} characters")

    def __repr__(self) -> str:
        """Leave the key out, so that no log or traceback ever shows it."""
        return f"CustomerDocument(name={self.name!r})"

    def to_customer(self) -> Customer:
        """Replace the key by its hash."""
        key_hash = self.key_hash or ""
        if self.key is not None:
            key_hash = hash_key(self.key)
        return Customer(
            self.name, key_hash, self.services, self.weight, self.most_concurrent
        )


class ChangeDocument(Document, frozen=True):
    """Change some parts of the configuration; what isn't named stays."""

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
        """Replace keys by their hashes."""
        fields = msgspec.structs.asdict(self)
        fields["put_customers"] = tuple(
            customer.to_customer() for customer in self.put_customers
        )
        return Change(**fields)


class WantedDocument(Document, frozen=True):
    """State the whole configuration that is wanted; what isn't named goes."""

    customers: tuple[CustomerDocument, ...] = ()
    services: tuple[Service, ...] = ()
    models: tuple[Model, ...] = ()
    draining: tuple[UpstreamId, ...] = ()
    weight_store: WeightStoreLimits = WeightStoreLimits()

    def to_wanted(self) -> WantedState:
        """Replace keys by their hashes."""
        fields = msgspec.structs.asdict(self)
        fields["customers"] = tuple(
            customer.to_customer() for customer in self.customers
        )
        return WantedState(**fields)


class PlanDocument(Document, frozen=True):
    """Ask for a plan: a change id, the version it is based on, and what is wanted."""

    change_id: ChangeId
    based_on: ConfigurationVersion
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
        """Give what is wanted, with hashes in place of keys."""
        if self.wanted is not None:
            return self.wanted.to_wanted()
        return self.change.to_change()

    def to_command(
        self, operator: OperatorName, upstreams: tuple[UpstreamDescription, ...]
    ) -> RecordPlan:
        """Build the command; pass the upstreams through `relevant_upstreams` first."""
        return RecordPlan(
            self.change_id, operator, self.based_on, self.to_change(), upstreams
        )


class ConfirmDocument(Document, frozen=True):
    """Confirm a plan; the change id guards against confirming another one's plan."""

    change_id: ChangeId | None = None


def hash_key(key: str) -> str:
    """Hash a customer's or an operator's key as hex SHA-256."""
    return hashlib.sha256(key.encode()).hexdigest()
