"""Interface for communication with peers."""

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
    """Transports distribution messages between processes."""

    @abc.abstractmethod
    def async_follow(
        self, peer: Endpoint, request: FollowRequest
    ) -> AsyncIterator[SpreadMessage]:
        """Yield the messages of a peer until the connection is lost."""

    @abc.abstractmethod
    async def async_fetch(
        self, peer: Endpoint, request: FetchRequest
    ) -> Result[SpreadMessage, PeerError]:
        """Fetch the version or document that a peer has in force."""

    @abc.abstractmethod
    async def async_report(
        self, peer: Endpoint, report: SuspicionReport
    ) -> Result[ReportReply, PeerError]:
        """Send the suspicions of a monitor to a reader."""

    @abc.abstractmethod
    def close(self) -> None:
        """Close cached connections."""
