"""Reaches peers over grpclib."""

import asyncio
from collections.abc import AsyncIterator, Awaitable
from datetime import timedelta
from typing import TypeVar

from google.protobuf.message import DecodeError
from grpclib.client import Channel
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError
from result import Err, Ok, Result

from pomelotrail_core.endpoint import Endpoint
from pomelotrail_core.logs import get_logger
from pomelotrail_core.peers import PeerError, open_channel

from .const import FETCH_TIMEOUT
from .network import PeerNetwork
from .spread_grpc import SpreadStub
from .spread_pb2 import (
    FetchRequest,
    FollowRequest,
    ReportReply,
    SpreadMessage,
    SuspicionReport,
)

_LOGGER = get_logger("spread")
_FAILURES = (
    OSError,
    TimeoutError,
    GRPCError,
    ProtocolError,
    StreamTerminatedError,
    DecodeError,
)

ReplyT = TypeVar("ReplyT")


class GrpcNetwork(PeerNetwork):
    """Opens a channel for each stream and each question."""

    async def async_follow(
        self, peer: Endpoint, request: FollowRequest
    ) -> AsyncIterator[SpreadMessage]:
        """Stream what a peer sends until the connection ends."""
        channel = open_channel(peer)
        try:
            async with SpreadStub(channel).Follow.open() as stream:
                await stream.send_message(request, end=True)
                async for message in stream:
                    yield message
        except _FAILURES as error:
            _LOGGER.debug("%s", PeerError(peer, str(error) or type(error).__name__))
        finally:
            channel.close()

    async def async_fetch(
        self, peer: Endpoint, request: FetchRequest
    ) -> Result[SpreadMessage, PeerError]:
        """Ask a peer once."""
        channel = open_channel(peer)
        return await _async_call(channel, peer, SpreadStub(channel).Fetch(request))

    async def async_report(
        self, peer: Endpoint, report: SuspicionReport
    ) -> Result[ReportReply, PeerError]:
        """Report to a reader once."""
        channel = open_channel(peer)
        return await _async_call(channel, peer, SpreadStub(channel).Report(report))


async def _async_call(
    channel: Channel,
    peer: Endpoint,
    call: Awaitable[ReplyT],
    timeout: timedelta = FETCH_TIMEOUT,
) -> Result[ReplyT, PeerError]:
    """Wait for one reply and close the channel."""
    try:
        async with asyncio.timeout(timeout.total_seconds()):
            return Ok(await call)
    except _FAILURES as error:
        return Err(PeerError(peer, str(error) or type(error).__name__))
    finally:
        channel.close()
