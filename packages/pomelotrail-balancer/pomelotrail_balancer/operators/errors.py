"""Errors of the operators' commands."""

import attrs


@attrs.frozen
class CommandError:
    """Error of a command, with a remedy for the operator."""

    problem: str
    remedy: str = ""

    def __str__(self) -> str:
        """Return the problem and the remedy."""
        return f"{self.problem}; {self.remedy}" if self.remedy else self.problem
