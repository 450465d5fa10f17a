"""Errors of configuration distribution."""

import attrs


@attrs.frozen
class NoConfigurationYet:
    """A process received a request before it had any configuration."""

    process: str

    def __str__(self) -> str:
        """Return the process and the suggested action."""
        return f"{self.process} has no configuration yet; ask another process"


@attrs.frozen
class TooManyChildren:
    """A process already has its maximum number of children."""

    process: str

    def __str__(self) -> str:
        """Return the process and the suggested action."""
        return f"{self.process} feeds enough others; follow the next parent"


class SpreadRefused(Exception):
    """Raised when the request of a follower is rejected."""

    def __init__(self, error: NoConfigurationYet | TooManyChildren) -> None:
        """Initialize the error with its reason."""
        super().__init__(str(error))
        self.error = error
