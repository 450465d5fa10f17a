"""Errors of reading settings."""

import attrs


@attrs.frozen
class SettingsError:
    """A settings file that can't be used; says which key and what to write."""

    source: str
    key: str
    problem: str

    def __str__(self) -> str:
        """Name the file, the key and the remedy."""
        place = f", key {self.key!r}" if self.key else ""
        return f"{self.source}{place}: {self.problem}"
