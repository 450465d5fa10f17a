"""Records the end of flows."""

from typing import Final

from aioquic.h3.connection import ErrorCode
from aioquic.quic.events import ConnectionTerminated
from aioquic.quic.packet import QuicErrorCode

from pomelotrail_core.timeline import EventKind, Recorder

# Reason phrase that aioquic sets when a connection ends by idle timeout.
IDLE_TIMEOUT_PHRASE: Final = "Idle timeout"

_NO_ERROR: Final = (QuicErrorCode.NO_ERROR, ErrorCode.H3_NO_ERROR)
_STATE_EVENTS: Final = (EventKind.ZONE_OUT, EventKind.ZONE_BACK, EventKind.DRAINING)


def is_idle_timeout(termination: ConnectionTerminated | None) -> bool:
    """Return True if the flow ended without a close from either side."""
    return termination is not None and termination.reason_phrase == IDLE_TIMEOUT_PHRASE


def record_ending(
    recorder: Recorder,
    flow: str,
    termination: ConnectionTerminated | None,
    is_moved: bool = False,
) -> None:
    """Record a flow as closed, closed because its zone is out, or broken.

    A flow is broken if it ended by idle timeout, without a close from either
    side, while its availability zone was in service.
    """
    zone_out = _zone_out(recorder)
    if zone_out:
        recorder.record(
            EventKind.FLOW_CLOSED,
            flow=flow,
            cause=zone_out,
            detail="given up with its availability zone",
        )
        return
    if is_moved:
        recorder.record(EventKind.FLOW_CLOSED, flow=flow, detail="moved")
        return
    if is_idle_timeout(termination):
        detail = "the caller or the path to it fell silent"
        recorder.record(EventKind.FLOW_BROKEN, flow=flow, detail=detail)
        return
    recorder.record(EventKind.FLOW_CLOSED, flow=flow, detail=_describe(termination))


def _zone_out(recorder: Recorder) -> str:
    """Return the event that took the zone out, or an empty string if it is in."""
    latest = recorder.latest(*_STATE_EVENTS)
    return latest if latest == recorder.latest(EventKind.ZONE_OUT) else ""


def _describe(termination: ConnectionTerminated | None) -> str:
    """Return the error code and phrase of a close."""
    if termination is None:
        return ""
    phrase = termination.reason_phrase
    if termination.error_code in _NO_ERROR and not phrase:
        return "without an error"
    return f"error code {termination.error_code:#x}, {phrase}".rstrip(", ")
