"""Errors of the build."""


class BuildError(Exception):
    """The build can't go on."""

    def __init__(self, problem: str, remedy: str) -> None:
        """Initialize with the problem and what to do about it."""
        super().__init__(problem, remedy)
        self._problem = problem
        self._remedy = remedy

    def __str__(self) -> str:
        """Return the problem and the remedy in a line."""
        return f"{self._problem}; {self._remedy}"
