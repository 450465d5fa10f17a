"""Records how flows end."""

from typing import Final

from aioquic.h3.connection import ErrorCode
from aioquic.quic.events import ConnectionTerminated
from aioquic.quic.packet import QuicErrorCode

from pomelotrail_core.timeline import EventKind, Recorder

# The phrase by which aioquic tells an idle timeout from a close.
IDLE_PHRASE: Final = "Idle timeout"

_NO_ERROR: Final = (QuicErrorCode.NO_ERROR, ErrorCode.H3_NO_ERROR)
_STATES: Final = (EventKind.ZONE_OUT, EventKind.ZONE_BACK, EventKind.DRAINING)


def fell_silent(termination: ConnectionTerminated | None) -> bool:
    """Tell whether a flow ended without a close from either side."""
    return termination is not None and termination.reason_phrase == IDLE_PHRASE


def record_ending(
    recorder: Recorder,
    flow: str,
    termination: ConnectionTerminated | None,
    is_moved: bool = False,
) -> None:
    """Record a flow as closed, given up with its zone, or broken.

    A flow is broken when it fell silent without a close from either side
    while its availability zone was in service.
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
    if fell_silent(termination):
        detail = "the caller or the path to it fell silent"
        recorder.record(EventKind.FLOW_BROKEN, flow=flow, detail=detail)
        return
    recorder.record(EventKind.FLOW_CLOSED, flow=flow, detail=_describe(termination))


def _zone_out(recorder: Recorder) -> str:
    """Return the event by which the zone went out, if it is out."""
    latest = recorder.latest(*_STATES)
    return latest if latest == recorder.latest(EventKind.ZONE_OUT) else ""


def _describe(termination: ConnectionTerminated | None) -> str:
    """Return the error code and phrase of a close."""
    if termination is None:
        return ""
    phrase = termination.reason_phrase
    if termination.error_code in _NO_ERROR and not phrase:
        return "without an error"
    return f"error code {termination.error_code:#x}, {phrase}".rstrip(", ")
