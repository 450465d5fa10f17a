"""Errors for reading and adopting configuration."""

import attrs


@attrs.frozen
class ConfigurationError:
    """A document was refused as a whole, for the value of one field.

    The field is empty for a problem of the whole document, and the remedy where the
    problem already states what is expected.
    """

    source: str
    field: str
    problem: str
    remedy: str = ""

    def __str__(self) -> str:
        """Return a message with the place, the problem and the remedy."""
        place = f"{self.source}, key {self.field!r}" if self.field else self.source
        remedy = f"; {self.remedy}" if self.remedy else ""
        return f"configuration refused: {place}: {self.problem}{remedy}"


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
