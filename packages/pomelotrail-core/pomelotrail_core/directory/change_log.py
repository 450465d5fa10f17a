"""Log lines about the known state."""

from pomelotrail_core.event_log import EventLog

from .revision import Revision

_PART = "directory"


class ChangeLog:
    """Writes lines with the version, era and revision that are in force.

    ``version`` and ``revision`` are set by the directory as it reads its source.
    """

    def __init__(self, log: EventLog) -> None:
        """Initialize without a version."""
        self.version = 0
        self.revision = Revision()
        self._log = log
        self._changes = 0

    @property
    def changes(self) -> int:
        """Return the number of changes of the known state."""
        return self._changes

    @property
    def basis(self) -> dict[str, int]:
        """Return the fields of what a decision is based on."""
        return {
            "version": self.version,
            "era": self.revision.era,
            "revision": self.revision.number,
        }

    def record_change(self, event: str, **fields: str | int) -> None:
        """Count a change of the known state and write its line."""
        self._changes += 1
        self.write(event, **fields)

    def write(self, event: str, **fields: str | int) -> None:
        """Write the line of a decision or a change of belief."""
        self._log.write(_PART, event, **fields, **self.basis)
