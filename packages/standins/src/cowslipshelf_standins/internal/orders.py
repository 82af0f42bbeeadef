"""Run orders, with or without checking their fencing numbers."""

from typing import Literal

import msgspec

OrderKind = Literal["load_model", "load_adapter", "load_version", "change_role"]


class OrderBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Order an engine to load a model or an adapter, or to change its role."""

    order_id: str
    kind: OrderKind
    argument: str
    """`name@version` for loads, a role for `change_role`."""
    fencing: int


class OrderAnswer(msgspec.Struct, frozen=True):
    """Answer an order with the newest fencing number seen."""

    accepted: bool
    newest_fencing: int


class EngineState(msgspec.Struct, frozen=True):
    """Describe the state that orders produced, and the orders as they were run."""

    role: str
    models: tuple[tuple[str, str], ...]
    adapters: tuple[tuple[str, str], ...]
    newest_fencing: int
    orders_run: tuple[OrderBody, ...]


class OrderExecutor:
    """Run orders, and hold the state that they produced."""

    def __init__(self, models: tuple[str, ...], checks_fencing: bool) -> None:
        self.checks_fencing = checks_fencing
        self.role = "both"
        self.models = dict(map(name_and_version, models))
        self.adapters: dict[str, str] = {}
        self.newest_fencing = 0
        self.orders_run: list[OrderBody] = []

    def accept(self, order: OrderBody) -> bool:
        """Return whether an order may run; without `checks_fencing` all may."""
        if self.checks_fencing and order.fencing < self.newest_fencing:
            return False
        self.newest_fencing = max(self.newest_fencing, order.fencing)
        return True

    def run(self, order: OrderBody) -> None:
        """Run an accepted order."""
        name, version = name_and_version(order.argument)
        match order.kind:
            case "load_model" | "load_version":
                self.models[name] = version
            case "load_adapter":
                self.adapters[name] = version
            case "change_role":
                self.role = order.argument
        self.orders_run.append(order)

    def state(self) -> EngineState:
        """Return the state that orders produced."""
        return EngineState(
            role=self.role,
            models=tuple(self.models.items()),
            adapters=tuple(self.adapters.items()),
            newest_fencing=self.newest_fencing,
            orders_run=tuple(self.orders_run),
        )


def name_and_version(argument: str) -> tuple[str, str]:
    """Split `name@version`; a missing version is empty."""
    name, _, version = argument.partition("@")
    return name, version
