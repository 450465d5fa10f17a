"""Reads the events of several processes."""

import asyncio
from collections.abc import Sequence
from datetime import timedelta

from grpclib.client import Channel
from grpclib.exceptions import GRPCError, StreamTerminatedError
from result import Err, Ok, Result

from pomelotrail_core.clock import Clock
from pomelotrail_core.endpoint import Endpoint
from pomelotrail_core.peers import PeerError, open_channel

from .clock_estimate import ClockEstimate
from .const import CLOCK_EXCHANGES, MAX_CONCURRENT_READS, READ_TIMEOUT
from .merge import ProcessEvents
from .service import decode_event, decode_time
from .timeline_grpc import TimelineStub
from .timeline_pb2 import NowReply, NowRequest, ReadRequest

_MICROSECOND = timedelta(microseconds=1)


async def async_collect_events(
    endpoints: Sequence[Endpoint],
    clock: Clock,
    last: timedelta | None = None,
    timeout: timedelta = READ_TIMEOUT,
) -> list[Result[ProcessEvents, PeerError]]:
    """Read the events of all processes, with bounded concurrency.

    Events older than ``last`` are omitted.
    """
    semaphore = asyncio.Semaphore(MAX_CONCURRENT_READS)

    async def async_read(endpoint: Endpoint) -> Result[ProcessEvents, PeerError]:
        """Read one process within the concurrency limit."""
        async with semaphore:
            return await async_read_process(endpoint, clock, last, timeout)

    return list(await asyncio.gather(*(async_read(each) for each in endpoints)))


async def async_read_process(
    endpoint: Endpoint, clock: Clock, last: timedelta | None, timeout: timedelta
) -> Result[ProcessEvents, PeerError]:
    """Read the clocks and retained events of the process at a control address."""
    channel = open_channel(endpoint)
    try:
        async with asyncio.timeout(timeout.total_seconds()):
            return Ok(await _async_read(channel, endpoint, clock, last))
    except TimeoutError:
        seconds = timeout.total_seconds()
        return Err(PeerError(endpoint, f"silent for {seconds:g} s"))
    except (OSError, GRPCError, StreamTerminatedError) as error:
        return Err(PeerError(endpoint, _describe(error)))
    finally:
        channel.close()


def _describe(error: Exception) -> str:
    """Return a short description of a call error."""
    if isinstance(error, GRPCError):
        return f"{error.status.name.lower()}: {error.message}"
    return getattr(error, "strerror", None) or str(error) or type(error).__name__


async def _async_read(
    channel: Channel, endpoint: Endpoint, clock: Clock, last: timedelta | None
) -> ProcessEvents:
    """Read one process over an open channel."""
    stub = TimelineStub(channel)
    estimates: list[ClockEstimate] = []
    for _ in range(CLOCK_EXCHANGES):
        reply, estimate = await _async_exchange(stub, clock)
        estimates.append(estimate)
    request = ReadRequest(last_microseconds=(last or timedelta()) // _MICROSECOND)
    messages = await stub.Read(request)
    return ProcessEvents(
        process=reply.process,
        zone=reply.zone,
        endpoint=endpoint,
        clock=min(estimates, key=lambda each: each.round_trip),
        lost=reply.lost_events,
        events=tuple(decode_event(message) for message in messages),
    )


async def _async_exchange(
    stub: TimelineStub, clock: Clock
) -> tuple[NowReply, ClockEstimate]:
    """Query the clocks of a process once."""
    started = clock.monotonic()
    reply = await stub.Now(NowRequest())
    round_trip = clock.monotonic() - started
    estimate = ClockEstimate(
        at=clock.now() - round_trip / 2,
        wall=decode_time(reply.at_microseconds),
        monotonic=reply.monotonic_microseconds * _MICROSECOND,
        round_trip=round_trip,
    )
    return reply, estimate
