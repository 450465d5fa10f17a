"""Errors for reading and adopting configuration."""

import attrs


@attrs.frozen
class ConfigurationError:
    """A document was refused as a whole."""

    problem: str

    def __str__(self) -> str:
        """Return a message with the problem and the remedy."""
        return f"configuration refused: {self.problem}"


@attrs.frozen
class SourceError:
    """A configuration source returned no usable answer."""

    source: str
    problem: str

    def __str__(self) -> str:
        """Return a message with the source and the next step."""
        return (
            f"{self.source} returned no configuration ({self.problem}); "
            "the version in force stays, and the source is queried again"
        )


@attrs.frozen
class DeltaError:
    """A delta did not produce the published document."""

    version: int
    problem: str

    def __str__(self) -> str:
        """Return a message with the version and the next step."""
        return (
            f"delta to version {self.version} refused: {self.problem}; "
            "the whole document is fetched instead"
        )
