"""Check hand-overs against the configuration in force at the sidecar."""

from typing import NamedTuple, Self

from cowslipshelf_core.configuration import FleetConfiguration
from cowslipshelf_core.errors import RefusalReason
from cowslipshelf_core.identifiers import (
    ConfigurationVersion,
    CustomerName,
    ModelName,
    ServiceName,
    UpstreamId,
)
from cowslipshelf_core.upstream import HandOver


class AdmissionRules(NamedTuple):
    """Hold the parts of a configuration that decide on hand-overs, as lookup tables."""

    version: ConfigurationVersion
    draining: frozenset[UpstreamId]
    customer_services: dict[CustomerName, frozenset[ServiceName]]
    service_models: dict[ServiceName, frozenset[ModelName]]
    plain_services: frozenset[ServiceName]

    @classmethod
    def from_configuration(cls, configuration: FleetConfiguration) -> Self:
        """Build the lookup tables from a configuration."""
        models = {model.name for model in configuration.models}
        services = configuration.services
        return cls(
            configuration.version,
            frozenset(configuration.draining),
            {each.name: frozenset(each.services) for each in configuration.customers},
            {
                each.name: frozenset(models.intersection(each.models))
                for each in services
            },
            frozenset(each.name for each in services if each.kind == "plain"),
        )

    def refusal_reason(self, hand_over: HandOver) -> RefusalReason | None:
        """Return why the configuration forbids a hand-over, or None if it allows it.

        A hand-over that was decided under an older version is accepted unless the
        changes since then affect it. One decided under a version newer than the
        sidecar's own is accepted, because its entry has the newer configuration.
        """
        if hand_over.configuration_version > self.version:
            return None
        if hand_over.upstream_id in self.draining:
            return RefusalReason.LEAVING
        if self._allows(hand_over):
            return None
        return RefusalReason.STALE_CONFIGURATION

    def _allows(self, hand_over: HandOver) -> bool:
        service = hand_over.service
        if service not in self.customer_services.get(hand_over.customer, ()):
            return False
        if service in self.plain_services:
            return True
        return hand_over.model in self.service_models.get(service, ())
