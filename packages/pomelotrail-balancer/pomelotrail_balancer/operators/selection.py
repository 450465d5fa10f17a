"""Selects events of a timeline."""

import attrs

from pomelotrail_core.timeline import EventKind, MergedEvent, Timeline


@attrs.frozen
class Selection:
    """Filter for events; an empty field selects all.

    Flows and requests may be given by their first characters. Selecting a flow
    includes its requests.
    """

    flow: str = ""
    request: str = ""
    zone: str = ""
    kind: EventKind | None = None

    def choose(self, timeline: Timeline) -> list[MergedEvent]:
        """Return the selected entries in order."""
        return [entry for entry in timeline.entries if self._matches(entry)]

    def _matches(self, entry: MergedEvent) -> bool:
        """Return whether an entry is selected."""
        event = entry.event
        if self.zone and event.zone != self.zone:
            return False
        if self.kind is not None and event.kind is not self.kind:
            return False
        if self.flow and not event.flow.startswith(self.flow):
            return False
        return not self.request or event.request.startswith(self.request)
