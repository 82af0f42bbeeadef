"""Carry out orders, with or without a look at their fencing numbers."""

from typing import Literal

import msgspec

OrderKind = Literal["load_model", "load_adapter", "unload_model", "change_role"]


class OrderBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Be an order to load or unload something, or to change role."""

    order_id: str
    kind: OrderKind
    fencing_number: int
    name: str
    """Model, adapter or role."""
    version: str = ""


class OrderAnswer(msgspec.Struct, frozen=True):
    """Answer an order; a refused one names the newest number seen."""

    accepted: bool
    newest_fencing_number: int


class EngineState(msgspec.Struct, frozen=True):
    """Show what orders have made of the engine, in the order they were run."""

    role: str
    models: tuple[tuple[str, str], ...]
    adapters: tuple[tuple[str, str], ...]
    newest_fencing_number: int
    orders_run: tuple[OrderBody, ...]


class OrderBook:
    """Hold what orders have made of an engine."""

    def __init__(self, models: tuple[str, ...], checks_fencing: bool) -> None:
        self.checks_fencing = checks_fencing
        self.role = "both"
        self.models = dict.fromkeys(models, "")
        self.adapters: dict[str, str] = {}
        self.newest_fencing_number = 0
        self.orders_run: list[OrderBody] = []

    def accepts(self, order: OrderBody) -> bool:
        """Say whether an order may run; engines that don't check run all."""
        if self.checks_fencing and order.fencing_number < self.newest_fencing_number:
            return False
        newest = max(self.newest_fencing_number, order.fencing_number)
        self.newest_fencing_number = newest
        return True

    def run(self, order: OrderBody) -> None:
        """Carry an accepted order out."""
        match order.kind:
            case "load_model":
                self.models[order.name] = order.version
            case "unload_model":
                self.models.pop(order.name, None)
            case "load_adapter":
                self.adapters[order.name] = order.version
            case "change_role":
                self.role = order.name
        self.orders_run.append(order)

    def state(self) -> EngineState:
        """Return what orders have made of the engine."""
        return EngineState(
            role=self.role,
            models=tuple(self.models.items()),
            adapters=tuple(self.adapters.items()),
            newest_fencing_number=self.newest_fencing_number,
            orders_run=tuple(self.orders_run),
        )
