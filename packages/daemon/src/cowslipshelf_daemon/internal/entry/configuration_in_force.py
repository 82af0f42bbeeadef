"""Share the configuration in force with every thread of an entry."""

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
    """Be one configuration with its parts by name; replaced whole, never changed."""

    configuration: FleetConfiguration
    since: float
    """Seconds since 1970 at which this process put it in force."""
    customers: dict[CustomerName, Customer]
    customers_by_key_hash: dict[str, Customer]
    services: dict[ServiceName, Service]
    models: dict[ModelName, Model]

    @classmethod
    def from_configuration(
        cls, configuration: FleetConfiguration, since: float
    ) -> "ConfigurationIndex":
        """Index a configuration."""
        return cls(
            configuration,
            since,
            {customer.name: customer for customer in configuration.customers},
            {customer.key_hash: customer for customer in configuration.customers},
            {service.name: service for service in configuration.services},
            {model.name: model for model in configuration.models},
        )


class ConfigurationInForce:
    """Hold the newest index; one actor writes it, any thread reads it.

    Readers take the attribute once and then work on that one index, so that a request
    never sees halves of two configurations.
    """

    def __init__(self) -> None:
        empty = FleetConfiguration()
        self.index = ConfigurationIndex.from_configuration(empty, time.time())
        self.servable = False

    def version(self) -> ConfigurationVersion:
        """Return the version in force."""
        return self.index.configuration.version

    def replace(self, configuration: FleetConfiguration) -> None:
        """Put a newer configuration in force in this process."""
        self.index = ConfigurationIndex.from_configuration(configuration, time.time())
