"""Errors of reading settings."""

import attrs


@attrs.frozen
class SettingsError:
    """An invalid settings file, with the key at fault and the remedy.

    The remedy is empty where the problem already states what is expected.
    """

    source: str
    key: str
    problem: str
    remedy: str = ""

    def __str__(self) -> str:
        """Return the file, the key and the remedy."""
        place = f", key {self.key!r}" if self.key else ""
        remedy = f"; {self.remedy}" if self.remedy else ""
        return f"{self.source}{place}: {self.problem}{remedy}"
