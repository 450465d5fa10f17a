"""Serves the events of this process over grpclib."""

from datetime import UTC, datetime, timedelta

from grpclib.server import Stream

from .messages import Event, EventKind
from .recorder import Recorder
from .timeline_grpc import TimelineBase
from .timeline_pb2 import EventMessage, ReadRequest

_MICROSECOND = timedelta(microseconds=1)
_EPOCH = datetime(1970, 1, 1, tzinfo=UTC)


class TimelineService(TimelineBase):
    """Streams the kept events, oldest first."""

    def __init__(self, recorder: Recorder) -> None:
        """Serve what the recorder keeps."""
        self._recorder = recorder

    async def Read(  # noqa: N802 (named by the protocol)
        self, stream: Stream[ReadRequest, EventMessage]
    ) -> None:
        """Send the events after the sequence number asked for."""
        request = await stream.recv_message()
        after = request.after_sequence if request else 0
        for event in self._recorder.events:
            if event.sequence > after:
                await stream.send_message(encode_event(event))


def encode_event(event: Event) -> EventMessage:
    """Return the message for an event."""
    return EventMessage(
        process=event.process,
        sequence=event.sequence,
        kind=event.kind.value,
        at_microseconds=(event.at - _EPOCH) // _MICROSECOND,
        monotonic_microseconds=event.monotonic // _MICROSECOND,
        zone=event.zone,
        flow=event.flow,
        request=event.request,
        cause=event.cause,
        detail=event.detail,
    )


def decode_event(message: EventMessage) -> Event:
    """Return the event in a message."""
    return Event(
        process=message.process,
        sequence=message.sequence,
        kind=EventKind(message.kind),
        at=_EPOCH + message.at_microseconds * _MICROSECOND,
        monotonic=message.monotonic_microseconds * _MICROSECOND,
        zone=message.zone,
        flow=message.flow,
        request=message.request,
        cause=message.cause,
        detail=message.detail,
    )
