"""Peer network over grpclib."""

import asyncio
from collections import Counter, OrderedDict
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

from .const import FETCH_TIMEOUT, MAX_CACHED_CHANNELS
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
    """Opens a channel per stream and caches the channels of recent fetches."""

    def __init__(self) -> None:
        """Initialize without channels."""
        self._channels: OrderedDict[Endpoint, Channel] = OrderedDict()
        self._pending_requests: Counter[Endpoint] = Counter()

    async def async_follow(
        self, peer: Endpoint, request: FollowRequest
    ) -> AsyncIterator[SpreadMessage]:
        """Yield the messages of a peer until the connection ends."""
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
        """Query a peer once, over a cached channel."""
        channel = self._channel(peer)
        self._pending_requests[peer] += 1
        try:
            reply = await _async_call(peer, SpreadStub(channel).Fetch(request))
        finally:
            self._pending_requests[peer] -= 1
        if reply.is_err() and self._channels.get(peer) is channel:
            self._channels.pop(peer).close()
        self._close_excess_channels()
        return reply

    async def async_report(
        self, peer: Endpoint, report: SuspicionReport
    ) -> Result[ReportReply, PeerError]:
        """Send a report to a reader once."""
        channel = open_channel(peer)
        try:
            return await _async_call(peer, SpreadStub(channel).Report(report))
        finally:
            channel.close()

    def close(self) -> None:
        """Close all cached channels."""
        for channel in self._channels.values():
            channel.close()
        self._channels.clear()

    def _channel(self, peer: Endpoint) -> Channel:
        """Return the cached channel to a peer, or open one."""
        if peer not in self._channels:
            self._channels[peer] = open_channel(peer)
        self._channels.move_to_end(peer)
        return self._channels[peer]

    def _close_excess_channels(self) -> None:
        """Close idle channels above the limit, oldest first."""
        idle = [peer for peer in self._channels if not self._pending_requests[peer]]
        for peer in idle[: max(len(self._channels) - MAX_CACHED_CHANNELS, 0)]:
            self._channels.pop(peer).close()
            del self._pending_requests[peer]


async def _async_call(
    peer: Endpoint,
    call: Awaitable[ReplyT],
    timeout: timedelta = FETCH_TIMEOUT,
) -> Result[ReplyT, PeerError]:
    """Return the reply of a call, or the error."""
    try:
        async with asyncio.timeout(timeout.total_seconds()):
            return Ok(await call)
    except _FAILURES as error:
        return Err(PeerError(peer, str(error) or type(error).__name__))
