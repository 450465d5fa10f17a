"""Reaches peers over grpclib."""

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

from .const import FETCH_TIMEOUT, KEPT_CHANNELS
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
    """Opens a channel for each stream; keeps those to the last peers asked."""

    def __init__(self) -> None:
        """Start without a channel."""
        self._kept: OrderedDict[Endpoint, Channel] = OrderedDict()
        self._asking: Counter[Endpoint] = Counter()

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
        channel = self._channel(peer)
        self._asking[peer] += 1
        try:
            reply = await _async_call(peer, SpreadStub(channel).Fetch(request))
        finally:
            self._asking[peer] -= 1
        if reply.is_err() and self._kept.get(peer) is channel:
            self._kept.pop(peer).close()
        self._drop_oldest()
        return reply

    async def async_report(
        self, peer: Endpoint, report: SuspicionReport
    ) -> Result[ReportReply, PeerError]:
        """Report to a reader once."""
        channel = open_channel(peer)
        try:
            return await _async_call(peer, SpreadStub(channel).Report(report))
        finally:
            channel.close()

    def close(self) -> None:
        """Close every kept channel."""
        for channel in self._kept.values():
            channel.close()
        self._kept.clear()

    def _channel(self, peer: Endpoint) -> Channel:
        """Return the channel to a peer, a kept one if there is any."""
        if peer not in self._kept:
            self._kept[peer] = open_channel(peer)
        self._kept.move_to_end(peer)
        return self._kept[peer]

    def _drop_oldest(self) -> None:
        """Close the channels that are too many, but none that waits for a reply."""
        idle = [peer for peer in self._kept if not self._asking[peer]]
        for peer in idle[: max(len(self._kept) - KEPT_CHANNELS, 0)]:
            self._kept.pop(peer).close()
            del self._asking[peer]


async def _async_call(
    peer: Endpoint,
    call: Awaitable[ReplyT],
    timeout: timedelta = FETCH_TIMEOUT,
) -> Result[ReplyT, PeerError]:
    """Wait for one reply."""
    try:
        async with asyncio.timeout(timeout.total_seconds()):
            return Ok(await call)
    except _FAILURES as error:
        return Err(PeerError(peer, str(error) or type(error).__name__))
