"""Errors of the start of a process."""


class StartError(Exception):
    """A process can't start; names the setting, the problem and the remedy."""

    def __init__(self, field: str, problem: str, remedy: str) -> None:
        """Set the setting at fault, the problem and what to do."""
        super().__init__(f"{field}: {problem}; {remedy}")
        self.field = field
        self.problem = problem
        self.remedy = remedy
