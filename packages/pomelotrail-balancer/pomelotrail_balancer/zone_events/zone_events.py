"""Records when operators take availability zones out and restore them."""

from pomelotrail_core.configuration import Configuration
from pomelotrail_core.timeline import EventKind, Recorder


class ZoneEvents:
    """Records changes of the availability zones in service in the timeline."""

    def __init__(self, recorder: Recorder) -> None:
        """Initialize with all zones in service."""
        self._recorder = recorder
        self._out: frozenset[str] = frozenset()

    def configure(self, configuration: Configuration) -> None:
        """Record the zones that a new configuration changes."""
        now_out = configuration.zones_out
        for zone in sorted(now_out - self._out):
            self._record(EventKind.ZONE_OUT, f"packets for {zone} are dropped")
        for zone in sorted(self._out - now_out):
            self._record(EventKind.ZONE_BACK, f"packets for {zone} are forwarded")
        self._out = now_out

    def _record(self, kind: EventKind, detail: str) -> None:
        """Record an event caused by the configuration in force."""
        cause = self._recorder.latest(EventKind.CONFIGURATION_IN_FORCE)
        self._recorder.record(kind, cause=cause, detail=detail)
