"""Errors of reading the directory's source."""

import enum

import msgspec


class SourceProblem(enum.Enum):
    """Why a call gave nothing."""

    HISTORY_LOST = "history lost"
    OVERLOADED = "overloaded"
    UNREACHABLE = "unreachable"
    MALFORMED = "malformed"


class SourceError(msgspec.Struct, frozen=True):
    """A call to the source that gave nothing."""

    problem: SourceProblem
    detail: str

    def __str__(self) -> str:
        """Name the problem and what happens next."""
        remedy = (
            "everything is listed again"
            if self.problem is SourceProblem.HISTORY_LOST
            else "what is known stays in force and the call is repeated"
        )
        return f"{self.problem.value}: {self.detail}; {remedy}"
