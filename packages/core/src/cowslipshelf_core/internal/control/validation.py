"""Validate a configuration before it can be applied."""

import math
import re
from collections.abc import Iterable

from cowslipshelf_core.configuration import (
    Customer,
    FleetConfiguration,
    Model,
    Service,
    WeightStoreLimits,
)
from cowslipshelf_core.internal.control.limits import MAX_NAME_CHARACTERS
from cowslipshelf_core.internal.control.named_items import (
    Named,
    diff_by_name,
    duplicate_name_problems,
)

NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:/-]*")
KEY_HASH_PATTERN = re.compile(r"[0-9a-f]{64}")
MAX_COUNT = 2**31 - 1
MAX_DEADLINE_SECONDS = 7 * 24 * 3600.0
MAX_WEIGHT = 1_000_000


def configuration_problems(
    current: FleetConfiguration, wanted: FleetConfiguration
) -> tuple[str, ...]:
    """List all problems of a configuration, not only the first.

    The current configuration has passed the same checks, so an unchanged item is only
    checked if something that it may refer to was removed. This way the change of one
    customer does not cost a check of all others.
    """
    problems: list[str] = []
    models = {item.name for item in wanted.models}
    services = {item.name for item in wanted.services}
    for model in items_to_check(current.models, wanted.models):
        problems.extend(model_problems(model))
    models_removed = any(item.name not in models for item in current.models)
    for service in items_to_check(
        current.services, wanted.services, check_all=models_removed
    ):
        problems.extend(service_problems(service, models))
    services_removed = any(item.name not in services for item in current.services)
    customers = items_to_check(
        current.customers, wanted.customers, check_all=services_removed
    )
    for customer in customers:
        problems.extend(customer_problems(customer, services))
    if customers:
        problems.extend(shared_key_problems(wanted.customers))
    for upstream in wanted.draining:
        problems.extend(name_problems("draining", upstream))
    problems.extend(weight_store_problems(wanted.weight_store))
    return tuple(problems)


def items_to_check(
    current: tuple[Named, ...], wanted: tuple[Named, ...], *, check_all: bool = False
) -> tuple[Named, ...]:
    """Return the items that must be checked."""
    if check_all:
        return wanted
    items = (item.after for item in diff_by_name(current, wanted))
    return tuple(item for item in items if item is not None)


def model_problems(model: Model) -> Iterable[str]:
    """Check one model."""
    where = f"model {model.name!r}"
    yield from name_problems(where, model.name)
    yield from name_problems(f"{where}: version", model.version)
    yield from count_problems(f"{where}: context_tokens", model.context_tokens)


def service_problems(service: Service, models: set[str]) -> Iterable[str]:
    """Check one service, and that its models exist."""
    where = f"service {service.name!r}"
    yield from name_problems(where, service.name)
    yield from duplicate_name_problems(f"{where}: models", service.models)
    for model in service.models:
        if model not in models:
            yield f"{where}: there is no model {model!r}"
    if service.kind == "plain" and service.models:
        yield f"{where}: a plain service has no models"
    if service.kind == "model" and not service.models:
        yield f"{where}: a service of kind 'model' needs a model"
    yield from number_problems(
        f"{where}: default_deadline_seconds",
        service.default_deadline_seconds,
        MAX_DEADLINE_SECONDS,
    )
    yield from number_problems(
        f"{where}: long_prompt_weight", service.long_prompt_weight, MAX_WEIGHT
    )


def customer_problems(customer: Customer, services: set[str]) -> Iterable[str]:
    """Check one customer, and that its services exist."""
    where = f"customer {customer.name!r}"
    yield from name_problems(where, customer.name)
    if not customer.key_hash:
        yield f"{where}: a new customer needs `key` or `key_hash`"
    elif not KEY_HASH_PATTERN.fullmatch(customer.key_hash):
        yield f"{where}: key_hash must be 64 lower-case hexadecimal digits"
    yield from duplicate_name_problems(f"{where}: services", customer.services)
    for service in customer.services:
        if service not in services:
            yield f"{where}: there is no service {service!r}"
    yield from count_problems(f"{where}: weight", customer.weight, MAX_WEIGHT)
    yield from count_problems(f"{where}: most_concurrent", customer.most_concurrent)


def shared_key_problems(customers: Iterable[Customer]) -> Iterable[str]:
    """List customers that share a key, so that it would not identify one of them."""
    owners: dict[str, str] = {}
    for customer in customers:
        owner = owners.setdefault(customer.key_hash, customer.name)
        if owner != customer.name and customer.key_hash:
            yield f"customer {customer.name!r}: has the same key as {owner!r}"


def weight_store_problems(limits: WeightStoreLimits) -> Iterable[str]:
    """Check the limits of the weight store."""
    where = "weight_store"
    yield from number_problems(
        f"{where}: tokens_per_second", limits.tokens_per_second, MAX_COUNT
    )
    yield from count_problems(f"{where}: burst_tokens", limits.burst_tokens)
    yield from count_problems(f"{where}: most_open_grants", limits.most_open_grants)


def name_problems(where: str, name: str) -> Iterable[str]:
    """Check a name."""
    if len(name) > MAX_NAME_CHARACTERS or not NAME_PATTERN.fullmatch(name):
        yield (
            f"{where}: a name has 1 to {MAX_NAME_CHARACTERS} letters, digits and"
            f" ._:/- and begins with a letter or digit, found {name[:40]!r}"
        )


def count_problems(where: str, value: int, maximum: int = MAX_COUNT) -> Iterable[str]:
    """Check a whole number."""
    if not 1 <= value <= maximum:
        yield f"{where}: must be from 1 to {maximum}, found {value}"


def number_problems(where: str, value: float, maximum: float) -> Iterable[str]:
    """Check a number that must be above zero and not NaN."""
    if not math.isfinite(value) or not 0 < value <= maximum:
        yield f"{where}: must be above 0 and at most {maximum:g}, found {value}"
