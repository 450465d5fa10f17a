"""How a process reaches its peers, as an interface."""

import abc
from collections.abc import AsyncIterator

from result import Result

from pomelotrail_core.endpoint import Endpoint
from pomelotrail_core.peers import PeerError

from .spread_pb2 import (
    FetchRequest,
    FollowRequest,
    ReportReply,
    SpreadMessage,
    SuspicionReport,
)


class PeerNetwork(abc.ABC):
    """Carries the messages of the spread between processes."""

    @abc.abstractmethod
    def async_follow(
        self, peer: Endpoint, request: FollowRequest
    ) -> AsyncIterator[SpreadMessage]:
        """Stream what a peer sends; the stream ends when the peer is lost."""

    @abc.abstractmethod
    async def async_fetch(
        self, peer: Endpoint, request: FetchRequest
    ) -> Result[SpreadMessage, PeerError]:
        """Ask a peer for what it has in force."""

    @abc.abstractmethod
    async def async_report(
        self, peer: Endpoint, report: SuspicionReport
    ) -> Result[ReportReply, PeerError]:
        """Tell a reader what a monitor suspects."""

    @abc.abstractmethod
    def close(self) -> None:
        """Close connections that are kept for later questions."""
