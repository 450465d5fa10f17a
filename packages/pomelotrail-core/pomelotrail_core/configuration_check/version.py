"""Check of a version against the one in force."""

from collections.abc import Iterator

from .check import ConfigurationCheck
from .messages import Finding, Level, Versioned


class VersionCheck(ConfigurationCheck[Versioned]):
    """Finds a version that processes don't adopt, since it isn't above theirs."""

    def __init__(self, in_force: Versioned) -> None:
        """Compare with the version in force."""
        self._in_force = in_force

    def find(self, content: Versioned) -> Iterator[Finding]:
        """Yield a finding if the version isn't newer.

        For the document in force itself it is a warning: nothing would be lost.
        """
        version, version_in_force = content.version, self._in_force.version
        if version > version_in_force:
            return
        is_same = content == self._in_force
        yield Finding(
            Level.WARNING if is_same else Level.ERROR,
            "version",
            f"{version} is not above {version_in_force}, the version in force, so "
            "processes don't adopt the document",
            f"write a version above {version_in_force}",
        )
