"""The events that a process records."""

import enum
from datetime import datetime, timedelta

import attrs


class EventKind(enum.Enum):
    """The kind of an event; the value is its name on the timeline."""

    PROCESS_STARTED = "process started"
    PROCESS_STOPPING = "process stopping"
    CONFIGURATION_IN_FORCE = "configuration in force"
    CONFIGURATION_REFUSED = "configuration refused"
    FLOW_OPENED = "flow opened"
    FLOW_CLOSED = "flow closed"
    FLOW_BROKEN = "flow broken"
    FLOW_PASSED_ON = "flow passed on"
    FLOW_REFUSED = "flow refused"
    PACKET_DROPPED = "packet dropped"
    REQUEST_STARTED = "request started"
    REQUEST_ANSWERED = "request answered"
    REQUEST_REFUSED = "request refused"
    REQUEST_BROKEN = "request broken"
    REQUEST_RELAYED = "request relayed"
    TICKET_FENCED = "ticket fenced"
    TICKET_DELEGATED = "ticket delegated"
    LIMIT_CHANGED = "limit changed"
    BACKEND_SERVER_COLD = "backend server cold"
    BACKEND_SERVER_WARM = "backend server warm"
    SUSPECTED = "suspected"
    TRUSTED = "trusted"
    ZONE_OUT = "zone out"
    ZONE_BACK = "zone back"
    DRAINING = "draining"
    WOKE_LATE = "woke late"
    OTHER = "other"

    @property
    def is_per_subject(self) -> bool:
        """Return whether the event concerns a single flow, request or packet."""
        return self.name.partition("_")[0] in ("FLOW", "PACKET", "REQUEST", "TICKET")


@attrs.frozen
class Event:
    """One event of one process.

    ``incarnation`` identifies the start of the process, and ``sequence`` counts
    the events since then; ``cause`` is the identifier of the event that caused
    this one, or empty. ``OTHER`` is the kind of an event recorded by a newer
    release; its detail starts with the unknown name.
    """

    process: str
    sequence: int
    kind: EventKind
    at: datetime
    monotonic: timedelta
    zone: str = ""
    flow: str = ""
    request: str = ""
    cause: str = ""
    detail: str = ""
    incarnation: str = ""

    @property
    def identifier(self) -> str:
        """Return the identifier that other events refer to."""
        start = f"@{self.incarnation}" if self.incarnation else ""
        return f"{self.process}{start}/{self.sequence}"
