"""Errors of the operators' commands."""

import attrs


@attrs.frozen
class CommandError:
    """A command that can't do what it was asked; the remedy is named."""

    problem: str

    def __str__(self) -> str:
        """Return the problem and the remedy."""
        return self.problem
