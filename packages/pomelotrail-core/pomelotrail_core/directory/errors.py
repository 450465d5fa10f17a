"""Errors raised while reading the source of the directory."""

import enum
from typing import Final

import msgspec


class SourceProblem(enum.Enum):
    """The reason why a call failed."""

    HISTORY_LOST = "history lost"
    OVERLOADED = "overloaded"
    UNREACHABLE = "unreachable"
    MALFORMED = "malformed"
    TOO_LARGE = "too large"


# The changes that could not be read are in the next listing, which has pages.
_LISTED_AGAIN: Final = (SourceProblem.HISTORY_LOST, SourceProblem.TOO_LARGE)


class SourceError(msgspec.Struct, frozen=True):
    """A failed call to the source."""

    problem: SourceProblem
    detail: str

    def __str__(self) -> str:
        """Return the problem and how it is handled."""
        remedy = (
            "all entries are listed again"
            if self.problem in _LISTED_AGAIN
            else "the known state stays in force and the call is retried"
        )
        return f"{self.problem.value}: {self.detail}; {remedy}"
