"""Formats events as sentences."""

from typing import Final

from pomelotrail_core.timeline import Event, EventKind

from .timeline_text import plain

_PHRASES: Final = {
    EventKind.PROCESS_STARTED: "started",
    EventKind.PROCESS_STOPPING: "was told to stop",
    EventKind.CONFIGURATION_IN_FORCE: "put a configuration in force",
    EventKind.CONFIGURATION_REFUSED: "refused a configuration",
    EventKind.FLOW_OPENED: "took flow {flow}",
    EventKind.FLOW_CLOSED: "closed flow {flow}",
    EventKind.FLOW_BROKEN: "lost flow {flow}",
    EventKind.FLOW_PASSED_ON: "passed flow {flow} on",
    EventKind.FLOW_REFUSED: "refused flow {flow}",
    EventKind.PACKET_DROPPED: "dropped a packet",
    EventKind.REQUEST_STARTED: "got request {request}",
    EventKind.REQUEST_ANSWERED: "answered request {request}",
    EventKind.REQUEST_REFUSED: "refused request {request}",
    EventKind.REQUEST_BROKEN: "could not answer request {request} whole",
    EventKind.REQUEST_RELAYED: "relayed request {request}",
    EventKind.TICKET_FENCED: "made sure that request {request} never runs",
    EventKind.TICKET_DELEGATED: "handed the ticket of request {request} over",
    EventKind.LIMIT_CHANGED: "changed the limit of its backend server",
    EventKind.BACKEND_SERVER_COLD: "found its backend server cold",
    EventKind.BACKEND_SERVER_WARM: "found its backend server warm",
    EventKind.SUSPECTED: "suspected a process of being gone",
    EventKind.TRUSTED: "trusted a process again",
    EventKind.ZONE_OUT: "saw an availability zone go out of service",
    EventKind.ZONE_BACK: "took up service again",
    EventKind.DRAINING: "started to drain",
    EventKind.WOKE_LATE: "woke up late",
    EventKind.OTHER: "recorded something that this program does not know",
}


def sentence(event: Event) -> str:
    """Return an event as one sentence, for example ``ledger-1 (veraval) started.``."""
    template = _PHRASES.get(event.kind, event.kind.value)
    phrase = template.format(flow=plain(event.flow), request=plain(event.request))
    phrase = phrase.replace("  ", " ").strip()
    detail = f": {plain(event.detail)}" if event.detail else ""
    return f"{plain(event.process)} ({plain(event.zone)}) {phrase}{detail}."
