"""Errors of reading and adopting configuration."""

import attrs


@attrs.frozen
class ConfigurationError:
    """A document that was refused as a whole."""

    problem: str

    def __str__(self) -> str:
        """Name the problem and the remedy."""
        return f"configuration refused: {self.problem}"


@attrs.frozen
class SourceError:
    """A source of configuration that gave no answer."""

    source: str
    problem: str

    def __str__(self) -> str:
        """Name the source and what happens next."""
        return (
            f"{self.source} gave no configuration ({self.problem}); "
            "the version in force stays, and the source is asked again"
        )


@attrs.frozen
class DeltaError:
    """A delta that did not give the published document."""

    version: int
    problem: str

    def __str__(self) -> str:
        """Name the version and what happens next."""
        return (
            f"delta to version {self.version} refused: {self.problem}; "
            "the whole document is fetched instead"
        )
