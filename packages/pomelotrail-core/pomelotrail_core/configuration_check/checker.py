"""The check of a document as a whole."""

from datetime import timedelta

from result import Err, Ok

from pomelotrail_core.configuration import (
    Configuration,
    ConfigurationError,
    parse_configuration,
)

from .check import ConfigurationCheck
from .const import DEFAULT_REMEDY
from .differences import find_differences
from .limits import (
    ConnectionsCheck,
    ControlAddressCheck,
    DrainCheck,
    TargetCheck,
    TargetConflictCheck,
)
from .messages import Finding, Level, Verdict
from .unmatched import (
    BalancersOutCheck,
    QueryInPathCheck,
    ShadowedClassCheck,
    UnservedServiceCheck,
    UnusedZoneCheck,
)
from .version import VersionCheck


class ConfigurationChecker:
    """Checks documents by the rules that processes apply, and for likely mistakes::

        checker = ConfigurationChecker(in_force=configuration)
        verdict = checker.check(text, "document.yaml")

    ``in_force`` is the configuration to compare with, and ``grace`` the time that a
    process gets to shut down; checks that need one are left out without it.
    """

    def __init__(
        self, in_force: Configuration | None = None, grace: timedelta | None = None
    ) -> None:
        """Initialize with what documents are compared with."""
        self._in_force = in_force
        self._checks: list[ConfigurationCheck] = [
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
        if grace is not None:
            self._checks.append(DrainCheck(grace))
        if in_force is not None:
            self._checks.insert(0, VersionCheck(in_force))

    def check(self, text: str, source: str) -> Verdict:
        """Return the verdict on the text of a document."""
        match parse_configuration(text, source):
            case Err(error):
                return Verdict(source, None, (_to_finding(error),))
            case Ok(configuration):
                return self._check_parsed(configuration, source)

    def _check_parsed(self, configuration: Configuration, source: str) -> Verdict:
        """Return the verdict on a valid configuration."""
        findings = [
            finding for check in self._checks for finding in check.find(configuration)
        ]
        differences = None
        if self._in_force is not None:
            differences = find_differences(self._in_force, configuration)
        return Verdict(source, configuration, tuple(findings), differences)


def _to_finding(error: ConfigurationError) -> Finding:
    """Return the finding for a document that would be refused."""
    remedy = error.remedy or DEFAULT_REMEDY
    return Finding(Level.ERROR, error.field, error.problem, remedy)
