"""Base class of the checks of a whole document."""

import abc
from typing import Generic, TypeVar

from result import Err, Ok, Result

from pomelotrail_core.configuration import ConfigurationError

from .check import ConfigurationCheck
from .const import DEFAULT_REMEDY
from .differences import find_differences
from .messages import Entries, Finding, Level, Verdict, Versioned
from .version import VersionCheck

ContentT = TypeVar("ContentT", bound=Versioned)


class DocumentChecker(abc.ABC, Generic[ContentT]):
    """Checks documents of one form by the rules that processes apply, and more::

    verdict = ConfigurationChecker().check(text, "document.yaml", in_force)
    """

    @property
    @abc.abstractmethod
    def checks(self) -> list[ConfigurationCheck[ContentT]]:
        """Return the checks for a valid document."""

    @abc.abstractmethod
    def parse(self, text: str, source: str) -> Result[ContentT, ConfigurationError]:
        """Parse a document by the code that processes use."""

    @abc.abstractmethod
    def entries(self, content: ContentT) -> Entries:
        """Return the fields of all entries by place, for the differences."""

    def check(
        self, text: str, source: str, in_force: ContentT | None = None
    ) -> Verdict:
        """Return the verdict on a document, compared with the one in force if given."""
        match self.parse(text, source):
            case Err(error):
                return Verdict(source, None, (_to_finding(error),))
            case Ok(content):
                return self._check_content(content, source, in_force)

    def _check_content(
        self, content: ContentT, source: str, in_force: ContentT | None
    ) -> Verdict:
        """Return the verdict on the content of a valid document."""
        checks, differences = self.checks, None
        if in_force is not None:
            checks = [VersionCheck(in_force), *checks]
            before, after = self.entries(in_force), self.entries(content)
            differences = find_differences(before, after)
        findings = tuple(each for check in checks for each in check.find(content))
        return Verdict(source, content, findings, differences)


def _to_finding(error: ConfigurationError) -> Finding:
    """Return the finding for a document that would be refused."""
    remedy = error.remedy or DEFAULT_REMEDY
    return Finding(Level.ERROR, error.field, error.problem, remedy)
