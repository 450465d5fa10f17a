"""Chooses events of a time line."""

import attrs

from pomelotrail_core.timeline import EventKind, MergedEvent, Timeline


@attrs.frozen
class Selection:
    """Which events to show; an empty field chooses all.

    Flows and requests may be shortened to their first characters. A chosen
    flow brings its requests with it.
    """

    flow: str = ""
    request: str = ""
    zone: str = ""
    kind: EventKind | None = None

    def choose(self, timeline: Timeline) -> list[MergedEvent]:
        """Return the chosen entries in their order."""
        return [entry for entry in timeline.entries if self._matches(entry)]

    def _matches(self, entry: MergedEvent) -> bool:
        """Tell whether an entry is chosen."""
        event = entry.event
        if self.zone and event.zone != self.zone:
            return False
        if self.kind is not None and event.kind is not self.kind:
            return False
        if self.flow and not event.flow.startswith(self.flow):
            return False
        return not self.request or event.request.startswith(self.request)
