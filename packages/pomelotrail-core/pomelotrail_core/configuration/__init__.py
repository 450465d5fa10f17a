"""The operators' published configuration: fetched, parsed, validated and applied."""

from .coordinator import ConfigurationCoordinator
from .document import (
    AvailabilityZone,
    BackendServer,
    Balancer,
    Configuration,
    RequestClass,
    Service,
)
from .errors import ConfigurationError
from .parser import parse_configuration
from .service_source import ServiceSource
from .source import ConfigurationSource

__all__ = [
    "AvailabilityZone",
    "BackendServer",
    "Balancer",
    "Configuration",
    "ConfigurationCoordinator",
    "ConfigurationError",
    "ConfigurationSource",
    "RequestClass",
    "Service",
    "ServiceSource",
    "parse_configuration",
]
