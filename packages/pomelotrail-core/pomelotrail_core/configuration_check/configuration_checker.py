"""The check of the operators' YAML document."""

from datetime import timedelta

from result import Result

from pomelotrail_core.configuration import (
    Configuration,
    ConfigurationError,
    parse_configuration,
)

from .check import ConfigurationCheck
from .checker import DocumentChecker
from .configuration_entries import configuration_entries
from .limits import (
    ConnectionsCheck,
    ControlAddressCheck,
    DrainCheck,
    TargetCheck,
    TargetConflictCheck,
)
from .messages import Entries
from .unmatched import (
    BalancersOutCheck,
    QueryInPathCheck,
    ShadowedClassCheck,
    UnservedServiceCheck,
    UnusedZoneCheck,
)


class ConfigurationChecker(DocumentChecker[Configuration]):
    """Checks the document that every process of the product parses.

    ``grace`` is the time that a process gets to shut down; without it, nothing is
    compared with it.
    """

    def __init__(self, grace: timedelta | None = None) -> None:
        """Initialize with the grace period, if it is known."""
        self._grace = grace

    @property
    def checks(self) -> list[ConfigurationCheck[Configuration]]:
        """Return the checks for a valid configuration."""
        checks: list[ConfigurationCheck[Configuration]] = [
            ShadowedClassCheck(),
            QueryInPathCheck(),
            UnservedServiceCheck(),
            UnusedZoneCheck(),
            BalancersOutCheck(),
            TargetCheck(),
            TargetConflictCheck(),
            ConnectionsCheck(),
            ControlAddressCheck(),
        ]
        if self._grace is not None:
            checks.append(DrainCheck(self._grace))
        return checks

    def parse(
        self, text: str, source: str
    ) -> Result[Configuration, ConfigurationError]:
        """Parse a document as every process does."""
        return parse_configuration(text, source)

    def entries(self, content: Configuration) -> Entries:
        """Return the fields of all entries by place."""
        return configuration_entries(content)
