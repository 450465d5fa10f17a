"""Gathers the events of several processes."""

import asyncio
from datetime import timedelta

from grpclib.exceptions import GRPCError
from result import Err, Ok, Result

from pomelotrail_core.endpoint import Endpoint
from pomelotrail_core.peers import PeerError, open_channel

from .messages import Event
from .service import decode_event
from .timeline_grpc import TimelineStub
from .timeline_pb2 import ReadRequest


async def async_read_events(
    endpoint: Endpoint, timeout: timedelta
) -> Result[list[Event], PeerError]:
    """Read the kept events of the process at a control address."""
    channel = open_channel(endpoint)
    try:
        async with asyncio.timeout(timeout.total_seconds()):
            messages = await TimelineStub(channel).Read(ReadRequest())
        return Ok([decode_event(message) for message in messages])
    except (OSError, TimeoutError, GRPCError) as error:
        return Err(PeerError(endpoint, type(error).__name__))
    finally:
        channel.close()
