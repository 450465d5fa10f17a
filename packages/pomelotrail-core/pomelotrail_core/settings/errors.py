"""Errors of reading settings."""

import attrs


@attrs.frozen
class SettingsError:
    """An invalid settings file, with the key at fault and the remedy."""

    source: str
    key: str
    problem: str

    def __str__(self) -> str:
        """Return the file, the key and the remedy."""
        place = f", key {self.key!r}" if self.key else ""
        return f"{self.source}{place}: {self.problem}"
