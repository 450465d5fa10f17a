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
