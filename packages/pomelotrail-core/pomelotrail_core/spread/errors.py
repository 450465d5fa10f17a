"""Errors of the spread."""

import attrs


@attrs.frozen
class NoConfigurationYet:
    """A process that was asked before it had any configuration."""

    process: str

    def __str__(self) -> str:
        """Name the process and what to do."""
        return f"{self.process} has no configuration yet; ask another process"


@attrs.frozen
class TooManyChildren:
    """A process that feeds as many others as it may."""

    process: str

    def __str__(self) -> str:
        """Name the process and what to do."""
        return f"{self.process} feeds enough others; follow the next parent"


class SpreadRefused(Exception):
    """Raised to a follower whose request is not served."""

    def __init__(self, error: NoConfigurationYet | TooManyChildren) -> None:
        """Carry the reason."""
        super().__init__(str(error))
        self.error = error
