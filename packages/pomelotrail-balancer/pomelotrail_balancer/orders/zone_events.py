"""Records which availability zones operators take out and bring back."""

from pomelotrail_core.configuration import Configuration
from pomelotrail_core.timeline import EventKind, Recorder


class ZoneEvents:
    """Puts the orders about availability zones on a balancer's time line."""

    def __init__(self, recorder: Recorder) -> None:
        """Start with every zone in service."""
        self._recorder = recorder
        self._out: frozenset[str] = frozenset()

    def configure(self, configuration: Configuration) -> None:
        """Record what a new version changes."""
        now_out = configuration.zones_out
        for zone in sorted(now_out - self._out):
            self._record(EventKind.ZONE_OUT, f"packets for {zone} are dropped")
        for zone in sorted(self._out - now_out):
            self._record(EventKind.ZONE_BACK, f"packets for {zone} are forwarded")
        self._out = now_out

    def _record(self, kind: EventKind, detail: str) -> None:
        """Record one order, which the version in force has given."""
        cause = self._recorder.latest(EventKind.CONFIGURATION_IN_FORCE)
        self._recorder.record(kind, cause=cause, detail=detail)
