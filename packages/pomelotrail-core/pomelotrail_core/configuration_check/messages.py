"""Results of a configuration check."""

import enum
from collections.abc import Mapping
from typing import Protocol, TypeAlias

import attrs

# A value of a document as it is written there.
FieldValue: TypeAlias = str | int | float | bool
Fields: TypeAlias = Mapping[str, FieldValue]
Entries: TypeAlias = Mapping[str, Fields]


class Versioned(Protocol):
    """The content of a document."""

    @property
    def version(self) -> int:
        """Return the version of the document."""


class Level(enum.Enum):
    """Whether a finding keeps a document from being applied."""

    ERROR = "error"
    WARNING = "warning"


@attrs.frozen
class Finding:
    """A problem of one field, with what to do about it."""

    level: Level
    field: str
    problem: str
    remedy: str

    def __str__(self) -> str:
        """Return the level, the field, the problem and the remedy."""
        place = f"{_text(self.field)}: " if self.field else ""
        return f"{self.level.value}: {place}{self.problem}; {self.remedy}"


class Change(enum.Enum):
    """How an entry differs from the version in force."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


@attrs.frozen
class Difference:
    """A difference of one entry.

    The fields are all of an added or removed entry, and those that differ of a changed
    one. ``before`` is empty for an added entry, and ``after`` for a removed one.
    """

    change: Change
    entry: str
    before: Fields
    after: Fields

    def __str__(self) -> str:
        """Return the entry with its fields, those of a changed one from and to."""
        if self.change is Change.CHANGED:
            changes = (
                f"{name} from {_text(self.before[name])} to {_text(value)}"
                for name, value in self.after.items()
            )
        else:
            fields = {**self.before, **self.after}
            changes = (f"{name} {_text(value)}" for name, value in fields.items())
        return f"{self.change.value} {_text(self.entry)}: {', '.join(changes)}"


@attrs.frozen
class Verdict:
    """The result of the check of one document.

    ``content`` is None if the document would be refused as a whole, and
    ``differences`` is None without a version in force to compare with.
    """

    source: str
    content: Versioned | None
    findings: tuple[Finding, ...]
    differences: tuple[Difference, ...] | None = None

    @property
    def errors(self) -> tuple[Finding, ...]:
        """Return the findings that keep the document from being applied."""
        return self._findings_of(Level.ERROR)

    @property
    def warnings(self) -> tuple[Finding, ...]:
        """Return the findings despite which the document would be applied."""
        return self._findings_of(Level.WARNING)

    @property
    def is_valid(self) -> bool:
        """Return whether the document would be applied."""
        return not self.errors

    def _findings_of(self, level: Level) -> tuple[Finding, ...]:
        """Return the findings of a level."""
        return tuple(each for each in self.findings if each.level is level)


def _text(value: FieldValue) -> str:
    """Return a value as documents have it, with control characters escaped."""
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, str) and not value.isprintable():
        return repr(value)
    return str(value)
