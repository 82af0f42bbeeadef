"""Judge hand-overs by the configuration that is in force at the sidecar."""

from cowslipshelf_core.configuration import FleetConfiguration
from cowslipshelf_core.errors import RefusalReason
from cowslipshelf_core.upstream import HandOver


def configuration_objection(
    configuration: FleetConfiguration | None, hand_over: HandOver
) -> RefusalReason | None:
    """Return why a hand-over may not run under the configuration in force, if so.

    Only what matters to this request counts. A version that is older in some other
    respect is served, and one that is newer than the sidecar's own was decided by an
    entry that knows more.
    """
    if configuration is None:
        return RefusalReason.NOT_READY
    if hand_over.configuration_version > configuration.version:
        return None
    if hand_over.upstream_id in configuration.draining:
        return RefusalReason.LEAVING
    if _allows(configuration, hand_over):
        return None
    return RefusalReason.STALE_CONFIGURATION


def _allows(configuration: FleetConfiguration, hand_over: HandOver) -> bool:
    customer = next(
        (each for each in configuration.customers if each.name == hand_over.customer),
        None,
    )
    service = next(
        (each for each in configuration.services if each.name == hand_over.service),
        None,
    )
    if customer is None or service is None:
        return False
    if hand_over.service not in customer.services:
        return False
    if service.kind == "plain":
        return True
    known = any(model.name == hand_over.model for model in configuration.models)
    return known and hand_over.model in service.models
