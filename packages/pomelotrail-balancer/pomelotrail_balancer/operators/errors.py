"""Errors of the operators' commands."""

import attrs


@attrs.frozen
class CommandError:
    """Error of a command, with a remedy for the operator."""

    problem: str

    def __str__(self) -> str:
        """Return the problem and the remedy."""
        return self.problem
