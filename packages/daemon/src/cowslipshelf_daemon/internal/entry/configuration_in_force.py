"""Share the configuration in force among the threads of an entry."""

import time
from typing import NamedTuple

from cowslipshelf_core.configuration import (
    Customer,
    FleetConfiguration,
    Model,
    Service,
)
from cowslipshelf_core.identifiers import (
    ConfigurationVersion,
    CustomerName,
    ModelName,
    ServiceName,
)


class ConfigurationIndex(NamedTuple):
    """Index the parts of one configuration by name; replaced, never modified."""

    configuration: FleetConfiguration
    since: float
    """Unix time in seconds at which this process applied the configuration."""
    customers: dict[CustomerName, Customer]
    customers_by_key_hash: dict[str, Customer]
    services: dict[ServiceName, Service]
    models: dict[ModelName, Model]

    @classmethod
    def from_configuration(
        cls, configuration: FleetConfiguration, since: float
    ) -> "ConfigurationIndex":
        """Return the index of a configuration."""
        return cls(
            configuration,
            since,
            {customer.name: customer for customer in configuration.customers},
            {customer.key_hash: customer for customer in configuration.customers},
            {service.name: service for service in configuration.services},
            {model.name: model for model in configuration.models},
        )


class ConfigurationInForce:
    """Hold the index of the newest configuration.

    One actor replaces it, and any thread reads it. Readers read the attribute `index`
    once and then use that value, so that no request mixes two configurations.
    """

    def __init__(self) -> None:
        empty = FleetConfiguration()
        self.index = ConfigurationIndex.from_configuration(empty, time.time())
        self.servable = False

    def version(self) -> ConfigurationVersion:
        """Return the version of the configuration in force."""
        return self.index.configuration.version

    def replace(self, configuration: FleetConfiguration) -> None:
        """Replace the configuration by a newer one."""
        self.index = ConfigurationIndex.from_configuration(configuration, time.time())
