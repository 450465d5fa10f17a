"""Serves the events of this process over grpclib."""

from datetime import UTC, datetime, timedelta

from grpclib.server import Stream

from .messages import Event, EventKind
from .recorder import Recorder
from .timeline_grpc import TimelineBase
from .timeline_pb2 import EventMessage, NowReply, NowRequest, ReadRequest

_MICROSECOND = timedelta(microseconds=1)
_EPOCH = datetime(1970, 1, 1, tzinfo=UTC)


class TimelineService(TimelineBase):
    """Streams the retained events, oldest first, and reports the clocks."""

    def __init__(self, recorder: Recorder) -> None:
        """Serve the events of ``recorder``."""
        self._recorder = recorder

    async def Read(  # noqa: N802 (named by the protocol)
        self, stream: Stream[ReadRequest, EventMessage]
    ) -> None:
        """Send the requested events."""
        request = await stream.recv_message()
        after = request.after_sequence if request else 0
        last = request.last_microseconds if request else 0
        now = self._recorder.clock.monotonic()
        earliest = now - last * _MICROSECOND if last else timedelta.min
        for event in self._recorder.events:
            if event.sequence > after and event.monotonic >= earliest:
                await stream.send_message(encode_event(event))

    async def Now(  # noqa: N802 (named by the protocol)
        self, stream: Stream[NowRequest, NowReply]
    ) -> None:
        """Send the clock readings of this process."""
        await stream.recv_message()
        clock = self._recorder.clock
        reply = NowReply(
            process=self._recorder.process,
            zone=self._recorder.zone,
            at_microseconds=encode_time(clock.now()),
            monotonic_microseconds=clock.monotonic() // _MICROSECOND,
            lost_events=self._recorder.lost,
        )
        await stream.send_message(reply)


def encode_time(at: datetime) -> int:
    """Return a time as microseconds since 1970."""
    return (at - _EPOCH) // _MICROSECOND


def decode_time(microseconds: int) -> datetime:
    """Return the time for microseconds since 1970."""
    return _EPOCH + microseconds * _MICROSECOND


def encode_event(event: Event) -> EventMessage:
    """Return the message for an event."""
    return EventMessage(
        process=event.process,
        sequence=event.sequence,
        kind=event.kind.value,
        at_microseconds=encode_time(event.at),
        monotonic_microseconds=event.monotonic // _MICROSECOND,
        zone=event.zone,
        flow=event.flow,
        request=event.request,
        cause=event.cause,
        detail=event.detail,
        incarnation=event.incarnation,
    )


def decode_event(message: EventMessage) -> Event:
    """Return the event in a message; an unknown kind becomes ``OTHER``."""
    kind, detail = _decode_kind(message)
    return Event(
        process=message.process,
        sequence=message.sequence,
        kind=kind,
        at=decode_time(message.at_microseconds),
        monotonic=message.monotonic_microseconds * _MICROSECOND,
        zone=message.zone,
        flow=message.flow,
        request=message.request,
        cause=message.cause,
        detail=detail,
        incarnation=message.incarnation,
    )


def _decode_kind(message: EventMessage) -> tuple[EventKind, str]:
    """Return the kind and the detail of a message."""
    try:
        return EventKind(message.kind), message.detail
    except ValueError:
        return EventKind.OTHER, f"{message.kind}: {message.detail}".rstrip(": ")
