"""Errors raised while reading the source of the directory."""

import enum

import msgspec


class SourceProblem(enum.Enum):
    """The reason why a call failed."""

    HISTORY_LOST = "history lost"
    OVERLOADED = "overloaded"
    UNREACHABLE = "unreachable"
    MALFORMED = "malformed"


class SourceError(msgspec.Struct, frozen=True):
    """A failed call to the source."""

    problem: SourceProblem
    detail: str

    def __str__(self) -> str:
        """Return the problem and how it is handled."""
        remedy = (
            "all entries are listed again"
            if self.problem is SourceProblem.HISTORY_LOST
            else "the known state stays in force and the call is retried"
        )
        return f"{self.problem.value}: {self.detail}; {remedy}"
